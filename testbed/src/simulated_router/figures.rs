//! What a process of simulated routers serves: their figures and traffic, and the order to
//! reconnect.

use super::router::SimulatedRouter;
use parking_lot::Mutex;
use simd_json::json;
use std::sync::Arc;
use tokio::sync::watch;
use transport::http_server;
use transport::now;

/// Responds to a request for figures, or to reconnect.
pub(super) fn respond(
    all: &[Arc<Mutex<SimulatedRouter>>],
    reconnect: &watch::Sender<u64>,
    request: &http_server::Request,
) -> http_server::Response {
    let number = |name: &str| {
        http_server::query_parameter(request.uri(), name).and_then(|text| text.parse().ok())
    };
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/traffic") => http_server::json(200, &telemetry::traffic::to_json()),
        ("GET", "/figures") => {
            let (mut lease_valid, mut sessions, mut leases, mut heartbeats) =
                (0u64, 0u64, 0u64, 0u64);
            let (mut lowest, mut known, mut engines) = (u64::MAX, u64::MAX, u64::MAX);
            for router in all {
                let router = router.lock();
                lease_valid += u64::from(now() < router.replica.lease_expires_at());
                sessions += router.sessions;
                leases += router.leases;
                heartbeats += router.heartbeats;
                let view = router.replica.view();
                lowest = lowest.min(view.epoch);
                known = known.min(router.membership.routers().count() as u64);
                engines = engines.min(view.engines.len() as u64);
            }
            let value = json!({
                "routers": all.len() as u64, "lease_valid": lease_valid, "sessions": sessions,
                "leases": leases, "beats": heartbeats, "lowest_epoch": lowest,
                "fewest_known": known, "fewest_engines": engines,
            });
            http_server::json(200, &value)
        }
        // How many have this epoch, and since when the last of them.
        ("GET", "/since") => {
            let epoch: u64 = number("epoch").unwrap_or(0);
            let since = |router: &Arc<Mutex<SimulatedRouter>>| {
                let router = router.lock();
                let at = router.epochs.partition_point(|(known, _)| *known < epoch);
                router.epochs.get(at).map(|(_, at)| *at)
            };
            let times: Vec<f64> = all.iter().filter_map(since).collect();
            let last = times.iter().copied().fold(0.0, f64::max);
            http_server::json(200, &json!({ "there": times.len() as u64, "last": last }))
        }
        // Who has a lease that came after this time, and when the last one came.
        ("GET", "/lease_valid") => {
            let after = http_server::query_parameter(request.uri(), "after")
                .and_then(|text| text.parse().ok());
            let after: f64 = after.unwrap_or(0.0);
            let times: Vec<f64> = all.iter().map(|router| router.lock().lease_valid).collect();
            let there = times.iter().filter(|at| **at > after).count() as u64;
            http_server::json(200, &json!({ "there": there }))
        }
        // All sessions end at once, and begin again.
        ("POST", "/again") => {
            reconnect.send_modify(|count| *count += 1);
            http_server::json(200, &json!({}))
        }
        (_, path) => http_server::json(404, &json!({ "text": format!("there is no {path}") })),
    }
}
