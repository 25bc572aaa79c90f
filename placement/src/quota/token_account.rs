//! What the leader knows of one tenant at one router that admits by tokens.

use protocol::{QuotaDemand, RouterDemand};

/// An answer that the router may still apply.
struct UnconfirmedGrant {
    heartbeat: u64,
    limit: u64,
}

/// One tenant at one router. Invariant: the router can't have more than the highest of `limit`
/// and of the unconfirmed grants.
#[derive(Default)]
pub(super) struct TokenAccount {
    incarnation: u64,
    /// The last heartbeat.
    heartbeat: u64,
    /// What the router reported last.
    admitted: u64,
    limit: u64,
    unconfirmed: Vec<UnconfirmedGrant>,
    queued: u64,
    heard_at_ms: u64,
}

impl TokenAccount {
    /// Whether the router was not heard before by this leader.
    pub(super) fn is_new(&self) -> bool {
        self.incarnation == 0
    }

    /// Whether a report is older than what is known: it says nothing new and gets nothing.
    pub(super) fn is_late(&self, from: &RouterDemand) -> bool {
        from.heartbeat <= self.heartbeat
    }

    /// The router's process is another one now. Returns the tokens that the earlier process
    /// had, which it may have used.
    pub(super) fn restart(&mut self, incarnation: u64, admitted: u64) -> u64 {
        let lost = self.outstanding();
        self.incarnation = incarnation;
        self.admitted = admitted;
        self.heartbeat = 0;
        self.unconfirmed.clear();
        lost
    }

    /// Whether a report comes from another process than the ones before.
    pub(super) fn is_restart(&self, from: &RouterDemand) -> bool {
        self.incarnation != from.incarnation
    }

    /// Takes over a report and returns how many requests are new in it, those included that
    /// were admitted while the router was not heard.
    pub(super) fn record_demand(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
    ) -> u64 {
        let charged = demand.admitted.saturating_sub(self.admitted);
        self.heartbeat = from.heartbeat;
        self.admitted = self.admitted.max(demand.admitted);
        self.limit = demand.limit;
        self.unconfirmed
            .retain(|grant| grant.heartbeat >= demand.grant_floor && grant.limit > demand.limit);
        self.queued = demand.queued;
        self.heard_at_ms = now;
        charged
    }

    /// Records an answer.
    pub(super) fn record_grant(&mut self, heartbeat: u64, limit: u64) {
        self.unconfirmed.push(UnconfirmedGrant { heartbeat, limit });
    }

    /// Whether the router was heard within `span_ms`.
    pub(super) fn is_heard(&self, now: u64, span_ms: u64) -> bool {
        now < self.heard_at_ms + span_ms
    }

    /// Requests admitted, as it reported.
    pub(super) fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Tokens that it may have and has not used.
    pub(super) fn outstanding(&self) -> u64 {
        let granted = self.unconfirmed.iter().map(|grant| grant.limit).max();
        self.limit
            .max(granted.unwrap_or(0))
            .saturating_sub(self.admitted)
    }

    /// Requests that wait there and have no token on the way.
    pub(super) fn unmet(&self) -> u64 {
        self.queued.saturating_sub(self.outstanding())
    }

    /// Tokens beyond those for the requests that wait.
    pub(super) fn prefetched(&self) -> u64 {
        self.outstanding().saturating_sub(self.queued)
    }
}
