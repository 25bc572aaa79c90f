//! Callers' doors: HTTP/1.1 by hyper itself, since every job of every caller comes
//! through them. What a caller may send, and how long it may take, is bounded by
//! limits that are read anew for each connection.

use crate::http_server::{Handler, Request, Response};
use crate::now;
use dropshot::Body;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use residency::RequestLimits;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How often connections are looked through.
const LOOK_MS: u64 = 500;

/// Where a connection stands. Invariant: `since` is when it came there.
#[derive(Default)]
struct Stage {
    /// 0: idle between two jobs; 1: a head is coming in; 2: a job is under way.
    at: AtomicU64,
    since: AtomicU64,
    end: Notify,
}

const IDLE: u64 = 0;
const HEAD: u64 = 1;
const JOB: u64 = 2;

impl Stage {
    fn go(&self, at: u64) {
        self.at.store(at, Ordering::Relaxed);
        self.since.store(now(), Ordering::Relaxed);
    }
}

pub struct HttpListener {
    stages: Mutex<HashMap<u64, Arc<Stage>>>,
    next: AtomicU64,
    /// Answers say that the connection closes after them.
    is_leaving: AtomicBool,
    shut: Notify,
    limits: Box<dyn Fn() -> RequestLimits + Send + Sync>,
}

/// A stream that notes when the first byte of a head comes in.
struct Watched {
    stream: TcpStream,
    stage: Arc<Stage>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.stage.at.load(Ordering::Relaxed) == IDLE {
            self.stage.go(HEAD);
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Says, when the last of an answer is out or given up, that the job is over.
struct Over(Arc<Stage>);

impl Drop for Over {
    fn drop(&mut self) {
        self.0.go(IDLE);
    }
}

/// An answer's body on its way out.
struct Going {
    body: Body,
    _over: Over,
}

impl hyper::body::Body for Going {
    type Data = <Body as hyper::body::Body>::Data;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves a listener from when it is `opened` until it is told to shut. When a
/// caller leaves, the handler's work is dropped where it stands.
pub fn serve(
    listener: TcpListener,
    limits: Box<dyn Fn() -> RequestLimits + Send + Sync>,
    handler: Handler,
    opened: impl Future<Output = ()> + Send + 'static,
) -> Arc<HttpListener> {
    let doors = Arc::new(HttpListener {
        stages: Mutex::default(),
        next: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        shut: Notify::new(),
        limits,
    });
    let accepting = Arc::clone(&doors);
    tokio::spawn(async move {
        opened.await;
        accepting.accept(listener, handler).await;
    });
    tokio::spawn(Arc::clone(&doors).look_through());
    doors
}

impl HttpListener {
    /// From now on answers say that their connection closes.
    pub fn start_draining(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Takes no more connections, and ends those that lie idle.
    pub fn shut_down(&self) {
        self.start_draining();
        self.shut.notify_one();
        let is_idle = |stage: &&Arc<Stage>| stage.at.load(Ordering::Relaxed) == IDLE;
        self.stages
            .lock()
            .values()
            .filter(is_idle)
            .for_each(|stage| stage.end.notify_one());
    }

    async fn accept(self: Arc<HttpListener>, listener: TcpListener, handler: Handler) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shut.notified() => return,
            };
            match accepted {
                Ok((stream, from)) => {
                    let (doors, handler) = (Arc::clone(&self), Arc::clone(&handler));
                    tokio::spawn(async move { doors.carry(stream, from, handler).await });
                }
                Err(error) => {
                    log::warn!("accepting failed: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    async fn carry(self: Arc<HttpListener>, stream: TcpStream, from: SocketAddr, handler: Handler) {
        drop(stream.set_nodelay(true));
        let stage = Arc::new(Stage::default());
        stage.go(IDLE);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.stages.lock().insert(number, Arc::clone(&stage));
        let service = {
            let (doors, stage) = (Arc::clone(&self), Arc::clone(&stage));
            hyper::service::service_fn(move |request: hyper::Request<Incoming>| {
                stage.go(JOB);
                let over = Over(Arc::clone(&stage));
                let answering = handler(request.map(Body::wrap) as Request);
                let doors = Arc::clone(&doors);
                async move {
                    let mut response: Response = answering.await;
                    if doors.is_leaving.load(Ordering::Relaxed) {
                        let close = http::HeaderValue::from_static("close");
                        response.headers_mut().insert("connection", close);
                    }
                    let response = response.map(|body| Going { body, _over: over });
                    Ok::<_, std::convert::Infallible>(response)
                }
            })
        };
        let head = usize::try_from((self.limits)().max_head_bytes)
            .unwrap_or(usize::MAX)
            .max(8 << 10);
        let io = TokioIo::new(Watched {
            stream,
            stage: Arc::clone(&stage),
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(head)
            .serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            () = stage.end.notified() => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                let last = tokio::time::timeout(Duration::from_millis(100), connection);
                last.await.unwrap_or(Ok(()))
            }
        };
        if let Err(error) = ended {
            log::debug!("a connection from {from} ended: {error}");
        }
        self.stages.lock().remove(&number);
    }

    /// Ends connections that took too long over a head, or lay idle too long.
    async fn look_through(self: Arc<HttpListener>) {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            let (limits, at) = ((self.limits)(), now());
            for stage in self.stages.lock().values() {
                let most = match stage.at.load(Ordering::Relaxed) {
                    IDLE => limits.idle_timeout_ms,
                    HEAD => limits.head_timeout_ms,
                    _ => continue,
                };
                if at > stage.since.load(Ordering::Relaxed) + most {
                    stage.end.notify_one();
                }
            }
        }
    }
}
