//! One tenant at one router that admits by leases.

use super::admission_history::AdmissionHistory;
use super::rate_limit::RateLimit;
use super::tolerance::{refill, QuotaSplit};
use protocol::{QuotaDemand, QuotaGrant, LEASE_MS, RECENT_SPANS_MS};

/// How long a router keeps what the leader lent it without a new answer, counted from the
/// heartbeat that was answered last. The leader keeps it reserved for as long, and a window.
pub const QUOTA_LEASE_MS: u64 = 60_000;
/// The same where tenants have owners: nobody has a floor to go on with until then. Invariant:
/// longer than a router goes on without a directory node's lease.
const OWNER_LEASE_MS: u64 = 17_000;

/// How long a router of a fleet of this kind keeps what it was lent.
pub(super) fn quota_lease_ms(is_pooled: bool) -> u64 {
    match is_pooled {
        true => OWNER_LEASE_MS,
        false => QUOTA_LEASE_MS,
    }
}
/// A tenant without requests for this long gives back what was lent.
const IDLE_MS: u64 = 60_000;
/// The same where another router owns the tenant now.
const FORMER_OWNER_IDLE_MS: u64 = 1_000;
/// A tenant is reported for this long after its last request, also where its lease was given
/// back before: a new leader learns from reports alone what was admitted lately. Invariant:
/// longer than the longest of `RECENT_SPANS_MS`.
const REPORTED_MS: u64 = 10_000;
/// What an owner asks for a tenant without requests, so that the first ones find a lease.
const STANDBY_REQUESTS: u64 = 1;
/// The time constant over which a tenant's demand is smoothed.
const DEMAND_SMOOTHING_MS: f64 = 10_000.0;
/// A demand that began less than this ago is not extrapolated further.
const MIN_DEMAND_AGE_MS: u64 = 1_000;

/// One tenant at one router. Invariants: `admitted` only rises; what was admitted in any window
/// is no more than the floor and `window_part`; `limit` and `window_part` come from the answer
/// to the heartbeat `grant_floor`, and answers to earlier ones are ignored.
pub(super) struct TenantLease {
    /// Requests admitted since the process started.
    admitted: u64,
    /// How far `admitted` may rise by what the leader lent of the rate.
    limit: u64,
    /// Requests of a window that the leader lent beyond the floor.
    window_part: u64,
    /// When `limit` and `window_part` lapse.
    valid_until_ms: u64,
    grant_floor: u64,
    /// What the router's own part of the rate brought in, in requests.
    own_tokens: f64,
    refilled_at_ms: u64,
    split: QuotaSplit,
    requests_per_s: u64,
    last_request_at_ms: u64,
    /// How this router holds the tenant's lease.
    tenure: Tenure,
    /// Requests received, admitted or not, decaying; since when, and when it decayed last.
    demand: f64,
    first_request_at_ms: u64,
    decayed_at_ms: u64,
    /// The first heartbeat that reported the tenant as idle, and whether an answer to it, or
    /// to a later one, was received.
    idle_heartbeat: Option<u64>,
    is_idle_acknowledged: bool,
    history: AdmissionHistory,
}

/// How a router holds a tenant's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tenure {
    /// For the requests that it receives itself, while there are any.
    ForItself,
    /// As the tenant's owner, whether there are requests or not.
    Owner,
    /// It was the owner, and another router is now.
    FormerOwner,
}

/// What the router knows of itself when it decides.
#[derive(Clone, Copy)]
pub(super) struct RouterContext {
    pub(super) now: u64,
    /// When this process started.
    pub(super) started_at_ms: u64,
    pub(super) window_ms: u64,
}

impl RouterContext {
    /// Whether the process started within the window: an earlier process of this router may
    /// have used the floor.
    fn is_starting(&self) -> bool {
        self.now < self.started_at_ms + self.window_ms
    }

    fn floor(&self, split: &QuotaSplit) -> u64 {
        if self.is_starting() {
            split.startup_floor
        } else {
            split.floor
        }
    }

    /// The time `span_ms` ago.
    fn ago(&self, span_ms: u64) -> u64 {
        self.now.saturating_sub(span_ms)
    }
}

