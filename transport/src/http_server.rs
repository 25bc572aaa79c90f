//! HTTP server of own interfaces: operators' port, peers' pages, simulated engines.

use crate::http_listener::{self, HttpListener, ListenerLimits};
use crate::uploads::{self, BodyBudget, ReceiveError};
pub use dropshot::Body;
use residency::RequestLimits;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::future::{pending, ready, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use tokio::net::TcpListener;

/// A request as handlers get it.
pub type Request = hyper::Request<Body>;
/// A response as handlers give it.
pub type Response = hyper::Response<Body>;
/// A handler's work on one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;
/// Responds to every request of a server.
pub type Handler = Arc<dyn Fn(Request) -> ResponseFuture + Send + Sync>;

/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: u64 = 16 << 10;

/// The server can't listen on this address.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {cause}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// What the system says.
    pub cause: std::io::Error,
}

/// A server that accepts connections until it is closed or dropped.
pub struct HttpServer(Arc<HttpListener>);

impl HttpServer {
    /// Accepts no more connections, and ends each as soon as it is idle. Returns when all have
    /// ended: requests are answered, for as long as the caller waits for that.
    pub async fn close(self) {
        self.0.stop_accepting();
        self.0.wait_until_ended().await;
    }

    /// Serves for as long as this is awaited.
    pub async fn serve_forever(self) {
        pending().await
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.0.stop_accepting();
    }
}

/// Serves every path and method with one handler, on `max_connections` connections at the most,
/// whose bodies share `bodies`. When a client disconnects, the handler's work is dropped where it
/// stands.
///
/// # Errors
/// [`ListenError`]; most often the address is in use.
pub fn serve(
    address: SocketAddr,
    max_connections: usize,
    bodies: &BodyBudget,
    handler: Handler,
) -> Result<HttpServer, ListenError> {
    let listener = listen(address).map_err(|cause| ListenError { address, cause })?;
    let requests = RequestLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        ..RequestLimits::default()
    };
    let limits = ListenerLimits {
        requests: Box::new(move || requests),
        max_connections,
        bodies: bodies.clone(),
    };
    let listener = http_listener::serve(listener, limits, handler, ready(()));
    Ok(HttpServer(listener))
}

/// The same with the limits of a program that has no others.
///
/// # Errors
/// As of [`serve`].
pub fn serve_by_default(address: SocketAddr, handler: Handler) -> Result<HttpServer, ListenError> {
    let bodies = BodyBudget::new(ListenerLimits::DEFAULT_BODY_BYTES);
    serve(
        address,
        ListenerLimits::DEFAULT_CONNECTIONS,
        &bodies,
        handler,
    )
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// A response with this status, and this value in JSON as its body.
pub fn json(status: u16, value: &OwnedValue) -> Response {
    let mut text = value.encode();
    text.push('\n');
    hyper::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::with_content(text))
        .expect("a valid status and a fixed header make a response")
}

/// Why a body is no JSON that can be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadJsonError {
    /// The body was not received.
    #[error(transparent)]
    Receive(#[from] ReceiveError),
    /// It is no text.
    #[error("the body is not UTF-8")]
    NotUtf8,
    /// It is no JSON; a sentence for the client.
    #[error("{0}")]
    NotJson(String),
}

/// Reads the body of a request as JSON, up to `max_bytes` of it.
///
/// # Errors
/// What is wrong with the body.
pub async fn read_json(request: Request, max_bytes: usize) -> Result<OwnedValue, ReadJsonError> {
    let body = uploads::receive_body(request, max_bytes).await?;
    let text = std::str::from_utf8(&body.bytes).map_err(|_| ReadJsonError::NotUtf8)?;
    residency::parse_json(text).map_err(|error| ReadJsonError::NotJson(error.to_string()))
}

/// A parameter of a query, with its percent-encoding decoded.
pub fn query_parameter(uri: &hyper::Uri, name: &str) -> Option<String> {
    form_urlencoded::parse(uri.query()?.as_bytes())
        .find(|(found, _)| found == name)
        .map(|(_, value)| value.into_owned())
}
