//! How the leader shares out the tenants' quotas among the routers. In memory alone: a
//! new leader starts without knowledge of what the one before it granted.

use consensus::Term;
use placement::quota_work_limit::{DemandTiming, QuotaWorkLimit};
use placement::{QuotaLeaseAllocator, QuotaTolerance, RateLimit, TokenAllocator};
use protocol::{RouterDemand, RouterGrants};
use residency::View;
use transport::now;

enum Granter {
    /// By demand, at a rate.
    Tokens(TokenAllocator),
    /// Leases on a pool, with a margin over the quota.
    Leases(QuotaLeaseAllocator),
}

impl Granter {
    fn new(margin: Option<QuotaTolerance>) -> Granter {
        match margin {
            None => Granter::Tokens(TokenAllocator::new(now())),
            Some(margin) => Granter::Leases(QuotaLeaseAllocator::new(now(), margin)),
        }
    }
}

/// What was granted in one term.
pub(super) struct QuotaGrants {
    margin: Option<QuotaTolerance>,
    term: Term,
    granter: Granter,
    work_limit: QuotaWorkLimit,
}

/// What a node's routers were granted.
pub(super) struct GrantedDemands {
    pub(super) grants: Vec<RouterGrants>,
    /// Routers whose demands were not weighed, since this node is behind.
    pub(super) shed: u64,
}

impl QuotaGrants {
    pub(super) fn new(margin: Option<QuotaTolerance>) -> QuotaGrants {
        QuotaGrants {
            margin,
            term: 0,
            granter: Granter::new(margin),
            work_limit: QuotaWorkLimit::default(),
        }
    }

    /// Forgets what was granted in another term.
    pub(super) fn enter_term(&mut self, term: Term) {
        if self.term != term {
            self.granter = Granter::new(self.margin);
            self.term = term;
        }
    }

    /// Shares of the tenants' quotas, one for each demand that is weighed.
    pub(super) fn grant(
        &mut self,
        demands: &[RouterDemand],
        view: &View,
        known_routers: usize,
        timing: DemandTiming,
    ) -> GrantedDemands {
        let limits = |tenant: &str| {
            let limits = view.tenants.get(tenant);
            limits.map(|limits| RateLimit {
                requests_per_s: limits.requests_per_s,
                burst: limits.burst,
            })
        };
        let routers = known_routers.max(view.router_count as usize);
        let mut granted = GrantedDemands {
            grants: Vec::with_capacity(demands.len()),
            shed: 0,
        };
        for demand in demands {
            let started_at_ms = now();
            if !self.work_limit.is_weighed(started_at_ms, timing, demand) {
                granted.shed += 1;
                continue;
            }
            granted.grants.push(match &mut self.granter {
                Granter::Tokens(allocator) => allocator.allocate(started_at_ms, demand, limits),
                Granter::Leases(allocator) => {
                    allocator.allocate(started_at_ms, demand, routers, limits)
                }
            });
            self.work_limit.record_work(started_at_ms, now());
        }
        granted
    }
}
