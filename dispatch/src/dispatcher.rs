//! Carrying a job to an engine and its answer back.

use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::engine_tracker::{EngineSlot, EngineTracker, Selection};
use crate::guard::{ArmedGuard, DispatchGuard, GuardError, GuardSlot, GuardedStream};
use bytes::Bytes;
use http::HeaderMap;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::rt::TokioIo;
use placement::{
    ExecutionOutcome, RequestEvent, RequestState, RequestStateMachine, SelectionRequest,
};
use policy::Prompt;
use residency::{Mapping, View};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use telemetry::metrics::Metrics;
use tokio::net::TcpStream;
use tokio::sync::watch;
use transport::rejection::{Rejection, REQUEST_ID_HEADER};
use transport::{link, now, AbortOnDrop};

/// A stream that gives nothing for this long is broken.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long it may wait for any engine to be in sight.
const DISCOVERY_WAIT_MS: u64 = 500;
/// What an engine says with a 503 where it did not run the job.
pub const ENGINE_OUTCOME_HEADER: &str = "x-engine-outcome";

pub type BodyStream = UnsyncBoxBody<Bytes, anyhow::Error>;

/// A job's body: what was held back while its key was read, then the rest.
/// Invariant: it can be sent again exactly while `rest` was never there.
pub struct RequestBody {
    pub held: Bytes,
    rest: Option<BodyStream>,
    is_spent: bool,
}

impl RequestBody {
    pub fn new(held: Bytes, rest: Option<BodyStream>) -> RequestBody {
        RequestBody {
            held,
            rest,
            is_spent: false,
        }
    }

    /// Whether the whole body is still here to be sent.
    pub fn is_whole(&self) -> bool {
        !self.is_spent
    }

    pub fn has_rest(&self) -> bool {
        self.rest.is_some()
    }

    /// Takes the rest out to be sent; the body is then spent.
    pub fn take_rest(&mut self) -> Option<BodyStream> {
        self.is_spent |= self.rest.is_some();
        self.rest.take()
    }

    fn take(&mut self) -> OutgoingBody {
        let held = Some(self.held.clone()).filter(|held| !held.is_empty());
        OutgoingBody {
            held,
            rest: self.take_rest(),
        }
    }
}

pub struct OutgoingBody {
    held: Option<Bytes>,
    rest: Option<BodyStream>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            Some(_) => SizeHint::default(),
            None => SizeHint::with_exact(self.held.as_ref().map_or(0, |held| held.len() as u64)),
        }
    }
}

/// A body whose pieces another task hands over. Where that task hands over an
/// error, the body breaks.
pub struct ChannelBody(pub tokio::sync::mpsc::Receiver<anyhow::Result<Bytes>>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        self.0
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

/// Headers as they came over a link.
pub fn headers_from_frame(list: &[protocol::Header]) -> anyhow::Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    for header in list {
        headers.append(
            http::HeaderName::from_bytes(header.name.as_bytes())?,
            http::HeaderValue::from_bytes(&header.value)?,
        );
    }
    Ok(headers)
}

/// The same, the other way.
pub fn headers_to_frame(headers: &HeaderMap) -> Vec<protocol::Header> {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| protocol::Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// What is sent on of a job, and what the logs say of it.
pub struct RequestParts {
    pub id: String,
    pub method: http::Method,
    pub target: String,
    pub headers: HeaderMap,
    /// The digest of the tenant key that let the job in.
    pub key: String,
    /// On this process's clock.
    pub deadline: u64,
    pub prompt: Prompt,
    /// Who is let in first at an engine; `None` says nothing of it.
    pub urgency: Option<u8>,
    /// The time inside which the answer is to begin; 0 stands for none.
    pub aim_ms: u64,
}

/// An engine's answer, being relayed.
pub struct EngineResponse {
    pub status: http::StatusCode,
    pub headers: HeaderMap,
    pub body: RelayedBody,
}

/// PermitDispatch to go on with one more round for a service, where that would be a repeat
/// of work.
pub type RetryBudgetFn = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// What an engine is told of a job beside what its caller sent.
pub struct HeaderContext<'a> {
    pub id: &'a str,
    pub engine: &'a str,
    pub address: SocketAddr,
    pub tenant: &'a str,
    pub remaining_ms: u64,
    pub urgency: Option<u8>,
}

