//! Asking processes, and waiting for what they say.

use anyhow::anyhow;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use transport::http_client;

/// Asks a desk; anything but 200 is an error that says the answer.
pub async fn ask(
    desk: SocketAddr,
    method: &str,
    target: &str,
    body: &OwnedValue,
) -> anyhow::Result<OwnedValue> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.encode()
    };
    let patience = Duration::from_secs(12);
    let (status, bytes) =
        http_client::send_request(desk, method, target, &[], text.into(), patience).await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let value = residency::parse_json(&text).map_err(|text| anyhow!(text))?;
    // A process that is not well says so with 503 and its vitals all the same.
    anyhow::ensure!(status == 200, "{desk}{target} answered {status}: {text}");
    Ok(value)
}

/// Waits for something to come true, asking again and again.
pub async fn wait(
    patience: Duration,
    what: &str,
    mut ask: impl AsyncFnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let begun = Instant::now();
    loop {
        match ask().await {
            Ok(()) => return Ok(()),
            Err(error) if begun.elapsed() > patience => {
                return Err(error.context(format!("{what} did not come in {patience:?}")))
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
