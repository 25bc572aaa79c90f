//! The topology file: where each tenant and service may live, with the routing rules.

mod error;
mod fields;
mod parse;
mod reader;

pub(crate) use reader::is_digest;

pub use error::{Expected, TopologyError, TopologyErrorKind, TopologyErrors};

use crate::{InvalidationScope, Name, RequestLimits};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The topology file, read and checked by [`Topology::from_json`]. Invariants: every
/// cell's zone is in `zones`; every home is the region of some zone; `program` is what `rules` compiles to.
pub struct Topology {
    /// Zone to region.
    pub zones: BTreeMap<String, String>,
    /// Cell to zone.
    pub cells: BTreeMap<String, String>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Tenants by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// The text of the routing rules.
    pub rules: String,
    /// What the rules compile to.
    pub program: Arc<policy::Program>,
    /// The limits on requests at the ingress.
    pub limits: RequestLimits,
    /// A key's requests go to the client's own region first, not to its first home.
    pub is_near_first: bool,
    /// Digest to tenant, of the tenant keys that the file itself lists.
    pub keys: BTreeMap<String, String>,
}

/// A service of the topology file.
#[derive(PartialEq)]
pub struct Service {
    /// Regions where it may run; empty stands for any region.
    pub homes: Vec<String>,
    /// Connections that one engine accepts from all routers together; 0 stands for no
    /// limit.
    pub max_connections: u64,
    /// Requests a second that an engine takes while it warms up; 0 stands for no limit.
    pub warm_up_requests_per_s: u64,
    /// How long an engine warms up after it came.
    pub warm_up_ms: u64,
}

/// A tenant of the topology file.
#[derive(PartialEq)]
pub struct Tenant {
    /// Its home regions; empty stands for any region.
    pub homes: Vec<String>,
    /// The services that it may use; empty stands for any service.
    pub services: Vec<String>,
    /// Requests a second; 0 stands for no quota.
    pub requests_per_s: u64,
    /// The most requests that may come at once.
    pub burst: u64,
    /// How long its mappings are fresh, in place of the set point.
    pub fresh_ms: Option<u64>,
    /// When its mappings expire, in place of the set point.
    pub expire_ms: Option<u64>,
    /// Goes before the route's urgency; 0 is the most urgent, 9 the least.
    pub urgency: Option<u8>,
}

impl Topology {
    /// The region that a cell lies in.
    pub fn region_of_cell(&self, cell: &str) -> Option<&String> {
        self.zones.get(self.cells.get(cell)?)
    }

    /// All regions, sorted.
    pub fn regions(&self) -> Vec<&String> {
        let mut regions: Vec<&String> = self.zones.values().collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Which cached mappings become void when `next` replaces this topology.
    pub fn invalidated_by(&self, next: &Topology) -> Vec<InvalidationScope> {
        let is_only_tenants = self.zones == next.zones
            && self.cells == next.cells
            && self.services == next.services
            && self.program.set_points == next.program.set_points
            && self.is_near_first == next.is_near_first;
        if !is_only_tenants {
            return vec![InvalidationScope::All];
        }
        // A tenant that is new has no mapping yet.
        let has_changed =
            |(name, tenant): &(&String, &Tenant)| next.tenants.get(*name) != Some(*tenant);
        let scope = |(name, _): (&String, &Tenant)| InvalidationScope::Tenant(Name(name.clone()));
        self.tenants.iter().filter(has_changed).map(scope).collect()
    }
}
