//! The listener for clients: HTTP/1.1 by hyper itself, since every request of every client
//! comes through it. What a client may send, and how long it may take, is bounded by limits
//! that are read anew for each connection, and so is how many connections there are. A response
//! with a [`ResponseDeadline`] ends by then, also while its client reads nothing.

mod connection;
mod open_connections;

use crate::http_server::{Handler, Request, Response};
use crate::now;
use crate::uploads::{BodyBudget, UploadBody, NARROW_RECEIVE_BUFFER_BYTES};
use connection::{
    ConnectionState, FlushOnDrop, ObservedBody, ObservedStream, Phase, ResponseTimer,
};
use dropshot::Body;
use hyper::body::{Body as _, Incoming};
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use open_connections::{Admission, OpenConnection, OpenConnections};
use parking_lot::Mutex;
use residency::RequestLimits;
use socket2::SockRef;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How often connections are checked for their time limits.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long to wait after a failed accept, for instance for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a connection that is to end may take for it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often the listener that shuts down looks whether its connections have ended.
const CLOSE_POLL: Duration = Duration::from_millis(5);
/// hyper takes no smaller buffer for a head.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// A client's connection as hyper serves it.
type ServerConnection<S> = hyper::server::conn::http1::Connection<TokioIo<ObservedStream>, S>;

/// An extension of a response: when it has to end. What is not sent by then is not sent; the
/// connection ends, and the response looks broken.
#[derive(Clone, Copy, Debug)]
pub struct ResponseDeadline {
    /// In milliseconds of this process's clock.
    pub deadline_ms: u64,
}

/// What the clients of a listener may do.
pub struct ListenerLimits {
    /// What one client may send, and how long it may take.
    pub requests: Box<dyn Fn() -> RequestLimits + Send + Sync>,
    /// Open connections, at the most. A further one takes the place of one that is of no use; if
    /// there is none, it is closed.
    pub max_connections: usize,
    /// What the bodies of all requests may hold.
    pub bodies: BodyBudget,
}

impl ListenerLimits {
    /// Open connections, where nothing else is said.
    pub const DEFAULT_CONNECTIONS: usize = 1024;
    /// What bodies may hold, where nothing else is said.
    pub const DEFAULT_BODY_BYTES: usize = 64 << 20;
}

impl Default for ListenerLimits {
    fn default() -> ListenerLimits {
        ListenerLimits {
            requests: Box::new(RequestLimits::default),
            max_connections: ListenerLimits::DEFAULT_CONNECTIONS,
            bodies: BodyBudget::new(ListenerLimits::DEFAULT_BODY_BYTES),
        }
    }
}

/// A listener for clients.
pub struct HttpListener {
    connections: Mutex<OpenConnections>,
    is_draining: AtomicBool,
    shut_down: Notify,
    requests: Box<dyn Fn() -> RequestLimits + Send + Sync>,
    bodies: BodyBudget,
}

/// Accepts connections from when `opened` is ready until the listener is shut down. When a
/// client disconnects, the handler's work is dropped where it stands.
pub fn serve(
    listener: TcpListener,
    limits: ListenerLimits,
    handler: Handler,
    opened: impl Future<Output = ()> + Send + 'static,
) -> Arc<HttpListener> {
    // Accepted connections begin with it.
    let receive_buffer = SockRef::from(&listener).set_recv_buffer_size(NARROW_RECEIVE_BUFFER_BYTES);
    if let Err(error) = receive_buffer {
        log::warn!("the receive buffer of a listener can't be set: {error}");
    }
    let http_listener = Arc::new(HttpListener {
        connections: Mutex::new(OpenConnections::new(limits.max_connections)),
        is_draining: AtomicBool::new(false),
        shut_down: Notify::new(),
        requests: limits.requests,
        bodies: limits.bodies,
    });
    let accepting = Arc::clone(&http_listener);
    tokio::spawn(async move {
        opened.await;
        accepting.accept(listener, handler).await;
    });
    tokio::spawn(end_overdue_connections(Arc::downgrade(&http_listener)));
    http_listener
}

