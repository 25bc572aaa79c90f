//! Questions that were sent to other nodes: which number went to which address, so
//! that an answer counts only when it comes from where its question went, and once.
//!
//! No clock and no socket: time is an argument.

use std::collections::HashMap;

/// Invariant: a number is here from when its question was sent until its answer was
/// taken or it is too old to be waited for.
#[derive(Default)]
pub struct PendingRequests {
    open: HashMap<u64, SentRequest>,
}

struct SentRequest {
    address: String,
    sent_ms: u64,
}

/// For so long an answer may come. Invariant: longer than anybody waits for one.
const OPEN_MS: u64 = 5_000;
/// Old questions are looked for when there are so many.
const MANY: usize = 256;

impl PendingRequests {
    /// A question of this number is sent there.
    pub fn record_sent(&mut self, now: u64, number: u64, address: &str) {
        if self.open.len() >= MANY {
            self.open
                .retain(|_, question| now < question.sent_ms + OPEN_MS);
        }
        let question = SentRequest {
            address: address.to_string(),
            sent_ms: now,
        };
        self.open.insert(number, question);
    }

    /// Whether an answer of this number, from the node at that address, is one that
    /// is waited for. The next one of the same number is not.
    pub fn accept_response(&mut self, now: u64, number: u64, address: &str) -> bool {
        let is_awaited = |question: &SentRequest| {
            question.address == address && now < question.sent_ms + OPEN_MS
        };
        if !self.open.get(&number).is_some_and(is_awaited) {
            return false;
        }
        self.open.remove(&number).is_some()
    }

    /// How many questions are kept.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
