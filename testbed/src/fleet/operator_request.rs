//! Requests to the operator APIs of processes, and waiting for conditions.

use anyhow::anyhow;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use transport::http_client;

/// Sends a request to an operator API.
///
/// # Errors
///
/// Where it can't be reached, or responds with anything but 200; the error has the response.
pub async fn operator_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &OwnedValue,
) -> anyhow::Result<OwnedValue> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.encode()
    };
    let timeout = Duration::from_secs(12);
    let (status, bytes) =
        http_client::send_request(address, method, target, &[], text.into(), timeout).await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let value = residency::parse_json(&text).map_err(|text| anyhow!(text))?;
    // An unhealthy process sends its state with 503.
    anyhow::ensure!(status == 200, "{address}{target} answered {status}: {text}");
    Ok(value)
}

/// Waits until a condition holds, checking it every 20 ms.
///
/// # Errors
///
/// The last error of the condition, when `timeout` is over.
pub async fn wait_until(
    timeout: Duration,
    what: &str,
    mut condition: impl AsyncFnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let begun = Instant::now();
    loop {
        match condition().await {
            Ok(()) => return Ok(()),
            Err(error) if begun.elapsed() > timeout => {
                return Err(error.context(format!("{what} did not come in {timeout:?}")))
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
