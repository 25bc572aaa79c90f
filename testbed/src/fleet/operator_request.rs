//! Requests to the operator APIs of processes, and waiting for conditions.

use super::error::FleetError;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use transport::http_client;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(20);

/// Sends a request to an operator API. `null` stands for no body.
///
/// # Errors
///
/// Where it can't be reached, or responds with anything but 200 and JSON.
pub async fn operator_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &OwnedValue,
) -> Result<OwnedValue, FleetError> {
    let body = match body.is_null() {
        true => String::new(),
        false => body.encode(),
    };
    let response =
        http_client::send_request(address, method, target, &[], body.into(), REQUEST_TIMEOUT);
    let (status, bytes) = response.await.map_err(|error| FleetError::Unreachable {
        address,
        reason: format!("{error:#}"),
    })?;
    let body = String::from_utf8_lossy(&bytes).into_owned();
    match residency::parse_json(&body) {
        // An unhealthy process sends its state with 503.
        Ok(value) if status == 200 => Ok(value),
        _ => Err(FleetError::Response {
            address,
            target: target.to_string(),
            status,
            body,
        }),
    }
}

/// Waits until a condition holds, checking it every 20 ms.
///
/// # Errors
///
/// What the condition lacked at last, when `timeout` is over.
pub async fn wait_until(
    timeout: Duration,
    what: &str,
    mut condition: impl AsyncFnMut() -> anyhow::Result<()>,
) -> Result<(), FleetError> {
    let begun = Instant::now();
    loop {
        match condition().await {
            Ok(()) => return Ok(()),
            Err(last) if begun.elapsed() > timeout => {
                return Err(FleetError::Timeout {
                    what: what.to_string(),
                    timeout,
                    last,
                })
            }
            Err(_) => tokio::time::sleep(POLL).await,
        }
    }
}
