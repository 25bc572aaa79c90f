//! The ingress: a client's request from its head to its response.
//!
//! Each phase is a method of [`Ingress`] in a file of its own, in this order:
//!
//! | phase | file | refuses |
//! |---|---|---|
//! | admit (capacity) | `admit.rs` | no lease, shutting down, too many requests, body too long |
//! | identify | `identify.rs` | no route, no tenant key, no model, body too slow |
//! | admit (drain) | `admit.rs` | leaving, and may not end in time |
//! | authorize | `authorize.rs`, `claims.rs` | unknown tenant key, request id in use |
//! | admit (quota) | `admit.rs` | tenant past its quota: 429 `quota` |
//! | look up | `lookup.rs` | no mapping, no directory node |
//! | dispatch | `dispatch.rs` | no home region, no engine, engine lost |
//! | respond | `respond.rs` | |
//!
//! All of them together end at the request's deadline.

mod admit;
mod authorize;
mod body;
mod claims;
mod dispatch;
mod identify;
mod lookup;
mod respond;

use crate::extensions::{ClientAdapter, RetryPolicy};
use crate::in_flight::{InFlightGuard, LateRequestGuard};
use crate::quota_admission;
use crate::rejection::RouterRejection;
use crate::router::Router;
use body::IncomingBody;
use claims::{RequestClaim, RequestClaims};
use dropshot::Body;
use identify::MatchedRoute;
use placement::ExecutionOutcome;
use residency::View;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;
use transport::http_listener::{self, HttpListener, ListenerLimits};
use transport::http_server::{self, Request, Response};
use transport::rejection::Rejection;
use transport::{now, sleep_until};

/// A router that starts accepts connections with its first lease, and without one
/// after this: a client that comes a moment too early waits instead of failing.
const FIRST_LEASE_WAIT: Duration = Duration::from_millis(800);
/// How often the first lease is looked for.
const FIRST_LEASE_POLL: Duration = Duration::from_millis(20);

/// The ids of requests that are taken as clients give them have this many
/// characters at the most, since they go to the log.
const MAX_REQUEST_ID_CHARS: usize = 64;

/// The phases end a request at its deadline, and know whether it may have run. What they don't
/// end is ended this much later.
const DEADLINE_MARGIN_MS: u64 = 20;

/// The ingress of one router.
pub struct Ingress {
    router: Arc<Router>,
    clients: ClientAdapter,
    retries: RetryPolicy,
    claims: Arc<RequestClaims>,
}

/// What a request holds until the last byte of its response is out.
struct RequestGuard {
    _in_flight: InFlightGuard,
    /// Set when the request is accepted late in a drain.
    _late: Option<LateRequestGuard>,
    /// An engine or a directory node may have got it.
    is_handed_on: bool,
    /// Set when the request is authorized.
    claim: Option<RequestClaim>,
}

impl Ingress {
    /// The ingress of this router, for clients of this kind.
    pub fn new(router: Arc<Router>, clients: ClientAdapter, retries: RetryPolicy) -> Ingress {
        Ingress {
            router,
            clients,
            retries,
            claims: Arc::default(),
        }
    }

    /// Serves a listener until the returned handle is shut.
    pub fn serve(self: Arc<Ingress>, listener: TcpListener) -> Arc<HttpListener> {
        let view = self.router.view.subscribe();
        let router = Arc::clone(&self.router);
        let opened = {
            let router = Arc::clone(&router);
            Box::pin(async move { wait_for_first_lease(&router).await })
        };
        let handler: http_server::Handler = Arc::new(move |request| {
            let ingress = Arc::clone(&self);
            Box::pin(async move { ingress.handle(request).await })
        });
        let limits = ListenerLimits {
            requests: Box::new(move || view.borrow().limits),
            max_connections: router.settings.client_limits.connections,
            bodies: router.bodies.clone(),
        };
        http_listener::serve(listener, limits, handler, opened)
    }

