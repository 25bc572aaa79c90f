//! HTTP client for interfaces of own processes: one request, its whole response.

use crate::AbortOnDrop;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The longest body that [`send_request`] reads.
pub const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// A request without a complete response. Whether it had an effect is unknown, unless the
/// cause says that it was never sent.
#[derive(Debug, thiserror::Error)]
#[error("asking {to}: {cause}")]
pub struct HttpClientError {
    /// The process that was asked.
    pub to: SocketAddr,
    /// What failed.
    pub cause: HttpClientErrorCause,
}

/// What failed in a request.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientErrorCause {
    /// No connection; the request was not sent.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The request isn't valid HTTP; it was not sent.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The connection broke off.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The response's body broke off, or is longer than [`MAX_RESPONSE_BYTES`].
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The time was over before the end of the response.
    #[error("no answer in time")]
    Timeout,
}

/// Sends a request over a connection of its own, and reads the whole response: its status
/// and its body.
///
/// # Errors
/// Anything that keeps the complete response from coming within `timeout`. Statuses are no
/// errors.
pub async fn send_request(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(u16, Vec<u8>), HttpClientError> {
    let exchange = exchange(to, method, target, headers, body);
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(HttpClientErrorCause::Timeout))
        .map_err(|cause| HttpClientError { to, cause })
}

async fn exchange(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Result<(u16, Vec<u8>), HttpClientErrorCause> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await?;
    let _driver = AbortOnDrop(tokio::spawn(connection).abort_handle());
    let mut request = hyper::Request::builder()
        .method(method)
        .uri(target)
        .header("host", to.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into()))?;
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    let bytes = body.await.map_err(HttpClientErrorCause::Body)?.to_bytes();
    Ok((status, bytes.to_vec()))
}
