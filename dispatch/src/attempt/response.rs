//! What becomes of a request that was sent: the wait for the head of its response, and what
//! that head, or its absence, says about the run.

use super::Dispatch;
use crate::connection_pool::{ConnectionHistory, PooledConnection};
use crate::engine_protocol::ResponseClass;
use crate::engine_tracker::EngineSlot;
use crate::rejections;
use crate::relay::{EngineResponse, Relay};
use crate::request::apply_event;
use crate::response_head::{is_delimited, LostResponse, ResponseHead, UnusableResponse};
use hyper::body::Incoming;
use hyper::Response;
use placement::{RequestEvent, RequestState};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use transport::rejection::Rejection;

impl Dispatch<'_> {
    /// Waits for the head of the response: until the deadline, until the engine falls
    /// silent, or until the request abandons the engine for another one.
    pub(super) async fn await_head(
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
    pub(super) fn classify(
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

    pub(super) fn handle_unusable(
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

    pub(super) fn handle_lost(
        &mut self,
        error: LostResponse,
        slot: &EngineSlot,
        history: ConnectionHistory,
    ) -> Result<Option<EngineResponse>, Rejection> {
        log::info!(job = self.request.id.as_str(), engine = slot.name.as_str();
            "the response was lost: {error}");
        if matches!(error, LostResponse::RequestBody(_)) {
            self.dispatcher.metrics.increment("bodies-broken");
            return self.response_lost(rejections::body_lost);
        }
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

    pub(super) fn relay(
        &self,
        response: Response<Incoming>,
        slot: EngineSlot,
        connection: PooledConnection,
    ) -> EngineResponse {
        let relay = Relay {
            state: *self.state,
            request_id: self.request.id.clone(),
            deadline_ms: self.request.deadline_ms,
            slot,
            metrics: Arc::clone(&self.dispatcher.metrics),
            connection,
            connections: Arc::clone(&self.dispatcher.connections),
        };
        relay.start(response, self.dispatcher.options.idle_timeout_ms)
    }
}
