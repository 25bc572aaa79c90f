//! Checking a command against the state, and saying what it does to it.

mod engines;
mod topology;

use super::error::{CommandError, Planned};
use crate::topology::is_digest;
use crate::{
    routing_key, Command, DrainTarget, EngineState, Event, InvalidationScope, MaintenanceWindow,
    Name, State, TenantKey, Topology, UpdateMode,
};
use simd_json::OwnedValue;

/// The most maintenance windows that a schedule may have.
const MAX_WINDOWS: usize = 1000;

/// What a command does to the state.
pub(super) struct Plan {
    pub(super) events: Vec<Event>,
    /// The topology file that replaces the one in force, if one does.
    pub(super) topology: Option<PlannedTopology>,
}

/// A topology file, as JSON and read.
pub(super) struct PlannedTopology {
    pub(super) document: OwnedValue,
    pub(super) topology: Topology,
}

impl State {
    /// Checks a command, changing nothing, and says what it does.
    pub(super) fn plan(&self, command: &Command) -> Result<Plan, CommandError> {
        let events = match command {
            Command::UpdateTopology { mode, text } => return self.plan_update(*mode, text),
            Command::AdoptDocument {
                config_document,
                text,
            } => return self.plan_adoption(config_document.revision, text),
            Command::AddKey(key) => self.plan_key(key),
            Command::RemoveKey(digest) => match self.view.keys.contains_key(&digest.0) {
                true => Ok(vec![Event::KeyRemoved(digest.clone())]),
                false => Err(CommandError::UnknownKey),
            },
            Command::AddEngine(engine) => self.plan_engine(engine),
            Command::RemoveEngine(name) => self.plan_engine_removal(name),
            Command::SetEngineState { name, state } => self.plan_engine_state(name, *state),
            Command::UpdateEngines { engines, gone } => Ok(self.engine_events(engines, gone)),
            Command::EvacuateZone(zone) => self.plan_evacuation(zone, true),
            Command::ReinstateZone(zone) => self.plan_evacuation(zone, false),
            Command::MoveKey {
                tenant,
                service,
                cell,
            } => self.plan_move(tenant, service, cell),
            Command::CompleteMove { tenant, service } | Command::UndoMove { tenant, service } => {
                self.plan_end_of_move(tenant, service)
            }
            Command::ScheduleMaintenance(windows) => self.plan_schedule(windows),
            Command::BeginMaintenance(id) => self.plan_window(id, true),
            Command::EndMaintenance(id) => self.plan_window(id, false),
            Command::SetRouterCount(count) => Ok(vec![Event::RouterCount(*count)]),
        };
        Ok(Plan {
            events: events?,
            topology: None,
        })
    }

    fn plan_update(&self, mode: UpdateMode, text: &str) -> Result<Plan, CommandError> {
        match self.config_document.revision {
            0 => self.plan_topology(mode, text),
            revision => Err(CommandError::DocumentInForce { revision }),
        }
    }

    fn plan_adoption(&self, revision: u64, text: &str) -> Result<Plan, CommandError> {
        let in_force = self.config_document.revision;
        if revision <= in_force {
            return Err(CommandError::RevisionNotAbove { revision, in_force });
        }
        self.plan_topology(UpdateMode::Replace, text)
    }

    fn plan_key(&self, key: &TenantKey) -> Planned {
        if !is_digest(&key.digest) {
            return Err(CommandError::InvalidDigest);
        }
        if !self.topology.tenants.contains_key(&key.tenant) {
            return Err(CommandError::UnknownTenant(key.tenant.clone()));
        }
        match self.view.keys.get(&key.digest) {
            Some(owner) if *owner != key.tenant => {
                Err(CommandError::KeyOfOtherTenant(owner.clone()))
            }
            _ => Ok(vec![Event::KeyAdded(key.clone())]),
        }
    }

