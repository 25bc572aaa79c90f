//! Checks a command against the state and says which events it makes.

use super::State;
use crate::command::{Command, DrainTarget};
use crate::{
    book, key, Book, Engine, EngineState, Event, InvalidationScope, Name, Place, TenantLimits,
    Traits,
};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeSet;

type Checked = Result<Vec<Event>, String>;

impl State {
    pub(super) fn revised(&self, whole: bool, text: &str) -> Result<(OwnedValue, Book), String> {
        let part = book::parse_text(text)?;
        let mut document = if whole {
            OwnedValue::object()
        } else {
            self.document.clone()
        };
        book::merge(&mut document, &part);
        let book = Book::read(&document).map_err(|complaints| complaints.join("\n"))?;
        for engine in self.view.engines.values() {
            if !book.cells.contains_key(&engine.cell) {
                return Err(format!(
                    "cells: engine {} is listed in cell {}, which would be gone",
                    engine.name, engine.cell
                ));
            }
        }
        for pin in self.pins.values() {
            if !book.cells.contains_key(&pin.cell.0) {
                return Err(format!(
                    "cells: {} is moved to cell {}, which would be gone",
                    pin.key, pin.cell
                ));
            }
        }
        for zone in &self.view.evacuated {
            if !book.zones.contains_key(zone) {
                return Err(format!("zones: {zone} is evacuated; give it back first"));
            }
        }
        Ok((document, book))
    }

