//! The rate limiter of a router that admits by leases: nothing waits, what may be admitted
//! was lent to the router before the request is received.
//!
//! Two things limit a router. Its part of the window: what it admits in any window never
//! exceeds that part, and the parts of all routers never exceed the whole, whatever each knows
//! of the others. And its part of the rate: what the leader lent, or what the router's own
//! part of the rate has brought in meanwhile. A part is moved from one router to another only
//! as far as it is known not to be used in the window.

use super::rate_limit::RateLimit;
use super::tenant_lease::{RouterContext, TenantLease, Tenure, QUOTA_LEASE_MS};
use super::tolerance::QuotaTolerance;
use protocol::{QuotaDecision, QuotaGrant, RouterDemand};
use std::collections::{BTreeMap, BTreeSet};

/// The most routers that were known in one period of `QUOTA_LEASE_MS`.
#[derive(Clone, Copy)]
struct PeriodPeak {
    /// The period's number.
    period: u64,
    routers: usize,
}

/// The most routers known in this period and the one before. A router that is cut off hears
/// of fewer routers, and must not take their parts.
struct RouterCountPeak {
    current: PeriodPeak,
    previous: PeriodPeak,
}

impl RouterCountPeak {
    fn new(now: u64) -> RouterCountPeak {
        let peak = |period| PeriodPeak { period, routers: 0 };
        RouterCountPeak {
            current: peak(now / QUOTA_LEASE_MS),
            previous: peak(0),
        }
    }

    /// Records a count and returns the peak.
    fn record(&mut self, now: u64, routers: usize) -> usize {
        let period = now / QUOTA_LEASE_MS;
        if period > self.current.period {
            self.previous = PeriodPeak {
                period: period - 1,
                routers: if period == self.current.period + 1 {
                    self.current.routers
                } else {
                    0
                },
            };
            self.current = PeriodPeak { period, routers };
        }
        self.current.routers = self.current.routers.max(routers);
        self.current.routers.max(self.previous.routers)
    }
}

/// The tenants' leases at one router.
///
/// Bound: over all routers that count each other, a tenant is admitted no more than
/// `QuotaTolerance` allows in any window.
///
/// Invariants: `incarnation` differs for each start of a process; no tenant is ever dropped,
/// since its counts go on; for a window after the start there is the startup floor alone,
/// since an earlier process may have used the floor.
pub struct LeaseRateLimiter {
    incarnation: u64,
    started_at_ms: u64,
    tolerance: QuotaTolerance,
    tenants: BTreeMap<String, TenantLease>,
    /// The number of the last heartbeat.
    heartbeat: u64,
    routers: RouterCountPeak,
    is_closed: bool,
    /// The first heartbeat that gave all leases back, and whether an answer to it, or to a
    /// later one, was received.
    returned_in: Option<u64>,
    is_return_acknowledged: bool,
}

impl LeaseRateLimiter {
    /// The limiter of a process that starts now; `incarnation` is drawn at random.
    pub fn new(now: u64, incarnation: u64, tolerance: QuotaTolerance) -> LeaseRateLimiter {
        LeaseRateLimiter {
            incarnation,
            started_at_ms: now,
            tolerance,
            tenants: BTreeMap::new(),
            heartbeat: 0,
            routers: RouterCountPeak::new(now),
            is_closed: false,
            returned_in: None,
            is_return_acknowledged: false,
        }
    }

    /// Admits nothing any more. From the next heartbeat on all leases are given back, so that
    /// the leader need not reserve them for `QUOTA_LEASE_MS` after the process has ended.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether the leader knows that all leases were given back.
    pub fn is_return_acknowledged(&self) -> bool {
        self.is_return_acknowledged
    }

    fn context(&self, now: u64) -> RouterContext {
        RouterContext {
            now,
            started_at_ms: self.started_at_ms,
            window_ms: self.tolerance.window_ms,
        }
    }

