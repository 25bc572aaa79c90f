//! Draining of a router: which requests it still accepts after it was told to leave.

/// How a router that was told to leave goes about it. Times count from that moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainPlan {
    /// How long it accepts every request: clients may use a list of routers that was
    /// fetched before.
    pub accept_all_ms: u64,
    /// What is accepted later has reached its deadline by then; an engine is told the deadline
    /// and stops work at it, on a stream as well. Before the process ends, by a margin that covers a client's own end on its way here.
    pub end_by_ms: u64,
}

/// The draining of one router.
///
/// Invariant: what it admits after `accept_all_ms` has reached its own deadline by
/// `end_by_ms`, so that the end of the process breaks none of it off.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    plan: DrainPlan,
    started_ms: u64,
}

impl Drain {
    /// The router was told to leave at `now`.
    pub fn start(plan: DrainPlan, now: u64) -> Drain {
        Drain {
            plan,
            started_ms: now,
        }
    }

    /// Whether `now` lies in the first part, in which every request is accepted.
    pub fn accepts_all(&self, now: u64) -> bool {
        now < self.started_ms + self.plan.accept_all_ms
    }

    /// Whether a request is accepted `now`. `deadline_ms`, on the same clock, is the earlier
    /// of the client's and the route's.
    pub fn admits(&self, now: u64, deadline_ms: u64) -> bool {
        self.accepts_all(now) || deadline_ms <= self.started_ms + self.plan.end_by_ms
    }

    /// How long ago the router was told to leave.
    pub fn elapsed_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.started_ms)
    }
}
