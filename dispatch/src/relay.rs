//! Relaying an engine's response to its client.

use crate::connection_pool::{ConnectionPool, PooledConnection};
use crate::engine_tracker::EngineSlot;
use crate::headers::strip_connection_headers;
use crate::request::apply_event;
use bytes::Bytes;
use http::HeaderMap;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::Response;
use placement::{RequestEvent, RequestState, RequestStateMachine};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use telemetry::metrics::Metrics;
use transport::now;

/// An engine's `keep-alive` timeout is believed up to this.
const MAX_KEEP_ALIVE_MS: u64 = 3_600_000;
/// A connection is given up this long before the engine would close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 300;

/// An engine's response, being relayed.
pub struct EngineResponse {
    /// The status, as the engine sent it.
    pub status: http::StatusCode,
    /// The engine's headers without those of its connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: RelayedBody,
}

/// The body of a response on its way. What the engine breaks off, this breaks off; nothing
/// of it goes on after the request's deadline.
///
/// It has no timer: a client that takes no more bytes would keep it from being polled.
/// Whoever sends the response drops it at its deadline.
///
/// Holds the engine's slot until it ends or is dropped. The connection goes back to the
/// pool only after a complete body.
pub struct RelayedBody {
    body: Incoming,
    state: RequestStateMachine,
    request_id: String,
    slot: EngineSlot,
    metrics: Arc<Metrics>,
    deadline_ms: u64,
    connection: Option<PooledConnection>,
    connections: Arc<ConnectionPool>,
    idle_timeout_ms: u64,
}

/// What relaying a response needs beside the response.
pub(crate) struct Relay {
    pub state: RequestStateMachine,
    pub request_id: String,
    pub deadline_ms: u64,
    pub slot: EngineSlot,
    pub metrics: Arc<Metrics>,
    pub connection: PooledConnection,
    pub connections: Arc<ConnectionPool>,
}

impl Relay {
    /// Begins to relay a response. Its connection is kept for as long as the engine
    /// says, or else for `default_idle_timeout_ms`; if that is 0, not at all.
    pub(crate) fn start(
        self,
        response: Response<Incoming>,
        default_idle_timeout_ms: u64,
    ) -> EngineResponse {
        let (head, body) = response.into_parts();
        let mut headers = head.headers;
        let idle_timeout_ms = match default_idle_timeout_ms {
            0 => 0,
            default_ms => stated_idle_timeout_ms(&headers).unwrap_or(default_ms),
        };
        strip_connection_headers(&mut headers);
        let body = RelayedBody {
            body,
            state: self.state,
            request_id: self.request_id,
            slot: self.slot,
            metrics: self.metrics,
            deadline_ms: self.deadline_ms,
            connection: Some(self.connection),
            connections: self.connections,
            idle_timeout_ms,
        };
        EngineResponse {
            status: head.status,
            headers,
            body,
        }
    }
}

/// Why a response breaks off.
#[derive(Debug, thiserror::Error)]
pub enum BrokenResponse {
    /// The engine broke it off.
    #[error("the engine broke off: {0}")]
    Engine(#[from] hyper::Error),
    /// The request's deadline passed.
    #[error("the request's deadline passed")]
    DeadlinePassed,
}

impl RelayedBody {
    /// The name of the engine that responds.
    pub fn engine(&self) -> &str {
        &self.slot.name
    }

    fn is_deadline_passed(&self) -> bool {
        now() >= self.deadline_ms
    }

    /// Records how the response ended; only the first end counts.
    ///
    /// A deadline that passes is no failure of the engine: it may be slow and well, and if it is
    /// lost, the next connection to it shows that.
    fn finish(&mut self, event: RequestEvent) {
        if self.state.state() != RequestState::Responding {
            return;
        }
        apply_event(&mut self.state, event);
        match event {
            RequestEvent::ResponseEnded => {
                self.metrics.increment("answers-whole");
                if let Some(connection) = self.connection.take() {
                    self.connections
                        .release(&self.slot.name, self.idle_timeout_ms, connection);
                }
            }
            RequestEvent::ResponseBroken => {
                self.metrics.increment("answers-broken");
                self.slot.record_failure();
            }
            RequestEvent::DeadlinePassed => self.metrics.increment("answers-ended-at-deadline"),
            _ => self.metrics.increment("callers-left"),
        }
        log::info!(job = self.request_id.as_str(), engine = self.slot.name.as_str(),
            ended_by:? = event; "{:?}", self.state.state());
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        // hyper drops a body without a last poll where its length is reached.
        let event = match self.body.is_end_stream() {
            true => RequestEvent::ResponseEnded,
            false if self.is_deadline_passed() => RequestEvent::DeadlinePassed,
            false => RequestEvent::ClientDisconnected,
        };
        self.finish(event);
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        if self.is_deadline_passed() && !self.body.is_end_stream() {
            self.finish(RequestEvent::DeadlinePassed);
            return Poll::Ready(Some(Err(BrokenResponse::DeadlinePassed)));
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                self.finish(RequestEvent::ResponseBroken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.finish(RequestEvent::ResponseEnded);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// How long an engine keeps an idle connection, as its `keep-alive` header says,
/// less a margin.
fn stated_idle_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    let stated_ms = seconds.saturating_mul(1_000).min(MAX_KEEP_ALIVE_MS);
    Some(stated_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS))
}
