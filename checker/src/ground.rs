//! The deployment that is judged: where its processes are, and what tenants may.

use simd_json::OwnedValue;
use std::collections::{BTreeMap, BTreeSet};

/// Where things stand, and what tenants may.
#[derive(Default)]
pub struct Ground {
    pub engine_regions: BTreeMap<String, String>,
    pub engine_zones: BTreeMap<String, String>,
    /// Slots, and the set point's part of them.
    pub engine_slots: BTreeMap<String, (u64, u64)>,
    /// Routers and directory nodes.
    pub node_regions: BTreeMap<String, String>,
    pub zone_regions: BTreeMap<String, String>,
    pub homes: BTreeMap<String, BTreeSet<String>>,
    /// Jobs a second, and the burst.
    pub paces: BTreeMap<String, (u64, u64)>,
}

impl Ground {
    /// Of a shape's book and the places of its processes: name, kind, region,
    /// zone, slots.
    pub fn of<'p>(
        book: &OwnedValue,
        places: impl Iterator<Item = (&'p str, bool, &'p str, &'p str, u64)>,
    ) -> Ground {
        let book = residency::Topology::from_json(book).expect("a shape's book reads");
        let mut ground = Ground {
            zone_regions: book.zones.clone(),
            homes: book
                .tenants
                .iter()
                .filter(|(_, tenant)| !tenant.homes.is_empty())
                .map(|(name, tenant)| (name.clone(), tenant.homes.iter().cloned().collect()))
                .collect(),
            paces: book
                .tenants
                .iter()
                .filter(|(_, tenant)| tenant.requests_per_s > 0)
                .map(|(name, tenant)| (name.clone(), (tenant.requests_per_s, tenant.burst)))
                .collect(),
            ..Ground::default()
        };
        for (name, is_engine, region, zone, slots) in places {
            let (name, region) = (name.to_string(), region.to_string());
            if is_engine {
                let point = (slots as f64 * book.set_points.target_utilization).ceil() as u64;
                ground.engine_zones.insert(name.clone(), zone.to_string());
                ground.engine_slots.insert(name.clone(), (slots, point));
                ground.engine_regions.insert(name, region);
            } else {
                ground.node_regions.insert(name, region);
            }
        }
        ground
    }
}
