//! The pages for operators: health, counters, metrics, traffic.

use crate::router::Router;
use http::header::{HeaderValue, CONTENT_TYPE};
use std::net::SocketAddr;
use std::sync::Arc;
use telemetry::prometheus::{self, Gauge};
use transport::http_server::{self, HttpServer};
use transport::now;

/// Serves the pages until the server is closed.
///
/// # Errors
/// The address can't be listened at.
pub fn serve(router: Arc<Router>, address: SocketAddr) -> anyhow::Result<HttpServer> {
    let max_connections = router.settings.client_limits.side_connections();
    let bodies = router.bodies.clone();
    let handler: http_server::Handler = Arc::new(move |request| {
        let response = respond(&router, &request);
        Box::pin(async move { response })
    });
    Ok(http_server::serve(
        address,
        max_connections,
        &bodies,
        handler,
    )?)
}

fn respond(router: &Router, request: &http_server::Request) -> http_server::Response {
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/vitals") => health(router),
        ("GET", "/counters") => http_server::json(200, &router.metrics.to_json()),
        ("GET", "/metrics") => metrics(router),
        ("GET", "/traffic") => http_server::json(200, &telemetry::traffic::to_json()),
        (_, path) => {
            let text = format!("there is no {path} for this method");
            http_server::json(
                404,
                &simd_json::json!({ "code": "no-such-page", "text": text }),
            )
        }
    }
}

/// 200 while the lease is valid, else 503, with the same fields.
fn health(router: &Router) -> http_server::Response {
    let view = router.view.borrow().clone();
    let is_well = router.lease.check().is_ok();
    let sizes = router.cache_tiers.sizes();
    let value = simd_json::json!({
        "name": router.settings.name.clone(),
        "well": is_well,
        "lease_ms": router.lease.until_ms().saturating_sub(now()),
        "epoch": view.epoch,
        "leaving": router.is_draining(),
        "under_way": router.in_flight.count(),
        "session": router.pending_lookups.node().map(|node| node.to_string()),
        "neighbours": router.membership.read().cache_peers().count(),
        "cached": sizes.local,
        "cached_share": sizes.regional,
        "engines": router.dispatcher.engine_tracker.to_json(view.program.set_points.target_utilization),
    });
    http_server::json(if is_well { 200 } else { 503 }, &value)
}

/// This router's figures in the Prometheus text format.
fn metrics(router: &Router) -> http_server::Response {
    let sizes = router.cache_tiers.sizes();
    let gauges = [
        ("epoch", router.view.borrow().epoch),
        (
            "lease_remaining_milliseconds",
            router.lease.until_ms().saturating_sub(now()),
        ),
        ("requests_in_flight", router.in_flight.count() as u64),
        ("body_bytes_held", router.bodies.held_bytes() as u64),
        ("mappings_cached", sizes.local as u64),
        ("mappings_cached_for_the_region", sizes.regional as u64),
    ];
    let gauges = gauges.map(|(name, value)| Gauge { name, value });
    let text = prometheus::to_text(&router.metrics, &gauges);
    let mut response = http_server::Response::new(http_server::Body::with_content(text));
    let content_type = HeaderValue::from_static(prometheus::CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