impl HttpListener {
    /// From now on responses say that their connection closes.
    pub fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns when no connection is open.
    pub(crate) async fn wait_until_ended(&self) {
        while !self.connections.lock().is_empty() {
            tokio::time::sleep(CLOSE_POLL).await;
        }
    }

    /// Accepts no more connections, and ends each as soon as it is idle.
    pub(crate) fn stop_accepting(&self) {
        self.start_draining();
        self.shut_down.notify_one();
        for state in self.connections.lock().iter() {
            state.end_when_idle();
        }
    }

    /// Accepts no more connections, and ends each as soon as it is idle. Returns when all
    /// have ended, or when for `CLOSE_TIMEOUT` nothing more was sent of the responses that
    /// are complete. What is still answered goes on.
    pub async fn shut_down(&self) {
        self.stop_accepting();
        let started_ms = now();
        while self.is_closing(started_ms) {
            tokio::time::sleep(CLOSE_POLL).await;
        }
    }

    /// Whether connections may still end soon.
    fn is_closing(&self, started_ms: u64) -> bool {
        let connections = self.connections.lock();
        let last_sent_ms = connections
            .iter()
            .filter(|state| state.is_in(Phase::Flushing))
            .map(|state| state.since_ms())
            .max();
        let since_ms = started_ms.max(last_sent_ms.unwrap_or_default());
        !connections.is_empty() && now() < since_ms + CLOSE_TIMEOUT.as_millis() as u64
    }

