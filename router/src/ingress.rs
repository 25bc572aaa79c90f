//! The doors: a caller's job from its head to its answer.

use crate::cache_tiers::LookupPermit;
use crate::forward::{self, ForwardOutcome};
use crate::{membership, Router};
use anyhow::Context;
use bytes::BytesMut;
use dispatch::{apply_event, BodyStream, RequestBody, RequestParts};
use dropshot::Body;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use placement::{CacheLookup, ExecutionOutcome, RequestEvent, RequestState, RequestStateMachine};
use policy::{ExtractedKey, KeyField, RequestHead, Source, Target, BODY_LIMIT_BYTES};
use protocol::LookupResponse;
use residency::{Mapping, View};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use transport::http_listener::{self, HttpListener};
use transport::http_server::{self, Request, Response};
use transport::now;
use transport::rejection::{self, Rejection};

/// How long a job waits for the mapping that another one asks for.
const JOIN_PATIENCE: Duration = Duration::from_millis(1_500);
const RESOLVE_PATIENCE: Duration = Duration::from_millis(1_000);

pub async fn serve(router: Arc<Router>) -> anyhow::Result<Arc<HttpListener>> {
    let address = router.settings.ingress_address;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .with_context(|| format!("listening at {address}"))?;
    let view = router.view.subscribe();
    let opened = {
        let router = Arc::clone(&router);
        Box::pin(async move { open(&router).await })
    };
    let handler: http_server::Handler = Arc::new(move |request| {
        let router = Arc::clone(&router);
        Box::pin(async move { answer(router, request).await })
    });
    Ok(http_listener::serve(
        listener,
        Box::new(move || view.borrow().limits),
        handler,
        opened,
    ))
}

/// A router that begins opens its doors with its first lease: whoever comes a
/// moment before waits at them, and not past this.
const OPEN_PATIENCE: Duration = Duration::from_millis(800);

async fn open(router: &Router) {
    let until = tokio::time::Instant::now() + OPEN_PATIENCE;
    while router.check_lease().is_err() && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The caller's own id for its job, where it is fit for logs, or a drawn one.
fn job_id(router: &Router, request: &Request) -> String {
    let fits = |id: &String| {
        (1..=64).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    let given = (router.extensions.clients.request_id)(request.headers()).filter(fits);
    given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()))
}

async fn answer(router: Arc<Router>, request: Request) -> Response {
    let clients = &router.extensions.clients;
    if let Some(page) = (clients.other_pages)(&router, &request) {
        return page;
    }
    let id = job_id(&router, &request);
    router.metrics.increment("jobs");
    let in_flight = Arc::clone(&router.in_flight);
    let mut claim = None;
    match take(&router, request, &id, &mut claim).await {
        Ok(response) => {
            let (mut head, body) = response.into_parts();
            (clients.decorate_response)(&mut head.headers, &id);
            // The job is under way until its last byte is out.
            let body = body.map_err(move |error| {
                let _ = (&in_flight, &claim);
                error
            });
            Response::from_parts(head, Body::wrap(body))
        }
        Err(refusal) => {
            router.metrics.increment(match refusal.outcome {
                ExecutionOutcome::NotRun => "refused-not-run",
                _ => "refused-unknown",
            });
            log::info!(job = id.as_str(), code = refusal.code.as_str(),
                outcome = refusal.outcome.to_string(); "refused: {}", refusal.text);
            (clients.refusal_response)(&refusal, &id)
        }
    }
}

/// An id that is under way here, for one tenant key; given up when dropped.
struct Claim(Arc<Router>, (String, String));

impl Claim {
    /// A second arrival of an id while the first is on its way: whether that one
    /// runs is not known yet, so this one is neither run nor said not to have
    /// been.
    fn new(router: &Arc<Router>, key: &str, id: &str) -> Result<Claim, Rejection> {
        let claim = (key.to_string(), id.to_string());
        if router.claims.lock().insert(claim.clone()) {
            return Ok(Claim(Arc::clone(router), claim));
        }
        let text = "a job of this id is under way here; its own answer says what becomes of it";
        let refusal = Rejection::not_run(409, "job-under-way", text);
        Err(Rejection {
            outcome: ExecutionOutcome::Unknown,
            ..refusal
        })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.0.claims.lock().remove(&self.1);
    }
}

