//! The leader's side of quota leases: which routers there are, and what each may admit.

use super::lease_pool::{Readiness, TenantPool};
use super::rate_limit::RateLimit;
use super::tenant_lease::{quota_lease_ms, QUOTA_LEASE_MS};
use super::tolerance::{has_quota_owners, QuotaSplit, QuotaTolerance, MAX_ROUTERS_WITH_FLOORS};
use protocol::{QuotaGrant, RouterDemand, RouterGrants, LEASE_MS};
use std::collections::{BTreeMap, VecDeque};

/// Former incarnations of a router that are remembered, so that a late heartbeat of one of
/// them is not taken for another restart.
const MAX_FORMER_INCARNATIONS: usize = 4;

/// A router as the leader knows it. Invariant: `former` holds no incarnation that may still
/// run.
struct KnownRouter {
    incarnation: u64,
    /// The last heartbeat.
    heartbeat: u64,
    heard_at_ms: u64,
    former: VecDeque<u64>,
}

impl KnownRouter {
    /// Whether a heartbeat is older than what is known.
    fn is_late(&self, demand: &RouterDemand) -> bool {
        match self.incarnation == demand.incarnation {
            true => demand.heartbeat <= self.heartbeat,
            false => self.former.contains(&demand.incarnation),
        }
    }

    /// Takes over a heartbeat, and says whether the router restarted.
    fn record(&mut self, now: u64, demand: &RouterDemand) -> bool {
        let is_restart = self.incarnation != demand.incarnation;
        if is_restart {
            self.former.push_back(self.incarnation);
            if self.former.len() > MAX_FORMER_INCARNATIONS {
                self.former.pop_front();
            }
        }
        (self.incarnation, self.heartbeat, self.heard_at_ms) =
            (demand.incarnation, demand.heartbeat, now);
        is_restart
    }
}

/// The tenants' pools at the leader. A new leader knows no router, and lends nothing until it
/// has heard from all that may have something.
///
/// Bound: together with the routers' floors, no more is lent than `QuotaTolerance` allows in
/// any window.
pub struct QuotaLeaseAllocator {
    tolerance: QuotaTolerance,
    routers: BTreeMap<String, KnownRouter>,
    pools: BTreeMap<String, TenantPool>,
    /// When this leader's term began.
    since_ms: u64,
    /// Until when the window may hold what processes admitted that ended before this leader's
    /// term.
    ready_at_ms: u64,
    has_heard_all: bool,
    /// Since when the fleet has been so large that tenants have owners; `None` while it is
    /// not. Routers that don't know it yet use floors.
    pooled_since_ms: Option<u64>,
    /// Whether a router was heard that started more than a window ago.
    has_heard_settled_router: bool,
}

impl QuotaLeaseAllocator {
    /// The allocator of a leader whose term begins now.
    pub fn new(now: u64, tolerance: QuotaTolerance) -> QuotaLeaseAllocator {
        QuotaLeaseAllocator {
            tolerance,
            routers: BTreeMap::new(),
            pools: BTreeMap::new(),
            since_ms: now,
            ready_at_ms: 0,
            has_heard_all: false,
            pooled_since_ms: None,
            has_heard_settled_router: false,
        }
    }

    /// A router said that it admits nothing any more. What it has used stays in the window.
    pub fn router_left(&mut self, now: u64, router: &str) {
        if let Some(known) = self.routers.get_mut(router) {
            known.heard_at_ms = known.heard_at_ms.min(now.saturating_sub(QUOTA_LEASE_MS));
        }
        for pool in self.pools.values_mut() {
            pool.close_router(now, router, self.tolerance.window_ms);
        }
    }

    /// Answers the demands of one heartbeat. `routers` is how many routers were known in the
    /// last `QUOTA_LEASE_MS`, silent ones included, those that left excepted; `limit_of` gives
    /// a tenant's quota.
    pub fn allocate(
        &mut self,
        now: u64,
        from: &RouterDemand,
        routers: usize,
        limit_of: impl Fn(&str) -> Option<RateLimit>,
    ) -> RouterGrants {
        let window_ms = self.tolerance.window_ms;
        let is_pooled = has_quota_owners(routers);
        self.pooled_since_ms = self.pooled_since_ms.or(Some(now)).filter(|_| is_pooled);
        let reserved_ms = quota_lease_ms(is_pooled) + window_ms;
        self.routers
            .retain(|_, router| now < router.heard_at_ms + reserved_ms);
        let grants = match self.record_heartbeat(now, from, routers) {
            true => self.grants(now, from, routers, limit_of),
            false => Vec::new(),
        };
        RouterGrants {
            router: from.router.clone(),
            heartbeat: from.heartbeat,
            grants,
        }
    }