impl TenantLease {
    /// A tenant whose first request is received now.
    pub(super) fn new(context: &RouterContext, split: QuotaSplit, limit: RateLimit) -> TenantLease {
        TenantLease {
            admitted: 0,
            limit: 0,
            window_part: 0,
            valid_until_ms: 0,
            grant_floor: 0,
            own_tokens: 0.0,
            refilled_at_ms: context.started_at_ms,
            split,
            requests_per_s: limit.requests_per_s,
            last_request_at_ms: context.now,
            tenure: Tenure::ForItself,
            demand: 0.0,
            first_request_at_ms: context.now,
            decayed_at_ms: context.now,
            idle_heartbeat: None,
            is_idle_acknowledged: true,
            history: AdmissionHistory::default(),
        }
    }

    /// Decides on a request. `heartbeat` is the number of the last heartbeat that was sent.
    pub(super) fn admit(
        &mut self,
        context: &RouterContext,
        split: QuotaSplit,
        limit: RateLimit,
        routers: usize,
        heartbeat: u64,
    ) -> bool {
        let now = context.now;
        self.update_limit(now, split, limit, routers, heartbeat);
        self.record_request(now);
        let is_lent = self.admitted < self.limit;
        // A starting router's floor is small enough to be admitted at once.
        let has_token = is_lent || context.is_starting() || self.own_tokens >= 1.0;
        if limit.requests_per_s == 0 || self.is_window_full(context) || !has_token {
            return false;
        }
        if !is_lent {
            self.own_tokens = (self.own_tokens - 1.0).max(0.0);
        }
        self.admitted += 1;
        let kept_ms = RECENT_SPANS_MS[3].max(context.window_ms);
        self.history.forget_before(context.ago(kept_ms));
        self.history.add(now, 1);
        true
    }

    /// Takes the quota in force, and its split among so many routers.
    pub(super) fn update_limit(
        &mut self,
        now: u64,
        split: QuotaSplit,
        limit: RateLimit,
        routers: usize,
        heartbeat: u64,
    ) {
        self.refill(now, routers);
        if self.requests_per_s != limit.requests_per_s || self.split != split {
            self.resize(split, heartbeat);
            self.requests_per_s = limit.requests_per_s;
        }
    }

    fn refill(&mut self, now: u64, routers: usize) {
        if now >= self.valid_until_ms {
            self.return_lease();
        }
        let elapsed_ms = now.saturating_sub(self.refilled_at_ms);
        let capacity = (self.split.floor + self.window_part) as f64;
        let share = match self.split.is_pooled {
            true => capacity / self.split.total.max(1) as f64,
            false => 1.0 / routers as f64,
        };
        let gained = refill(elapsed_ms, self.requests_per_s) * share;
        self.own_tokens = (self.own_tokens + gained).min(capacity);
        self.refilled_at_ms = self.refilled_at_ms.max(now);
    }

    /// Records how the router holds the lease from now on.
    pub(super) fn set_tenure(&mut self, tenure: Tenure) {
        if self.tenure == tenure {
            return;
        }
        self.tenure = tenure;
        // The leader does not know it yet.
        (self.idle_heartbeat, self.is_idle_acknowledged) = (None, false);
    }

    /// Whether the leader has leased anything that has not lapsed, be it used up.
    pub(super) fn is_leased(&self, now: u64) -> bool {
        now < self.valid_until_ms
    }

    fn is_idle(&self, now: u64) -> bool {
        match self.tenure {
            Tenure::ForItself => now >= self.last_request_at_ms + IDLE_MS,
            Tenure::Owner => false,
            Tenure::FormerOwner => now >= self.last_request_at_ms + FORMER_OWNER_IDLE_MS,
        }
    }

    fn return_lease(&mut self) {
        (self.window_part, self.limit) = (0, self.limit.min(self.admitted));
    }

    /// Takes a new split. Of a smaller pool the router keeps the same share.
    fn resize(&mut self, split: QuotaSplit, heartbeat: u64) {
        if split.pool < self.split.pool {
            let lent = self.limit.saturating_sub(self.admitted);
            self.window_part = self.window_part * split.pool / self.split.pool;
            self.limit = self.admitted + lent * split.pool / self.split.pool;
            self.grant_floor = self.grant_floor.max(heartbeat);
        }
        self.split = split;
    }

