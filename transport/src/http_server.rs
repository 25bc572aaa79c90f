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

pub type Request = hyper::Request<Body>;
pub type Response = hyper::Response<Body>;
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;
pub type Handler = Arc<dyn Fn(Request) -> ResponseFuture + Send + Sync>;

#[derive(serde::Deserialize, schemars::JsonSchema)]
struct Rest {
    #[allow(dead_code)]
    path: Vec<String>,
}

async fn handle(
    context: RequestContext<Handler>,
    _: Path<Rest>,
    request: RawRequest,
) -> Result<Response, HttpError> {
    let answer = context.context().clone();
    Ok(answer(request.into_inner()).await)
}

const METHODS: [http::Method; 6] = [
    http::Method::GET,
    http::Method::HEAD,
    http::Method::POST,
    http::Method::PUT,
    http::Method::PATCH,
    http::Method::DELETE,
];

/// Serves every path and method with one handler. When a caller leaves, the
/// handler's work is dropped where it stands.
pub fn serve(
    address: SocketAddr,
    body_cap: usize,
    handler: Handler,
) -> anyhow::Result<HttpServer<Handler>> {
    let mut api = ApiDescription::new();
    for method in METHODS {
        let name = format!("any-{method}");
        let mut endpoint = ApiEndpoint::new(
            name,
            handle,
            method,
            "application/json",
            "/{path:.*}",
            ApiEndpointVersions::All,
        );
        endpoint.visible = false;
        api.register(endpoint)
            .map_err(|error| anyhow::anyhow!(error.to_string()))?;
    }
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: body_cap,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..Default::default()
    };
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, handler, quiet)
        .config(config)
        .start()
        .map_err(|error| anyhow::anyhow!("{address}: {error}"))
}

pub fn json(status: u16, value: &OwnedValue) -> Response {
    let mut text = value.encode();
    text.push('\n');
    hyper::Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::with_content(text))
        .expect("a status and a fixed header make an answer")
}

/// Reads a whole small body as JSON.
pub async fn read_json(body: Body, cap: usize) -> Result<OwnedValue, String> {
    let collected =
        tokio::time::timeout(Duration::from_secs(10), Limited::new(body, cap).collect());
    let bytes = match collected.await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => return Err(format!("the body can't be read: {error}")),
        Err(_) => return Err("the body took too long".into()),
    };
    let text = String::from_utf8(bytes.to_vec()).map_err(|_| "the body is not UTF-8")?;
    residency::parse_json(&text).map_err(|error| error.to_string())
}

/// One field of a query, as far as names need it.
pub fn query_parameter(uri: &hyper::Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|p| p.1.to_string())
}
