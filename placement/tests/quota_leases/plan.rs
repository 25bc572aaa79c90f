//! What a simulated run is made of: fleet, traffic, faults.

use placement::{QuotaTolerance, RateLimit};

pub const TOLERANCE: QuotaTolerance = QuotaTolerance {
    overrun_factor: 1.1,
    extra_requests: 20.0,
    window_ms: 5_000,
};
pub const HEARTBEAT_MS: u64 = 350;

/// A quota whose burst is a second's rate.
pub fn quota(requests_per_s: u64) -> RateLimit {
    RateLimit {
        requests_per_s,
        burst: requests_per_s,
    }
}

/// What clients send: a multiple of the rate, or almost nothing and then ten times the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    Within,
    /// The same, and each group of requests comes to one router.
    Clustered,
    Threefold,
    Bursts,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Faults {
    /// Delays and losses only.
    None,
    /// One kind only, every six seconds or so.
    Pauses,
    Partitions,
    Restarts,
    LeaderChanges,
    /// All routers and the leader at once.
    TotalLoss,
    /// Anything at any time, several at once too.
    All,
}

/// Which of the guards is disabled, to see that the bound is then exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisabledGuard {
    None,
    /// Answers to heartbeats of an earlier process are applied.
    Connections,
    /// Floors are in force from a process's start.
    StartupFloors,
    /// A new leader is not told what parts the routers have.
    ReportedParts,
}

/// Who decides on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decider {
    /// The router that received it.
    Receiver,
    /// The owner of the tenant's lease, one router in each of three regions.
    Owner,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub routers: usize,
    pub decider: Decider,
    pub rate: u64,
    pub traffic: Traffic,
    pub faults: Faults,
    /// The rate is lowered to a fifth at this time.
    pub lowered_at_ms: Option<u64>,
    pub disabled: DisabledGuard,
    pub heartbeat_ms: u64,
    pub seed: u64,
}
