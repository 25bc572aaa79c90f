//! An engine's stream of health reports: one JSON object a line.

use super::engines::{LoadSource, TrackedEngines};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use placement::{HealthReport, HEALTH_REPORT_TIMEOUT_MS};
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;
use transport::{jitter, link, now, AbortOnDrop};

/// The path of the stream at an engine.
const PATH: &str = "/vitals";
const REPORT_TIMEOUT: Duration = Duration::from_millis(HEALTH_REPORT_TIMEOUT_MS);
const RECONNECT_DELAY_MS: u64 = 250;
const MAX_LINE_BYTES: usize = 4096;

/// Why a stream of health reports ended. Connecting again is always safe.
#[derive(Debug, thiserror::Error)]
enum HealthStreamError {
    #[error("the engine can't be reached: {0}")]
    Connect(#[from] std::io::Error),
    #[error("HTTP failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("no report within {HEALTH_REPORT_TIMEOUT_MS} ms")]
    Timeout(#[from] Elapsed),
    #[error("status {0} in place of 200")]
    Status(http::StatusCode),
    #[error("a report is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[error("a report is no JSON: {0}")]
    Json(#[from] simd_json::Error),
    #[error("a report has no whole number in {0}")]
    MissingField(&'static str),
    #[error("the stream ended")]
    Ended,
}

/// Keeps the stream of one engine open, for good.
pub(super) async fn follow(
    engines: Arc<TrackedEngines>,
    source: SocketAddr,
    name: String,
    address: SocketAddr,
) {
    loop {
        if let Err(error) = read_reports(&engines, source, &name, address).await {
            log::debug!(engine = name.as_str(); "the health stream ended: {error}");
        }
        // The next stream may come from another start of the engine.
        if let LoadSource::HealthReports(health) = &engines.load {
            health.lock().mark_unhealthy(&name);
        }
        tokio::time::sleep(jitter(RECONNECT_DELAY_MS)).await;
    }
}

async fn read_reports(
    engines: &TrackedEngines,
    source: SocketAddr,
    name: &str,
    address: SocketAddr,
) -> Result<(), HealthStreamError> {
    let stream = link::connect(source, address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
    let _driver = AbortOnDrop(tokio::spawn(connection).abort_handle());
    let request = hyper::Request::get(PATH)
        .header("host", address.to_string())
        .body(Empty::new())
        .expect("a fixed path and an address make a request");
    let response = tokio::time::timeout(REPORT_TIMEOUT, sender.send_request(request)).await??;
    if response.status() != http::StatusCode::OK {
        return Err(HealthStreamError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut line = Vec::new();
    while let Some(frame) = tokio::time::timeout(REPORT_TIMEOUT, body.frame()).await? {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        for byte in data {
            match byte {
                b'\n' => {
                    record(engines, name, parse(&mut line)?);
                    line.clear();
                }
                _ if line.len() == MAX_LINE_BYTES => return Err(HealthStreamError::LineTooLong),
                _ => line.push(byte),
            }
        }
    }
    Err(HealthStreamError::Ended)
}

fn record(engines: &TrackedEngines, name: &str, report: HealthReport) {
    if let LoadSource::HealthReports(health) = &engines.load {
        health.lock().record_report(now(), name, report);
    }
    engines.capacity_changed.notify_waiters();
}

fn parse(line: &mut [u8]) -> Result<HealthReport, HealthStreamError> {
    let value = simd_json::to_owned_value(line)?;
    let number = |field: &str| value.get(field).and_then(|v| v.as_u64());
    let flag = |field: &str| value.get(field).and_then(|v| v.as_bool());
    let count = |field: &'static str| {
        let count = number(field).and_then(|count| u32::try_from(count).ok());
        count.ok_or(HealthStreamError::MissingField(field))
    };
    Ok(HealthReport {
        running: count("running")?,
        queued: count("queue")?,
        slots: count("slots")?,
        is_warm: flag("warm").unwrap_or(true),
        is_draining: flag("draining").unwrap_or(false),
        completed: count("completed").unwrap_or(0),
        // An engine that doesn't state its uptime still gets work: each router then
        // divides its slots by a clock of its own.
        uptime_ms: number("uptime_ms").unwrap_or(now()),
        received_at_ms: now(),
    })
}