/// What the head of an engine's answer says.
#[derive(Debug, PartialEq)]
pub enum ResponseClass {
    Response,
    /// The engine says that it did not run the job.
    NotRun,
    /// It is another engine than the one that was meant, and did not run it.
    WrongEngine,
    /// It is no answer to this job.
    Unrelated(&'static str),
}

type RewriteHeaders = Box<dyn Fn(&mut HeaderMap, &HeaderContext) + Send + Sync>;
type ClassifyResponse =
    Box<dyn Fn(&RequestParts, http::StatusCode, &HeaderMap) -> ResponseClass + Send + Sync>;

/// How engines are spoken to. Own engines know a job by its id and say by one
/// header that they did not run it.
pub struct EngineProtocol {
    pub rewrite_headers: RewriteHeaders,
    pub classify_response: ClassifyResponse,
}

impl Default for EngineProtocol {
    fn default() -> EngineProtocol {
        let value = |text: &str| {
            text.parse()
                .expect("an address or an id is a header's value")
        };
        EngineProtocol {
            rewrite_headers: Box::new(move |headers, dress| {
                headers.insert("host", value(&dress.address.to_string()));
                headers.insert(REQUEST_ID_HEADER, value(dress.id));
            }),
            classify_response: Box::new(|_, status, headers| {
                let is_declined = status == 503
                    && headers
                        .get(ENGINE_OUTCOME_HEADER)
                        .is_some_and(|value| value == "not-run");
                if is_declined {
                    ResponseClass::NotRun
                } else {
                    ResponseClass::Response
                }
            }),
        }
    }
}

/// How jobs get to engines.
pub struct DispatchOptions {
    pub engine_protocol: EngineProtocol,
    /// How long an idle connection is kept where the engine says nothing of it, in
    /// milliseconds; 0 keeps none. Only repeatable jobs ride one that was used.
    pub idle_timeout_ms: u64,
    pub connect_timeout: Duration,
    /// How long a job may wait for any engine to be in sight.
    pub discovery_wait_ms: u64,
    /// A repeatable job leaves an engine that has not begun to answer when this
    /// share of its aim has passed; 0 stands for never.
    pub abandon_after_fraction: f64,
}

impl Default for DispatchOptions {
    fn default() -> DispatchOptions {
        DispatchOptions {
            engine_protocol: EngineProtocol::default(),
            idle_timeout_ms: 0,
            connect_timeout: link::HANDSHAKE_TIMEOUT,
            discovery_wait_ms: DISCOVERY_WAIT_MS,
            abandon_after_fraction: 0.0,
        }
    }
}

/// Permission to dispatch, asked for in the last moment before the first byte.
pub type PermitDispatch = Arc<dyn Fn(&Mapping) -> Result<(), Rejection> + Send + Sync>;

pub struct Dispatcher {
    pub source: SocketAddr,
    /// How long a job may wait for room at an engine, at the most.
    pub slot_wait_ms: u64,
    pub engine_tracker: Arc<EngineTracker>,
    pub view: watch::Receiver<Arc<View>>,
    pub metrics: Arc<Metrics>,
    pub retry_budget: RetryBudgetFn,
    pub permit: PermitDispatch,
    pub options: DispatchOptions,
    pub connections: Arc<ConnectionPool>,
}

const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Takes away what belongs to one connection, and what only rushport may say.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase())
        })
        .collect();
    for name in HOP.iter().map(|name| name.to_string()).chain(listed) {
        headers.remove(name.as_str());
    }
    let ours: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with("x-rushport-"))
        .cloned()
        .collect();
    for name in ours {
        headers.remove(name);
    }
}

fn unknown(status: u16, code: &str, text: &str) -> Rejection {
    Rejection {
        outcome: ExecutionOutcome::Unknown,
        ..Rejection::not_run(status, code, text)
    }
}

/// Invariant: the events that a process hands to a job's chart are ones that
/// the chart allows there.
pub fn apply_event(job: &mut RequestStateMachine, event: RequestEvent) {
    if let Err(misstep) = job.apply(event) {
        panic!("a job left its chart: {misstep}");
    }
}

