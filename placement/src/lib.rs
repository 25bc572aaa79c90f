//! Where a job goes and how it gets there: electing an engine in a cell, the
//! controllers that steer toward set points, and a job's state chart.
//!
//! No clock, no socket and no task lives here.

mod allowance;
mod cache;
mod control;
mod elect;
mod engines;
mod estimates;
mod paces;
mod pools;
mod replica_view;
mod request_state;
mod router_membership;

pub use allowance::{RetryBudget, RetryLimit};
pub use cache::{Cache, CacheLookup};
pub use control::{RetryTokenBucket, SlowStart, RETRY_TOKEN_LIFETIME_MS};
pub use elect::{rank, select_engine, Candidate};
pub use engines::{
    may_serve, EngineHealthTracker, EngineSelection, ENGINE_LOST_AFTER_MS, HEALTH_REPORT_TIMEOUT_MS,
};
pub use estimates::{EngineLoadEstimator, LoadUpdate, SelectionRequest};
pub use paces::{AdmissionDecision, QueueingRateLimiter, TokenAllocator};
pub use pools::{
    LeaseRateLimiter, QuotaLeaseAllocator, QuotaTolerance, QUOTA_LEASE_MS, STARTUP_RESERVE_RATIO,
};
pub use replica_view::{ReplicaUpdate, ReplicaView};
pub use request_state::{
    ExecutionOutcome, InvalidTransition, RequestEvent, RequestState, RequestStateMachine,
};
pub use router_membership::{is_same_to_peers, RouterMembership};

/// What an engine said of itself last, and when it was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    pub running: u32,
    pub queued: u32,
    pub slots: u32,
    pub is_warm: bool,
    pub is_draining: bool,
    /// Answers since it came back cold, and how long ago it began, by its own
    /// clock.
    pub completed: u32,
    pub uptime_ms: u64,
    pub received_at_ms: u64,
}

impl HealthReport {
    pub fn slow_start(&self) -> SlowStart {
        match self.is_warm {
            true => SlowStart::complete(),
            false => SlowStart::after_responses(self.completed),
        }
    }

    pub fn is_warming_up(&self) -> bool {
        !self.slow_start().is_complete()
    }
}

/// Numbers for tests, drawn from a seed: each below what is asked for.
#[cfg(test)]
fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |below| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        (seed >> 11) % below.max(1)
    }
}
