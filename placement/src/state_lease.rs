//! Until when a directory node may act on its replicated state without asking a majority.

use protocol::LEASE_MS;
use std::collections::BTreeMap;

/// The lease of a directory node: `LEASE_MS` from the request of the newest read index
/// that a majority confirmed and whose entries this node has applied.
///
/// Invariant: it never lasts longer than `LEASE_MS` from a request, however late the
/// response is read; so a process that stood still has none when it goes on.
#[derive(Debug, Default)]
pub struct StateLease {
    /// When each read index was requested that may still renew the lease, by the request's
    /// token. Tokens rise with time.
    requested_at_ms: BTreeMap<u64, u64>,
    expires_at_ms: u64,
}

impl StateLease {
    /// A read index is requested now. `token` is greater than those of all earlier requests.
    pub fn request(&mut self, token: u64, now_ms: u64) {
        while let Some(oldest) = self.requested_at_ms.first_entry() {
            if now_ms < *oldest.get() + LEASE_MS {
                break;
            }
            oldest.remove();
        }
        self.requested_at_ms.insert(token, now_ms);
    }

    /// A majority confirmed this read index, and everything up to it is applied here.
    /// Nothing changes for a token that is not known.
    pub fn confirm(&mut self, token: u64) {
        let Some(requested_at_ms) = self.requested_at_ms.remove(&token) else {
            return;
        };
        let expires_at_ms = requested_at_ms + LEASE_MS;
        self.expires_at_ms = self.expires_at_ms.max(expires_at_ms);
    }

    /// Ends the lease, as the state that it covers is replaced. Requests that are under way
    /// renew nothing: they may have been confirmed for the state that was.
    pub fn end(&mut self) {
        *self = StateLease::default();
    }

    /// The time from which the node may not act on its state; 0 without a lease.
    pub fn expires_at(&self) -> u64 {
        self.expires_at_ms
    }
}