    /// Whether a request is admitted, decided at once. `routers` is how many routers are
    /// known, this one included; 0 stands for not known, and then none is admitted.
    /// Invariant: a router that starts is counted by all others within a window, while it has
    /// no floor yet.
    pub fn admit(&mut self, now: u64, tenant: &str, limit: RateLimit, routers: usize) -> bool {
        let routers = self.routers.record(now, routers);
        if routers == 0 || self.is_closed {
            return false;
        }
        let context = self.context(now);
        let split = self.tolerance.split(limit, routers);
        self.tenants
            .entry(tenant.to_string())
            .or_insert_with(|| TenantLease::new(&context, split, limit))
            .admit(&context, split, limit, routers, self.heartbeat)
    }

    /// Decides on a request of any router, as the owner of the tenant's lease.
    pub fn admit_as_owner(
        &mut self,
        now: u64,
        tenant: &str,
        limit: RateLimit,
        routers: usize,
    ) -> QuotaDecision {
        if self.admit(now, tenant, limit, routers) {
            return QuotaDecision::Admitted;
        }
        let lease = self.tenants.get(tenant);
        match lease.is_some_and(|lease| lease.is_leased(now)) && !self.is_closed {
            true => QuotaDecision::OverQuota,
            false => QuotaDecision::NoLease,
        }
    }

    /// Sets which tenants this router owns. It asks for a lease of each, and gives back those
    /// of all others that it owned before. `limit_of` gives a tenant's quota, `routers` is how
    /// many routers are known.
    pub fn set_owned_tenants(
        &mut self,
        now: u64,
        owned: &BTreeSet<String>,
        routers: usize,
        limit_of: impl Fn(&str) -> RateLimit,
    ) {
        let routers = self.routers.record(now, routers).max(1);
        for (tenant, lease) in &mut self.tenants {
            if !owned.contains(tenant) {
                lease.set_tenure(Tenure::FormerOwner);
            }
        }
        let context = self.context(now);
        for tenant in owned {
            let limit = limit_of(tenant);
            let split = self.tolerance.split(limit, routers);
            let lease = self
                .tenants
                .entry(tenant.clone())
                .or_insert_with(|| TenantLease::new(&context, split, limit));
            lease.update_limit(now, split, limit, routers, self.heartbeat);
            lease.set_tenure(Tenure::Owner);
        }
    }

    /// This router leases for the requests that it receives itself, as in a small fleet.
    pub fn lease_for_own_requests(&mut self) {
        for lease in self.tenants.values_mut() {
            lease.set_tenure(Tenure::ForItself);
        }
    }

    /// What to report to the leader with the heartbeat of this number: the tenants with
    /// requests lately, and those of which the leader may not know that they have none.
    pub fn demand(&mut self, now: u64, router: &str, heartbeat: u64) -> RouterDemand {
        self.heartbeat = self.heartbeat.max(heartbeat);
        let is_closed = self.is_closed;
        if is_closed {
            self.returned_in.get_or_insert(heartbeat);
        }
        let reported = self
            .tenants
            .iter_mut()
            .filter(|(_, lease)| lease.is_reported(now));
        let report = |(tenant, lease): (&String, &mut TenantLease)| match is_closed {
            true => lease.close(now, tenant, heartbeat),
            false => lease.demand(now, tenant, heartbeat),
        };
        RouterDemand {
            router: router.into(),
            incarnation: self.incarnation,
            heartbeat,
            incarnation_age_ms: now.saturating_sub(self.started_at_ms),
            demands: reported.map(report).collect(),
        }
    }

    /// Takes the leader's answer to the heartbeat of this number. The answer counts until
    /// `until_ms`, `LEASE_MS` after the heartbeat was sent. Invariant: it answers a heartbeat
    /// of this process, since the connection ends with the process.
    pub fn apply_grants(&mut self, now: u64, heartbeat: u64, until_ms: u64, grants: &[QuotaGrant]) {
        self.is_return_acknowledged |= self.returned_in.is_some_and(|first| first <= heartbeat);
        if now >= until_ms {
            return;
        }
        let context = self.context(now);
        for grant in grants {
            if let Some(lease) = self.tenants.get_mut(&grant.tenant) {
                lease.apply_grant(&context, heartbeat, until_ms, grant);
            }
        }
    }
}
