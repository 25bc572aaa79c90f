//! The head of a request, and what its dispatch needs to know beside it.

use http::HeaderMap;
use placement::{RequestEvent, RequestStateMachine};
use policy::Prompt;

/// A request without its body.
pub struct RequestParts {
    /// The client's id for the request, in logs and in the engine's response.
    pub id: String,
    /// The method, as the client sent it.
    pub method: http::Method,
    /// Path and query, as the client sent them.
    pub target: String,
    /// The headers, as the client sent them.
    pub headers: HeaderMap,
    /// The digest of the tenant key that the request was admitted by; empty where
    /// its route is public.
    pub key_digest: String,
    /// When the request expires, in milliseconds of this process's clock.
    pub deadline_ms: u64,
    /// What is known of the prompt, for estimates of an engine's load.
    pub prompt: Prompt,
    /// The priority at an engine's queue; `None` says nothing of it.
    pub urgency: Option<u8>,
    /// The time within which the response should begin; 0 stands for no target.
    pub latency_slo_ms: u64,
}

/// Applies an event to a request's state.
///
/// # Panics
/// If the state doesn't allow the event: which events follow each other is decided
/// by the code that calls this, never by input.
pub fn apply_event(state: &mut RequestStateMachine, event: RequestEvent) {
    if let Err(invalid) = state.apply(event) {
        panic!("invalid transition of a request: {invalid}");
    }
}
