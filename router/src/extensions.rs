//! The extension points of a router: how clients and engines are spoken to, and what
//! retries cost. The defaults are the project's own HTTP interface.

use crate::router::Router;
use dispatch::DispatchOptions;
use http::HeaderMap;
use parking_lot::Mutex;
use placement::{QuotaTolerance, RetryTokenBucket};
use std::net::SocketAddr;
use std::sync::Arc;
use transport::http_server::{Handler, Request, Response};
use transport::rejection::{Rejection, REQUEST_ID_HEADER};

/// Reads a value from a request's headers.
pub type ReadHeader<T> = Box<dyn Fn(&HeaderMap) -> Option<T> + Send + Sync>;
/// Builds the response for a rejection of the request with this id.
pub type RejectionResponse = Box<dyn Fn(&Rejection, &str) -> Response + Send + Sync>;
/// Adds headers to the response of the request with this id.
pub type DecorateResponse = Box<dyn Fn(&mut HeaderMap, &str) + Send + Sync>;
/// Answers a request that is no inference request; `None` for all others.
pub type OtherPages = Box<dyn Fn(&Arc<Router>, &Request) -> Option<Response> + Send + Sync>;
/// Builds a server's handler.
pub type NewHandler = Box<dyn Fn(Arc<Router>) -> Handler + Send + Sync>;
/// Counts a request towards the retry budget, by time in milliseconds, service, and
/// the retry ratio of the rules.
pub type Deposit = Arc<dyn Fn(u64, &str, f64) + Send + Sync>;
/// Takes one retry from the budget, by time in milliseconds, service, and how many
/// routers share the fleet's budget; false where there is none left.
pub type Withdraw = Arc<dyn Fn(u64, &str, usize) -> bool + Send + Sync>;

/// How clients speak, and how they are answered.
pub struct ClientAdapter {
    /// The client's own id for its request.
    pub request_id: ReadHeader<String>,
    /// What the client says is left of its time, in milliseconds.
    pub remaining_ms: ReadHeader<u64>,
    /// What a rejection looks like.
    pub rejection_response: RejectionResponse,
    /// What a response carries beside the engine's own headers.
    pub decorate_response: DecorateResponse,
    /// Pages at the ingress address that are no inference requests.
    pub other_pages: OtherPages,
}

impl Default for ClientAdapter {
    fn default() -> ClientAdapter {
        let text = |headers: &HeaderMap, name: &str| -> Option<String> {
            headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(String::from)
        };
        ClientAdapter {
            request_id: Box::new(move |headers| text(headers, REQUEST_ID_HEADER)),
            remaining_ms: Box::new(move |headers| text(headers, "x-deadline-ms")?.parse().ok()),
            rejection_response: Box::new(|rejection, id| rejection.response(id)),
            decorate_response: Box::new(|headers, id| {
                if let Ok(id) = id.parse() {
                    headers.insert(REQUEST_ID_HEADER, id);
                }
            }),
            other_pages: Box::new(|router, request| {
                let is_lookup = request.uri().path() == "/where";
                is_lookup.then(|| {
                    crate::router_lookup::lookup_routers(router, request)
                        .unwrap_or_else(|rejection| Rejection::from(rejection).response(""))
                })
            }),
        }
    }
}

/// The retry budget. `deposit` is called once for each request that is accepted,
/// with its service as far as it is known; `withdraw` before each retry, with 0
/// routers where their number is not known.
#[derive(Clone)]
pub struct RetryPolicy {
    /// Counts a request.
    pub deposit: Deposit,
    /// Takes one retry.
    pub withdraw: Withdraw,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        let retries = Arc::new(Mutex::new(RetryTokenBucket::default()));
        let earned = Arc::clone(&retries);
        RetryPolicy {
            deposit: Arc::new(move |now, _, ratio| earned.lock().deposit(now, ratio)),
            withdraw: Arc::new(move |now, _, _| retries.lock().try_withdraw(now)),
        }
    }
}

/// One more HTTP server beside the ingress and the operators' one.
pub struct AdditionalServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Builds its handler.
    pub handler: NewHandler,
}

/// What a platform sets otherwise than the project's own program.
#[derive(Default)]
pub struct Extensions {
    /// How clients speak.
    pub clients: ClientAdapter,
    /// How engines are spoken to.
    pub dispatch: DispatchOptions,
    /// What retries cost.
    pub retries: RetryPolicy,
    /// Further servers.
    pub servers: Vec<AdditionalServer>,
    /// How far past its quota a tenant may get over all routers, where no request is
    /// to wait for the leader's grant. `None`: requests wait.
    pub quota_margin: Option<QuotaTolerance>,
    /// Engines report no health or load: both are inferred from their responses,
    /// and shared between routers.
    pub uses_passive_health_checks: bool,
}