    async fn handle(&self, request: Request) -> Response {
        if let Some(page) = (self.clients.other_pages)(&self.router, &request) {
            return page;
        }
        let arrived_ms = now();
        let id = self.request_id(&request);
        let view = self.router.view.borrow().clone();
        let (head, body) = request.into_parts();
        let route = self.match_route(&view, &head, &id, arrived_ms);
        let deadline_ms = route.as_ref().map(|route| route.deadline_ms);
        self.router.metrics.increment("jobs");
        let mut guard = RequestGuard {
            _in_flight: self.router.in_flight.begin(),
            _late: None,
            is_handed_on: false,
            claim: None,
        };
        let processed = tokio::select! {
            biased;
            processed = self.process(&view, &head, body, route.as_ref(), &id, &mut guard) => processed,
            () = self.router.exiting() => Err(broken_off_at_exit(&guard)),
            () = deadline_passed(deadline_ms) => Err(unanswered_at_deadline(&guard)),
        };
        match processed {
            Ok(response) => self.respond(response, &id, guard, deadline_ms),
            Err(rejection) => self.refuse(&rejection, &id),
        }
    }

    /// The phases of a request, from its head to the head of its response.
    async fn process(
        &self,
        view: &View,
        head: &http::request::Parts,
        body: Body,
        route: Option<&MatchedRoute>,
        id: &str,
        guard: &mut RequestGuard,
    ) -> Result<Response, Rejection> {
        let upload = head.extensions.get().cloned();
        let mut body = IncomingBody::new(body, upload, self.body_limit_bytes(view));
        self.admit_by_capacity(head, &mut body).await?;
        let route = route.ok_or(RouterRejection::NoRoute)?;
        let mut identified = self.identify(view, head, &mut body, id, route).await?;
        guard._late = self.admit_by_drain(id, identified.deadline_ms())?;
        guard.claim = self.authorize(identified.authenticated_client(), id)?;
        let is_past_key_cap = body.is_past_key_cap();
        let mut body = body.into_outgoing();
        let outgoing = identified.outgoing(head, id);
        let Some(routing_key) = identified.routing_key(is_past_key_cap)? else {
            let tenant = identified.tenant();
            guard.is_handed_on = true;
            return self
                .forward_without_key(identified.state, &outgoing, &mut body, tenant)
                .await;
        };
        quota_admission::admit(&self.router, view, &routing_key.tenant)
            .await
            .inspect_err(|_| self.router.metrics.increment("refused-quota"))?;
        log::info!(job = id; "admitted");
        guard.is_handed_on = true;
        self.look_up_and_dispatch(identified.state, &outgoing, body, &routing_key)
            .await
    }

    /// The client's own id for its request, where it is fit for logs, or a random
    /// one.
    fn request_id(&self, request: &Request) -> String {
        let is_fit = |id: &String| {
            (1..=MAX_REQUEST_ID_CHARS).contains(&id.len())
                && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        };
        let given = (self.clients.request_id)(request.headers()).filter(is_fit);
        given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()))
    }
}

/// What a request gets that has no answer when the process ends.
fn broken_off_at_exit(guard: &RequestGuard) -> Rejection {
    match guard.is_handed_on {
        true => RouterRejection::BrokenOffAtExit.into(),
        false => RouterRejection::ShuttingDown.into(),
    }
}

/// Ends when the deadline of a request has passed; one without a route has none, and is refused.
async fn deadline_passed(deadline_ms: Option<u64>) {
    match deadline_ms {
        Some(deadline_ms) => sleep_until(deadline_ms + DEADLINE_MARGIN_MS).await,
        None => std::future::pending().await,
    }
}

/// What a request gets that has no answer at its deadline.
fn unanswered_at_deadline(guard: &RequestGuard) -> Rejection {
    let outcome = match guard.is_handed_on {
        true => ExecutionOutcome::Unknown,
        false => ExecutionOutcome::NotRun,
    };
    RouterRejection::DeadlinePassed { outcome }.into()
}

async fn wait_for_first_lease(router: &Router) {
    let until = Instant::now() + FIRST_LEASE_WAIT;
    while router.lease.check().is_err() && Instant::now() < until {
        tokio::time::sleep(FIRST_LEASE_POLL).await;
    }
}
