//! The listener for clients: connections that are to end while a request comes in or a response
//! goes out on them, and responses that reach their deadline.

use bytes::Bytes;
use dropshot::Body;
use hyper::body::Frame;
use std::convert::Infallible;
use std::future::ready;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use transport::http_listener::{self, ListenerLimits, ResponseDeadline};
use transport::http_server::{self, Handler, Request};

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
    let limits = ListenerLimits::default();
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
    let limits = ListenerLimits::default();
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

/// How long a response has that ends at its deadline, in virtual time.
const RESPONSE_TIME: Duration = Duration::from_secs(2);

/// Far beyond it, in virtual time, too.
const PATIENCE: Duration = Duration::from_secs(60);

/// A response with a deadline.
fn response_with_deadline(body: Body) -> http_server::Response {
    let mut response = hyper::Response::new(body);
    let deadline_ms = transport::now() + RESPONSE_TIME.as_millis() as u64;
    response
        .extensions_mut()
        .insert(ResponseDeadline { deadline_ms });
    response
}

/// A body that goes on until it is dropped, one piece after each pause, and whose end can be
/// waited for.
struct EndlessBody {
    pieces: mpsc::Receiver<Bytes>,
}

impl EndlessBody {
    fn start(piece_bytes: usize, pause: Duration) -> (Body, oneshot::Receiver<()>) {
        let (sender, pieces) = mpsc::channel(1);
        let (dropped, is_dropped) = oneshot::channel();
        tokio::spawn(async move {
            while sender.send(vec![b'x'; piece_bytes].into()).await.is_ok() {
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = sender.closed() => break,
                }
            }
            dropped.send(())
        });
        (Body::wrap(EndlessBody { pieces }), is_dropped)
    }
}

impl hyper::body::Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.poll_recv(context);
        piece.map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// Responds once with this response.
fn respond_once(response: http_server::Response) -> Handler {
    let response = Mutex::new(Some(response));
    Arc::new(move |_: Request| {
        let response = response.lock().expect("no panic").take();
        Box::pin(async { response.expect("one request") })
    })
}

/// A client that has sent its request to a listener with this handler.
async fn asking_client(handler: Handler) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let limits = ListenerLimits::default();
    http_listener::serve(listener, limits, handler, ready(()));
    let mut client = TcpStream::connect(address).await.expect("it listens");
    client.write_all(REQUEST).await.expect("it is open");
    client
}

/// Guards: a response that goes on without an end, slowly or at once, is ended at its deadline
/// and has no last chunk.
#[tokio::test(start_paused = true)]
async fn a_response_without_an_end_is_ended_at_its_deadline() {
    for pause in [Duration::from_secs(3_600), Duration::from_millis(100)] {
        let (body, is_dropped) = EndlessBody::start(10, pause);
        let mut client = asking_client(respond_once(response_with_deadline(body))).await;
        let dropped = tokio::time::timeout(PATIENCE, is_dropped).await;
        assert!(dropped.is_ok(), "pause {pause:?}: it goes on");
        let mut answer = Vec::new();
        drop(client.read_to_end(&mut answer).await);
        assert!(!answer.ends_with(b"0\r\n\r\n"), "pause {pause:?}");
    }
}

/// Guards: the same where the client reads nothing, so that hyper doesn't ask for the body's
/// next piece any more.
#[tokio::test(start_paused = true)]
async fn a_response_that_its_client_does_not_read_is_ended_at_its_deadline() {
    let (body, is_dropped) = EndlessBody::start(1 << 20, Duration::ZERO);
    let _client = asking_client(respond_once(response_with_deadline(body))).await;
    let dropped = tokio::time::timeout(PATIENCE, is_dropped).await;
    assert!(dropped.is_ok(), "it goes on");
}

/// Guards: a response that waits in the buffers for its client is ended at its deadline, too.
#[tokio::test(start_paused = true)]
async fn a_response_that_is_still_going_out_is_ended_at_its_deadline() {
    let body = Body::with_content(vec![b'x'; LARGE_ANSWER_BYTES]);
    let client = asking_client(respond_once(response_with_deadline(body))).await;
    client.readable().await.expect("the answer begins");
    tokio::time::sleep(2 * RESPONSE_TIME).await;
    let mut answer = Vec::new();
    let mut reader = client.take(LARGE_ANSWER_BYTES as u64);
    drop(reader.read_to_end(&mut answer).await);
    assert!(
        answer.len() < LARGE_ANSWER_BYTES,
        "{} bytes after the deadline",
        answer.len()
    );
}

/// Guards: the deadline of a response that is complete ends neither the idle connection nor
/// the next request on it.
#[tokio::test(start_paused = true)]
async fn the_deadline_of_a_complete_response_does_not_end_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handler: Handler = Arc::new(|_: Request| {
        Box::pin(async {
            tokio::time::sleep(ANSWER_DELAY).await;
            response_with_deadline(Body::with_content(ANSWER))
        })
    });
    let limits = ListenerLimits::default();
    let _server = http_listener::serve(listener, limits, handler, ready(()));
    let mut client = TcpStream::connect(address).await.expect("it listens");
    for _ in 0..3 {
        ask(&mut client).await;
        tokio::time::sleep(RESPONSE_TIME / 2).await;
    }
}