    async fn accept(self: Arc<HttpListener>, listener: TcpListener, handler: Handler) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shut_down.notified() => return,
            };
            match accepted {
                Ok((stream, from)) => {
                    let Some(connection) = self.admit() else {
                        // Nothing of it was read: the client may send its request elsewhere.
                        continue;
                    };
                    let (listener, handler) = (Arc::clone(&self), Arc::clone(&handler));
                    tokio::spawn(async move {
                        listener
                            .serve_client(stream, from, connection, handler)
                            .await
                    });
                }
                Err(error) => {
                    log::warn!("accepting a client's connection failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// One more connection, if it may be served. Another one may be ended for it.
    fn admit(&self) -> Option<OpenConnection> {
        let mut connections = self.connections.lock();
        let is_admitted = match connections.make_room() {
            Admission::Admitted => true,
            Admission::InUse => self.bodies.end_stalled(),
            Admission::Refused => false,
        };
        is_admitted.then(|| connections.open())
    }

    async fn serve_client(
        self: Arc<HttpListener>,
        stream: TcpStream,
        from: SocketAddr,
        connection: OpenConnection,
        handler: Handler,
    ) {
        drop(stream.set_nodelay(true));
        let OpenConnection { number, state } = connection;
        if let Err(error) = self.serve_connection(stream, &state, handler).await {
            log::debug!(from = from.to_string(); "a client's connection ended: {error}");
        }
        self.connections.lock().remove(number);
    }

    async fn serve_connection(
        self: &Arc<HttpListener>,
        stream: TcpStream,
        state: &Arc<ConnectionState>,
        handler: Handler,
    ) -> hyper::Result<()> {
        let (reader, writer) = stream.into_split();
        let writer = Arc::new(writer);
        let socket = Arc::downgrade(&writer);
        let service = {
            let (listener, state) = (Arc::clone(self), Arc::clone(state));
            hyper::service::service_fn(move |request: hyper::Request<Incoming>| {
                state.enter(Phase::Handling);
                let flush_on_drop = FlushOnDrop(Arc::clone(&state));
                let responding = handler(listener.observe_body(request, &socket));
                let (listener, state) = (Arc::clone(&listener), Arc::clone(&state));
                async move {
                    let response = listener.close_if_draining(responding.await);
                    if let Some(limit) = response.extensions().get::<ResponseDeadline>() {
                        state.set_response_deadline(limit.deadline_ms);
                    }
                    Ok::<_, Infallible>(response.map(|body| ObservedBody {
                        body,
                        _flush_on_drop: flush_on_drop,
                    }))
                }
            })
        };
        let max_head_bytes = usize::try_from((self.requests)().max_head_bytes)
            .unwrap_or(usize::MAX)
            .max(MIN_HEAD_BYTES);
        let stream = TokioIo::new(ObservedStream {
            reader,
            writer: Arc::clone(&writer),
            state: Arc::clone(state),
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(max_head_bytes)
            .serve_connection(stream, service);
        let served = self.serve_until_ended(connection, state);
        let mut timer = ResponseTimer::default();
        tokio::select! {
            biased;
            ended = served => ended,
            () = poll_fn(|context| timer.poll_passed(state, context)) => {
                end_at_deadline(state, &writer);
                Ok(())
            }
            () = state.wait_until_abandoned(&writer) => {
                log::debug!("a client closed its connection while its request was handled");
                Ok(())
            }
        }
    }

    /// The request with a body that may be ended when its room is needed, if it has one.
    fn observe_body(
        &self,
        request: hyper::Request<Incoming>,
        socket: &Weak<OwnedWriteHalf>,
    ) -> Request {
        let (mut head, body) = request.into_parts();
        if body.is_end_stream() {
            return Request::from_parts(head, Body::wrap(body));
        }
        let body = UploadBody::new(body, &self.bodies, Weak::clone(socket));
        head.extensions.insert(body.upload());
        Request::from_parts(head, Body::wrap(body))
    }

    /// Drives a connection until it ends by itself, or is to end and has nothing more to
    /// send.
    async fn serve_until_ended<S>(
        &self,
        connection: ServerConnection<S>,
        state: &ConnectionState,
    ) -> hyper::Result<()>
    where
        S: HttpService<Incoming, ResBody = ObservedBody, Error = Infallible>,
    {
        let mut connection = pin!(connection);
        tokio::select! {
            // A request that is already here is read before the connection is to end.
            biased;
            ended = connection.as_mut() => return ended,
            () = state.end.notified() => {}
        }
        if state.makes_room() && !state.has_request() {
            return Ok(());
        }
        connection.as_mut().graceful_shutdown();
        loop {
            let closing = tokio::time::timeout(CLOSE_TIMEOUT, connection.as_mut());
            match closing.await {
                Ok(ended) => return ended,
                // A request came in as the connection was to end: it is answered first.
                Err(_) if state.is_in(Phase::Handling) => {}
                Err(_) if state.is_in(Phase::Flushing) && !self.is_overdue(state) => {}
                Err(_) => return Ok(()),
            }
        }
    }

    /// While the listener is draining, a response says that its connection closes.
    fn close_if_draining(&self, mut response: Response) -> Response {
        if self.is_draining.load(Ordering::Relaxed) {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }

    fn is_overdue(&self, state: &ConnectionState) -> bool {
        let limits = (self.requests)();
        let limit_ms = if state.is_in(Phase::Handling) {
            return false;
        } else if state.is_in(Phase::ReadingHead) {
            limits.head_timeout_ms
        } else {
            limits.idle_timeout_ms
        };
        now() > state.since_ms() + limit_ms
    }
}

/// Ends connections that take too long over a head, are idle for too long, or whose clients don't
/// read the end of a response; for as long as there is the listener.
async fn end_overdue_connections(listener: Weak<HttpListener>) {
    loop {
        tokio::time::sleep(TIMEOUT_CHECK_INTERVAL).await;
        let Some(listener) = listener.upgrade() else {
            return;
        };
        for state in listener.connections.lock().iter() {
            if listener.is_overdue(state) {
                state.end.notify_one();
            }
        }
    }
}

/// Sees that the client learns of the end of its response, which is dropped with its connection.
/// Where bytes wait for the client, a close would come behind them, as late as it reads them: the
/// connection is reset instead.
fn end_at_deadline(state: &ConnectionState, writer: &OwnedWriteHalf) {
    log::debug!("a response was ended at its deadline");
    if !state.is_write_blocked() {
        return;
    }
    if let Err(error) = writer.as_ref().set_zero_linger() {
        log::debug!("a connection can't be reset: {error}");
    }
}
