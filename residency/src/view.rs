//! The replica that routers keep of the state: a snapshot of it, then the events of each
//! applied log entry.

use crate::{
    Cell, Engine, EngineState, Epoch, Event, Name, RequestLimits, ServiceLimits, TenantKey,
    TenantLimits, Zone,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Where a cell lies.
pub struct CellLocation {
    /// The cell's zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
}

/// Invariants: `epoch` only rises; `program` is what `rules` compiles to.
#[derive(Clone)]
pub struct View {
    /// The index of the log entry that was applied last.
    pub epoch: Epoch,
    /// The text of the routing rules.
    pub rules: String,
    /// The compiled routing rules.
    pub program: Arc<policy::Program>,
    /// Zone to region.
    pub zones: BTreeMap<String, String>,
    /// Cell to zone.
    pub cells: BTreeMap<String, String>,
    /// Digest of a tenant key to tenant.
    pub keys: BTreeMap<String, String>,
    /// Engines by name.
    pub engines: BTreeMap<String, Engine>,
    /// The zones that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// Limits by tenant.
    pub tenants: BTreeMap<String, TenantLimits>,
    /// Limits by service.
    pub services: BTreeMap<String, ServiceLimits>,
    /// The limits on requests at the ingress.
    pub limits: RequestLimits,
    /// How many routers there are, as the leader last counted them; 0 stands for not
    /// known.
    pub router_count: u32,
}

impl Default for View {
    fn default() -> View {
        View {
            epoch: 0,
            rules: String::new(),
            program: Arc::new(policy::compile("").expect("an empty text compiles")),
            zones: BTreeMap::new(),
            cells: BTreeMap::new(),
            keys: BTreeMap::new(),
            engines: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            tenants: BTreeMap::new(),
            services: BTreeMap::new(),
            limits: RequestLimits::default(),
            router_count: 0,
        }
    }
}

impl View {
    /// Where a cell lies; `None` where the topology has no such cell.
    pub fn cell(&self, name: &str) -> Option<CellLocation> {
        let zone = self.cells.get(name)?;
        Some(CellLocation {
            zone: zone.clone(),
            region: self.zones.get(zone)?.clone(),
        })
    }

    /// Whether an engine may get new requests, as far as operators and the platform
    /// have said: it serves, and its zone is not evacuated.
    pub fn is_open(&self, engine: &Engine) -> bool {
        engine.state == EngineState::Serving
            && self
                .cells
                .get(&engine.cell)
                .is_some_and(|zone| !self.evacuated.contains(zone))
    }

    /// Applies one event. The caller applies all events of a log entry together and
    /// then sets the epoch.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Rules(text) => {
                // Directory nodes compile the rules before they apply them, so a text
                // that fails here comes from another version; the old rules stay.
                if let Ok(program) = policy::compile(&text.0) {
                    self.set_rules(text.0.clone(), Arc::new(program));
                }
            }
            Event::Topology { zones, cells } => {
                let zone = |zone: &Zone| (zone.name.clone(), zone.region.clone());
                let cell = |cell: &Cell| (cell.name.clone(), cell.zone.clone());
                self.zones = zones.iter().map(zone).collect();
                self.cells = cells.iter().map(cell).collect();
            }
            Event::KeyAdded(key) => {
                self.keys.insert(key.digest.clone(), key.tenant.clone());
            }
            Event::KeyRemoved(digest) => {
                self.keys.remove(&digest.0);
            }
            Event::EngineUpdated(engine) => {
                self.engines.insert(engine.name.clone(), engine.clone());
            }
            Event::EngineRemoved(name) => {
                self.engines.remove(&name.0);
            }
            Event::ZoneEvacuated(zone) => {
                self.evacuated.insert(zone.0.clone());
            }
            Event::ZoneReinstated(zone) => {
                self.evacuated.remove(&zone.0);
            }
            Event::Invalidated(_) => {}
            Event::Tenants(list) => {
                self.tenants = list
                    .iter()
                    .map(|limits| (limits.tenant.clone(), limits.clone()))
                    .collect();
            }
            Event::Services(list) => {
                self.services = list
                    .iter()
                    .map(|limits| (limits.service.clone(), limits.clone()))
                    .collect();
            }
            Event::Limits(limits) => self.limits = *limits,
            Event::RouterCount(count) => self.router_count = *count,
        }
    }

    /// Replaces the rules; `program` is what they compile to.
    pub(crate) fn set_rules(&mut self, rules: String, program: Arc<policy::Program>) {
        self.rules = rules;
        self.program = program;
    }

    /// The events that make an empty view the same as this one, apart from the epoch.
    pub fn snapshot(&self) -> Vec<Event> {
        let name = |text: &String| Name(text.clone());
        let mut events = vec![
            Event::Rules(name(&self.rules)),
            Event::Topology {
                zones: Zone::list(&self.zones),
                cells: Cell::list(&self.cells),
            },
            Event::Tenants(self.tenants.values().cloned().collect()),
            Event::Services(self.services.values().cloned().collect()),
            Event::Limits(self.limits),
            Event::RouterCount(self.router_count),
        ];
        let key = |(digest, tenant): (&String, &String)| TenantKey {
            digest: digest.clone(),
            tenant: tenant.clone(),
        };
        events.extend(self.keys.iter().map(key).map(Event::KeyAdded));
        events.extend(self.engines.values().cloned().map(Event::EngineUpdated));
        events.extend(
            self.evacuated
                .iter()
                .map(|zone| Event::ZoneEvacuated(name(zone))),
        );
        events
    }
}
