//! Which demands for quota a leader that is behind with its work still weighs.
//!
//! Leases and confirmed reads wait in the same queue as demands for quota. A demand that is
//! not weighed gets no grant, as if its heartbeat had been lost: the router keeps what it was
//! lent and asks again with its next heartbeat. A lease that comes too late ends service at
//! the router.

use protocol::{RouterDemand, LEASE_MS};

/// A request that waited for the consensus thread longer than this is answered without grants.
pub const MAX_QUEUE_WAIT_MS: u64 = LEASE_MS / 8;
/// Nor are demands weighed that were asked for longer ago than this, wherever they waited.
pub const MAX_DEMAND_AGE_MS: u64 = LEASE_MS / 4;
/// The most time that demands are weighed for at a stretch.
pub const MAX_WORK_MS: u64 = 100;
/// The part of the time that demands are weighed for while there are always more of them.
pub const WORK_SHARE: f64 = 0.5;

/// When a request for a read index, with its demands, was made.
#[derive(Clone, Copy, Debug)]
pub struct DemandTiming {
    /// When the asker sent it, by the clock here; `None` where its clock is not known.
    pub asked_at_ms: Option<u64>,
    /// When it was queued here.
    pub queued_at_ms: u64,
}

/// Bounds the time that a leader spends on quotas. Bound: over any span it is no more than
/// `WORK_SHARE` of it, `MAX_WORK_MS`, and one router's demands.
#[derive(Debug, Default)]
pub struct QuotaWorkLimit {
    /// Time spent that the share has not made up for yet.
    spent_ms: f64,
    updated_at_ms: u64,
}

impl QuotaWorkLimit {
    /// Whether a router's demands are weighed now. Those that give leases back always are,
    /// since the router takes any answer for the leader's knowledge of it; and a heartbeat
    /// without demands is, since it costs nothing.
    pub fn is_weighed(&mut self, now_ms: u64, timing: DemandTiming, demand: &RouterDemand) -> bool {
        self.refill(now_ms);
        let queue_wait_ms = now_ms.saturating_sub(timing.queued_at_ms);
        let asked_at_ms = timing.asked_at_ms.unwrap_or(timing.queued_at_ms);
        let age_ms = now_ms.saturating_sub(asked_at_ms);
        let is_behind = queue_wait_ms > MAX_QUEUE_WAIT_MS
            || age_ms > MAX_DEMAND_AGE_MS
            || self.spent_ms >= MAX_WORK_MS as f64;
        !is_behind || demand.demands.is_empty() || is_return(demand)
    }

    /// Records that demands were weighed from one time to the other.
    pub fn record_work(&mut self, started_at_ms: u64, ended_at_ms: u64) {
        self.refill(ended_at_ms);
        self.spent_ms += ended_at_ms.saturating_sub(started_at_ms) as f64;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.spent_ms = (self.spent_ms - elapsed_ms * WORK_SHARE).max(0.0);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}

/// Whether a router gives leases back for good: it applies no answer to this heartbeat.
fn is_return(demand: &RouterDemand) -> bool {
    let is_returned = |tenant: &protocol::QuotaDemand| tenant.grant_floor >= demand.heartbeat;
    demand.demands.iter().any(is_returned)
}