/// Who calls, and the digest of the key that says so.
#[derive(Clone)]
struct Client {
    tenant: String,
    key: String,
}

struct Reader<'a> {
    view: &'a View,
    parts: &'a http::request::Parts,
    draw: u64,
}

impl Reader<'_> {
    fn with<T>(&self, ask: impl FnOnce(&RequestHead) -> T) -> T {
        let header = |name: &str| {
            self.parts
                .headers
                .get(name)?
                .to_str()
                .ok()
                .map(String::from)
        };
        ask(&RequestHead {
            method: self.parts.method.as_str(),
            path: self.parts.uri.path(),
            query: self.parts.uri.query().unwrap_or(""),
            header: &header,
            split_seed: self.draw,
        })
    }

    fn extract(&self, route: usize, body: &[u8], is_ended: bool) -> ExtractedKey {
        self.with(|head| {
            self.view
                .program
                .extract_key(route, head, body, is_ended, BODY_LIMIT_BYTES)
        })
    }

    /// The tenant of a key that was read; an unknown key goes no further.
    fn tenant(&self, extract: &ExtractedKey) -> Result<Option<Client>, Rejection> {
        let KeyField::Known(key) = &extract.tenant else {
            return Ok(None);
        };
        let key = policy::sha256_hex(key);
        match self.view.keys.get(&key) {
            Some(tenant) => Ok(Some(Client {
                tenant: tenant.clone(),
                key,
            })),
            None => Err(Rejection::not_run(
                401,
                "unknown-key",
                "this tenant key is not known",
            )),
        }
    }
}

