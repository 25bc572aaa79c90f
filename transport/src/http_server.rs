//! HTTP server of own interfaces: operators' port, peers' pages, simulated engines.

pub use dropshot::Body;
use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, ConfigDropshot, HandlerTaskMode, HttpError,
    HttpServer, Path, RawRequest, RequestContext, ServerBuilder,
};
use http_body_util::{BodyExt, Limited};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// A request as handlers get it.
pub type Request = hyper::Request<Body>;
/// A response as handlers give it.
pub type Response = hyper::Response<Body>;
/// A handler's work on one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;
/// Responds to every request of a server.
pub type Handler = Arc<dyn Fn(Request) -> ResponseFuture + Send + Sync>;

/// How long [`read_json`] waits for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a server can't begin.
#[derive(Debug, thiserror::Error)]
pub enum HttpServerError {
    /// The library refused the endpoint that takes all paths.
    #[error("the endpoint for {method} can't be registered: {reason}")]
    Endpoint {
        /// The method.
        method: http::Method,
        /// What the library says.
        reason: String,
    },
    /// The server can't listen on this address.
    #[error("{address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the library says.
        reason: String,
    },
}

#[derive(serde::Deserialize, schemars::JsonSchema)]
struct AnyPath {
    #[allow(dead_code)]
    path: Vec<String>,
}

async fn handle(
    context: RequestContext<Handler>,
    _: Path<AnyPath>,
    request: RawRequest,
) -> Result<Response, HttpError> {
    let handler = context.context().clone();
    Ok(handler(request.into_inner()).await)
}

const METHODS: [http::Method; 6] = [
    http::Method::GET,
    http::Method::HEAD,
    http::Method::POST,
    http::Method::PUT,
    http::Method::PATCH,
    http::Method::DELETE,
];

/// Serves every path and method with one handler. When a client disconnects, the handler's
/// work is dropped where it stands.
///
/// # Errors
/// See [`HttpServerError`]; most often the address is in use.
pub fn serve(
    address: SocketAddr,
    body_limit_bytes: usize,
    handler: Handler,
) -> Result<HttpServer<Handler>, HttpServerError> {
    let mut api = ApiDescription::new();
    for method in METHODS {
        let mut endpoint = ApiEndpoint::new(
            format!("any-{method}"),
            handle,
            method.clone(),
            "application/json",
            "/{path:.*}",
            ApiEndpointVersions::All,
        );
        endpoint.visible = false;
        api.register(endpoint)
            .map_err(|error| HttpServerError::Endpoint {
                method,
                reason: error.to_string(),
            })?;
    }
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: body_limit_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..Default::default()
    };
    let no_logs = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, handler, no_logs)
        .config(config)
        .start()
        .map_err(|error| HttpServerError::Listen {
            address,
            reason: error.to_string(),
        })
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

/// Reads a body of up to `max_bytes` as JSON.
///
/// # Errors
/// What is wrong with the body, as a sentence for the client.
pub async fn read_json(body: Body, max_bytes: usize) -> Result<OwnedValue, String> {
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect());
    let bytes = match collected.await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => return Err(format!("the body can't be read: {error}")),
        Err(_) => return Err("the body took too long".into()),
    };
    let text = String::from_utf8(bytes.to_vec()).map_err(|_| "the body is not UTF-8")?;
    residency::parse_json(&text).map_err(|error| error.to_string())
}

/// A parameter of a query, with its percent-encoding decoded.
pub fn query_parameter(uri: &hyper::Uri, name: &str) -> Option<String> {
    form_urlencoded::parse(uri.query()?.as_bytes())
        .find(|(found, _)| found == name)
        .map(|(_, value)| value.into_owned())
}
