//! Events: what an applied command changed, as directory nodes stream it to routers.

use crate::{Engine, Mapping, Name, RequestLimits, ServiceLimits, TenantLimits};
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};
use std::collections::BTreeMap;

/// A tenant key, of which only the digest is kept, and the tenant that it belongs to.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct TenantKey {
    /// SHA-256 of the key in 64 hexadecimal digits.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub digest: String,
    /// The tenant's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
}

/// A zone and the region that it lies in.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// The region's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
}

impl Zone {
    /// The zones of a map from zone to region, in the order of their names.
    pub(crate) fn list(regions_by_zone: &BTreeMap<String, String>) -> Vec<Zone> {
        let zone = |(name, region): (&String, &String)| Zone {
            name: name.clone(),
            region: region.clone(),
        };
        regions_by_zone.iter().map(zone).collect()
    }
}

/// A cell and the zone that it lies in.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// The cell's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// The zone's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
}

impl Cell {
    /// The cells of a map from cell to zone, in the order of their names.
    pub(crate) fn list(zones_by_cell: &BTreeMap<String, String>) -> Vec<Cell> {
        let cell = |(name, zone): (&String, &String)| Cell {
            name: name.clone(),
            zone: zone.clone(),
        };
        zones_by_cell.iter().map(cell).collect()
    }
}

/// Which cached mappings an event makes void.
///
/// Invariant: a scope that covers a mapping restricted to some of its regions covers the
/// whole mapping as well. Routers restrict cached mappings to the home regions of a route.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidationScope {
    /// Every mapping.
    #[brw(magic = 0u8)]
    All,
    /// The mappings of a tenant.
    #[brw(magic = 1u8)]
    Tenant(Name),
    /// The mapping of one routing key.
    #[brw(magic = 2u8)]
    Key(Name),
    /// The mappings that may lead to this region.
    #[brw(magic = 3u8)]
    Region(Name),
}

impl InvalidationScope {
    /// Whether a mapping is void.
    pub fn covers(&self, mapping: &Mapping) -> bool {
        match self {
            InvalidationScope::All => true,
            InvalidationScope::Tenant(name) => mapping.tenant == name.0,
            InvalidationScope::Key(name) => mapping.routing_key() == name.0,
            InvalidationScope::Region(region) => mapping.regions.contains(region),
        }
    }
}

/// One change of what routers know. The events of one log entry are applied together.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The text of the routing rules.
    #[brw(magic = 0u8)]
    Rules(Name),
    /// All zones and cells, in place of the former ones.
    #[brw(magic = 1u8)]
    Topology {
        /// Zones with their regions.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        zones: Vec<Zone>,
        /// Cells with their zones.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        cells: Vec<Cell>,
    },
    /// A tenant key is valid.
    #[brw(magic = 2u8)]
    KeyAdded(TenantKey),
    /// The tenant key of this digest is no longer valid.
    #[brw(magic = 3u8)]
    KeyRemoved(Name),
    /// An engine came, or changed.
    #[brw(magic = 4u8)]
    EngineUpdated(Engine),
    /// The engine of this name left.
    #[brw(magic = 5u8)]
    EngineRemoved(Name),
    /// The zone gets no requests.
    #[brw(magic = 6u8)]
    ZoneEvacuated(Name),
    /// The zone gets requests again.
    #[brw(magic = 7u8)]
    ZoneReinstated(Name),
    /// Cached mappings are void.
    #[brw(magic = 8u8)]
    Invalidated(InvalidationScope),
    /// The limits of all tenants, in place of the former ones.
    #[brw(magic = 9u8)]
    Tenants(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<TenantLimits>,
    ),
    /// The limits of all services, in place of the former ones.
    #[brw(magic = 10u8)]
    Services(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<ServiceLimits>,
    ),
    /// The limits on requests at the ingress.
    #[brw(magic = 11u8)]
    Limits(RequestLimits),
    /// How many routers there are.
    #[brw(magic = 12u8)]
    RouterCount(u32),
}