async fn take(
    router: &Arc<Router>,
    request: Request,
    id: &str,
    claim: &mut Option<Claim>,
) -> Result<Response, Rejection> {
    let arrived = now();
    let (head, body) = request.into_parts();
    if head.version < http::Version::HTTP_11 {
        // It knows no chunks: the end of a streamed answer would be the end of its
        // connection, and an answer that broke off would look whole.
        let text = "a job is taken in HTTP/1.1 alone";
        return Err(Rejection::not_run(400, "http-version", text));
    }
    let view = router.view.borrow().clone();
    let longest = router
        .settings
        .max_body_bytes
        .min(usize::try_from(view.limits.max_body_bytes).unwrap_or(usize::MAX));
    if body.size_hint().lower() > longest as u64 {
        // Not a byte of it has to come for that.
        router.check_lease()?;
        return Err(long_body(longest));
    }
    let mut body = Some(body);
    let mut held = BytesMut::new();
    let mut is_ended = body.as_ref().is_some_and(|body| body.is_end_stream());
    if router.settings.buffered_body_bytes > 0 {
        // Whoever sent a whole job is answered when it is read, not amid it.
        let most = router.settings.buffered_body_bytes.min(longest + 1);
        let body = body.as_mut().expect("it is taken below");
        is_ended = hold(router, body, &mut held, most).await?;
    }
    router.check_lease()?;
    if router.is_stopped.load(Ordering::Relaxed) {
        let text = "this router is stopping; ask another";
        return Err(Rejection::not_run(503, "leaving", text));
    }
    // One is held by the router itself, one by this job.
    if Arc::strong_count(&router.in_flight) > router.settings.max_requests + 1 {
        let text = format!(
            "{} jobs are under way here; ask another router",
            router.settings.max_requests
        );
        return Err(Rejection::not_run(503, "router-full", text));
    }
    let reader = Reader {
        view: &view,
        parts: &head,
        draw: policy::stable_hash(id.as_bytes()),
    };
    let Some(route) = reader.with(|head| view.program.match_route(head)) else {
        return Err(Rejection::not_run(
            404,
            "no-route",
            "no route fits this method and path",
        ));
    };
    let mut body = body.take().expect("it is taken here alone");
    let announced = body.size_hint().lower() as usize;
    if held.len() + announced > longest {
        return Err(long_body(longest));
    }
    let rule = &view.program.routes[route];
    log::info!(job = id; "its body is here");
    let mut job = RequestStateMachine::new(rule.is_idempotent);
    if let Some(most) = rule.max_attempts {
        job = job.with_max_attempts(most);
    }
    let asked = (router.extensions.clients.remaining_ms)(&head.headers);
    let deadline = arrived + rule.deadline_ms.min(asked.unwrap_or(u64::MAX));

    // The head alone may settle who calls, before a byte of body is read.
    let mut extract = reader.extract(route, &held, is_ended);
    let service = match &extract.service {
        KeyField::Known(service) => service,
        _ => "",
    };
    (router.extensions.retries.deposit)(arrived, service, view.program.set_points.retry_ratio);
    let mut client = match rule.is_public {
        true => Some(Client {
            tenant: String::new(),
            key: String::new(),
        }),
        false => reader.tenant(&extract)?,
    };
    let door = &view.program.ingresses[rule.ingress];
    if client.is_none() && extract.tenant == KeyField::Missing && door.tenant_source.is_in_head() {
        let text = format!(
            "door {} finds no tenant key where it should stand",
            door.name
        );
        return Err(Rejection::not_run(401, "no-key", text));
    }
    let until = tokio::time::Instant::now() + router.settings.body_head_timeout;
    while !extract.is_complete() && !is_ended && held.len() < BODY_LIMIT_BYTES {
        match tokio::time::timeout_at(until, body.frame()).await {
            Err(_) => {
                let text = "the part of the body that holds the key came too slowly";
                return Err(Rejection::not_run(408, "slow-body", text));
            }
            Ok(None) => is_ended = true,
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    held.extend_from_slice(&data);
                }
                is_ended = body.is_end_stream();
            }
            Ok(Some(Err(error))) => {
                let text = format!("the body can't be read: {error}");
                return Err(Rejection::not_run(400, "broken-body", text));
            }
        }
        extract = reader.extract(route, &held, is_ended);
        if client.is_none() {
            client = reader.tenant(&extract)?;
        }
    }
    apply_event(&mut job, RequestEvent::RoutingKeyExtracted);
    if let Some(client) = client.as_ref().filter(|_| !rule.is_public) {
        *claim = Some(Claim::new(router, &client.key, id)?);
    }
    // Also where the piece that went past the cap was the last one.
    let is_past_cap = held.len() >= BODY_LIMIT_BYTES;
    let rest = (!is_ended).then(|| rest_of(body, longest.saturating_sub(held.len())));
    let mut carried = RequestBody::new(held.freeze(), rest);
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_string();
    let parts = RequestParts {
        id: id.into(),
        method: head.method.clone(),
        target,
        headers: head.headers.clone(),
        key_digest: client
            .as_ref()
            .map_or(String::new(), |client| client.key.clone()),
        deadline_ms: deadline,
        prompt: reader.with(|head| view.program.prompt(rule, head)),
        urgency: client
            .as_ref()
            .and_then(|client| view.tenants.get(&client.tenant))
            .map(|terms| terms.urgency)
            .filter(|urgency| *urgency != u8::MAX)
            .or(rule.urgency),
        latency_target_ms: rule.latency_target_ms.unwrap_or(0),
    };
    let tenant = client.map(|client| client.tenant);
    let (tenant, service) = match (&tenant, &extract.service) {
        (Some(tenant), KeyField::Known(service)) => (tenant.clone(), service.clone()),
        _ if is_past_cap => return unkeyed(router, job, &parts, &mut carried, tenant).await,
        (None, _) => {
            let text = format!("door {} finds no tenant key in this body", door.name);
            return Err(Rejection::not_run(401, "no-key", text));
        }
        _ => {
            let place = match (&rule.target, &door.model_source) {
                (Target::Model, Some(Source::Body(path))) => {
                    format!("body field {}", path.join("."))
                }
                _ => "where the door looks for it".to_string(),
            };
            let text = format!("no model is to be found: {place}");
            return Err(Rejection::not_run(400, "no-model", text));
        }
    };
    let terms = view
        .tenants
        .get(&tenant)
        .map_or((0, 0), |terms| (terms.requests_per_s, terms.burst));
    let routers = match view.router_count as usize {
        0 => 0,
        known => known.max(router.membership.read().count()),
    };
    if let Err(refusal) = router
        .quota
        .admit(&tenant, terms, routers, router.settings.quota_wait)
        .await
    {
        router.metrics.increment("refused-quota");
        return Err(refusal);
    }
    log::info!(job = id; "admitted");
    let homes = rule.home_regions.clone();
    let keyed = Keyed {
        tenant,
        service,
        prefix: extract.prefix_hash.unwrap_or(0),
        homes,
    };
    route_keyed(router, job, &parts, carried, &keyed).await
}

