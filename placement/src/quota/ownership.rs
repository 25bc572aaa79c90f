//! Which routers own a tenant's quota lease in a large fleet: one in each region, by rendezvous
//! hashing.
//!
//! All routers that know the same fleet name the same owners. Where their knowledge differs, a
//! tenant has one owner more for a moment. The leader leases to it like to any other router, so
//! that the quota holds all the same.

use crate::rendezvous::highest_ranked;
use policy::stable_hash;
use protocol::RouterStatus;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A router that may own leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaOwner {
    /// Its name.
    pub name: String,
    /// The region that it runs in.
    pub region: String,
    /// Where other routers reach it.
    pub peer_address: String,
}

/// A candidate with its rendezvous key.
struct Candidate {
    hash: u64,
    owner: QuotaOwner,
}

/// The routers that may own leases, as one router knows the fleet.
#[derive(Default)]
pub struct QuotaOwners {
    by_region: BTreeMap<String, Vec<Candidate>>,
}

impl QuotaOwners {
    /// The owners among these routers: those that have a view and don't drain.
    pub fn new<'a>(routers: impl Iterator<Item = &'a RouterStatus>) -> QuotaOwners {
        let mut by_region: BTreeMap<String, Vec<Candidate>> = BTreeMap::new();
        for router in routers.filter(|router| router.epoch > 0 && !router.is_draining()) {
            let owner = QuotaOwner {
                name: router.name.clone(),
                region: router.region.clone(),
                peer_address: router.peer_address.clone(),
            };
            let hash = stable_hash(owner.name.as_bytes());
            let candidates = by_region.entry(owner.region.clone()).or_default();
            candidates.push(Candidate { hash, owner });
        }
        QuotaOwners { by_region }
    }

    /// The owners of a tenant's lease: the one of `region` first, then those of other regions,
    /// in an order that differs by tenant.
    pub fn of_tenant(&self, tenant: &str, region: &str) -> Vec<&QuotaOwner> {
        let key = stable_hash(tenant.as_bytes());
        let mut owners: Vec<(u64, &QuotaOwner)> = self
            .by_region
            .values()
            .filter_map(|candidates| owner_of(key, candidates))
            .collect();
        owners.sort_by_key(|(rank, owner)| Reverse((owner.region == region, *rank)));
        owners.into_iter().map(|(_, owner)| owner).collect()
    }

    /// Whether the router of this name and region owns the tenant's lease there.
    pub fn is_owner(&self, tenant: &str, region: &str, name: &str) -> bool {
        let key = stable_hash(tenant.as_bytes());
        let candidates = self.by_region.get(region);
        let owner = candidates.and_then(|candidates| owner_of(key, candidates));
        owner.is_some_and(|(_, owner)| owner.name == name)
    }
}

fn owner_of(key: u64, candidates: &[Candidate]) -> Option<(u64, &QuotaOwner)> {
    let candidates = candidates.iter();
    highest_ranked(key, candidates.map(|one| (one.hash, &one.owner)))
}
