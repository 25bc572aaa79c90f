//! Bodies whose remainder is read ahead while their requests are looked up.

use bytes::Bytes;
use dispatch::{BodyStream, ChannelBody, ReadAheadBudget, RequestBody};
use http_body_util::BodyExt;
use std::future::pending;
use tokio::sync::mpsc;

type Chunks = mpsc::Sender<anyhow::Result<Bytes>>;

const CHUNK: [u8; 1000] = [7; 1000];

/// A body whose remainder comes by a channel, and the channel.
fn streamed_body() -> (RequestBody, Chunks) {
    let (sender, chunks) = mpsc::channel(16);
    let remainder: BodyStream = ChannelBody(chunks).boxed_unsync();
    let body = RequestBody::new(Bytes::from_static(b"head"), Some(remainder));
    (body, sender)
}

async fn send(chunks: &Chunks, bytes: &'static [u8]) {
    let chunk = Ok(Bytes::from_static(bytes));
    chunks.send(chunk).await.expect("the body is there");
}

fn buffered(body: &RequestBody) -> Vec<u8> {
    body.buffered().concat()
}

/// Lets the read-ahead take everything that has come by now.
async fn read_what_came(body: &mut RequestBody, budget: &ReadAheadBudget) {
    let yields = async {
        for _ in 0..16 {
            tokio::task::yield_now().await;
        }
    };
    body.read_ahead_during(budget, yields)
        .await
        .expect("the body can be read");
}

#[tokio::test]
async fn what_is_read_ahead_follows_what_was_buffered() {
    let (mut body, chunks) = streamed_body();
    let budget = ReadAheadBudget::new(1 << 20);
    send(&chunks, b"-one").await;
    read_what_came(&mut body, &budget).await;
    send(&chunks, b"-two").await;
    drop(chunks);
    assert!(body.has_remainder());
    read_what_came(&mut body, &budget).await;
    assert_eq!(buffered(&body), b"head-one-two");
    assert!(!body.has_remainder(), "all of it was read");
    assert!(body.take_remainder().is_none());
    assert!(body.is_intact(), "it can be sent again");
}

#[tokio::test]
async fn no_more_is_read_ahead_than_the_budget_of_all_bodies() {
    let budget = ReadAheadBudget::new(2500);
    let (mut first, first_chunks) = streamed_body();
    let (mut second, second_chunks) = streamed_body();
    for _ in 0..5 {
        send(&first_chunks, &CHUNK).await;
        send(&second_chunks, &CHUNK).await;
    }
    read_what_came(&mut first, &budget).await;
    assert_eq!(buffered(&first).len(), 3004, "the last piece passes it");
    read_what_came(&mut second, &budget).await;
    assert_eq!(buffered(&second), b"head");
    drop(first);
    read_what_came(&mut second, &budget).await;
    assert_eq!(
        buffered(&second).len(),
        3004,
        "the first gave its part back"
    );
    assert!(second.has_remainder());
}

#[tokio::test]
async fn no_more_than_one_mebibyte_is_read_ahead_of_one_body() {
    static PIECE: [u8; 1 << 18] = [0; 1 << 18];
    let budget = ReadAheadBudget::new(1 << 30);
    let (mut body, chunks) = streamed_body();
    for _ in 0..8 {
        send(&chunks, &PIECE).await;
    }
    read_what_came(&mut body, &budget).await;
    assert_eq!(buffered(&body).len(), 4 + (1 << 20));
    assert!(body.take_remainder().is_some());
}

/// Guards: a client that leaves within its body ends the work for its request at once.
#[tokio::test]
async fn work_ends_when_the_body_breaks_off() {
    let (mut body, chunks) = streamed_body();
    let budget = ReadAheadBudget::new(1 << 20);
    send(&chunks, b"-one").await;
    let broken = Err(anyhow::anyhow!("the client is gone"));
    chunks.send(broken).await.expect("the body is there");
    let ended = body.read_ahead_during(&budget, pending::<()>()).await;
    let error = ended.expect_err("the work never ends by itself");
    assert_eq!(
        error.to_string(),
        "the rest of the body can't be read: the client is gone"
    );
}

#[tokio::test]
async fn work_that_is_done_takes_no_part_of_the_body() {
    let (mut body, chunks) = streamed_body();
    send(&chunks, b"-one").await;
    let budget = ReadAheadBudget::new(1 << 20);
    let done = body.read_ahead_during(&budget, async { 3 }).await;
    assert_eq!(done.expect("the work is done"), 3);
    assert_eq!(buffered(&body), b"head");
}

/// Guards against pieces that take many times the memory of the bytes in them.
#[tokio::test]
async fn very_small_pieces_are_gathered() {
    let (mut body, chunks) = streamed_body();
    let budget = ReadAheadBudget::new(1 << 20);
    let all: Vec<u8> = (0..5_000).map(|at| b'a' + (at % 26) as u8).collect();
    for some in all.chunks(10) {
        for byte in some {
            let chunk = Ok(Bytes::copy_from_slice(&[*byte]));
            chunks.send(chunk).await.expect("the body is there");
        }
        read_what_came(&mut body, &budget).await;
        assert!(body.has_remainder());
    }
    assert_eq!(buffered(&body), [b"head", &all[..]].concat());
    let pieces = body.buffered().len();
    assert!(pieces <= 1 + 5_000 / 10, "{pieces} pieces");
}

/// Guards against the sent part of a body that is kept although it can't be sent again.
#[tokio::test]
async fn nothing_is_kept_of_a_body_whose_remainder_was_taken() {
    let (mut body, chunks) = streamed_body();
    let budget = ReadAheadBudget::new(1 << 20);
    send(&chunks, b"-one").await;
    read_what_came(&mut body, &budget).await;
    let outgoing = body.take_outgoing();
    assert!(body.buffered().is_empty());
    assert!(!body.is_intact());
    drop(chunks);
    let sent = outgoing.collect().await.expect("it ends").to_bytes();
    assert_eq!(sent, "head-one");
}
