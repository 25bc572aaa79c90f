//! Checking changes of engines, and the events that they make.

use crate::state::error::{CommandError, Planned};
use crate::{Engine, EngineState, Event, InvalidationScope, Name, State};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::slice::from_ref;

/// The most slots that an engine may have.
const MAX_SLOTS: u32 = 100_000;

/// The pairs of a cell and a service that some engine which does not drain can serve.
fn served_pairs<'a>(engines: impl Iterator<Item = &'a Engine>) -> BTreeSet<(&'a str, &'a str)> {
    engines
        .filter(|engine| engine.state != EngineState::Draining)
        .flat_map(|engine| {
            let pair = |service: &'a Name| (engine.cell.as_str(), service.0.as_str());
            engine.services.iter().map(pair)
        })
        .collect()
}

impl State {
    pub(super) fn plan_engine(&self, engine: &Engine) -> Planned {
        if !self.topology.cells.contains_key(&engine.cell) {
            return Err(CommandError::UnknownCell(engine.cell.clone()));
        }
        if engine.address.parse::<SocketAddr>().is_err() {
            return Err(CommandError::InvalidAddress(engine.address.clone()));
        }
        let is_unknown = |name: &&Name| !self.topology.services.contains_key(&name.0);
        if let Some(name) = engine.services.iter().find(is_unknown) {
            return Err(CommandError::UnknownService(name.clone()));
        }
        if engine.services.is_empty() || !(1..=MAX_SLOTS).contains(&engine.slots) {
            return Err(CommandError::InvalidEngine {
                services: engine.services.len(),
                slots: engine.slots,
                max_slots: MAX_SLOTS,
            });
        }
        let has_address =
            |other: &&Engine| other.address == engine.address && other.name != engine.name;
        if let Some(other) = self.view.engines.values().find(has_address) {
            return Err(CommandError::AddressInUse(other.name.clone()));
        }
        Ok(self.engine_events(from_ref(engine), &[]))
    }

    pub(super) fn plan_engine_removal(&self, name: &Name) -> Planned {
        match self.view.engines.contains_key(&name.0) {
            true => Ok(self.engine_events(&[], from_ref(name))),
            false => Err(CommandError::UnknownEngine(name.clone())),
        }
    }

    pub(super) fn plan_engine_state(&self, name: &Name, state: EngineState) -> Planned {
        let Some(engine) = self.view.engines.get(&name.0) else {
            return Err(CommandError::UnknownEngine(name.clone()));
        };
        let engine = Engine {
            state,
            ..engine.clone()
        };
        Ok(self.engine_events(from_ref(&engine), &[]))
    }

    /// The events of engines that came, changed or left. Mappings name cells, not
    /// engines: they are void only where a cell gains its first engine for a service or
    /// loses its last. Engines of cells that are not in the topology, and changes that
    /// change nothing, are passed over.
    pub(super) fn engine_events(&self, engines: &[Engine], gone: &[Name]) -> Vec<Event> {
        let known = &self.view.engines;
        let is_change = |engine: &&Engine| {
            self.topology.cells.contains_key(&engine.cell)
                && known.get(&engine.name) != Some(*engine)
        };
        let changed: Vec<&Engine> = engines.iter().filter(is_change).collect();
        let is_untouched = |engine: &&Engine| {
            !gone.iter().any(|name| name.0 == engine.name)
                && !changed.iter().any(|other| other.name == engine.name)
        };
        let before = served_pairs(known.values());
        let untouched = known.values().filter(is_untouched);
        let after = served_pairs(untouched.chain(changed.iter().copied()));
        let is_invalidated = before != after;

        let removed = gone.iter().filter(|name| known.contains_key(&name.0));
        let mut events: Vec<Event> = removed.cloned().map(Event::EngineRemoved).collect();
        events.extend(changed.into_iter().cloned().map(Event::EngineUpdated));
        if is_invalidated {
            events.push(Event::Invalidated(InvalidationScope::All));
        }
        events
    }
}
