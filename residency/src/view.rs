//! What a router knows: a picture of it, then changes.

use binrw::binrw;
use consensus::pack::{read_list, read_text, write_list, write_text};
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
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub name: String,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub address: String,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub cell: String,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub services: Vec<crate::Name>,
    pub slots: u32,
    pub state: EngineState,
    /// How long it stays cold from when this was said; 0 stands for warm.
    pub cold_ms: u32,
}

/// What a caller may send and how long it may take, at the doors.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a job's head.
    pub head: u64,
    /// Bytes of a job's body.
    pub body: u64,
    pub head_wait_ms: u64,
    /// How long a connection may lie idle between two jobs.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: 64 << 10,
            body: 1 << 30,
            head_wait_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

/// What holds for all engines of a service.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Traits {
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub service: String,
    pub connections: u64,
    pub warm_pace: u64,
    pub warm_ms: u64,
}

/// A pair of names: zone and region, cell and zone, digest and tenant.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub name: String,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub within: String,
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
            InvalidationScope::Key(name) => mapping.key() == name.0,
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
    Places {
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        zones: Vec<Place>,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        cells: Vec<Place>,
    },
    /// The digest of a key and its tenant.
    #[brw(magic = 2u8)]
    Key(Place),
    #[brw(magic = 3u8)]
    KeyGone(crate::Name),
    #[brw(magic = 4u8)]
    Engine(Engine),
    #[brw(magic = 5u8)]
    EngineGone(crate::Name),
    #[brw(magic = 6u8)]
    Evacuated(crate::Name),
    #[brw(magic = 7u8)]
    GivenBack(crate::Name),
    #[brw(magic = 8u8)]
    Touched(InvalidationScope),
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
        Vec<Traits>,
    ),
    #[brw(magic = 11u8)]
    Limits(Limits),
    #[brw(magic = 12u8)]
    Fleet(u32),
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct TenantLimits {
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub tenant: String,
    /// Jobs a second; 0 stands for no quota.
    pub pace: u64,
    pub burst: u64,
    /// Empty stands for any region.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub homes: Vec<crate::Name>,
    /// Goes before the route's; 255 stands for none.
    pub urgency: u8,
}

pub struct Cell {
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
    pub services: BTreeMap<String, Traits>,
    pub limits: Limits,
    /// How many routers there are, as the leader last wrote it down; 0 stands for
    /// not known.
    pub fleet: u32,
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
            limits: Limits::default(),
            fleet: 0,
        }
    }
}

fn places(map: &BTreeMap<String, String>) -> Vec<Place> {
    let place = |(name, within): (&String, &String)| Place {
        name: name.clone(),
        within: within.clone(),
    };
    map.iter().map(place).collect()
}

fn map(places: &[Place]) -> BTreeMap<String, String> {
    places
        .iter()
        .map(|place| (place.name.clone(), place.within.clone()))
        .collect()
}

impl View {
    pub fn cell(&self, name: &str) -> Option<Cell> {
        let zone = self.cells.get(name)?;
        Some(Cell {
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
    pub fn take(&mut self, event: &Event) {
        match event {
            Event::Rules(text) => {
                // Rules are compiled before they are proposed and again when
                // they are applied; what reaches a view compiles.
                if let Ok(program) = policy::compile(&text.0) {
                    self.program = std::sync::Arc::new(program);
                    self.rules = text.0.clone();
                }
            }
            Event::Places { zones, cells } => {
                self.zones = map(zones);
                self.cells = map(cells);
            }
            Event::Key(place) => {
                self.keys.insert(place.name.clone(), place.within.clone());
            }
            Event::KeyGone(digest) => {
                self.keys.remove(&digest.0);
            }
            Event::Engine(engine) => {
                self.engines.insert(engine.name.clone(), engine.clone());
            }
            Event::EngineGone(name) => {
                self.engines.remove(&name.0);
            }
            Event::Evacuated(zone) => {
                self.evacuated.insert(zone.0.clone());
            }
            Event::GivenBack(zone) => {
                self.evacuated.remove(&zone.0);
            }
            Event::Touched(_) => {}
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
            Event::Fleet(count) => self.fleet = *count,
        }
    }

    /// Events that make an empty view the same as this one.
    pub fn snapshot(&self) -> Vec<Event> {
        let name = |text: &String| crate::Name(text.clone());
        let mut events = vec![
            Event::Rules(name(&self.rules)),
            Event::Places {
                zones: places(&self.zones),
                cells: places(&self.cells),
            },
            Event::Tenants(self.tenants.values().cloned().collect()),
            Event::Services(self.services.values().cloned().collect()),
            Event::Limits(self.limits),
            Event::Fleet(self.fleet),
        ];
        events.extend(places(&self.keys).into_iter().map(Event::Key));
        events.extend(self.engines.values().cloned().map(Event::Engine));
        events.extend(
            self.evacuated
                .iter()
                .map(|zone| Event::Evacuated(name(zone))),
        );
        events
    }
}