    /// Checks a command and says which events it makes.
    pub(super) fn plan(&self, command: &Command) -> Checked {
        let known_pair = |tenant: &Name, service: &Name| {
            if !self.book.tenants.contains_key(&tenant.0) {
                return Err(format!("there is no tenant {tenant}"));
            }
            if !self.book.services.contains_key(&service.0) {
                return Err(format!("there is no service {service}"));
            }
            Ok(key(&tenant.0, &service.0))
        };
        match command {
            Command::Adopt {
                config_document,
                text,
            } => {
                if config_document.revision <= self.config_document.revision {
                    return Err(format!(
                        "revision {} is not above {}, which is in force",
                        config_document.revision, self.config_document.revision
                    ));
                }
                self.revision_events(true, text)
            }
            Command::Revise { .. } if self.config_document.revision > 0 => Err(format!(
                "the book is what document {} reads as; send a revision of that",
                self.config_document.revision
            )),
            Command::Revise { whole, text } => self.revision_events(*whole, text),
            Command::Listed { engines, gone } => Ok(self.listed_events(engines, gone)),
            Command::Fleet(count) => Ok(vec![Event::Fleet(*count)]),
            Command::Key(place) => {
                let is_digest = place.name.len() == 64
                    && place.name.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !is_digest {
                    return Err("a key is kept as 64 hexadecimal digits".into());
                }
                if !self.book.tenants.contains_key(&place.within) {
                    return Err(format!("there is no tenant {}", place.within));
                }
                match self.view.keys.get(&place.name) {
                    Some(tenant) if *tenant != place.within => {
                        Err(format!("this key belongs to tenant {tenant}"))
                    }
                    _ => Ok(vec![Event::Key(place.clone())]),
                }
            }
            Command::KeyGone(digest) => match self.view.keys.contains_key(&digest.0) {
                true => Ok(vec![Event::KeyGone(digest.clone())]),
                false => Err("there is no such key".into()),
            },
            Command::Engine(engine) => {
                if !self.book.cells.contains_key(&engine.cell) {
                    return Err(format!("there is no cell {}", engine.cell));
                }
                if engine.address.parse::<std::net::SocketAddr>().is_err() {
                    return Err(format!("{} is no address and port", engine.address));
                }
                let unknown = engine
                    .services
                    .iter()
                    .find(|name| !self.book.services.contains_key(&name.0));
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
            Command::EngineGone(name) => match self.view.engines.contains_key(&name.0) {
                true => Ok(self.engine_events(&name.0, None)),
                false => Err(format!("there is no engine {name}")),
            },
            Command::EngineState { name, state } => match self.view.engines.get(&name.0) {
                Some(engine) => {
                    let engine = Engine {
                        state: *state,
                        ..engine.clone()
                    };
                    Ok(self.engine_events(&name.0, Some(&engine)))
                }
                None => Err(format!("there is no engine {name}")),
            },
            Command::Evacuate(zone) | Command::GiveBack(zone) => {
                let Some(region) = self.book.zones.get(&zone.0) else {
                    return Err(format!("there is no zone {zone}"));
                };
                let is_shut = matches!(command, Command::Evacuate(_));
                if self.view.evacuated.contains(&zone.0) == is_shut {
                    return Ok(Vec::new());
                }
                // Routers leave an evacuated zone's engines out by themselves;
                // what changes is how long a key at home there stays fresh.
                let touched = Event::Touched(InvalidationScope::Home(Name(region.clone())));
                Ok(match is_shut {
                    true => vec![Event::Evacuated(zone.clone()), touched],
                    false => vec![Event::GivenBack(zone.clone()), touched],
                })
            }
            Command::Move {
                tenant,
                service,
                cell,
            } => {
                let key = known_pair(tenant, service)?;
                let Some(region) = self.book.region_of_cell(&cell.0) else {
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
                Ok(vec![Event::Touched(InvalidationScope::Key(Name(key)))])
            }
            Command::Schedule(windows) => {
                if windows.len() > 1000 {
                    return Err("at most 1000 windows are kept".into());
                }
                for (at, window) in windows.iter().enumerate() {
                    let is_known = match &window.what {
                        DrainTarget::Zone(zone) => self.book.zones.contains_key(&zone.0),
                        DrainTarget::Engine(name) => self.view.engines.contains_key(&name.0),
                    };
                    if !is_known {
                        return Err(format!(
                            "window {}: {:?} is not known",
                            window.id, window.what
                        ));
                    }
                    if window.from >= window.until {
                        return Err(format!("window {}: it ends before it begins", window.id));
                    }
                    if windows[..at].iter().any(|other| other.id == window.id) {
                        return Err(format!("window {}: this id stands twice", window.id));
                    }
                }
                Ok(Vec::new())
            }
            Command::Begin(id) | Command::End(id) => {
                let is_end = matches!(command, Command::End(_));
                let planned = self.windows.iter().find(|planned| planned.window.id == *id);
                match planned {
                    Some(planned) if planned.has_begun != is_end => {
                        Err(format!("window {id} has begun already, or not yet"))
                    }
                    None => Err(format!("there is no window {id}")),
                    // An engine that is gone meanwhile needs nothing.
                    Some(planned) if is_end && planned.was_shut => Ok(Vec::new()),
                    Some(planned) => {
                        Ok(self.turn(&planned.window.what, !is_end).unwrap_or_default())
                    }
                }
            }
            Command::Settle { tenant, service } | Command::Unpin { tenant, service } => {
                let key = known_pair(tenant, service)?;
                match self.pins.contains_key(&key) {
                    true => Ok(vec![Event::Touched(InvalidationScope::Key(Name(key)))]),
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
            self.book.cells.contains_key(&engine.cell)
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
        let mut events: Vec<Event> = known.cloned().map(Event::EngineGone).collect();
        events.extend(engines.into_iter().cloned().map(Event::Engine));
        if after != before {
            events.push(Event::Touched(InvalidationScope::All));
        }
        events
    }

    /// The events that a revision of the book makes: only of what it changes.
    pub(super) fn revision_events(&self, whole: bool, text: &str) -> Checked {
        let (_, book) = self.revised(whole, text)?;
        let place = |(name, within): (&String, &String)| Place {
            name: name.clone(),
            within: within.clone(),
        };
        let mut events = Vec::new();
        if book.zones != self.view.zones || book.cells != self.view.cells {
            events.push(Event::Places {
                zones: book.zones.iter().map(place).collect(),
                cells: book.cells.iter().map(place).collect(),
            });
        }
        for (digest, tenant) in &self.view.keys {
            let is_dropped = self.book.keys.contains_key(digest) && !book.keys.contains_key(digest);
            if is_dropped || !book.tenants.contains_key(tenant) {
                events.push(Event::KeyGone(Name(digest.clone())));
            }
        }
        for (digest, tenant) in &book.keys {
            match self.view.keys.get(digest) {
                Some(known) if known == tenant => {}
                Some(known) if !self.book.keys.contains_key(digest) => {
                    return Err(format!("tenants.{tenant}: a key belongs to tenant {known}"));
                }
                _ => events.push(Event::Key(Place {
                    name: digest.clone(),
                    within: tenant.clone(),
                })),
            }
        }
        let terms = |(name, tenant): (&String, &book::Tenant)| TenantLimits {
            tenant: name.clone(),
            pace: tenant.pace,
            burst: tenant.burst,
            homes: tenant.homes.iter().cloned().map(Name).collect(),
            urgency: tenant.urgency.unwrap_or(u8::MAX),
        };
        let terms: Vec<TenantLimits> = book.tenants.iter().map(terms).collect();
        if !terms.iter().eq(self.view.tenants.values()) {
            events.push(Event::Tenants(terms));
        }
        let traits = |(name, service): (&String, &book::Service)| Traits {
            service: name.clone(),
            connections: service.connections,
            warm_pace: service.warm_pace,
            warm_ms: service.warm_ms,
        };
        let traits: Vec<Traits> = book.services.iter().map(traits).collect();
        if !traits.iter().eq(self.view.services.values()) {
            events.push(Event::Services(traits));
        }
        if book.limits != self.view.limits {
            events.push(Event::Limits(book.limits));
        }
        // The rules last: who sees a route finds what it speaks of.
        if book.rules != self.view.rules {
            events.push(Event::Rules(Name(book.rules.clone())));
        }
        events.extend(self.book.touched_by(&book).into_iter().map(Event::Touched));
        Ok(events)
    }

    /// Shutting or opening what a window empties.
    pub(super) fn turn(&self, what: &DrainTarget, is_shut: bool) -> Checked {
        match (what, is_shut) {
            (DrainTarget::Zone(zone), true) => self.plan(&Command::Evacuate(zone.clone())),
            (DrainTarget::Zone(zone), false) => self.plan(&Command::GiveBack(zone.clone())),
            (DrainTarget::Engine(name), _) => {
                let state = if is_shut {
                    EngineState::Draining
                } else {
                    EngineState::Serving
                };
                self.plan(&Command::EngineState {
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
