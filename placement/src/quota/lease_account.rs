//! What the leader knows of one tenant at one router that admits by leases.

use super::admission_history::AdmissionHistory;
use protocol::{QuotaDemand, RouterDemand};

/// Answers that are kept one by one; of more, the two oldest are merged.
const MAX_UNCONFIRMED_GRANTS: usize = 8;

/// An answer that the router may still apply.
struct UnconfirmedGrant {
    heartbeat: u64,
    window_part: u64,
    limit: u64,
}

/// One tenant at one router. Invariant: the router's part of the window is no more than the
/// highest of `window_part`, of the unconfirmed grants, and of what it has used of the window.
#[derive(Default)]
pub(super) struct LeaseAccount {
    incarnation: u64,
    /// What the router reported last.
    admitted: u64,
    window_part: u64,
    limit: u64,
    /// Requests that it expects.
    wanted: u64,
    unconfirmed: Vec<UnconfirmedGrant>,
    history: AdmissionHistory,
    /// What an earlier process of the router may have used, and until when that is in the
    /// window.
    former: u64,
    former_until_ms: u64,
    /// The router gave its lease back for good.
    is_returned: bool,
}

impl LeaseAccount {
    /// The account of a router that restarted: what the earlier process had it may have used.
    pub(super) fn after_restart(incarnation: u64, former: u64, former_until_ms: u64) -> Self {
        LeaseAccount {
            incarnation,
            former,
            former_until_ms,
            ..LeaseAccount::default()
        }
    }

    /// Takes over a report and returns how many requests are new in it.
    pub(super) fn record_demand(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        window_ms: u64,
    ) -> u64 {
        let charged = if self.incarnation == from.incarnation {
            demand.admitted.saturating_sub(self.admitted)
        } else {
            // What it admitted before this leader knew of it is in the window, but was charged
            // to the rate by another leader.
            self.incarnation = from.incarnation;
            self.history = AdmissionHistory::from_report(now, &demand.recently_admitted);
            0
        };
        self.history.forget_before(now.saturating_sub(window_ms));
        self.history.add(now, charged);
        self.admitted = demand.admitted;
        (self.window_part, self.limit, self.wanted) = (demand.queued, demand.limit, demand.wanted);
        self.unconfirmed
            .retain(|grant| grant.heartbeat > demand.grant_floor);
        // Only a router that has closed rejects the answer to the report itself.
        self.is_returned = demand.grant_floor >= from.heartbeat;
        charged
    }

    /// Whether the router gave its lease back for good: it uses neither floor nor answer.
    pub(super) fn is_returned(&self) -> bool {
        self.is_returned
    }

    /// The router admits nothing any more; what it has used stays in the window.
    pub(super) fn close(&mut self, now: u64, window_ms: u64) {
        (self.window_part, self.limit, self.wanted) = (0, self.admitted, 0);
        self.unconfirmed.clear();
        self.history.forget_before(now.saturating_sub(window_ms));
    }

    /// Records an answer. While no answer is confirmed, the oldest are merged.
    pub(super) fn record_grant(&mut self, heartbeat: u64, window_part: u64, limit: u64) {
        self.unconfirmed.push(UnconfirmedGrant {
            heartbeat,
            window_part,
            limit,
        });
        if self.unconfirmed.len() > MAX_UNCONFIRMED_GRANTS {
            let oldest = self.unconfirmed.remove(0);
            let next = &mut self.unconfirmed[0];
            next.window_part = next.window_part.max(oldest.window_part);
            next.limit = next.limit.max(oldest.limit);
        }
    }

    /// Requests that it expects.
    pub(super) fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Requests admitted at `from_ms` or later, by its reports.
    pub(super) fn used_since(&self, from_ms: u64) -> u64 {
        self.history.count_since(from_ms)
    }

    /// The most of the window beyond its floor that it may use or have used.
    pub(super) fn reserved(&self, now: u64, window_ms: u64, floor: u64) -> u64 {
        let used = self.used_since(now.saturating_sub(window_ms));
        let granted = self.unconfirmed.iter().map(|grant| grant.window_part);
        let part = granted
            .fold(self.window_part, u64::max)
            .max(used.saturating_sub(floor));
        part + self.former(now)
    }

    /// What an earlier process of the router may have used of the window.
    pub(super) fn former(&self, now: u64) -> u64 {
        if now < self.former_until_ms {
            self.former
        } else {
            0
        }
    }

    /// Requests that are lent of the rate and not reported as admitted.
    pub(super) fn outstanding(&self) -> u64 {
        let granted = self.unconfirmed.iter().map(|grant| grant.limit);
        let limit = granted.fold(self.limit, u64::max);
        limit.saturating_sub(self.admitted)
    }
}
