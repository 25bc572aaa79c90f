//! The life of a request's dispatch: attempt after attempt until an engine's response
//! begins, or no further attempt is allowed.
//!
//! Each attempt selects an engine, connects, checks the guard, sends the request, awaits
//! the head of the response and classifies it. Whether another attempt may follow is
//! decided by [`RequestStateMachine`], so that a request that may have run and isn't
//! idempotent is never sent twice.

use crate::body::RequestBody;
use crate::connect::EngineConnection;
use crate::connection_pool::{ConnectionHistory, PooledConnection};
use crate::dispatcher::Dispatcher;
use crate::engine_protocol::ResponseClass;
use crate::engine_tracker::EngineSlot;
use crate::guard::{ArmedGuard, DispatchGuard, GuardError};
use crate::outgoing::outgoing_request;
use crate::rejections;
use crate::relay::{EngineResponse, Relay};
use crate::request::{apply_event, RequestParts};
use crate::response_head::{is_delimited, LostResponse, ResponseHead, UnusableResponse};
use hyper::body::Incoming;
use hyper::Response;
use placement::{
    ConnectionDemand, ExecutionOutcome, RequestEvent, RequestState, RequestStateMachine,
    SelectionRequest,
};
use residency::Mapping;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use transport::now;
use transport::rejection::Rejection;

/// One request under dispatch, over all its attempts.
struct Dispatch<'a> {
    dispatcher: &'a Dispatcher,
    state: &'a mut RequestStateMachine,
    request: &'a RequestParts,
    body: &'a mut RequestBody,
    mapping: Arc<Mapping>,
    prefix: u64,
    started_ms: u64,
    /// Engines that failed this request.
    tried: Vec<String>,
    /// The retry budget was asked when the last engine was abandoned, and is not asked
    /// again for the attempt that follows.
    is_retry_paid: bool,
}

impl Dispatcher {
    /// Sends a request in state `Resolved` to an engine, and returns the response as
    /// soon as it begins. `prefix` is the hash of the prompt's prefix, for affinity.
    ///
    /// # Errors
    /// The rejection says by its outcome whether the request may have run.
    pub async fn dispatch(
        &self,
        state: &mut RequestStateMachine,
        request: &RequestParts,
        body: &mut RequestBody,
        mapping: &Mapping,
        prefix: u64,
    ) -> Result<EngineResponse, Rejection> {
        let started_ms = now();
        let mut dispatch = Dispatch {
            dispatcher: self,
            state,
            request,
            body,
            mapping: Arc::new(mapping.clone()),
            prefix,
            started_ms,
            tried: Vec::new(),
            is_retry_paid: false,
        };
        loop {
            dispatch.check_may_attempt()?;
            if let Some(response) = dispatch.attempt().await? {
                return Ok(response);
            }
        }
    }
}

