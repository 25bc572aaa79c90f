//! The seams of a router: how callers and engines are spoken to. The project's own
//! interface is the first filling of each.

use crate::Router;
use http::HeaderMap;
use parking_lot::Mutex;
use placement::{Margin, Retries};
use std::net::SocketAddr;
use std::sync::Arc;
use transport::dispatch::Carriage;
use transport::web::{Handler, Refusal, Request, Response, JOB};

type Reading<T> = Box<dyn Fn(&HeaderMap) -> Option<T> + Send + Sync>;
type Refusing = Box<dyn Fn(&Refusal, &str) -> Response + Send + Sync>;
type Marking = Box<dyn Fn(&mut HeaderMap, &str) + Send + Sync>;
type Paging = Box<dyn Fn(&Arc<Router>, &Request) -> Option<Response> + Send + Sync>;
type Handling = Box<dyn Fn(Arc<Router>) -> Handler + Send + Sync>;

type Earning = Arc<dyn Fn(u64, &str, f64) + Send + Sync>;
type Spending = Arc<dyn Fn(u64, &str, usize) -> bool + Send + Sync>;

/// How callers speak.
pub struct Callers {
    /// The caller's own id for its job.
    pub id: Reading<String>,
    /// What the caller says is left of its time.
    pub left_ms: Reading<u64>,
    /// What a refusal looks like.
    pub refuse: Refusing,
    /// What an answer carries beside the engine's own headers.
    pub mark: Marking,
    /// Pages at the doors that are no jobs.
    pub pages: Paging,
}

impl Default for Callers {
    fn default() -> Callers {
        let text = |headers: &HeaderMap, name: &str| -> Option<String> {
            headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(String::from)
        };
        Callers {
            id: Box::new(move |headers| text(headers, JOB)),
            left_ms: Box::new(move |headers| text(headers, "x-deadline-ms")?.parse().ok()),
            refuse: Box::new(|refusal, id| refusal.response(id)),
            mark: Box::new(|headers, id| {
                if let Ok(id) = id.parse() {
                    headers.insert(JOB, id);
                }
            }),
            pages: Box::new(|router, request| {
                let is_where = request.uri().path() == "/where";
                is_where.then(|| {
                    let found = crate::whereabouts(router, request);
                    found.unwrap_or_else(|refusal| refusal.response(""))
                })
            }),
        }
    }
}

/// What further rounds cost. `earn` is told of every job that comes in: the time,
/// its service as far as it is known, and the share of the set point; `spend` asks
/// for one further round, by time, service and how many routers share the fleet's
/// budget, 0 where that is not known.
#[derive(Clone)]
pub struct RetryPolicy {
    pub earn: Earning,
    pub spend: Spending,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        let retries = Arc::new(Mutex::new(Retries::default()));
        let earned = Arc::clone(&retries);
        RetryPolicy {
            earn: Arc::new(move |now, _, share| earned.lock().earn(now, share)),
            spend: Arc::new(move |now, _, _| retries.lock().spend(now)),
        }
    }
}

/// One more HTTP server beside the doors.
pub struct Server {
    pub address: SocketAddr,
    pub handler: Handling,
}

#[derive(Default)]
pub struct Ports {
    pub callers: Callers,
    pub carriage: Carriage,
    pub retries: RetryPolicy,
    pub servers: Vec<Server>,
    /// How far past its quota a tenant may get over all routers, where no job is to
    /// wait for the leader's word.
    pub margin: Option<Margin>,
    /// Engines give no vitals: they are known by their answers.
    pub engines_are_silent: bool,
}
