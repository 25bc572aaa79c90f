//! Long frames over links that are slow, and over one that stands still, in virtual time.

use protocol::{EncodedFrame, Frame};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::Instant;
use transport::link::{self, LinkError};

const PIECE_TIMEOUT: Duration = Duration::from_secs(1);
/// What a socket takes in before the other side reads.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// A body is sent as it is: no compression makes it shorter.
const BODY_BYTES: usize = 1 << 20;

fn long_frame() -> EncodedFrame {
    EncodedFrame::new(&Frame::RequestBody(vec![7; BODY_BYTES]))
}

/// Guards: a member that is behind by a large snapshot catches up over a slow link; the
/// frame as a whole takes many times as long as a piece of it may.
#[tokio::test(start_paused = true)]
async fn a_long_frame_takes_as_long_as_its_link_needs() {
    let (mut near, mut far) = tokio::io::duplex(SOCKET_BUFFER_BYTES);
    let frame = long_frame();
    let expected = frame.bytes().len();
    // 1 Mbit/s.
    let reader = tokio::spawn(async move {
        let (mut received, mut piece) = (0, vec![0; 12_500]);
        while received < expected {
            tokio::time::sleep(Duration::from_millis(100)).await;
            received += far.read(&mut piece).await.expect("a duplex is read");
        }
        received
    });
    let begin = Instant::now();
    link::send_steadily(&mut near, &frame, PIECE_TIMEOUT)
        .await
        .expect("the link moves on");
    assert!(begin.elapsed() > 5 * PIECE_TIMEOUT, "the link is slow");
    assert_eq!(reader.await.expect("the reader ends"), expected);
}

/// Guards: a link that stands still amid a long frame is noticed within the time of one
/// piece.
#[tokio::test(start_paused = true)]
async fn a_link_that_stands_still_ends_the_frame() {
    let (mut near, mut far) = tokio::io::duplex(SOCKET_BUFFER_BYTES);
    let frame = long_frame();
    let reader = tokio::spawn(async move {
        let mut beginning = vec![0; BODY_BYTES / 2];
        far.read_exact(&mut beginning).await.expect("a half comes");
        // Held open, and read no more.
        std::future::pending::<()>().await;
    });
    let begin = Instant::now();
    match link::send_steadily(&mut near, &frame, PIECE_TIMEOUT).await {
        Err(LinkError::Io(error)) => assert_eq!(error.kind(), ErrorKind::TimedOut),
        other => panic!("the link stands still: {other:?}"),
    }
    assert_eq!(begin.elapsed(), PIECE_TIMEOUT);
    reader.abort();
}
