//! Which other routers and directory nodes there are, by the latest updates of the
//! session. Soft state: it is lost on restart and comes back with a session.

use consensus::Member;
use placement::{LoadAggregators, QuotaOwners};
use protocol::{RegistryUpdate, RouterStatus};
use std::sync::Arc;
use transport::now;

/// Another router may not know of one that was not listed for so long, nor the
/// other way round: directory nodes update each other every 375 ms, and the routers
/// every 875 ms, at the latest.
const PROPAGATION_MS: u64 = 1_300;

/// The known routers and directory nodes, as one router holds them.
pub struct Membership {
    name: String,
    region: String,
    known: placement::RouterMembership,
    /// Rendezvous keys of the routers that may begin work at engines that warm up.
    router_ranks: Vec<u64>,
    /// Which of the routers own tenants' quota leases.
    quota_owners: Arc<QuotaOwners>,
    /// Which of the routers aggregate load reports.
    load_aggregators: Arc<LoadAggregators>,
    /// Rises when routers came, left or changed.
    version: u64,
    /// When the latest update came, on this process's clock; 0 before the first.
    updated_ms: u64,
    /// Since when updates have listed this router without a gap.
    listed_since_ms: Option<u64>,
}

impl Membership {
    /// Empty, as held by the router of this name and region.
    pub fn new(name: &str, region: &str) -> Membership {
        Membership {
            name: name.into(),
            region: region.into(),
            known: placement::RouterMembership::default(),
            router_ranks: Vec::new(),
            quota_owners: Arc::default(),
            load_aggregators: Arc::default(),
            version: 0,
            updated_ms: 0,
            listed_since_ms: None,
        }
    }

    /// Applies an update of the session.
    pub fn apply(&mut self, update: &RegistryUpdate) {
        let (at, has_gap) = (now(), now() >= self.updated_ms + PROPAGATION_MS);
        self.known.apply(update);
        let is_listed = self.routers().any(|router| router.name == self.name);
        self.listed_since_ms = self
            .listed_since_ms
            .filter(|_| !has_gap)
            .or(Some(at))
            .filter(|_| is_listed);
        self.updated_ms = at;
        if update.is_full || !update.routers.is_empty() || !update.removed_routers.is_empty() {
            let own = policy::stable_hash(self.name.as_bytes());
            let ranks = self
                .known
                .routers()
                .map(|router| policy::stable_hash(router.name.as_bytes()));
            self.router_ranks = std::iter::once(own)
                .chain(ranks.filter(|rank| *rank != own))
                .collect();
            self.quota_owners = Arc::new(QuotaOwners::new(self.known.routers()));
            self.load_aggregators = Arc::new(LoadAggregators::new(self.known.routers()));
            self.version += 1;
        }
    }

    /// All known routers, this one among them where it is listed.
    pub fn routers(&self) -> impl Iterator<Item = &RouterStatus> {
        self.known.routers()
    }

    /// The other routers of this region.
    pub fn regional_peers(&self) -> impl Iterator<Item = &RouterStatus> {
        self.routers()
            .filter(|router| router.region == self.region && router.name != self.name)
    }

    /// The routers of other regions.
    pub fn remote_routers(&self) -> impl Iterator<Item = &RouterStatus> {
        self.routers().filter(|router| router.region != self.region)
    }

    /// Other routers of the region that share its cache: those that don't drain.
    pub fn cache_peers(&self) -> impl Iterator<Item = &RouterStatus> {
        self.regional_peers().filter(|router| !router.is_draining())
    }

    /// Which of the routers own tenants' quota leases.
    pub fn quota_owners(&self) -> Arc<QuotaOwners> {
        Arc::clone(&self.quota_owners)
    }

    /// Which of the routers aggregate load reports.
    pub fn load_aggregators(&self) -> Arc<LoadAggregators> {
        Arc::clone(&self.load_aggregators)
    }

    /// The router of that name, if it is known.
    pub fn router(&self, name: &str) -> Option<&RouterStatus> {
        self.known.router(name)
    }

    /// The version of the list of routers: it rises when one came, left or changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The known directory nodes.
    pub fn directories(&self) -> &[Member] {
        self.known.directory_nodes()
    }

    /// How many routers there were at the latest change, this one among them; 0
    /// before the first update.
    pub fn router_count(&self) -> usize {
        self.router_ranks.len()
    }

    /// Rendezvous keys of the routers that may begin work at engines that warm up,
    /// this one's first; none while this one may not.
    pub fn settled_router_ranks(&self) -> Vec<u64> {
        let at = now();
        let is_settled = self
            .listed_since_ms
            .is_some_and(|since_ms| at >= since_ms + PROPAGATION_MS);
        match is_settled && at < self.updated_ms + PROPAGATION_MS {
            true => self.router_ranks.clone(),
            false => Vec::new(),
        }
    }
}