    fn grants(
        &mut self,
        now: u64,
        from: &RouterDemand,
        routers: usize,
        limit_of: impl Fn(&str) -> Option<RateLimit>,
    ) -> Vec<QuotaGrant> {
        let window_ms = self.tolerance.window_ms;
        let readiness = self.readiness(now);
        let mut grants = Vec::new();
        for demand in &from.demands {
            let limit = limit_of(&demand.tenant).filter(|limit| limit.requests_per_s > 0);
            let Some(limit) = limit else {
                continue;
            };
            let split = self.tolerance.split(limit, routers.max(1));
            let first_split = self.first_split(now, limit, routers);
            let pool = self
                .pools
                .entry(demand.tenant.clone())
                .or_insert_with(|| TenantPool::new(now, first_split, limit.requests_per_s));
            pool.update_split(now, split, limit.requests_per_s, window_ms);
            pool.retain_routers(|name| self.routers.contains_key(name));
            if let Some(limit) = pool.allocate(now, from, demand, window_ms, readiness) {
                grants.push(QuotaGrant {
                    tenant: demand.tenant.clone(),
                    limit,
                    queue_wait_ms: 0,
                });
            }
        }
        grants
    }

    /// The split that a new pool begins with: not the larger pool of a fleet with owners before
    /// all routers know that they have no floors.
    fn first_split(&self, now: u64, limit: RateLimit, routers: usize) -> QuotaSplit {
        let is_known = self
            .pooled_since_ms
            .is_none_or(|since_ms| now >= since_ms + self.tolerance.window_ms);
        let routers = match is_known {
            true => routers,
            false => routers.min(MAX_ROUTERS_WITH_FLOORS),
        };
        self.tolerance.split(limit, routers.max(1))
    }

    fn readiness(&self, now: u64) -> Readiness {
        // Where all processes were lost, half a window after their start only the later half
        // of what they had admitted is still in the window.
        let is_restarted = now + self.tolerance.window_ms / 2 >= self.ready_at_ms
            && !self.has_heard_settled_router;
        match self.has_heard_all {
            true if now >= self.ready_at_ms => Readiness::Known,
            true if is_restarted => Readiness::Restarted,
            _ => Readiness::Unknown,
        }
    }

    /// Takes over a heartbeat, and says whether it is newer than what is known.
    fn record_heartbeat(&mut self, now: u64, from: &RouterDemand, routers: usize) -> bool {
        let is_new = match self.routers.get_mut(&from.router) {
            Some(known) if known.is_late(from) => return false,
            Some(known) => {
                if known.record(now, from) {
                    let window_ms = self.tolerance.window_ms;
                    for pool in self.pools.values_mut() {
                        pool.restart_router(now, &from.router, from.incarnation, window_ms);
                    }
                }
                false
            }
            None => {
                let known = KnownRouter {
                    incarnation: from.incarnation,
                    heartbeat: from.heartbeat,
                    heard_at_ms: now,
                    former: VecDeque::new(),
                };
                self.routers.insert(from.router.clone(), known);
                true
            }
        };
        if !self.has_heard_all {
            if is_new {
                self.record_new_router(now, from.incarnation_age_ms);
            }
            self.has_heard_all = self.is_complete(now, routers);
        }
        true
    }

    fn record_new_router(&mut self, now: u64, age_ms: u64) {
        let window_ms = self.tolerance.window_ms;
        let started_at_ms = now.saturating_sub(age_ms);
        self.ready_at_ms = self.ready_at_ms.max(started_at_ms + window_ms);
        self.has_heard_settled_router |= age_ms >= window_ms;
    }

    /// Whether all routers were heard, or so much time has passed that none of the others has
    /// anything.
    fn is_complete(&self, now: u64, routers: usize) -> bool {
        // Before that time a router may yet take answers of the leader before.
        let settled_at_ms = self.since_ms + LEASE_MS;
        let heard = self
            .routers
            .values()
            .filter(|router| router.heard_at_ms >= settled_at_ms)
            .count();
        let lease_ms = quota_lease_ms(has_quota_owners(routers));
        let is_lapsed = now >= self.since_ms + lease_ms + self.tolerance.window_ms;
        heard >= routers && now >= settled_at_ms || is_lapsed
    }
}
