//! The operator API: JSON over HTTP.
//!
//! `status.rs` and `explain.rs` read, `cluster.rs` and `commands.rs` change, `error.rs`
//! is the one place where a refusal becomes a status code and a body.

mod cluster;
mod commands;
mod error;
mod explain;
mod identity;
mod proposal;
mod status;

use crate::control_plane::ControlPlane;
use error::ApiError;
use placement::ClientLimits;
use std::net::SocketAddr;
use std::sync::Arc;
use transport::http_server::{self, HttpServer, Request, Response};
use transport::uploads::BodyBudget;

/// Serves the API until the server is closed. A request whose client leaves is dropped.
///
/// # Errors
/// The address can't be listened at.
pub(crate) fn serve(
    control: Arc<ControlPlane>,
    address: SocketAddr,
    limits: ClientLimits,
    bodies: &BodyBudget,
) -> anyhow::Result<HttpServer> {
    let handler: http_server::Handler = Arc::new(move |request| {
        let control = Arc::clone(&control);
        Box::pin(async move {
            let result = answer(&control, request, limits.document_bytes).await;
            result.unwrap_or_else(|error| error.response())
        })
    });
    let max_connections = limits.side_connections();
    Ok(http_server::serve(
        address,
        max_connections,
        bodies,
        handler,
    )?)
}

async fn answer(
    control: &ControlPlane,
    request: Request,
    document_limit_bytes: usize,
) -> Result<Response, ApiError> {
    let path = request.uri().path().to_string();
    match (request.method().as_str(), path.as_str()) {
        ("GET", "/vitals") => Ok(status::health(control)),
        ("GET", "/counters") => Ok(http_server::json(200, &control.metrics.to_json())),
        ("GET", "/metrics") => Ok(status::metrics(control)),
        ("GET", "/traffic") => Ok(http_server::json(200, &telemetry::traffic::to_json())),
        ("GET", "/queues") => Ok(http_server::json(200, &telemetry::queues::to_json())),
        ("GET", "/status") => Ok(status::status(control).await),
        ("GET", "/book") => status::topology(control).await,
        ("GET", "/explain") => explain::explain(control, &request),
        ("POST", "/found") => cluster::bootstrap(control).await,
        ("POST", "/retire") => cluster::remove_member(control, &request).await,
        ("POST", "/submit") => commands::submit(control, request, document_limit_bytes).await,
        _ => Err(ApiError::NoSuchPage { path }),
    }
}
