//! The seams of a router: how callers and engines are spoken to. The project's own
//! interface is the first filling of each.

use crate::Router;
use dispatch::DispatchOptions;
use http::HeaderMap;
use parking_lot::Mutex;
use placement::{QuotaTolerance, RetryTokenBucket};
use std::net::SocketAddr;
use std::sync::Arc;
use transport::http_server::{Handler, Request, Response};
use transport::rejection::{Rejection, REQUEST_ID_HEADER};

type Reading<T> = Box<dyn Fn(&HeaderMap) -> Option<T> + Send + Sync>;
type Refusing = Box<dyn Fn(&Rejection, &str) -> Response + Send + Sync>;
type Marking = Box<dyn Fn(&mut HeaderMap, &str) + Send + Sync>;
type Paging = Box<dyn Fn(&Arc<Router>, &Request) -> Option<Response> + Send + Sync>;
type Handling = Box<dyn Fn(Arc<Router>) -> Handler + Send + Sync>;

type Earning = Arc<dyn Fn(u64, &str, f64) + Send + Sync>;
type Spending = Arc<dyn Fn(u64, &str, usize) -> bool + Send + Sync>;

/// How callers speak.
pub struct ClientAdapter {
    /// The caller's own id for its job.
    pub request_id: Reading<String>,
    /// What the client says is left of its time.
    pub remaining_ms: Reading<u64>,
    /// What a refusal looks like.
    pub refusal_response: Refusing,
    /// What an answer carries beside the engine's own headers.
    pub decorate_response: Marking,
    /// Pages at the doors that are no jobs.
    pub other_pages: Paging,
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
            refusal_response: Box::new(|refusal, id| refusal.response(id)),
            decorate_response: Box::new(|headers, id| {
                if let Ok(id) = id.parse() {
                    headers.insert(REQUEST_ID_HEADER, id);
                }
            }),
            other_pages: Box::new(|router, request| {
                let is_where = request.uri().path() == "/where";
                is_where.then(|| {
                    let found = crate::lookup_routers(router, request);
                    found.unwrap_or_else(|refusal| refusal.response(""))
                })
            }),
        }
    }
}

/// What further rounds cost. `deposit` is told of every job that comes in: the time,
/// its service as far as it is known, and the share of the set point; `withdraw` asks
/// for one further round, by time, service and how many routers share the fleet's
/// budget, 0 where that is not known.
#[derive(Clone)]
pub struct RetryPolicy {
    pub deposit: Earning,
    pub withdraw: Spending,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        let retries = Arc::new(Mutex::new(RetryTokenBucket::default()));
        let earned = Arc::clone(&retries);
        RetryPolicy {
            deposit: Arc::new(move |now, _, share| earned.lock().deposit(now, share)),
            withdraw: Arc::new(move |now, _, _| retries.lock().try_withdraw(now)),
        }
    }
}

/// One more HTTP server beside the doors.
pub struct AdditionalServer {
    pub address: SocketAddr,
    pub handler: Handling,
}

#[derive(Default)]
pub struct Extensions {
    pub clients: ClientAdapter,
    pub dispatch: DispatchOptions,
    pub retries: RetryPolicy,
    pub servers: Vec<AdditionalServer>,
    /// How far past its quota a tenant may get over all routers, where no job is to
    /// wait for the leader's word.
    pub quota_margin: Option<QuotaTolerance>,
    /// Engines give no vitals: they are known by their answers.
    pub uses_passive_health_checks: bool,
}
