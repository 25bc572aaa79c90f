//! The deployment that is judged: where its processes run, and what tenants may do.

use residency::Topology;
use std::collections::{BTreeMap, BTreeSet};

/// Where processes run, and what tenants may do, as the topology file says.
#[derive(Default)]
pub struct Deployment {
    /// Engine to region.
    pub engine_regions: BTreeMap<String, String>,
    /// Engine to zone.
    pub engine_zones: BTreeMap<String, String>,
    /// Engine to its slots.
    pub engine_slots: BTreeMap<String, EngineSlots>,
    /// Router or directory node to region.
    pub node_regions: BTreeMap<String, String>,
    /// Zone to region.
    pub zone_regions: BTreeMap<String, String>,
    /// Tenant to its home regions. One that is missing may use any.
    pub homes: BTreeMap<String, BTreeSet<String>>,
    /// Tenant to its quota. One that is missing has none.
    pub quotas: BTreeMap<String, Quota>,
}

/// How many requests an engine can run at once.
#[derive(Clone, Copy, Debug)]
pub struct EngineSlots {
    /// All of its slots.
    pub total: u64,
    /// How many of them the routers are to fill.
    pub set_point: u64,
}

/// A tenant's quota: a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Requests a second.
    pub requests_per_s: u64,
    /// Requests at once, after a pause.
    pub burst: u64,
}

/// A process of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Process<'a> {
    /// Its name in journals and logs.
    pub name: &'a str,
    /// What it does.
    pub role: Role,
    /// Its region.
    pub region: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// What a process does.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// An engine with so many slots.
    Engine {
        /// Requests that it can run at once.
        slots: u64,
    },
    /// A router or a directory node.
    Node,
}

impl Deployment {
    /// The processes, and the tenants of a topology.
    pub fn new<'a>(
        topology: &Topology,
        processes: impl Iterator<Item = Process<'a>>,
    ) -> Deployment {
        let homes = topology
            .tenants
            .iter()
            .filter(|(_, tenant)| !tenant.homes.is_empty())
            .map(|(name, tenant)| (name.clone(), tenant.homes.iter().cloned().collect()));
        let quotas = topology
            .tenants
            .iter()
            .filter(|(_, tenant)| tenant.requests_per_s > 0)
            .map(|(name, tenant)| {
                let quota = Quota {
                    requests_per_s: tenant.requests_per_s,
                    burst: tenant.burst,
                };
                (name.clone(), quota)
            });
        let mut deployment = Deployment {
            zone_regions: topology.zones.clone(),
            homes: homes.collect(),
            quotas: quotas.collect(),
            ..Deployment::default()
        };
        let utilization = topology.program.set_points.target_utilization;
        processes.for_each(|process| deployment.add(process, utilization));
        deployment
    }

    fn add(&mut self, process: Process, target_utilization: f64) {
        let (name, region) = (process.name.to_string(), process.region.to_string());
        let Role::Engine { slots } = process.role else {
            self.node_regions.insert(name, region);
            return;
        };
        let slots = EngineSlots {
            total: slots,
            set_point: (slots as f64 * target_utilization).ceil() as u64,
        };
        self.engine_zones
            .insert(name.clone(), process.zone.to_string());
        self.engine_slots.insert(name.clone(), slots);
        self.engine_regions.insert(name, region);
    }
}
