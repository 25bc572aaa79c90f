//! A listener whose clients take more connections, or more memory for bodies, than there is.

use dropshot::Body;
use placement::SMALL_BODY_BYTES;
use residency::RequestLimits;
use std::future::{pending, ready};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use transport::http_listener::{self, HttpListener, ListenerLimits};
use transport::http_server::{Handler, Request};
use transport::uploads::{receive_body, BodyBudget, ReceiveError};

const MAX_CONNECTIONS: usize = 8;
const BUDGET_BYTES: usize = 1 << 20;
/// Two of these, and not three, have room beside what is kept for small bodies.
const BODY_BYTES: usize = 200_000;
const STALLED: usize = 2;
const LONGEST_BODY_BYTES: usize = 1 << 30;

/// Answers once a body has come in whole, with its length.
fn receiving() -> Handler {
    Arc::new(|request: Request| {
        Box::pin(async {
            let (status, text) = match receive_body(request, LONGEST_BODY_BYTES).await {
                Ok(body) => (200, body.bytes.len().to_string()),
                Err(ReceiveError::TooSlow) => (408, String::new()),
                Err(error) => (503, error.to_string()),
            };
            let mut response = hyper::Response::new(Body::with_content(text));
            *response.status_mut() = status.try_into().expect("a status");
            response
        })
    })
}

/// Answers nothing, and counts the requests that it has.
fn silent(handled: &Arc<Semaphore>) -> Handler {
    let handled = Arc::clone(handled);
    Arc::new(move |_: Request| {
        handled.add_permits(1);
        Box::pin(pending())
    })
}

/// Where it listens, and what its bodies share.
async fn listen(handler: Handler) -> (SocketAddr, BodyBudget, Arc<HttpListener>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let bodies = BodyBudget::new(BUDGET_BYTES);
    let limits = ListenerLimits {
        requests: Box::new(RequestLimits::default),
        max_connections: MAX_CONNECTIONS,
        bodies: bodies.clone(),
    };
    let serving = http_listener::serve(listener, limits, handler, ready(()));
    (address, bodies, serving)
}

async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("it listens");
    client.write_all(bytes).await.expect("it is open");
    client
}

/// A request of which so many bytes of the body are there.
fn upload(sent_bytes: usize) -> Vec<u8> {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; sent_bytes]].concat()
}

/// The first bytes of an answer; none where the connection was closed without one.
async fn answer(client: &mut TcpStream) -> String {
    let mut bytes = [0; 12];
    match client.read_exact(&mut bytes).await {
        Ok(_) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(_) => String::new(),
    }
}

/// Guards against bodies that stand still and keep all others out.
#[tokio::test]
async fn a_body_that_stands_still_makes_room_for_another() {
    let (address, bodies, _serving) = listen(receiving()).await;
    let mut stalled = Vec::new();
    for _ in 0..STALLED {
        stalled.push(send(address, &upload(BODY_BYTES - 1)).await);
    }
    while bodies.held_bytes() < STALLED * (BODY_BYTES + SMALL_BODY_BYTES) {
        tokio::task::yield_now().await;
    }
    let mut whole = send(address, &upload(BODY_BYTES)).await;
    assert_eq!(answer(&mut whole).await, "HTTP/1.1 200");
    for client in &mut stalled {
        assert_eq!(
            answer(client).await,
            "HTTP/1.1 408",
            "it promises that nothing ran"
        );
    }
}

/// Guards against a limit that a client meets although nobody else needs its room.
#[tokio::test(start_paused = true)]
async fn a_body_that_stands_still_in_calm_is_waited_for() {
    let (address, _bodies, _serving) = listen(receiving()).await;
    let mut slow = send(address, &upload(BODY_BYTES - 1)).await;
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    slow.write_all(b"x").await.expect("it is open");
    assert_eq!(answer(&mut slow).await, "HTTP/1.1 200");
}

/// Guards against connections without a request that keep all others out.
#[tokio::test]
async fn a_connection_of_no_use_makes_room_for_another() {
    for of_no_use in [&b""[..], b"POST / HTTP/1.1\r\nhost"] {
        let (address, _bodies, _serving) = listen(receiving()).await;
        let mut crowd = Vec::new();
        for _ in 0..3 * MAX_CONNECTIONS {
            crowd.push(send(address, of_no_use).await);
            let mut whole = send(address, &upload(BODY_BYTES)).await;
            assert_eq!(answer(&mut whole).await, "HTTP/1.1 200");
        }
        assert_eq!(answer(&mut crowd[0]).await, "", "the oldest is closed");
    }
}

/// Guards against requests that are cut off so that others get in.
#[tokio::test]
async fn no_connection_ends_whose_request_is_handled() {
    let handled = Arc::new(Semaphore::new(0));
    let (address, _bodies, _serving) = listen(silent(&handled)).await;
    let mut busy = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        busy.push(send(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await);
    }
    let all = handled.acquire_many(MAX_CONNECTIONS as u32).await;
    all.expect("open").forget();
    for _ in 0..MAX_CONNECTIONS {
        let mut refused = send(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert_eq!(answer(&mut refused).await, "", "it is closed unread");
    }
    for client in &busy {
        let mut byte = [0];
        let read = client.try_read(&mut byte).map_err(|error| error.kind());
        assert_eq!(read, Err(std::io::ErrorKind::WouldBlock));
    }
    assert_eq!(handled.available_permits(), 0, "nothing more was handled");
}
