//! How the leader shares out the tenants' quotas among the routers. In memory alone: a
//! new leader starts without knowledge of what the one before it granted.

use consensus::Term;
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
}

impl QuotaGrants {
    pub(super) fn new(margin: Option<QuotaTolerance>) -> QuotaGrants {
        QuotaGrants {
            margin,
            term: 0,
            granter: Granter::new(margin),
        }
    }

    /// Forgets what was granted in another term.
    pub(super) fn enter_term(&mut self, term: Term) {
        if self.term != term {
            self.granter = Granter::new(self.margin);
            self.term = term;
        }
    }

    /// Shares of the tenants' quotas, one for each demand.
    pub(super) fn grant(
        &mut self,
        demands: &[RouterDemand],
        view: &View,
        known_routers: usize,
    ) -> Vec<RouterGrants> {
        let limits = |tenant: &str| {
            let limits = view.tenants.get(tenant);
            limits.map(|limits| RateLimit {
                requests_per_s: limits.requests_per_s,
                burst: limits.burst,
            })
        };
        let routers = known_routers.max(view.router_count as usize);
        let answer = |demand| match &mut self.granter {
            Granter::Tokens(allocator) => allocator.allocate(now(), demand, limits),
            Granter::Leases(allocator) => allocator.allocate(now(), demand, routers, limits),
        };
        demands.iter().map(answer).collect()
    }
}