impl Dispatcher {
    /// Sends a job in state `Mapped` to an engine. A refusal says the job's
    /// true outcome.
    pub async fn dispatch(
        &self,
        job: &mut RequestStateMachine,
        parts: &RequestParts,
        carried: &mut RequestBody,
        mapping: &Mapping,
        prefix: u64,
    ) -> Result<EngineResponse, Rejection> {
        let asked = now();
        let mapping = Arc::new(mapping.clone());
        let mut avoid: Vec<String> = Vec::new();
        let mut is_paid = false;
        loop {
            if carried.is_spent {
                return Err(self.give_up(job, "its body is spent"));
            }
            let mut has_budget = || {
                let has_budget =
                    std::mem::take(&mut is_paid) || (self.retry_budget)(&mapping.service);
                self.metrics.increment(if has_budget {
                    "retries"
                } else {
                    "retries-refused"
                });
                if has_budget {
                    log::info!(job = parts.id.as_str(); "a further round");
                }
                has_budget
            };
            if !job.may_attempt(&mut has_budget) {
                return Err(self.give_up(job, "no further round is allowed"));
            }
            let wanted = SelectionRequest {
                prompt: &parts.prompt,
                prefix,
                tried: &avoid,
            };
            let mut seat = match self.seat(&mapping, &wanted, asked, parts.deadline).await {
                Ok(seat) => seat,
                Err(refusal) if job.outcome() == ExecutionOutcome::NotRun => return Err(refusal),
                Err(refusal) => {
                    return Err(Rejection {
                        outcome: ExecutionOutcome::Unknown,
                        ..refusal
                    })
                }
            };
            apply_event(job, RequestEvent::EngineSelected);
            let kept = match job.is_idempotent() {
                true => self.connections.acquire(&seat.name),
                false => None,
            };
            let stream = match &kept {
                Some(_) => None,
                None => match self.connect(seat.address).await {
                    Ok(stream) => Some(stream),
                    Err(error) => {
                        log::info!(job = parts.id.as_str(), engine = seat.name.as_str();
                            "engine can't be reached: {error}");
                        self.metrics.increment("connect-failed");
                        seat.suspect();
                        self.connections.discard(&seat.name);
                        avoid.push(seat.name.clone());
                        apply_event(job, RequestEvent::ConnectFailed);
                        continue;
                    }
                },
            };
            let look = DispatchGuard {
                view: self.view.clone(),
                permit: Arc::clone(&self.permit),
                mapping: Arc::clone(&mapping),
                key: parts.key.clone(),
                deadline: parts.deadline,
                engine: seat.name.clone(),
                address: seat.address.to_string(),
                is_held: Box::new(seat.hold()),
            };
            // What is sure to stand against it is found before the job's body
            // is given away.
            let against = look.look();
            if against.is_err() {
                apply_event(job, RequestEvent::ConnectFailed);
            }
            match against {
                Ok(()) => {}
                Err(GuardError::Deadline) => return Err(self.late(job)),
                Err(GuardError::Key) => {
                    let text = "this tenant key was taken away meanwhile";
                    let refusal = Rejection::not_run(401, "unknown-key", text);
                    return Err(Rejection {
                        outcome: job.outcome(),
                        ..refusal
                    });
                }
                Err(GuardError::NotPermitted(refusal)) => {
                    return Err(Rejection {
                        outcome: job.outcome(),
                        ..refusal
                    })
                }
                Err(GuardError::Engine) => continue,
            }
            let first_byte_sent = Arc::new(AtomicBool::new(false));
            let armed = ArmedGuard {
                look,
                first_byte_sent: Arc::clone(&first_byte_sent),
                note: self.note(job, parts, &seat, &mapping),
            };
            let lane = match (kept, stream) {
                (Some(lane), _) => lane,
                (None, Some(stream)) => {
                    self.metrics.increment("connections");
                    let slot = Arc::new(GuardSlot::default());
                    let gate = GuardedStream {
                        stream: TokioIo::new(stream),
                        slot: Arc::clone(&slot),
                    };
                    match hyper::client::conn::http1::handshake(gate).await {
                        Ok((sender, connection)) => {
                            let driver = AbortOnDrop(tokio::spawn(connection).abort_handle());
                            PooledConnection {
                                sender,
                                slot,
                                driver,
                            }
                        }
                        Err(_) => {
                            apply_event(job, RequestEvent::ConnectFailed);
                            continue;
                        }
                    }
                }
                (None, None) => unreachable!("a connection was kept or made"),
            };
            let PooledConnection {
                mut sender,
                slot,
                driver,
            } = lane;
            slot.arm(armed);
            let request = self.request(parts, &seat, &mapping, carried);
            apply_event(job, RequestEvent::SendStarted);
            seat.sent(&parts.prompt);
            let left = Duration::from_millis(parts.deadline.saturating_sub(now()));
            let mut sending = std::pin::pin!(sender.send_request(request));
            let patience = self.patience(job, parts, &seat, carried);
            let answer = 'answer: {
                if let Some(patience) = patience {
                    let early = tokio::time::timeout(patience.min(left), sending.as_mut());
                    match early.await {
                        Ok(answer) => break 'answer Ok(answer.map_err(anyhow::Error::from)),
                        Err(_) if (self.retry_budget)(&mapping.service) => {
                            is_paid = true;
                            self.metrics.increment("left-late");
                            break 'answer Ok(Err(anyhow::anyhow!("it takes too long")));
                        }
                        Err(_) => {}
                    }
                }
                let left = Duration::from_millis(parts.deadline.saturating_sub(now()));
                tokio::select! {
                    answer = tokio::time::timeout(left, sending.as_mut()) => {
                        answer.map(|answer| answer.map_err(anyhow::Error::from))
                    }
                    () = seat.gone() => Ok(Err(anyhow::anyhow!("it fell silent"))),
                }
            };
            let verdict = match &answer {
                Ok(Ok(answer)) => (self.options.engine_protocol.classify_response)(
                    parts,
                    answer.status(),
                    answer.headers(),
                ),
                _ => ResponseClass::Response,
            };
            match (answer, verdict) {
                (Ok(Ok(_)), verdict @ (ResponseClass::NotRun | ResponseClass::WrongEngine)) => {
                    match verdict {
                        ResponseClass::WrongEngine => seat.ended(),
                        _ => seat.declined(),
                    }
                    self.metrics.increment("declined");
                    avoid.push(seat.name.clone());
                    apply_event(job, RequestEvent::NotRun);
                }
                (Ok(Ok(answer)), ResponseClass::Response) if has_end(&answer, &parts.method) => {
                    seat.began();
                    apply_event(job, RequestEvent::ResponseStarted);
                    let lane = PooledConnection {
                        sender,
                        slot,
                        driver,
                    };
                    return Ok(self.relay(*job, parts, answer, seat, lane));
                }
                (Ok(Ok(_)), verdict) => {
                    let why = match verdict {
                        ResponseClass::Unrelated(why) => why,
                        _ => "it has no end mark",
                    };
                    log::warn!(job = parts.id.as_str(), engine = seat.name.as_str();
                        "not an answer to this job: {why}");
                    self.metrics.increment("answers-foreign");
                    avoid.push(seat.name.clone());
                    apply_event(job, RequestEvent::ResponseLost);
                    if job.state() == RequestState::Failed {
                        return Err(unknown(502, "engine-answer", "the engine's answer is none"));
                    }
                }
                (Ok(Err(_)), _) if !first_byte_sent.load(Ordering::SeqCst) => {
                    self.metrics.increment("held-at-the-gate");
                    apply_event(job, RequestEvent::NothingSent);
                }
                (Ok(Err(error)), _) => {
                    log::info!(job = parts.id.as_str(), engine = seat.name.as_str();
                        "the answer was lost: {error}");
                    self.metrics.increment("answers-lost");
                    seat.suspect();
                    self.connections.discard(&seat.name);
                    avoid.push(seat.name.clone());
                    apply_event(job, RequestEvent::ResponseLost);
                    if job.state() == RequestState::Failed {
                        return Err(unknown(
                            502,
                            "engine-lost",
                            "the engine broke off before it answered",
                        ));
                    }
                }
                (Err(_), _) => return Err(self.late(job)),
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> std::io::Result<TcpStream> {
        let connecting = link::connect(self.source, to);
        match tokio::time::timeout(self.options.connect_timeout, connecting).await {
            Ok(done) => done,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    /// How long a job waits for the head of an answer before it goes to another
    /// engine; `None` where it may not, or its whole time.
    fn patience(
        &self,
        job: &RequestStateMachine,
        parts: &RequestParts,
        seat: &EngineSlot,
        carried: &RequestBody,
    ) -> Option<Duration> {
        let may_leave = job.is_idempotent()
            && job.has_attempts_left()
            && !carried.is_spent
            && self.options.abandon_after_fraction > 0.0
            && parts.aim_ms > 0;
        let wait = seat.expected_ms() + self.options.abandon_after_fraction * parts.aim_ms as f64;
        may_leave.then(|| Duration::from_millis(wait as u64))
    }

    fn request(
        &self,
        parts: &RequestParts,
        seat: &EngineSlot,
        mapping: &Mapping,
        carried: &mut RequestBody,
    ) -> hyper::Request<OutgoingBody> {
        let mut headers = parts.headers.clone();
        strip_connection_headers(&mut headers);
        let dress = HeaderContext {
            id: &parts.id,
            engine: &seat.name,
            address: seat.address,
            tenant: &mapping.tenant,
            remaining_ms: parts.deadline.saturating_sub(now()).max(1),
            urgency: parts.urgency,
        };
        (self.options.engine_protocol.rewrite_headers)(&mut headers, &dress);
        let mut request = hyper::Request::new(carried.take());
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = parts
            .target
            .parse()
            .expect("the target was a uri when it came in");
        *request.headers_mut() = headers;
        request
    }

    fn note(
        &self,
        job: &RequestStateMachine,
        parts: &RequestParts,
        seat: &EngineSlot,
        mapping: &Mapping,
    ) -> Box<dyn Fn() + Send> {
        let (metrics, view) = (Arc::clone(&self.metrics), self.view.clone());
        let (id, engine, round) = (parts.id.clone(), seat.name.clone(), job.attempts());
        let (tenant, service) = (mapping.tenant.clone(), mapping.service.clone());
        Box::new(move || {
            metrics.increment("dispatches");
            log::info!(job = id.as_str(), engine = engine.as_str(), tenant = tenant.as_str(),
                service = service.as_str(), round = round, epoch = view.borrow().epoch;
                "dispatched");
        })
    }

    fn late(&self, job: &RequestStateMachine) -> Rejection {
        let refusal = Rejection::not_run(504, "deadline", "the job's deadline passed");
        Rejection {
            outcome: job.outcome(),
            ..refusal
        }
    }

    fn give_up(&self, job: &RequestStateMachine, why: &str) -> Rejection {
        match job.outcome() {
            ExecutionOutcome::NotRun => Rejection::not_run(
                503,
                "engines-unreachable",
                format!("no engine took the job and {why}"),
            ),
            _ => unknown(
                502,
                "engine-lost",
                "the engine broke off before it answered",
            ),
        }
    }

    /// Elects an engine, waiting a little for room where there is none.
    async fn seat(
        &self,
        mapping: &Mapping,
        wanted: &SelectionRequest<'_>,
        asked: u64,
        deadline: u64,
    ) -> Result<EngineSlot, Rejection> {
        loop {
            let room = self.engine_tracker.capacity_changed.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            let view = self.view.borrow().clone();
            let (until, refusal) = match self.engine_tracker.select_engine(&view, mapping, wanted) {
                Selection::Engine(seat) => return Ok(seat),
                Selection::AtCapacity => (
                    (asked + self.slot_wait_ms).min(deadline),
                    Rejection::not_run(503, "engines-full", "every engine allowed is at its limit"),
                ),
                Selection::NoneAvailable => (
                    (asked + self.options.discovery_wait_ms).min(deadline),
                    Rejection::not_run(503, "no-engine", "no engine allowed is in sight"),
                ),
            };
            let left = until.saturating_sub(now());
            if left == 0 {
                self.metrics.increment("refused-no-room");
                return Err(refusal);
            }
            // The end of the wait is looked at above, with one more election.
            let _ = tokio::time::timeout(Duration::from_millis(left), room).await;
        }
    }

    fn relay(
        &self,
        job: RequestStateMachine,
        parts: &RequestParts,
        answer: hyper::Response<Incoming>,
        seat: EngineSlot,
        lane: PooledConnection,
    ) -> EngineResponse {
        let (head, body) = answer.into_parts();
        let mut headers = head.headers;
        let idle_timeout_ms = match self.options.idle_timeout_ms {
            0 => 0,
            most => idle_timeout_ms(&headers).unwrap_or(most),
        };
        strip_connection_headers(&mut headers);
        let relay = RelayedBody {
            body,
            job,
            id: parts.id.clone(),
            seat,
            metrics: Arc::clone(&self.metrics),
            idle: Box::pin(tokio::time::sleep(STREAM_IDLE_TIMEOUT)),
            lane: Some(lane),
            connections: Arc::clone(&self.connections),
            idle_timeout_ms,
        };
        EngineResponse {
            status: head.status,
            headers,
            body: relay,
        }
    }
}

/// Whether the end of an answer can be told from a break, and in one way alone: it
/// has a length, or comes in chunks with a last one. Any other transfer coding lasts
/// until the connection closes, and its end looks like a break. Of an answer with
/// both a length and a coding nobody knows which one counts.
fn has_end(answer: &hyper::Response<Incoming>, method: &http::Method) -> bool {
    let headers = answer.headers();
    let mut codings = headers.get_all("transfer-encoding").iter();
    match (codings.next(), codings.next()) {
        _ if answer.status().is_informational() => false,
        (None, _) => method == http::Method::HEAD || answer.body().size_hint().exact().is_some(),
        (Some(coding), None) => {
            !headers.contains_key("content-length")
                && coding.as_bytes().eq_ignore_ascii_case(b"chunked")
        }
        (Some(_), Some(_)) => false,
    }
}

/// An answer on its way. What the engine breaks off, this breaks off.
pub struct RelayedBody {
    body: Incoming,
    job: RequestStateMachine,
    id: String,
    seat: EngineSlot,
    metrics: Arc<Metrics>,
    idle: Pin<Box<tokio::time::Sleep>>,
    lane: Option<PooledConnection>,
    connections: Arc<ConnectionPool>,
    idle_timeout_ms: u64,
}

/// The longest time that an engine's word on its idle connections is believed for.
const LONGEST_KEPT_MS: u64 = 3_600_000;

/// How long an engine keeps an idle connection by its own word, less a margin.
fn idle_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    let stated_ms = seconds.saturating_mul(1_000).min(LONGEST_KEPT_MS);
    Some(stated_ms.saturating_sub(300))
}

impl RelayedBody {
    pub fn engine(&self) -> &str {
        &self.seat.name
    }

    fn end(&mut self, event: RequestEvent) {
        if self.job.state() == RequestState::Responding {
            apply_event(&mut self.job, event);
            match event {
                RequestEvent::ResponseEnded => {
                    self.metrics.increment("answers-whole");
                    if let Some(lane) = self.lane.take() {
                        self.connections
                            .release(&self.seat.name, self.idle_timeout_ms, lane);
                    }
                }
                RequestEvent::ResponseBroken => {
                    self.metrics.increment("answers-broken");
                    self.seat.suspect();
                }
                _ => self.metrics.increment("callers-left"),
            }
            log::info!(job = self.id.as_str(), engine = self.seat.name.as_str();
                "{:?}", self.job.state());
        }
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        // hyper drops a body without a last poll where its length is reached.
        let event = match self.body.is_end_stream() {
            true => RequestEvent::ResponseEnded,
            false => RequestEvent::ClientDisconnected,
        };
        self.end(event);
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle
                    .as_mut()
                    .reset(tokio::time::Instant::now() + STREAM_IDLE_TIMEOUT);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(RequestEvent::ResponseBroken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end(RequestEvent::ResponseEnded);
                Poll::Ready(None)
            }
            Poll::Pending => match std::future::Future::poll(self.idle.as_mut(), context) {
                Poll::Ready(()) => {
                    self.end(RequestEvent::ResponseBroken);
                    Poll::Ready(Some(Err(anyhow::anyhow!("the engine fell silent"))))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
