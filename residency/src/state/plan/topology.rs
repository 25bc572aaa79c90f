//! Checking an update of the topology file, and the events that it makes: only of what
//! it changes.

use super::{Plan, PlannedTopology};
use crate::state::error::{CommandError, Planned};
use crate::{
    merge, parse_json, Cell, Event, Name, ServiceLimits, State, TenantKey, TenantLimits, Topology,
    UpdateMode, Zone,
};
use simd_json::prelude::*;
use simd_json::OwnedValue;

impl Topology {
    fn service_limits(&self) -> Vec<ServiceLimits> {
        self.services
            .iter()
            .map(|(name, service)| ServiceLimits {
                service: name.clone(),
                max_connections: service.max_connections,
                warm_up_requests_per_s: service.warm_up_requests_per_s,
                warm_up_ms: service.warm_up_ms,
            })
            .collect()
    }

    fn tenant_limits(&self) -> Vec<TenantLimits> {
        self.tenants
            .iter()
            .map(|(name, tenant)| TenantLimits {
                tenant: name.clone(),
                requests_per_s: tenant.requests_per_s,
                burst: tenant.burst,
                homes: tenant.homes.iter().cloned().map(Name).collect(),
                urgency: tenant.urgency.unwrap_or(u8::MAX),
            })
            .collect()
    }
}

impl State {
    /// The topology file after an update, as JSON and read. What is in use must stay in
    /// it: cells with engines or moved keys, and evacuated zones.
    fn updated_topology(
        &self,
        mode: UpdateMode,
        text: &str,
    ) -> Result<PlannedTopology, CommandError> {
        let update = parse_json(text)?;
        let mut document = match mode {
            UpdateMode::Replace => OwnedValue::object(),
            UpdateMode::Patch => self.document.clone(),
        };
        merge(&mut document, &update);
        let topology = Topology::from_json_after(&document, Some(&self.topology))?;
        for engine in self.view.engines.values() {
            if !topology.cells.contains_key(&engine.cell) {
                return Err(CommandError::CellHasEngine {
                    engine: engine.name.clone(),
                    cell: engine.cell.clone(),
                });
            }
        }
        for pin in self.pins.values() {
            if !topology.cells.contains_key(&pin.cell.0) {
                return Err(CommandError::CellHasMove {
                    routing_key: pin.key.clone(),
                    cell: pin.cell.clone(),
                });
            }
        }
        for zone in &self.view.evacuated {
            if !topology.zones.contains_key(zone) {
                return Err(CommandError::ZoneIsEvacuated(zone.clone()));
            }
        }
        Ok(PlannedTopology { document, topology })
    }

    /// Checks an update, and says what it changes.
    pub(super) fn plan_topology(&self, mode: UpdateMode, text: &str) -> Result<Plan, CommandError> {
        let update = self.updated_topology(mode, text)?;
        Ok(Plan {
            events: self.topology_events(&update.topology)?,
            topology: Some(update),
        })
    }

    /// The events that make `next` of the topology in force.
    fn topology_events(&self, next: &Topology) -> Planned {
        let mut events = Vec::new();
        if next.zones != self.view.zones || next.cells != self.view.cells {
            events.push(Event::Topology {
                zones: Zone::list(&next.zones),
                cells: Cell::list(&next.cells),
            });
        }
        self.push_key_events(next, &mut events)?;
        let tenants = next.tenant_limits();
        if !tenants.iter().eq(self.view.tenants.values()) {
            events.push(Event::Tenants(tenants));
        }
        let services = next.service_limits();
        if !services.iter().eq(self.view.services.values()) {
            events.push(Event::Services(services));
        }
        if next.limits != self.view.limits {
            events.push(Event::Limits(next.limits));
        }
        // The rules come last: a router that sees a route finds what it names.
        if next.rules != self.view.rules {
            events.push(Event::Rules(Name(next.rules.clone())));
        }
        let scopes = self.topology.invalidated_by(next);
        events.extend(scopes.into_iter().map(Event::Invalidated));
        Ok(events)
    }

    /// Keys go with their tenant or with their line in the file, and come with a line.
    fn push_key_events(
        &self,
        next: &Topology,
        events: &mut Vec<Event>,
    ) -> Result<(), CommandError> {
        let is_listed = |digest: &String| self.topology.keys.contains_key(digest);
        for (digest, tenant) in &self.view.keys {
            let is_dropped = is_listed(digest) && !next.keys.contains_key(digest);
            if is_dropped || !next.tenants.contains_key(tenant) {
                events.push(Event::KeyRemoved(Name(digest.clone())));
            }
        }
        for (digest, tenant) in &next.keys {
            match self.view.keys.get(digest) {
                Some(owner) if owner == tenant => {}
                Some(owner) if !is_listed(digest) => {
                    return Err(CommandError::ListedKeyOfOtherTenant {
                        tenant: tenant.clone(),
                        owner: owner.clone(),
                    });
                }
                _ => events.push(Event::KeyAdded(TenantKey {
                    digest: digest.clone(),
                    tenant: tenant.clone(),
                })),
            }
        }
        Ok(())
    }
}
