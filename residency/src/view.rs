//! What a router knows: a picture of it, then changes.

use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};
use std::collections::{BTreeMap, BTreeSet};

#[binrw]
#[brw(big, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineState {
    /// Announced; gets no work yet.
    Coming = 0,
    Serving = 1,
    /// Finishes what it has; gets nothing more.
    Draining = 2,
}

impl std::fmt::Display for EngineState {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            EngineState::Coming => "coming",
            EngineState::Serving => "serving",
            EngineState::Draining => "draining",
        })
    }
}

/// An engine as the platform listed it.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub address: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub cell: String,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub services: Vec<crate::Name>,
    pub slots: u32,
    pub state: EngineState,
    /// How long it stays cold from when this was said; 0 stands for warm.
    pub warm_up_ms: u32,
}

/// What a caller may send and how long it may take, at the doors.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    pub head_timeout_ms: u64,
    /// How long a connection may lie idle between two requests.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_head_bytes: 64 << 10,
            max_body_bytes: 1 << 30,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// What holds for all engines of a service.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLimits {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub service: String,
    pub max_connections: u64,
    pub warm_up_requests_per_s: u64,
    pub warm_up_ms: u64,
}

/// A tenant key, of which only the digest is kept, and whose it is.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct TenantKey {
    /// SHA-256 in 64 hexadecimal digits.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub digest: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
}

/// A zone and the region that it lies in.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
}

/// A cell and the zone that it lies in.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
}

/// Which cached mappings an event makes void.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidationScope {
    #[brw(magic = 0u8)]
    All,
    #[brw(magic = 1u8)]
    Tenant(crate::Name),
    #[brw(magic = 2u8)]
    Key(crate::Name),
    /// Mappings whose first region this is.
    #[brw(magic = 3u8)]
    Home(crate::Name),
}

impl InvalidationScope {
    pub fn covers(&self, mapping: &crate::Mapping) -> bool {
        match self {
            InvalidationScope::All => true,
            InvalidationScope::Tenant(name) => mapping.tenant == name.0,
            InvalidationScope::Key(name) => mapping.routing_key() == name.0,
            InvalidationScope::Home(region) => mapping.regions.first() == Some(region),
        }
    }
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    #[brw(magic = 0u8)]
    Rules(crate::Name),
    /// Zones with their regions, cells with their zones, in place of what was.
    #[brw(magic = 1u8)]
    Topology {
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        zones: Vec<Zone>,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        cells: Vec<Cell>,
    },
    /// The digest of a key and its tenant.
    #[brw(magic = 2u8)]
    KeyAdded(TenantKey),
    #[brw(magic = 3u8)]
    KeyRemoved(crate::Name),
    #[brw(magic = 4u8)]
    EngineUpdated(Engine),
    #[brw(magic = 5u8)]
    EngineRemoved(crate::Name),
    #[brw(magic = 6u8)]
    ZoneEvacuated(crate::Name),
    #[brw(magic = 7u8)]
    ZoneReinstated(crate::Name),
    #[brw(magic = 8u8)]
    Invalidated(InvalidationScope),
    /// The terms of all tenants, in place of what was.
    #[brw(magic = 9u8)]
    Tenants(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<TenantLimits>,
    ),
    /// The traits of all services, in place of what was.
    #[brw(magic = 10u8)]
    Services(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<ServiceLimits>,
    ),
    #[brw(magic = 11u8)]
    Limits(RequestLimits),
    #[brw(magic = 12u8)]
    RouterCount(u32),
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct TenantLimits {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// Jobs a second; 0 stands for no quota.
    pub requests_per_s: u64,
    pub burst: u64,
    /// Empty stands for any region.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub homes: Vec<crate::Name>,
    /// Goes before the route's; 255 stands for none.
    pub urgency: u8,
}

pub struct CellLocation {
    pub zone: String,
    pub region: String,
}

/// Invariants: `epoch` only rises; `program` is what `rules` compiles to.
#[derive(Clone)]
pub struct View {
    pub epoch: u64,
    pub rules: String,
    pub program: std::sync::Arc<policy::Program>,
    pub zones: BTreeMap<String, String>,
    pub cells: BTreeMap<String, String>,
    /// Digest to tenant.
    pub keys: BTreeMap<String, String>,
    pub engines: BTreeMap<String, Engine>,
    pub evacuated: BTreeSet<String>,
    pub tenants: BTreeMap<String, TenantLimits>,
    pub services: BTreeMap<String, ServiceLimits>,
    pub limits: RequestLimits,
    /// How many routers there are, as the leader last wrote it down; 0 stands for
    /// not known.
    pub router_count: u32,
}

impl Default for View {
    fn default() -> View {
        View {
            epoch: 0,
            rules: String::new(),
            program: std::sync::Arc::new(policy::compile("").expect("no rules compile")),
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

/// Zones with their regions, as an event carries them.
pub(crate) fn zones(zones: &BTreeMap<String, String>) -> Vec<Zone> {
    let zone = |(name, region): (&String, &String)| Zone {
        name: name.clone(),
        region: region.clone(),
    };
    zones.iter().map(zone).collect()
}

/// Cells with their zones, as an event carries them.
pub(crate) fn cells(cells: &BTreeMap<String, String>) -> Vec<Cell> {
    let cell = |(name, zone): (&String, &String)| Cell {
        name: name.clone(),
        zone: zone.clone(),
    };
    cells.iter().map(cell).collect()
}

impl View {
    pub fn cell(&self, name: &str) -> Option<CellLocation> {
        let zone = self.cells.get(name)?;
        Some(CellLocation {
            zone: zone.clone(),
            region: self.zones.get(zone)?.clone(),
        })
    }

    /// Whether an engine may get new work, as far as operators and platform
    /// have said.
    pub fn is_open(&self, engine: &Engine) -> bool {
        engine.state == EngineState::Serving
            && self
                .cells
                .get(&engine.cell)
                .is_some_and(|zone| !self.evacuated.contains(zone))
    }

    /// Takes one event. The events of an entry come together; the caller sets
    /// the epoch when all are in.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Rules(text) => {
                // Rules are compiled before they are proposed and again when
                // they are applied; what reaches a view compiles.
                if let Ok(program) = policy::compile(&text.0) {
                    self.program = std::sync::Arc::new(program);
                    self.rules = text.0.clone();
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
                    .map(|terms| (terms.tenant.clone(), terms.clone()))
                    .collect();
            }
            Event::Services(list) => {
                self.services = list
                    .iter()
                    .map(|traits| (traits.service.clone(), traits.clone()))
                    .collect();
            }
            Event::Limits(limits) => self.limits = *limits,
            Event::RouterCount(count) => self.router_count = *count,
        }
    }

    /// Events that make an empty view the same as this one.
    pub fn snapshot(&self) -> Vec<Event> {
        let name = |text: &String| crate::Name(text.clone());
        let mut events = vec![
            Event::Rules(name(&self.rules)),
            Event::Topology {
                zones: zones(&self.zones),
                cells: cells(&self.cells),
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
