//! Checks a command against the state and says which events it makes.

use super::State;
use crate::command::{Command, DrainTarget, UpdateMode};
use crate::{
    routing_key, topology, view, Engine, EngineState, Event, InvalidationScope, Name,
    ServiceLimits, TenantKey, TenantLimits, Topology,
};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeSet;

type Checked = Result<Vec<Event>, String>;

impl State {
    pub(super) fn revised(
        &self,
        mode: UpdateMode,
        text: &str,
    ) -> Result<(OwnedValue, Topology), String> {
        let part = topology::parse_json(text)?;
        let mut document = if mode == UpdateMode::Replace {
            OwnedValue::object()
        } else {
            self.document.clone()
        };
        topology::merge(&mut document, &part);
        let topology =
            Topology::from_json(&document).map_err(|complaints| complaints.join("\n"))?;
        for engine in self.view.engines.values() {
            if !topology.cells.contains_key(&engine.cell) {
                return Err(format!(
                    "cells: engine {} is listed in cell {}, which would be gone",
                    engine.name, engine.cell
                ));
            }
        }
        for pin in self.pins.values() {
            if !topology.cells.contains_key(&pin.cell.0) {
                return Err(format!(
                    "cells: {} is moved to cell {}, which would be gone",
                    pin.key, pin.cell
                ));
            }
        }
        for zone in &self.view.evacuated {
            if !topology.zones.contains_key(zone) {
                return Err(format!("zones: {zone} is evacuated; give it back first"));
            }
        }
        Ok((document, topology))
    }