fn long_body(longest: usize) -> Rejection {
    Rejection::not_run(
        413,
        "long-body",
        format!("a body holds {longest} bytes at the most"),
    )
}

/// The rest of a caller's body, with a bound on its length.
fn rest_of(body: Body, left: usize) -> BodyStream {
    let limited = http_body_util::Limited::new(body, left);
    limited
        .map_err(|error| anyhow::anyhow!("{error}"))
        .boxed_unsync()
}

struct Keyed {
    tenant: String,
    service: String,
    prefix: u64,
    /// The route's own homes; empty stands for any region.
    homes: Vec<String>,
}

/// Holds a body back, as far as `most`; says whether that was all of it.
async fn hold(
    router: &Router,
    body: &mut Body,
    held: &mut BytesMut,
    most: usize,
) -> Result<bool, Rejection> {
    let until = tokio::time::Instant::now() + router.settings.body_head_timeout;
    while held.len() < most {
        match tokio::time::timeout_at(until, body.frame()).await {
            Err(_) => {
                return Err(Rejection::not_run(
                    408,
                    "slow-body",
                    "the body came too slowly",
                ));
            }
            Ok(None) => return Ok(true),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    held.extend_from_slice(&data);
                }
                if body.is_end_stream() {
                    return Ok(true);
                }
            }
            Ok(Some(Err(error))) => {
                let text = format!("the body can't be read: {error}");
                return Err(Rejection::not_run(400, "broken-body", text));
            }
        }
    }
    Ok(false)
}

/// What is left of a mapping within a route's own homes.
fn within(view: &View, mapping: Mapping, homes: &[String]) -> Result<Mapping, Rejection> {
    if homes.is_empty() {
        return Ok(mapping);
    }
    let is_home = |region: &String| homes.contains(region);
    let regions = mapping
        .regions
        .into_iter()
        .filter(|region| is_home(&region.0))
        .collect();
    let in_home = |cell: &str| view.cell(cell).is_some_and(|cell| is_home(&cell.region));
    let cells: Vec<_> = mapping
        .cells
        .into_iter()
        .filter(|cell| in_home(&cell.0))
        .collect();
    if cells.is_empty() {
        let text = "no engine stands where this route and this tenant may be served";
        return Err(Rejection::not_run(503, "no-place", text));
    }
    Ok(Mapping {
        regions,
        cells,
        ..mapping
    })
}

/// A job whose key lies past the cap: the whole of it goes to a directory node
/// that may see its body.
async fn unkeyed(
    router: &Arc<Router>,
    mut job: RequestStateMachine,
    parts: &RequestParts,
    carried: &mut RequestBody,
    tenant: Option<String>,
) -> Result<Response, Rejection> {
    router.metrics.increment("unkeyed");
    match forward::forward(router, &mut job, parts, carried, tenant.as_deref(), None).await {
        ForwardOutcome::Response(response) => Ok(response),
        ForwardOutcome::Refused(refusal) => Err(refusal),
        ForwardOutcome::Mapping(_) | ForwardOutcome::Unreachable => {
            let text = "its key is not to be found early enough, and no directory node may see it";
            Err(Rejection::not_run(503, "no-directory", text).retry(2_000))
        }
    }
}

async fn route_keyed(
    router: &Arc<Router>,
    mut job: RequestStateMachine,
    parts: &RequestParts,
    mut carried: RequestBody,
    keyed: &Keyed,
) -> Result<Response, Rejection> {
    let key = residency::routing_key(&keyed.tenant, &keyed.service);
    for _ in 0..3 {
        let mapping = match known(router, &key, keyed).await {
            Some(mapping) => mapping,
            None => match missed(router, &mut job, parts, &mut carried, &key, keyed).await? {
                Missed::Mapping(mapping) => mapping,
                Missed::Answer(response) => return Ok(response),
            },
        };
        let view = router.view.borrow().clone();
        let mapping = within(&view, mapping, &keyed.homes)?;
        let mut chart = job;
        apply_event(&mut chart, RequestEvent::MappingResolved);
        let work =
            router
                .dispatcher
                .dispatch(&mut chart, parts, &mut carried, &mapping, keyed.prefix);
        match work.await {
            Ok(answer) => {
                let mut response = hyper::Response::new(Body::wrap(answer.body));
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                return Ok(response);
            }
            // Looked up anew only while nothing can have run: the next round
            // begins with a chart that knows of none.
            Err(refusal)
                if refusal.code == "mapping-void"
                    && refusal.outcome == ExecutionOutcome::NotRun
                    && carried.is_intact() => {}
            Err(refusal) => return Err(refusal),
        }
    }
    let text = "where this job may go keeps changing";
    Err(Rejection::not_run(503, "mapping-void", text))
}

