//! Lookups: where the requests of a routing key may go.

use super::error::ResolveError;
use super::{Pin, State};
use crate::{routing_key, Engine, EngineState, Mapping, Name};

/// How a cell ranks for a routing key: the derived order of its fields, in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedCell {
    /// Cells of evacuated zones come last, so that a mapping outlives an evacuation.
    is_evacuated: bool,
    /// The cell of the operators' choice comes first.
    is_not_pinned: bool,
    /// The rank of its region among the permitted ones, 0 first.
    region_rank: usize,
    /// Spreads keys over the cells of a region.
    hash: u32,
    name: String,
}

impl State {
    /// The regions that a key's requests may go to, the preferred one first.
    pub(super) fn permitted_regions(
        &self,
        tenant: &str,
        service: &str,
        client_region: &str,
    ) -> Vec<String> {
        let homes = match self.topology.tenants.get(tenant) {
            Some(tenant) => &tenant.homes[..],
            // No tenant in particular: a public route's.
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
            regions.sort_by_key(|region| region != client_region);
        }
        regions.retain(|region| service.homes.is_empty() || service.homes.contains(region));
        regions
    }

    /// Resolves a routing key for a client in the region `client_region`.
    pub fn resolve(
        &self,
        tenant: &str,
        service: &str,
        client_region: &str,
    ) -> Result<Mapping, ResolveError> {
        self.check_service(tenant, service)?;
        let regions = self.permitted_regions(tenant, service, client_region);
        let routing_key = routing_key(tenant, service);
        let pin = self.pins.get(&routing_key);
        let cells = self.ranked_cells(service, &routing_key, pin, &regions);
        if cells.iter().all(|cell| cell.is_evacuated) {
            return Err(ResolveError::NoPlace {
                tenant: tenant.into(),
                service: service.into(),
            });
        }
        let is_moving = pin.is_some_and(|pin| pin.is_moving);
        let is_home_evacuated = regions
            .first()
            .is_some_and(|region| self.has_evacuated_zone(region));
        let limits = self.topology.tenants.get(tenant);
        let set_points = &self.topology.program.set_points;
        Ok(Mapping {
            tenant: tenant.into(),
            service: service.into(),
            regions: regions.into_iter().map(Name).collect(),
            cells: cells.into_iter().map(|cell| Name(cell.name)).collect(),
            fresh_ms: match is_moving || is_home_evacuated {
                true => 0,
                false => limits
                    .and_then(|tenant| tenant.fresh_ms)
                    .unwrap_or(set_points.fresh_ms),
            },
            expire_ms: limits
                .and_then(|tenant| tenant.expire_ms)
                .unwrap_or(set_points.expire_ms),
            epoch: self.epoch(),
        })
    }

    /// Checks that the tenant and the service exist and belong together. An empty tenant
    /// is that of public routes.
    fn check_service(&self, tenant: &str, service: &str) -> Result<(), ResolveError> {
        let entry = self.topology.tenants.get(tenant);
        if entry.is_none() && !tenant.is_empty() {
            return Err(ResolveError::UnknownTenant);
        }
        if !self.topology.services.contains_key(service) {
            return Err(ResolveError::UnknownService(service.into()));
        }
        let allowed = entry.map_or(&[][..], |entry| &entry.services[..]);
        if !allowed.is_empty() && !allowed.iter().any(|name| name == service) {
            return Err(ResolveError::ServiceNotAllowed {
                tenant: tenant.into(),
                service: service.into(),
            });
        }
        Ok(())
    }

    /// The cells of the permitted regions that have an engine for the service, the
    /// preferred one first.
    fn ranked_cells(
        &self,
        service: &str,
        routing_key: &str,
        pin: Option<&Pin>,
        regions: &[String],
    ) -> Vec<RankedCell> {
        let serves = |engine: &&Engine| {
            engine.state != EngineState::Draining
                && engine.services.iter().any(|name| name.0 == service)
        };
        let mut cells: Vec<RankedCell> = Vec::new();
        for engine in self.view.engines.values().filter(serves) {
            if cells.iter().any(|cell| cell.name == engine.cell) {
                continue;
            }
            let Some(zone) = self.topology.cells.get(&engine.cell) else {
                continue;
            };
            let region_rank = self
                .topology
                .zones
                .get(zone)
                .and_then(|home| regions.iter().position(|region| region == home));
            let Some(region_rank) = region_rank else {
                continue;
            };
            let hashed = format!("{routing_key}@{}", engine.cell);
            cells.push(RankedCell {
                is_evacuated: self.view.evacuated.contains(zone),
                is_not_pinned: pin.is_none_or(|pin| pin.cell.0 != engine.cell),
                region_rank,
                // The same on every node, whatever its version.
                hash: crc32fast::hash(hashed.as_bytes()),
                name: engine.cell.clone(),
            });
        }
        cells.sort();
        cells
    }

    fn has_evacuated_zone(&self, region: &str) -> bool {
        let is_evacuated =
            |(zone, home): (&String, &String)| home == region && self.view.evacuated.contains(zone);
        self.topology.zones.iter().any(is_evacuated)
    }
}