    /// Checks a command and says which events it makes.
    pub(super) fn plan(&self, command: &Command) -> Checked {
        let known_pair = |tenant: &Name, service: &Name| {
            if !self.topology.tenants.contains_key(&tenant.0) {
                return Err(format!("there is no tenant {tenant}"));
            }
            if !self.topology.services.contains_key(&service.0) {
                return Err(format!("there is no service {service}"));
            }
            Ok(routing_key(&tenant.0, &service.0))
        };
        match command {
            Command::AdoptDocument {
                config_document,
                text,
            } => {
                if config_document.revision <= self.config_document.revision {
                    return Err(format!(
                        "revision {} is not above {}, which is in force",
                        config_document.revision, self.config_document.revision
                    ));
                }
                self.revision_events(UpdateMode::Replace, text)
            }
            Command::UpdateTopology { .. } if self.config_document.revision > 0 => Err(format!(
                "the book is what document {} reads as; send a revision of that",
                self.config_document.revision
            )),
            Command::UpdateTopology { mode, text } => self.revision_events(*mode, text),
            Command::UpdateEngines { engines, gone } => Ok(self.listed_events(engines, gone)),
            Command::SetRouterCount(count) => Ok(vec![Event::RouterCount(*count)]),
            Command::AddKey(key) => {
                let is_digest = key.digest.len() == 64
                    && key.digest.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !is_digest {
                    return Err("a key is kept as 64 hexadecimal digits".into());
                }
                if !self.topology.tenants.contains_key(&key.tenant) {
                    return Err(format!("there is no tenant {}", key.tenant));
                }
                match self.view.keys.get(&key.digest) {
                    Some(tenant) if *tenant != key.tenant => {
                        Err(format!("this key belongs to tenant {tenant}"))
                    }
                    _ => Ok(vec![Event::KeyAdded(key.clone())]),
                }
            }
            Command::RemoveKey(digest) => match self.view.keys.contains_key(&digest.0) {
                true => Ok(vec![Event::KeyRemoved(digest.clone())]),
                false => Err("there is no such key".into()),
            },
            Command::AddEngine(engine) => {
                if !self.topology.cells.contains_key(&engine.cell) {
                    return Err(format!("there is no cell {}", engine.cell));
                }
                if engine.address.parse::<std::net::SocketAddr>().is_err() {
                    return Err(format!("{} is no address and port", engine.address));
                }
                let unknown = engine
                    .services
                    .iter()
                    .find(|name| !self.topology.services.contains_key(&name.0));
                if let Some(name) = unknown {
                    return Err(format!("there is no service {name}"));
                }
                if engine.services.is_empty() || engine.slots == 0 || engine.slots > 100_000 {
                    return Err("an engine has a service and 1 to 100000 slots at least".into());
                }
                let namesake =
                    |other: &&Engine| other.address == engine.address && other.name != engine.name;
                if let Some(other) = self.view.engines.values().find(namesake) {
                    return Err(format!("engine {} has that address", other.name));
                }
                Ok(self.engine_events(&engine.name, Some(engine)))
            }
            Command::RemoveEngine(name) => match self.view.engines.contains_key(&name.0) {
                true => Ok(self.engine_events(&name.0, None)),
                false => Err(format!("there is no engine {name}")),
            },
            Command::SetEngineState { name, state } => match self.view.engines.get(&name.0) {
                Some(engine) => {
                    let engine = Engine {
                        state: *state,
                        ..engine.clone()
                    };
                    Ok(self.engine_events(&name.0, Some(&engine)))
                }
                None => Err(format!("there is no engine {name}")),
            },
            Command::EvacuateZone(zone) | Command::ReinstateZone(zone) => {
                let Some(region) = self.topology.zones.get(&zone.0) else {
                    return Err(format!("there is no zone {zone}"));
                };
                let is_shut = matches!(command, Command::EvacuateZone(_));
                if self.view.evacuated.contains(&zone.0) == is_shut {
                    return Ok(Vec::new());
                }
                // Routers leave an evacuated zone's engines out by themselves;
                // what changes is how long a key at home there stays fresh.
                let touched = Event::Invalidated(InvalidationScope::Home(Name(region.clone())));
                Ok(match is_shut {
                    true => vec![Event::ZoneEvacuated(zone.clone()), touched],
                    false => vec![Event::ZoneReinstated(zone.clone()), touched],
                })
            }
            Command::MoveKey {
                tenant,
                service,
                cell,
            } => {
                let key = known_pair(tenant, service)?;
                let Some(region) = self.topology.region_of_cell(&cell.0) else {
                    return Err(format!("there is no cell {cell}"));
                };
                if !self
                    .permitted(&tenant.0, &service.0, region)
                    .contains(region)
                {
                    return Err(format!(
                        "cell {cell} in {region} is outside the homes of {key}"
                    ));
                }
                Ok(vec![Event::Invalidated(InvalidationScope::Key(Name(key)))])
            }
            Command::ScheduleMaintenance(windows) => {
                if windows.len() > 1000 {
                    return Err("at most 1000 windows are kept".into());
                }
                for (at, window) in windows.iter().enumerate() {
                    let is_known = match &window.target {
                        DrainTarget::Zone(zone) => self.topology.zones.contains_key(&zone.0),
                        DrainTarget::Engine(name) => self.view.engines.contains_key(&name.0),
                    };
                    if !is_known {
                        return Err(format!(
                            "window {}: {:?} is not known",
                            window.id, window.target
                        ));
                    }
                    if window.starts_at_s >= window.ends_at_s {
                        return Err(format!("window {}: it ends before it begins", window.id));
                    }
                    if windows[..at].iter().any(|other| other.id == window.id) {
                        return Err(format!("window {}: this id stands twice", window.id));
                    }
                }
                Ok(Vec::new())
            }
            Command::BeginMaintenance(id) | Command::EndMaintenance(id) => {
                let is_end = matches!(command, Command::EndMaintenance(_));
                let planned = self.windows.iter().find(|planned| planned.window.id == *id);
                match planned {
                    Some(planned) if planned.has_begun != is_end => {
                        Err(format!("window {id} has begun already, or not yet"))
                    }
                    None => Err(format!("there is no window {id}")),
                    // An engine that is gone meanwhile needs nothing.
                    Some(planned) if is_end && planned.was_shut => Ok(Vec::new()),
                    Some(planned) => Ok(self
                        .turn(&planned.window.target, !is_end)
                        .unwrap_or_default()),
                }
            }
            Command::CompleteMove { tenant, service } | Command::UndoMove { tenant, service } => {
                let key = known_pair(tenant, service)?;
                match self.pins.contains_key(&key) {
                    true => Ok(vec![Event::Invalidated(InvalidationScope::Key(Name(key)))]),
                    false => Err(format!("{key} is not moved")),
                }
            }
        }
    }

    pub(super) fn engine_events(&self, name: &str, after: Option<&Engine>) -> Vec<Event> {
        match after {
            Some(engine) => self.listed_events(std::slice::from_ref(engine), &[]),
            None => self.listed_events(&[], &[Name(name.into())]),
        }
    }