impl Dispatch<'_> {
    /// Whether an attempt may begin. Takes a retry out of the budget where it repeats
    /// work.
    fn check_may_attempt(&mut self) -> Result<(), Rejection> {
        if !self.body.is_intact() {
            return Err(rejections::no_engine_left(
                self.state.outcome(),
                "its body can't be sent again",
            ));
        }
        let mut take_retry = || {
            let is_granted = std::mem::take(&mut self.is_retry_paid)
                || (self.dispatcher.retry_budget)(&self.mapping.service);
            self.dispatcher.metrics.increment(match is_granted {
                true => "retries",
                false => "retries-refused",
            });
            if is_granted {
                log::info!(job = self.request.id.as_str(); "retrying the request");
            }
            is_granted
        };
        match self.state.may_attempt(&mut take_retry) {
            true => Ok(()),
            false => Err(rejections::no_engine_left(
                self.state.outcome(),
                "no further attempt is allowed",
            )),
        }
    }

    /// One attempt. `None`: it gave no response, and another attempt may be allowed.
    async fn attempt(&mut self) -> Result<Option<EngineResponse>, Rejection> {
        let mut slot = self.select().await?;
        let Some(connection) = self.connect(&slot).await else {
            return Ok(None);
        };
        // What is sure to stand against the dispatch is found before the body is taken;
        // the guard is checked again with the first byte.
        let guard = self.guard(&slot);
        if !self.check(&guard)? {
            return Ok(None);
        }
        let first_byte_sent = Arc::new(AtomicBool::new(false));
        let armed = ArmedGuard {
            guard,
            first_byte_sent: Arc::clone(&first_byte_sent),
            record_dispatch: self.dispatcher.dispatch_recorder(
                self.request,
                &self.mapping,
                &slot,
                self.state.attempts(),
            ),
        };
        let Some(connection) = self.handshake(connection).await else {
            return Ok(None);
        };
        let PooledConnection {
            mut sender,
            guard_slot,
            driver,
            history,
        } = connection;
        guard_slot.arm(armed);
        let engine_protocol = &self.dispatcher.options.engine_protocol;
        let outgoing = outgoing_request(
            engine_protocol,
            self.request,
            self.body,
            &self.mapping,
            &slot,
        );
        apply_event(self.state, RequestEvent::SendStarted);
        slot.record_send(&self.request.prompt);
        let remaining = self.remaining();
        let mut sending = pin!(sender.send_request(outgoing));
        let head = self.await_head(sending.as_mut(), &slot, remaining).await;
        match head {
            ResponseHead::Received(response) => match self.classify(&response, history) {
                Ok(()) => {
                    slot.record_first_event();
                    apply_event(self.state, RequestEvent::ResponseStarted);
                    let connection = PooledConnection {
                        sender,
                        guard_slot,
                        driver,
                        history,
                    };
                    Ok(Some(self.relay(response, slot, connection)))
                }
                Err(unusable) => self.handle_unusable(unusable, &slot, history),
            },
            ResponseHead::Lost(_) if !first_byte_sent.load(Ordering::SeqCst) => {
                self.dispatcher.metrics.increment("held-at-the-gate");
                apply_event(self.state, RequestEvent::NothingSent);
                Ok(None)
            }
            ResponseHead::Lost(error) => self.handle_lost(error, &slot, history),
            ResponseHead::DeadlinePassed => Err(rejections::deadline_passed(self.state.outcome())),
        }
    }

    async fn select(&mut self) -> Result<EngineSlot, Rejection> {
        let selection = SelectionRequest {
            prompt: &self.request.prompt,
            prefix: self.prefix,
            tried: &self.tried,
        };
        let deadline_ms = self.request.deadline_ms;
        let selecting =
            self.dispatcher
                .select(&self.mapping, &selection, self.started_ms, deadline_ms);
        match selecting.await {
            Ok(slot) => {
                apply_event(self.state, RequestEvent::EngineSelected);
                Ok(slot)
            }
            Err(rejection) => match self.state.outcome() {
                ExecutionOutcome::NotRun => Err(rejection),
                _ => Err(rejection.with_outcome(ExecutionOutcome::Unknown)),
            },
        }
    }

    /// A connection to the engine: a pooled one, if there is one and the request may use
    /// it.
    async fn connect(&mut self, slot: &EngineSlot) -> Option<EngineConnection> {
        let demand = self.connection_demand();
        if let Some(pooled) = self.dispatcher.connections.acquire(&slot.name, demand) {
            return Some(EngineConnection::Pooled(pooled));
        }
        match self.dispatcher.connect(slot.address).await {
            Ok(stream) => Some(EngineConnection::New(stream)),
            Err(error) => {
                log::info!(job = self.request.id.as_str(), engine = slot.name.as_str();
                    "connecting to the engine failed: {error}");
                self.dispatcher.metrics.increment("connect-failed");
                self.record_failure(slot);
                apply_event(self.state, RequestEvent::ConnectFailed);
                None
            }
        }
    }

    fn connection_demand(&self) -> ConnectionDemand {
        ConnectionDemand {
            is_idempotent: self.state.is_idempotent(),
            is_retry: !self.tried.is_empty(),
        }
    }

    /// What must hold when the first byte is sent to this engine.
    fn guard(&self, slot: &EngineSlot) -> DispatchGuard {
        DispatchGuard {
            view: self.dispatcher.view.clone(),
            permit: Arc::clone(&self.dispatcher.permit),
            mapping: Arc::clone(&self.mapping),
            key_digest: self.request.key_digest.clone(),
            deadline_ms: self.request.deadline_ms,
            engine: slot.name.clone(),
            address: slot.address.to_string(),
            is_slot_valid: Box::new(slot.validity_check()),
        }
    }

    /// Checks the guard. `false`: this engine may not have the request any more, another
    /// one may.
    fn check(&mut self, guard: &DispatchGuard) -> Result<bool, Rejection> {
        let Err(error) = guard.check() else {
            return Ok(true);
        };
        apply_event(self.state, RequestEvent::ConnectFailed);
        match error {
            GuardError::DeadlinePassed => Err(rejections::deadline_passed(self.state.outcome())),
            GuardError::KeyRevoked => Err(rejections::key_revoked(self.state.outcome())),
            GuardError::NotPermitted(rejection) => {
                Err(rejection.with_outcome(self.state.outcome()))
            }
            GuardError::EngineUnavailable => Ok(false),
        }
    }

    async fn handshake(&mut self, connection: EngineConnection) -> Option<PooledConnection> {
        let stream = match connection {
            EngineConnection::Pooled(pooled) => return Some(pooled),
            EngineConnection::New(stream) => stream,
        };
        let connected = self.dispatcher.handshake(stream).await.ok();
        if connected.is_none() {
            apply_event(self.state, RequestEvent::ConnectFailed);
        }
        connected
    }

    /// Waits for the head of the response: until the deadline, until the engine falls
    /// silent, or until the request abandons the engine for another one.
    async fn await_head(
        &mut self,
        mut sending: Pin<&mut impl Future<Output = hyper::Result<Response<Incoming>>>>,
        slot: &EngineSlot,
        remaining: Duration,
    ) -> ResponseHead {
        if let Some(patience) = self.abandon_after(slot) {
            let early = tokio::time::timeout(patience.min(remaining), sending.as_mut());
            match early.await {
                Ok(result) => return result.into(),
                Err(_) if (self.dispatcher.retry_budget)(&self.mapping.service) => {
                    self.is_retry_paid = true;
                    self.dispatcher.metrics.increment("left-late");
                    return ResponseHead::Lost(LostResponse::Abandoned);
                }
                Err(_) => {}
            }
        }
        tokio::select! {
            result = tokio::time::timeout(self.remaining(), sending) => match result {
                Ok(result) => result.into(),
                Err(_) => ResponseHead::DeadlinePassed,
            },
            () = slot.wait_until_lost() => ResponseHead::Lost(LostResponse::Silent),
        }
    }

    /// How long the request waits for a response to begin before it abandons the engine
    /// for another one; `None` where it may not.
    fn abandon_after(&self, slot: &EngineSlot) -> Option<Duration> {
        let fraction = self.dispatcher.options.abandon_after_fraction;
        let slo_ms = self.request.latency_slo_ms;
        let may_abandon = self.state.is_idempotent()
            && self.state.has_attempts_left()
            && self.body.is_intact()
            && fraction > 0.0
            && slo_ms > 0;
        let wait_ms = slot.expected_first_event_ms() + fraction * slo_ms as f64;
        may_abandon.then(|| Duration::from_millis(wait_ms as u64))
    }

    /// Whether a response can be relayed to the client.
    fn classify(
        &self,
        response: &Response<Incoming>,
        history: ConnectionHistory,
    ) -> Result<(), UnusableResponse> {
        let classify = &self.dispatcher.options.engine_protocol.classify_response;
        match classify(self.request, history, response.status(), response.headers()) {
            ResponseClass::Response if is_delimited(response, &self.request.method) => Ok(()),
            ResponseClass::Response => Err(UnusableResponse::Unrelated("it has no end mark")),
            ResponseClass::NotRun => Err(UnusableResponse::NotRun),
            ResponseClass::WrongEngine => Err(UnusableResponse::WrongEngine),
            ResponseClass::Unrelated(reason) => Err(UnusableResponse::Unrelated(reason)),
        }
    }

    fn handle_unusable(
        &mut self,
        response: UnusableResponse,
        slot: &EngineSlot,
        history: ConnectionHistory,
    ) -> Result<Option<EngineResponse>, Rejection> {
        match response {
            UnusableResponse::WrongEngine => slot.record_replaced(),
            UnusableResponse::NotRun => slot.record_not_run(),
            UnusableResponse::Unrelated(reason) => {
                self.dispatcher.connections.record_loss(&slot.name, history);
                return self.handle_unrelated(reason, slot);
            }
        }
        self.dispatcher.metrics.increment("declined");
        self.tried.push(slot.name.clone());
        apply_event(self.state, RequestEvent::NotRun);
        Ok(None)
    }

    fn handle_unrelated(
        &mut self,
        reason: &str,
        slot: &EngineSlot,
    ) -> Result<Option<EngineResponse>, Rejection> {
        log::warn!(job = self.request.id.as_str(), engine = slot.name.as_str();
            "the engine sent no response to this request: {reason}");
        self.dispatcher.metrics.increment("answers-foreign");
        self.tried.push(slot.name.clone());
        self.response_lost(rejections::unrelated_response)
    }

    fn handle_lost(
        &mut self,
        error: LostResponse,
        slot: &EngineSlot,
        history: ConnectionHistory,
    ) -> Result<Option<EngineResponse>, Rejection> {
        log::info!(job = self.request.id.as_str(), engine = slot.name.as_str();
            "the response was lost: {error}");
        if !matches!(error, LostResponse::Abandoned) {
            self.dispatcher.connections.record_loss(&slot.name, history);
        }
        self.dispatcher.metrics.increment("answers-lost");
        self.record_failure(slot);
        self.response_lost(rejections::engine_lost)
    }

    /// The request may have run. Rejects it unless another attempt may be allowed.
    fn response_lost(
        &mut self,
        rejection: fn() -> Rejection,
    ) -> Result<Option<EngineResponse>, Rejection> {
        apply_event(self.state, RequestEvent::ResponseLost);
        match self.state.state() {
            RequestState::Failed => Err(rejection()),
            _ => Ok(None),
        }
    }

    /// Passes over an engine that couldn't be reached or broke off. Its pooled
    /// connections may hang as well.
    fn record_failure(&mut self, slot: &EngineSlot) {
        slot.record_failure();
        self.dispatcher.connections.discard(&slot.name);
        self.tried.push(slot.name.clone());
    }

    fn relay(
        &self,
        response: Response<Incoming>,
        slot: EngineSlot,
        connection: PooledConnection,
    ) -> EngineResponse {
        let relay = Relay {
            state: *self.state,
            request_id: self.request.id.clone(),
            slot,
            metrics: Arc::clone(&self.dispatcher.metrics),
            connection,
            connections: Arc::clone(&self.dispatcher.connections),
        };
        relay.start(response, self.dispatcher.options.idle_timeout_ms)
    }

    /// The time until the request's deadline.
    fn remaining(&self) -> Duration {
        Duration::from_millis(self.request.deadline_ms.saturating_sub(now()))
    }
}
