//! HTTP client of own interfaces: one request, its whole response.

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;

/// The most that an answer to [`send_request`] may hold.
pub const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Asks another process over HTTP, once, and reads the whole answer.
pub async fn send_request(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    patience: Duration,
) -> anyhow::Result<(u16, Vec<u8>)> {
    let work = async {
        let stream = tokio::net::TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(target)
            .header("host", to.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = sender
            .send_request(request.body(Full::new(body.into()))?)
            .await?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        driver.abort();
        let bytes = body
            .map_err(|error| anyhow::anyhow!("{error}"))?
            .to_bytes()
            .to_vec();
        anyhow::Ok((status, bytes))
    };
    tokio::time::timeout(patience, work)
        .await
        .map_err(|_| anyhow::anyhow!("no answer in time"))?
        .with_context(|| format!("asking {to}"))
}