    /// Mappings name cells, not engines: they are void only where a cell gains
    /// its first engine for a service or loses its last. Engines of cells that
    /// are not in the book, and changes that change nothing, are passed over.
    pub(super) fn listed_events(&self, engines: &[Engine], gone: &[Name]) -> Vec<Event> {
        let counts = |engine: &&Engine| engine.state != EngineState::Draining;
        let pairs = |engines: &mut dyn Iterator<Item = &Engine>| -> BTreeSet<(String, String)> {
            let mut pairs = BTreeSet::new();
            for engine in engines.filter(counts) {
                let pair = |service: &Name| (engine.cell.clone(), service.0.clone());
                pairs.extend(engine.services.iter().map(pair));
            }
            pairs
        };
        let is_new = |engine: &&Engine| {
            self.topology.cells.contains_key(&engine.cell)
                && self.view.engines.get(&engine.name) != Some(*engine)
        };
        let engines: Vec<&Engine> = engines.iter().filter(is_new).collect();
        let before = pairs(&mut self.view.engines.values());
        let others = self.view.engines.values().filter(|engine| {
            !gone.iter().any(|name| name.0 == engine.name)
                && !engines.iter().any(|new| new.name == engine.name)
        });
        let after = pairs(&mut others.chain(engines.iter().copied()));
        let known = gone
            .iter()
            .filter(|name| self.view.engines.contains_key(&name.0));
        let mut events: Vec<Event> = known.cloned().map(Event::EngineRemoved).collect();
        events.extend(engines.into_iter().cloned().map(Event::EngineUpdated));
        if after != before {
            events.push(Event::Invalidated(InvalidationScope::All));
        }
        events
    }

    /// The events that a revision of the book makes: only of what it changes.
    pub(super) fn revision_events(&self, mode: UpdateMode, text: &str) -> Checked {
        let (_, topology) = self.revised(mode, text)?;
        let mut events = Vec::new();
        if topology.zones != self.view.zones || topology.cells != self.view.cells {
            events.push(Event::Topology {
                zones: view::zones(&topology.zones),
                cells: view::cells(&topology.cells),
            });
        }
        for (digest, tenant) in &self.view.keys {
            let is_dropped =
                self.topology.keys.contains_key(digest) && !topology.keys.contains_key(digest);
            if is_dropped || !topology.tenants.contains_key(tenant) {
                events.push(Event::KeyRemoved(Name(digest.clone())));
            }
        }
        for (digest, tenant) in &topology.keys {
            match self.view.keys.get(digest) {
                Some(known) if known == tenant => {}
                Some(known) if !self.topology.keys.contains_key(digest) => {
                    return Err(format!("tenants.{tenant}: a key belongs to tenant {known}"));
                }
                _ => events.push(Event::KeyAdded(TenantKey {
                    digest: digest.clone(),
                    tenant: tenant.clone(),
                })),
            }
        }
        let terms = |(name, tenant): (&String, &topology::Tenant)| TenantLimits {
            tenant: name.clone(),
            requests_per_s: tenant.requests_per_s,
            burst: tenant.burst,
            homes: tenant.homes.iter().cloned().map(Name).collect(),
            urgency: tenant.urgency.unwrap_or(u8::MAX),
        };
        let terms: Vec<TenantLimits> = topology.tenants.iter().map(terms).collect();
        if !terms.iter().eq(self.view.tenants.values()) {
            events.push(Event::Tenants(terms));
        }
        let traits = |(name, service): (&String, &topology::Service)| ServiceLimits {
            service: name.clone(),
            max_connections: service.max_connections,
            warm_up_requests_per_s: service.warm_up_requests_per_s,
            warm_up_ms: service.warm_up_ms,
        };
        let traits: Vec<ServiceLimits> = topology.services.iter().map(traits).collect();
        if !traits.iter().eq(self.view.services.values()) {
            events.push(Event::Services(traits));
        }
        if topology.limits != self.view.limits {
            events.push(Event::Limits(topology.limits));
        }
        // The rules last: who sees a route finds what it speaks of.
        if topology.rules != self.view.rules {
            events.push(Event::Rules(Name(topology.rules.clone())));
        }
        events.extend(
            self.topology
                .invalidated_by(&topology)
                .into_iter()
                .map(Event::Invalidated),
        );
        Ok(events)
    }

    /// Shutting or opening what a window empties.
    pub(super) fn turn(&self, what: &DrainTarget, is_shut: bool) -> Checked {
        match (what, is_shut) {
            (DrainTarget::Zone(zone), true) => self.plan(&Command::EvacuateZone(zone.clone())),
            (DrainTarget::Zone(zone), false) => self.plan(&Command::ReinstateZone(zone.clone())),
            (DrainTarget::Engine(name), _) => {
                let state = if is_shut {
                    EngineState::Draining
                } else {
                    EngineState::Serving
                };
                self.plan(&Command::SetEngineState {
                    name: name.clone(),
                    state,
                })
            }
        }
    }

    pub(super) fn is_shut(&self, what: &DrainTarget) -> bool {
        match what {
            DrainTarget::Zone(zone) => self.view.evacuated.contains(&zone.0),
            DrainTarget::Engine(name) => self
                .view
                .engines
                .get(&name.0)
                .is_some_and(|e| e.state != EngineState::Serving),
        }
    }
}
