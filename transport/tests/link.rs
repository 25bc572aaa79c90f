//! Frames as they are read off a connection that sends anything.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngSeed};
use protocol::{ConnectionKind, Frame};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use transport::link;

const PATIENCE: Duration = Duration::from_secs(30);

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Reads frames off these bytes until they end; gives the frames, and whether the end
/// lay between two of them.
fn heard(bytes: &[u8], piece: usize, cap: usize) -> (Vec<Frame>, Result<(), String>) {
    runtime().block_on(async {
        let (mut near, mut far) = tokio::io::duplex(piece.max(1));
        let sending = async {
            // The reader may end first.
            drop(far.write_all(bytes).await);
            drop(far);
        };
        let reading = async {
            let mut frames = Vec::new();
            let end = loop {
                match link::receive(&mut near, cap).await {
                    Ok(Some(frame)) => frames.push(frame),
                    Ok(None) => break Ok(()),
                    Err(error) => break Err(error.to_string()),
                }
            };
            drop(near);
            (frames, end)
        };
        tokio::join!(sending, reading).1
    })
}

fn sample() -> Vec<Frame> {
    vec![
        Frame::Hello {
            version: protocol::VERSION,
            kind: ConnectionKind::Forwarding,
            name: "edge-1".into(),
        },
        Frame::Ready,
        Frame::RequestBody(vec![7; 900]),
        Frame::RequestEnd,
        Frame::CacheLookup {
            request_id: 5,
            key: "ana/writer".into(),
            epoch: 3,
        },
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..Config::default()
    })]

    /// However the bytes are cut into pieces, the frames are the same; what is cut off
    /// within a frame is an error, and what was whole before it counts.
    #[test]
    fn whole_frames_and_then_an_end(piece in 1usize..200, cut in any::<Index>()) {
        let frames = sample();
        let bytes: Vec<u8> = frames.iter().flat_map(protocol::encode).collect();
        prop_assert_eq!(heard(&bytes, piece, protocol::MAX_FRAME_BYTES), (frames.clone(), Ok(())));
        let cut = cut.index(bytes.len());
        let (some, end) = heard(&bytes[..cut], piece, protocol::MAX_FRAME_BYTES);
        prop_assert!(frames.starts_with(&some));
        let whole: usize = some.iter().map(|frame| protocol::encode(frame).len()).sum();
        // Within the four bytes of a length nothing of a frame has come.
        prop_assert_eq!(end.is_ok(), cut - whole < 4, "{:?}", end);
    }

    #[test]
    fn any_bytes_end_the_connection(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (_, end) = heard(&bytes, 64, protocol::MAX_HELLO_BYTES);
        prop_assert!(end.is_ok() || end.is_err_and(|text| !text.is_empty()));
    }

    /// A length beyond the cap is refused before a byte of the frame is waited for.
    #[test]
    fn lengths_beyond_the_cap_are_refused(length in 4_097u32.., rest in 0usize..9) {
        let bytes = [&length.to_be_bytes()[..], &vec![1; rest]].concat();
        let (frames, end) = heard(&bytes, 64, protocol::MAX_HELLO_BYTES);
        prop_assert!(frames.is_empty());
        prop_assert!(end.expect_err("too long").contains("over the cap"));
    }
}

/// Guards: another epoch is refused in words, and anything else than a hello ends the
/// connection.
#[test]
fn a_connection_begins_with_a_hello_of_this_epoch() {
    runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let hello = |epoch| Frame::Hello {
            version: epoch,
            kind: ConnectionKind::RouterSession,
            name: "edge-1".into(),
        };
        let newer = protocol::encode(&hello(protocol::VERSION + 1));
        let cases: Vec<(Vec<u8>, Option<&str>)> = vec![
            (protocol::encode(&hello(protocol::VERSION)), None),
            (newer.clone(), Some("protocol version")),
            (
                protocol::encode(&hello(protocol::VERSION - 1)),
                Some("protocol version"),
            ),
            (protocol::encode(&Frame::Ready), Some("no hello")),
            (newer[..newer.len() - 1].to_vec(), Some("within a frame")),
            (Vec::new(), Some("closed before a hello")),
            (vec![255; 40], Some("over the cap")),
            (vec![0, 0, 0, 2, 255, 255], Some("unreadable")),
        ];
        for (bytes, complaint) in cases {
            let mut near = TcpStream::connect(address).await.expect("it listens");
            let (mut far, _) = listener.accept().await.expect("accepted");
            near.write_all(&bytes).await.expect("sent");
            near.shutdown().await.expect("shut");
            let greeted = link::accept_handshake(&mut far).await;
            drop(far);
            let told = tokio::time::timeout(PATIENCE, link::receive(&mut near, 4_096)).await;
            let told = told.expect("an end");
            match complaint {
                None => assert_eq!(
                    greeted.expect("greeted"),
                    (ConnectionKind::RouterSession, "edge-1".into())
                ),
                Some(complaint) => {
                    let text = greeted.expect_err(complaint).to_string();
                    assert!(text.contains(complaint), "{text}");
                    let is_refused = matches!(told, Ok(Some(Frame::Refused { .. })));
                    assert_eq!(is_refused, complaint == "protocol version", "{told:?}");
                }
            }
        }
    });
}

/// Guards: an answer without end is given up for its length.
#[test]
fn an_endless_answer_is_given_up() {
    runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let answering = async {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            drop(stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await);
            let piece = vec![b' '; 1 << 16];
            let mut sent = 0usize;
            while sent < transport::http_client::MAX_RESPONSE_BYTES * 4
                && stream.write_all(&piece).await.is_ok()
            {
                sent += piece.len();
            }
            sent
        };
        let asking =
            transport::http_client::send_request(address, "GET", "/", &[], Vec::new(), PATIENCE);
        let (sent, answer) = tokio::join!(answering, asking);
        assert!(answer.is_err(), "it read {sent} bytes");
        assert!(
            sent < transport::http_client::MAX_RESPONSE_BYTES * 2,
            "{sent} bytes were taken"
        );
    });
}