/// What the two layers hold. A stale hit is used at once and refreshed behind.
async fn known(router: &Arc<Router>, key: &str, keyed: &Keyed) -> Option<Mapping> {
    let count = |name| router.metrics.increment(name);
    match router.cache_tiers.get_local(key) {
        CacheLookup::Fresh(mapping) => {
            count("own-fresh");
            return Some(mapping);
        }
        CacheLookup::Stale(mapping) => {
            count("own-stale");
            refresh(router, key, keyed);
            return Some(mapping);
        }
        CacheLookup::Miss => {}
    }
    match membership::look(router, key).await {
        CacheLookup::Fresh(mapping) => {
            count("shared-fresh");
            router.cache_tiers.insert_local(&mapping);
            Some(mapping)
        }
        CacheLookup::Stale(mapping) => {
            count("shared-stale");
            refresh(router, key, keyed);
            Some(mapping)
        }
        CacheLookup::Miss => {
            count("misses");
            None
        }
    }
}

/// Asks for a key behind the job that used its stale mapping.
fn refresh(router: &Arc<Router>, key: &str, keyed: &Keyed) {
    let Ok(permit) = router.cache_tiers.join_or_lead(key) else {
        return;
    };
    let (router, tenant, service) = (
        Arc::clone(router),
        keyed.tenant.clone(),
        keyed.service.clone(),
    );
    tokio::spawn(async move {
        tokio::time::sleep(transport::jitter(20)).await;
        router.metrics.increment("refreshes");
        let region = &router.settings.region;
        let answer = router
            .pending_lookups
            .resolve(&tenant, &service, region, RESOLVE_PATIENCE)
            .await;
        if let LookupResponse::Found(mapping) = answer {
            membership::keep(&router, &mapping);
            permit.publish(&mapping);
        }
    });
}

enum Missed {
    Mapping(Mapping),
    Answer(Response),
}

/// A miss: one job per key goes to a directory node, the others wait for the
/// mapping that it brings.
async fn missed(
    router: &Arc<Router>,
    job: &mut RequestStateMachine,
    parts: &RequestParts,
    carried: &mut RequestBody,
    key: &str,
    keyed: &Keyed,
) -> Result<Missed, Rejection> {
    let permit = loop {
        match router.cache_tiers.join_or_lead(key) {
            Ok(permit) => break permit,
            Err(mut brought) => {
                router.metrics.increment("joined");
                let wait = brought.wait_for(|mapping| mapping.is_some());
                match tokio::time::timeout(JOIN_PATIENCE, wait).await {
                    Ok(Ok(mapping)) => {
                        let mapping = mapping.clone().expect("waited for");
                        if !router.cache_tiers.is_void(&mapping) {
                            return Ok(Missed::Mapping(mapping));
                        }
                    }
                    // The leader went without a mapping; lead the lookup.
                    Ok(Err(_)) => {}
                    Err(_) => {
                        let text = "the mapping of this key did not come in time";
                        return Err(Rejection::not_run(503, "no-mapping", text));
                    }
                }
            }
        }
        if now() >= parts.deadline_ms {
            return Err(Rejection::not_run(
                504,
                "deadline",
                "the job's deadline passed",
            ));
        }
    };
    let tenant = Some(&*keyed.tenant);
    if router.settings.resolves_by_key_only {
        return ask(router, job, &permit, keyed).await;
    }
    match forward::forward(router, job, parts, carried, tenant, Some(&permit)).await {
        ForwardOutcome::Response(response) => return Ok(Missed::Answer(response)),
        ForwardOutcome::Mapping(mapping) => return Ok(Missed::Mapping(mapping)),
        // Lost on the way, but repeatable, still whole here, and in budget: by
        // the key alone, so that no second node has to be asked for its place.
        ForwardOutcome::Refused(_)
            if job.state() == RequestState::Identified
                && carried.is_intact()
                && (router.dispatcher.retry_budget)(&keyed.service) =>
        {
            router.metrics.increment("retries");
            log::info!(job = parts.id.as_str(); "a further round");
        }
        ForwardOutcome::Refused(refusal) => return Err(refusal),
        ForwardOutcome::Unreachable => {}
    }
    ask(router, job, &permit, keyed).await
}

