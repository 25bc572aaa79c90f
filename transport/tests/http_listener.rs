//! The listener for clients: a connection that is to end while a request comes in on it.

use dropshot::Body;
use residency::RequestLimits;
use std::future::ready;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use transport::http_listener;
use transport::http_server::{Handler, Request};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const ANSWER: &[u8] = b"a whole answer";
/// Enough that the order in which a task sees two events doesn't matter.
const CONNECTIONS: usize = 24;
/// How long an answer takes, in virtual time; longer than a connection may take to close.
const ANSWER_DELAY: Duration = Duration::from_secs(3);

/// Answers after a while, and counts the requests that it was handed.
fn slow_handler(handed: &Arc<AtomicUsize>) -> Handler {
    let handed = Arc::clone(handed);
    Arc::new(move |_: Request| {
        handed.fetch_add(1, Ordering::SeqCst);
        Box::pin(async {
            tokio::time::sleep(ANSWER_DELAY).await;
            hyper::Response::new(Body::with_content(ANSWER))
        })
    })
}

/// Two sockets that are connected with each other.
async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (here, there) = tokio::join!(TcpStream::connect(address), listener.accept());
    (here.expect("connected"), there.expect("accepted").0)
}

/// One request and its answer, after which the connection is idle.
async fn ask(client: &mut TcpStream) {
    client.write_all(REQUEST).await.expect("it is open");
    let mut answer = Vec::new();
    while !answer.ends_with(ANSWER) {
        assert!(client.read_buf(&mut answer).await.expect("an answer") > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_end_of_its_connection_is_answered_if_it_is_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handed = Arc::new(AtomicUsize::new(0));
    let limits = Box::new(RequestLimits::default);
    let server = http_listener::serve(listener, limits, slow_handler(&handed), ready(()));
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut client = TcpStream::connect(address).await.expect("it listens");
        ask(&mut client).await;
        clients.push(client);
    }
    handed.store(0, Ordering::SeqCst);

    // The requests arrive right behind what wakes this task, which then ends the connections:
    // each has both its request and its end before it, and nothing of either seen yet.
    let (wake, woken) = connected_pair().await;
    woken.writable().await.expect("it is open");
    for client in &clients {
        let sent = client.try_write(REQUEST).expect("there is room");
        assert_eq!(sent, REQUEST.len());
    }
    wake.try_write(b"!").expect("there is room");
    // Blocks this thread, which is the server's too: it sees nothing yet.
    let woken = woken.into_std().expect("open");
    woken.set_nonblocking(false).expect("open");
    woken.peek(&mut [0]).expect("a byte");
    woken.set_nonblocking(true).expect("open");
    let woken = TcpStream::from_std(woken).expect("open");
    woken.readable().await.expect("it is open");
    server.shut_down().await;

    let mut answered = 0;
    for mut client in clients {
        let mut answer = Vec::new();
        // Where the request was not taken, the connection may have been reset.
        drop(client.read_to_end(&mut answer).await);
        answered += usize::from(answer.ends_with(ANSWER));
    }
    let handed = handed.load(Ordering::SeqCst);
    assert_eq!(answered, handed, "of the requests that were taken");
    assert_eq!(handed, CONNECTIONS, "requests that crossed the end");
}

/// More than the kernel's buffers of both sockets hold.
const LARGE_ANSWER_BYTES: usize = 32 << 20;

/// Guards: a connection whose answer is still going out is not ended as an idle one. The
/// answer's body has been handed to hyper by then; its last byte has not been sent.
#[tokio::test]
async fn an_answer_that_is_still_going_out_is_not_cut_by_a_shutdown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handler: Handler = Arc::new(|_: Request| {
        Box::pin(async { hyper::Response::new(Body::with_content(vec![b'x'; LARGE_ANSWER_BYTES])) })
    });
    let limits = Box::new(RequestLimits::default);
    let server = http_listener::serve(listener, limits, handler, ready(()));
    let mut client = TcpStream::connect(address).await.expect("it listens");
    client.write_all(REQUEST).await.expect("it is open");
    client.readable().await.expect("the answer begins");
    server.shut_down().await;
    let mut answer = Vec::new();
    let ended = client.read_to_end(&mut answer).await;
    assert!(
        answer.len() > LARGE_ANSWER_BYTES,
        "{} of {LARGE_ANSWER_BYTES} bytes: {ended:?}",
        answer.len()
    );
}