    fn plan_evacuation(&self, zone: &Name, is_evacuated: bool) -> Planned {
        let Some(region) = self.topology.zones.get(&zone.0) else {
            return Err(CommandError::UnknownZone(zone.clone()));
        };
        if self.view.evacuated.contains(&zone.0) == is_evacuated {
            return Ok(Vec::new());
        }
        // Routers skip the engines of an evacuated zone by themselves; what changes is the
        // order of cells, and how long the mapping of a key at home there stays fresh.
        let invalidated = Event::Invalidated(InvalidationScope::Region(Name(region.clone())));
        Ok(match is_evacuated {
            true => vec![Event::ZoneEvacuated(zone.clone()), invalidated],
            false => vec![Event::ZoneReinstated(zone.clone()), invalidated],
        })
    }

    /// The routing key of a tenant and a service that are in the topology.
    fn known_routing_key(&self, tenant: &Name, service: &Name) -> Result<String, CommandError> {
        if !self.topology.tenants.contains_key(&tenant.0) {
            return Err(CommandError::UnknownTenant(tenant.0.clone()));
        }
        if !self.topology.services.contains_key(&service.0) {
            return Err(CommandError::UnknownService(service.clone()));
        }
        Ok(routing_key(&tenant.0, &service.0))
    }

    fn plan_move(&self, tenant: &Name, service: &Name, cell: &Name) -> Planned {
        let routing_key = self.known_routing_key(tenant, service)?;
        let Some(region) = self.topology.region_of_cell(&cell.0) else {
            return Err(CommandError::UnknownCell(cell.0.clone()));
        };
        let permitted = self.permitted_regions(&tenant.0, &service.0, region);
        if !permitted.contains(region) {
            return Err(CommandError::CellOutsideHomes {
                cell: cell.clone(),
                region: region.clone(),
                routing_key,
            });
        }
        Ok(vec![Event::Invalidated(InvalidationScope::Key(Name(
            routing_key,
        )))])
    }

    fn plan_end_of_move(&self, tenant: &Name, service: &Name) -> Planned {
        let routing_key = self.known_routing_key(tenant, service)?;
        match self.pins.contains_key(&routing_key) {
            true => Ok(vec![Event::Invalidated(InvalidationScope::Key(Name(
                routing_key,
            )))]),
            false => Err(CommandError::NotMoved(routing_key)),
        }
    }

    fn plan_schedule(&self, windows: &[MaintenanceWindow]) -> Planned {
        if windows.len() > MAX_WINDOWS {
            return Err(CommandError::TooManyWindows {
                found: windows.len(),
                max: MAX_WINDOWS,
            });
        }
        for (at, window) in windows.iter().enumerate() {
            let is_known = match &window.target {
                DrainTarget::Zone(zone) => self.topology.zones.contains_key(&zone.0),
                DrainTarget::Engine(name) => self.view.engines.contains_key(&name.0),
            };
            let id = window.id.clone();
            if !is_known {
                let target = window.target.clone();
                return Err(CommandError::UnknownDrainTarget { id, target });
            }
            if window.starts_at_s >= window.ends_at_s {
                return Err(CommandError::WindowEndsFirst(id));
            }
            if windows[..at].iter().any(|other| other.id == id) {
                return Err(CommandError::DuplicateWindow(id));
            }
        }
        Ok(Vec::new())
    }

    /// Checks that a window is next to begin or to end, and drains or reinstates its
    /// target.
    fn plan_window(&self, id: &Name, is_begin: bool) -> Planned {
        let scheduled = self
            .window(id)
            .ok_or_else(|| CommandError::UnknownWindow(id.clone()))?;
        if scheduled.has_begun == is_begin {
            return Err(CommandError::WindowOutOfTurn(id.clone()));
        }
        if !is_begin && scheduled.was_drained {
            return Ok(Vec::new());
        }
        let change = match (&scheduled.window.target, is_begin) {
            (DrainTarget::Zone(zone), _) => self.plan_evacuation(zone, is_begin),
            (DrainTarget::Engine(name), true) => {
                self.plan_engine_state(name, EngineState::Draining)
            }
            (DrainTarget::Engine(name), false) => {
                self.plan_engine_state(name, EngineState::Serving)
            }
        };
        // A target that left meanwhile needs nothing.
        Ok(change.unwrap_or_default())
    }
}