/// No node is to see the body: the key alone, to whichever holds the session.
async fn ask(
    router: &Arc<Router>,
    job: &RequestStateMachine,
    permit: &LookupPermit,
    keyed: &Keyed,
) -> Result<Missed, Rejection> {
    router.metrics.increment("key-only");
    let region = &router.settings.region;
    match router
        .pending_lookups
        .resolve(&keyed.tenant, &keyed.service, region, RESOLVE_PATIENCE)
        .await
    {
        LookupResponse::Found(mapping) => {
            membership::keep(router, &mapping);
            permit.publish(&mapping);
            Ok(Missed::Mapping(mapping))
        }
        LookupResponse::NotFound { code, text } => Err(Rejection {
            outcome: job.outcome(),
            ..rejection::lookup_rejection(&code.0, text.0)
        }),
        LookupResponse::Unavailable => {
            let text = "no directory node can answer for this key now";
            let refusal = Rejection::not_run(503, "no-directory", text);
            Err(Rejection {
                outcome: job.outcome(),
                ..refusal
            })
        }
    }
}

/// Which routers a client may use, the nearest first.
pub fn lookup_routers(router: &Router, request: &Request) -> Result<Response, Rejection> {
    router.check_lease()?;
    let view = router.view.borrow().clone();
    let headers = request.headers();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let bearer = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = text("x-tenant-key").or(bearer) else {
        let text = "the tenant key stands in x-tenant-key or as a bearer token";
        return Err(Rejection::not_run(401, "no-key", text));
    };
    let Some(tenant) = view.keys.get(&policy::sha256_hex(key)) else {
        return Err(Rejection::not_run(
            401,
            "unknown-key",
            "this tenant key is not known",
        ));
    };
    let zone =
        http_server::query_parameter(request.uri(), "zone").unwrap_or(router.settings.zone.clone());
    let Some(region) = view.zones.get(&zone) else {
        return Err(Rejection::not_run(
            400,
            "unknown-zone",
            format!("there is no zone {zone}"),
        ));
    };
    // A body may be seen in the caller's own region and in its homes.
    let homes: Vec<&str> = view.tenants.get(tenant).map_or(Vec::new(), |terms| {
        terms.homes.iter().map(|home| home.0.as_str()).collect()
    });
    let membership = router.membership.read();
    let mut fronts: Vec<(u8, usize, u32, &protocol::RouterStatus)> = membership
        .fronts()
        .filter(|front| !front.is_draining && !view.evacuated.contains(&front.zone))
        .filter_map(|front| {
            let home = homes.iter().position(|home| *home == front.region);
            let is_allowed = homes.is_empty() || home.is_some() || front.region == *region;
            let far = match () {
                _ if front.zone == zone => 0,
                _ if front.region == *region => 1,
                _ => 2,
            };
            is_allowed.then_some((far, home.unwrap_or(0), rand::random(), front))
        })
        .collect();
    fronts.sort_by_key(|(far, home, draw, _)| (*far, *home, *draw));
    if fronts.is_empty() {
        let text = "no router that this client may use is in sight";
        return Err(Rejection::not_run(503, "no-router", text).retry(2_000));
    }
    let routers: Vec<simd_json::OwnedValue> = fronts
        .iter()
        .map(|(_, _, _, front)| {
            simd_json::json!({
                "name": front.name.clone(),
                "zone": front.zone.clone(),
                "region": front.region.clone(),
                "door": front.client_address.clone(),
            })
        })
        .collect();
    Ok(http_server::json(
        200,
        &simd_json::json!({ "zone": zone, "routers": routers }),
    ))
}
