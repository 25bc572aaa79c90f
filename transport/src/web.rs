//! HTTP by library: one way to serve, one way to ask, one shape of refusal.

use anyhow::Context;
use bytes::Bytes;
pub use dropshot::Body;
use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, ConfigDropshot, HandlerTaskMode, HttpError,
    HttpServer, Path, RawRequest, RequestContext, ServerBuilder,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

pub type Request = hyper::Request<Body>;
pub type Response = hyper::Response<Body>;
pub type Answering = Pin<Box<dyn Future<Output = Response> + Send>>;
pub type Handler = Arc<dyn Fn(Request) -> Answering + Send + Sync>;

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

/// The header that states what became of a job.
pub const OUTCOME: &str = "x-rushport-outcome";
/// The header that carries a job's id.
pub const JOB: &str = "x-rushport-job";

/// A refusal, in the one shape that all have.
pub struct Refusal {
    pub status: u16,
    pub code: String,
    pub text: String,
    pub outcome: placement::ExecutionOutcome,
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Where a later try can help, as the status says, it is a second later
    /// unless `retry` says otherwise.
    pub fn not_run(status: u16, code: &str, text: impl Into<String>) -> Refusal {
        Refusal {
            status,
            code: code.into(),
            text: text.into(),
            outcome: placement::ExecutionOutcome::NotRun,
            retry_after_ms: matches!(status, 408 | 429 | 502 | 503 | 504).then_some(1_000),
        }
    }

    pub fn retry(mut self, ms: u64) -> Refusal {
        self.retry_after_ms = Some(ms);
        self
    }

    pub fn response(&self, job: &str) -> Response {
        let value = simd_json::json!({
            "code": self.code.clone(),
            "text": self.text.clone(),
            "outcome": self.outcome.to_string(),
            "job": job,
        });
        let mut response = json(self.status, &value);
        let headers = response.headers_mut();
        let outcome = self.outcome.to_string();
        headers.insert(
            OUTCOME,
            outcome.parse().expect("an outcome is a header's value"),
        );
        if let Ok(job) = job.parse() {
            headers.insert(JOB, job);
        }
        if let Some(ms) = self.retry_after_ms {
            headers.insert("retry-after", (ms.div_ceil(1000)).max(1).into());
        }
        response
    }
}

/// The refusal for a key that resolves to nothing.
pub fn no_place(code: &str, text: String) -> Refusal {
    match code {
        "no-place" => Refusal::not_run(503, code, text).retry(5_000),
        "unknown-service" => Refusal::not_run(404, code, text),
        _ => Refusal::not_run(403, code, text),
    }
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
    residency::parse_json(&text)
}

/// The most that an answer to [`ask`] may hold.
pub const ANSWER_CAP: usize = 32 << 20;

/// Asks another process over HTTP, once, and reads the whole answer.
pub async fn ask(
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
        let body = Limited::new(answer.into_body(), ANSWER_CAP).collect().await;
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

/// One field of a query, as far as names need it.
pub fn query(uri: &hyper::Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|p| p.1.to_string())
}
