//! Admission by a tenant's quota. In a small fleet each router decides by what it leased for
//! itself. In a larger one the owner of the tenant's lease decides, one router of each region,
//! and the others ask it; where it has no lease or is silent, the owner of another region.

use crate::router::Router;
use dispatch::quota::over_quota;
use placement::{has_quota_owners, QuotaOwner, RateLimit};
use protocol::QuotaDecision;
use residency::{Epoch, View};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use transport::rejection::Rejection;

/// How long an owner in the same region may take to decide. Then another one is asked, and
/// what the first one admits late is lost for the tenant.
const REGIONAL_TIMEOUT: Duration = Duration::from_millis(100);
/// The same in another region: covers connecting, there and back twice.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(300);
/// Owners that are asked for one request, at the most.
const MAX_OWNERS_ASKED: usize = 3;
/// When a request may come back that no owner could decide on: an owner that has begun has its
/// lease after a round trip to the leader.
const NO_OWNER_RETRY_MS: u64 = 300;

/// What the set of owned tenants was worked out from.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct OwnershipBasis {
    membership_version: u64,
    epoch: Epoch,
}

/// Admits a request under its tenant's quota.
///
/// # Errors
/// Status 429, code `quota`: the tenant is past its rate. Status 503, code `no-leader`: no
/// router that could be asked has a lease. The request was not run.
pub async fn admit(router: &Router, view: &View, tenant: &str) -> Result<(), Rejection> {
    let limit = rate_limit(view, tenant);
    let routers = known_routers(router, view);
    if !has_owners(router, routers) {
        let patience = router.settings.quota_wait;
        return router.quota.admit(tenant, limit, routers, patience).await;
    }
    if limit.requests_per_s == 0 {
        return Ok(());
    }
    for owner in owners(router, tenant) {
        match ask(router, &owner, tenant).await {
            QuotaDecision::Admitted => return Ok(()),
            QuotaDecision::OverQuota => return Err(over_quota(tenant, limit)),
            QuotaDecision::NoLease => router.metrics.increment("quota_owner_without_lease"),
        }
    }
    let text = "no router that was asked has a lease of this tenant's quota";
    Err(Rejection::not_run(503, "no-leader", text).retry(NO_OWNER_RETRY_MS))
}

/// Decides on a request of any router, as the owner of the tenant's lease.
pub fn decide_as_owner(router: &Router, tenant: &str) -> QuotaDecision {
    let view = router.view.borrow().clone();
    let routers = known_routers(router, &view);
    if !view.tenants.contains_key(tenant) || !has_owners(router, routers) {
        return QuotaDecision::NoLease;
    }
    let limit = rate_limit(&view, tenant);
    router.quota.admit_as_owner(tenant, limit, routers)
}

/// Has this router lease the quotas of the tenants that it owns by now. Called before each
/// heartbeat; does nothing while neither the fleet nor the configuration changed.
pub fn update_owned_tenants(router: &Router) {
    let view = router.view.borrow().clone();
    let membership = router.membership.read();
    let basis = OwnershipBasis {
        membership_version: membership.version(),
        epoch: view.epoch,
    };
    if std::mem::replace(&mut *router.ownership_basis.lock(), basis) == basis {
        return;
    }
    drop(membership);
    let routers = known_routers(router, &view);
    if !has_owners(router, routers) {
        return router.quota.lease_for_own_requests();
    }
    let owned = owned_tenants(router, &view);
    let limit_of = |tenant: &str| rate_limit(&view, tenant);
    router.quota.set_owned_tenants(&owned, routers, limit_of);
}

/// The tenants with a quota whose leases this router owns.
fn owned_tenants(router: &Router, view: &View) -> BTreeSet<String> {
    let owners = router.membership.read().quota_owners();
    let settings = &router.settings;
    view.tenants
        .iter()
        .filter(|(_, limits)| limits.requests_per_s > 0)
        .map(|(tenant, _)| tenant)
        .filter(|tenant| owners.is_owner(tenant, &settings.region, &settings.name))
        .cloned()
        .collect()
}

fn rate_limit(view: &View, tenant: &str) -> RateLimit {
    let limits = view.tenants.get(tenant);
    limits.map_or(RateLimit::default(), |limits| RateLimit {
        requests_per_s: limits.requests_per_s,
        burst: limits.burst,
    })
}

/// How many routers share the quotas; 0 where that is not known yet.
fn known_routers(router: &Router, view: &View) -> usize {
    match view.router_count as usize {
        0 => 0,
        known => known.max(router.membership.read().router_count()),
    }
}

fn has_owners(router: &Router, routers: usize) -> bool {
    router.quota.leases_from_pools() && has_quota_owners(routers)
}

/// The owners to ask, in their order.
fn owners(router: &Router, tenant: &str) -> Vec<QuotaOwner> {
    let owners = router.membership.read().quota_owners();
    owners
        .of_tenant(tenant, &router.settings.region)
        .into_iter()
        .take(MAX_OWNERS_ASKED)
        .cloned()
        .collect()
}

/// Has an owner decide. One that can't be reached in time has no lease, as far as this
/// router can know.
async fn ask(router: &Router, owner: &QuotaOwner, tenant: &str) -> QuotaDecision {
    if owner.name == router.settings.name {
        return decide_as_owner(router, tenant);
    }
    let Ok(address) = owner.peer_address.parse::<SocketAddr>() else {
        return QuotaDecision::NoLease;
    };
    let timeout = match owner.region == router.settings.region {
        true => REGIONAL_TIMEOUT,
        false => REMOTE_TIMEOUT,
    };
    let decision = router.peer_links.admit(address, tenant, timeout).await;
    decision.unwrap_or_else(|_| {
        router.metrics.increment("quota_owner_silent");
        QuotaDecision::NoLease
    })
}