    fn record_request(&mut self, now: u64) {
        self.decay_demand(now);
        self.demand += 1.0;
        self.last_request_at_ms = now;
        (self.idle_heartbeat, self.is_idle_acknowledged) = (None, false);
    }

    fn decay_demand(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.decayed_at_ms) as f64;
        self.demand *= (-elapsed_ms / DEMAND_SMOOTHING_MS).exp();
        self.decayed_at_ms = self.decayed_at_ms.max(now);
    }

    /// Requests to expect in `DEMAND_SMOOTHING_MS`: a demand that has just begun counts as one
    /// that goes on.
    fn expected_requests(&self, now: u64) -> u64 {
        let age_ms = now
            .saturating_sub(self.first_request_at_ms)
            .max(MIN_DEMAND_AGE_MS) as f64;
        (self.demand / (1.0 - (-age_ms / DEMAND_SMOOTHING_MS).exp())).ceil() as u64
    }

    /// Whether the window, or its later half, has no room for a request.
    fn is_window_full(&self, context: &RouterContext) -> bool {
        let window_ms = context.window_ms;
        let most = self.window_part + context.floor(&self.split);
        let in_half = self.history.count_since(context.ago(window_ms / 2));
        self.history.count_since(context.ago(window_ms)) >= most
            || !context.is_starting() && in_half >= self.split.half_window_limit(most)
    }

    /// Whether the tenant was admitted lately, or the leader may not know that its lease was
    /// given back.
    pub(super) fn is_reported(&self, now: u64) -> bool {
        !self.is_idle_acknowledged || now < self.last_request_at_ms + REPORTED_MS
    }

    /// Gives the lease back for good: the router admits nothing any more, and applies no
    /// answer to the heartbeat of this number or to an earlier one.
    pub(super) fn close(&mut self, now: u64, tenant: &str, heartbeat: u64) -> QuotaDemand {
        self.return_lease();
        self.grant_floor = self.grant_floor.max(heartbeat);
        let demand = self.demand(now, tenant, heartbeat);
        QuotaDemand {
            wanted: 0,
            ..demand
        }
    }

    /// What to report with the heartbeat of this number. A tenant that is idle, or whose lease
    /// has lapsed, gives its lease back.
    pub(super) fn demand(&mut self, now: u64, tenant: &str, heartbeat: u64) -> QuotaDemand {
        self.decay_demand(now);
        let is_idle = self.is_idle(now);
        if is_idle || now >= self.valid_until_ms {
            self.return_lease();
        }
        if is_idle {
            let first = *self.idle_heartbeat.get_or_insert(heartbeat);
            self.grant_floor = self.grant_floor.max(first.saturating_sub(1));
        }
        QuotaDemand {
            tenant: tenant.to_string(),
            admitted: self.admitted,
            limit: self.limit,
            grant_floor: self.grant_floor,
            queued: self.window_part,
            wanted: match self.tenure {
                _ if is_idle => 0,
                Tenure::Owner => self.expected_requests(now).max(STANDBY_REQUESTS),
                Tenure::ForItself | Tenure::FormerOwner => self.expected_requests(now),
            },
            recently_admitted: self.history.report(now),
        }
    }

    /// Takes the leader's answer to a heartbeat that was sent `LEASE_MS` before `until_ms`.
    pub(super) fn apply_grant(
        &mut self,
        context: &RouterContext,
        heartbeat: u64,
        until_ms: u64,
        grant: &QuotaGrant,
    ) {
        if heartbeat <= self.grant_floor {
            return;
        }
        let in_window = self.history.count_since(context.ago(context.window_ms));
        let lent = grant.limit.saturating_sub(self.admitted);
        self.grant_floor = heartbeat;
        self.limit = grant.limit;
        self.window_part = (in_window + lent).saturating_sub(context.floor(&self.split));
        let asked_at_ms = until_ms - LEASE_MS.min(until_ms);
        self.valid_until_ms = asked_at_ms + quota_lease_ms(self.split.is_pooled);
        self.is_idle_acknowledged = self.idle_heartbeat.is_some_and(|idle| idle <= heartbeat);
    }
}
