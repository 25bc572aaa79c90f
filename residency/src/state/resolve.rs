//! Where the requests of a tenant key may go.

use super::State;
use crate::{routing_key, Engine, EngineState, Mapping, Name};
use simd_json::prelude::*;

impl State {
    /// The regions that a key's jobs may go to, nearest first.
    pub(super) fn permitted(&self, tenant: &str, service: &str, asker: &str) -> Vec<String> {
        let homes = match self.topology.tenants.get(tenant) {
            Some(tenant) => &tenant.homes[..],
            // Nobody in particular: a public route's.
            None if tenant.is_empty() => &[],
            None => return Vec::new(),
        };
        let Some(service) = self.topology.services.get(service) else {
            return Vec::new();
        };
        let mut regions: Vec<String> = match homes.is_empty() {
            false => homes.to_vec(),
            true => self.topology.regions().into_iter().cloned().collect(),
        };
        if homes.is_empty() || self.topology.is_near_first {
            regions.sort_by_key(|region| region != asker);
        }
        regions.retain(|region| service.homes.is_empty() || service.homes.contains(region));
        regions
    }

    /// Resolves a key for a caller of the region `asker`. The error is a code
    /// and a sentence for the caller.
    pub fn resolve(
        &self,
        tenant: &str,
        service: &str,
        asker: &str,
    ) -> Result<Mapping, (&'static str, String)> {
        let entry = self.topology.tenants.get(tenant);
        if entry.is_none() && !tenant.is_empty() {
            return Err(("unknown-tenant", "no such tenant is known".into()));
        }
        if !self.topology.services.contains_key(service) {
            return Err(("unknown-service", format!("no service {service} is known")));
        }
        let allowed = entry.map_or(&[][..], |entry| &entry.services[..]);
        if !allowed.is_empty() && !allowed.iter().any(|known| known == service) {
            return Err((
                "service-not-allowed",
                format!("{tenant} may not use {service}"),
            ));
        }
        let regions = self.permitted(tenant, service, asker);
        let key = routing_key(tenant, service);
        let pin = self.pins.get(&key);
        let serves = |engine: &&Engine| {
            engine.state != EngineState::Draining
                && engine.services.iter().any(|name| name.0 == service)
        };
        // Cells of evacuated zones stay on the list, behind the others, so that
        // a mapping outlives an evacuation.
        let mut cells: Vec<(bool, bool, usize, u32, String)> = Vec::new();
        for engine in self.view.engines.values().filter(serves) {
            let Some(zone) = self.topology.cells.get(&engine.cell) else {
                continue;
            };
            let rank = self
                .topology
                .zones
                .get(zone)
                .and_then(|home| regions.iter().position(|region| region == home));
            let Some(rank) = rank else { continue };
            if cells.iter().any(|cell| cell.4 == engine.cell) {
                continue;
            }
            let is_shut = self.view.evacuated.contains(zone);
            let is_pinned = pin.is_some_and(|pin| pin.cell.0 == engine.cell);
            let draw = draw(&format!("{key}@{}", engine.cell));
            cells.push((is_shut, !is_pinned, rank, draw, engine.cell.clone()));
        }
        cells.sort();
        if cells.iter().all(|cell| cell.0) {
            let text = format!("no place that {tenant} allows has an engine for {service} now");
            return Err(("no-place", text));
        }
        let is_moving = pin.is_some_and(|pin| pin.is_moving);
        let is_emptied = regions.iter().take(1).any(|home| {
            self.topology
                .zones
                .iter()
                .any(|(zone, region)| region == home && self.view.evacuated.contains(zone))
        });
        let points = &self.topology.set_points;
        Ok(Mapping {
            tenant: tenant.into(),
            service: service.into(),
            regions: regions.into_iter().map(Name).collect(),
            cells: cells.into_iter().map(|cell| Name(cell.4)).collect(),
            fresh_ms: match is_moving || is_emptied {
                true => 0,
                false => entry
                    .and_then(|entry| entry.fresh_ms)
                    .unwrap_or(points.fresh_ms),
            },
            expire_ms: entry
                .and_then(|entry| entry.expire_ms)
                .unwrap_or(points.expire_ms),
            epoch: self.epoch(),
        })
    }
}

/// A draw that all nodes make alike.
fn draw(text: &str) -> u32 {
    crc32fast::hash(text.as_bytes())
}
