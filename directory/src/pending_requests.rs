//! Requests that were sent to other nodes: which one went to which address, so that a
//! response counts only when it comes from where its request went, and once.
//!
//! No clock and no socket: time is an argument. In memory alone.

use std::collections::HashMap;

/// Invariant: a request is here from when it was sent until its response was accepted or
/// it is too old to be waited for.
#[derive(Default)]
pub struct PendingRequests {
    sent: HashMap<u64, SentRequest>,
}

struct SentRequest {
    address: String,
    sent_at_ms: u64,
}

/// For so long a response is accepted. Invariant: longer than anybody waits for one.
const RESPONSE_TIMEOUT_MS: u64 = 5_000;
/// Old requests are dropped when there are so many.
const CLEAN_UP_LEN: usize = 256;

impl PendingRequests {
    /// Records that the request of this id is sent to `address`.
    pub fn record_sent(&mut self, now_ms: u64, request_id: u64, address: &str) {
        if self.sent.len() >= CLEAN_UP_LEN {
            self.sent
                .retain(|_, request| now_ms < request.sent_at_ms + RESPONSE_TIMEOUT_MS);
        }
        let request = SentRequest {
            address: address.to_string(),
            sent_at_ms: now_ms,
        };
        self.sent.insert(request_id, request);
    }

    /// Whether a response to the request of this id, from the node at `address`, is one
    /// that is waited for. The next one of the same id is not.
    pub fn accept_response(&mut self, now_ms: u64, request_id: u64, address: &str) -> bool {
        let is_awaited = |request: &SentRequest| {
            request.address == address && now_ms < request.sent_at_ms + RESPONSE_TIMEOUT_MS
        };
        if !self.sent.get(&request_id).is_some_and(is_awaited) {
            return false;
        }
        self.sent.remove(&request_id).is_some()
    }

    /// How many requests are kept.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
