//! The life of a request's dispatch: attempt after attempt until an engine's response
//! begins, or no further attempt is allowed.
//!
//! Each attempt selects an engine, connects, checks the guard, sends the request, awaits
//! the head of the response and classifies it. Whether another attempt may follow is
//! decided by [`RequestStateMachine`], so that a request that may have run and isn't
//! idempotent is never sent twice.

mod response;

use crate::body::RequestBody;
use crate::connect::EngineConnection;
use crate::connection_pool::PooledConnection;
use crate::dispatcher::Dispatcher;
use crate::engine_tracker::EngineSlot;
use crate::guard::{ArmedGuard, DispatchGuard, GuardError};
use crate::outgoing::outgoing_request;
use crate::rejections;
use crate::relay::EngineResponse;
use crate::request::{apply_event, RequestParts};
use crate::response_head::ResponseHead;
use placement::{
    ConnectionDemand, ExecutionOutcome, RequestEvent, RequestStateMachine, SelectionRequest,
};
use residency::Mapping;
use std::pin::pin;
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
        let Some(connection) = self.connect(&slot).await? else {
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
            ResponseHead::DeadlinePassed => {
                apply_event(self.state, RequestEvent::DeadlinePassed);
                Err(rejections::deadline_passed(self.state.outcome()))
            }
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
    /// it. `None`: the engine could not be reached.
    async fn connect(&mut self, slot: &EngineSlot) -> Result<Option<EngineConnection>, Rejection> {
        let demand = self.connection_demand();
        if let Some(pooled) = self.dispatcher.connections.acquire(&slot.name, demand) {
            return Ok(Some(EngineConnection::Pooled(pooled)));
        }
        let connecting = self.dispatcher.connect(slot.address);
        match tokio::time::timeout(self.remaining(), connecting).await {
            Ok(Ok(stream)) => Ok(Some(EngineConnection::New(stream))),
            Ok(Err(error)) => {
                log::info!(job = self.request.id.as_str(), engine = slot.name.as_str();
                    "connecting to the engine failed: {error}");
                self.dispatcher.metrics.increment("connect-failed");
                self.record_failure(slot);
                apply_event(self.state, RequestEvent::ConnectFailed);
                Ok(None)
            }
            Err(_) => {
                apply_event(self.state, RequestEvent::DeadlinePassed);
                Err(rejections::deadline_passed(self.state.outcome()))
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

    /// Passes over an engine that couldn't be reached or broke off. Its pooled
    /// connections may hang as well.
    fn record_failure(&mut self, slot: &EngineSlot) {
        slot.record_failure();
        self.dispatcher.connections.discard(&slot.name);
        self.tried.push(slot.name.clone());
    }

    /// The time until the request's deadline.
    fn remaining(&self) -> Duration {
        Duration::from_millis(self.request.deadline_ms.saturating_sub(now()))
    }
}
