//! Applying what was agreed on.

use crate::fence::{LastChanged, Part};
use crate::{
    book, key, Book, Engine, EngineState, Event, Mapping, Name, Place, Terms, Touch, Traits, View,
};
use binrw::binrw;
use consensus::pack::{packed, read_list, read_text, unpacked, write_list, write_text};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How many operators' submissions are remembered, so that a repeat is known as
/// one. Several days of hundreds of changes; what the nodes submit by themselves
/// takes no place.
pub const SUBMISSIONS_KEPT: usize = 4096;

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A revision of the home book, whole or partial, as JSON.
    #[brw(magic = 0u8)]
    Revise {
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        whole: bool,
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        text: String,
    },
    #[brw(magic = 1u8)]
    Key(Place),
    #[brw(magic = 2u8)]
    KeyGone(Name),
    #[brw(magic = 3u8)]
    Engine(Engine),
    #[brw(magic = 4u8)]
    EngineGone(Name),
    #[brw(magic = 10u8)]
    EngineState { name: Name, state: EngineState },
    #[brw(magic = 5u8)]
    Evacuate(Name),
    #[brw(magic = 6u8)]
    GiveBack(Name),
    /// A key's jobs go to another cell; never fresh until settled.
    #[brw(magic = 7u8)]
    Move { tenant: Name, service: Name, cell: Name },
    #[brw(magic = 8u8)]
    Settle { tenant: Name, service: Name },
    #[brw(magic = 9u8)]
    Unpin { tenant: Name, service: Name },
    /// The maintenance windows to come, in place of those that have not begun.
    #[brw(magic = 11u8)]
    Schedule(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<Window>,
    ),
    /// A window begins.
    #[brw(magic = 12u8)]
    Begin(Name),
    /// A window that has begun ends.
    #[brw(magic = 13u8)]
    End(Name),
    /// A whole revision that was written as somebody's own document: what it
    /// reads as, and the document itself, kept beside the book.
    #[brw(magic = 14u8)]
    Adopt {
        sheet: Sheet,
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        text: String,
    },
    /// What the platform's list of engines says anew.
    #[brw(magic = 15u8)]
    Listed {
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        engines: Vec<Engine>,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        gone: Vec<Name>,
    },
    /// How many routers there are, for those that begin when all were lost.
    #[brw(magic = 16u8)]
    Fleet(u32),
}

/// A document that operators wrote in words of their own. Invariant: the book is
/// what its translation reads as, under the same epoch.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Sheet {
    /// The operators' own number; it only rises.
    pub revision: u64,
    /// The number that it was built on.
    pub based: u64,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub text: String,
}

/// What a maintenance window empties.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Emptied {
    #[brw(magic = 0u8)]
    Zone(Name),
    #[brw(magic = 1u8)]
    Engine(Name),
}

/// Invariant: it begins before it ends; both in seconds since 1970.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    pub id: Name,
    pub what: Emptied,
    pub from: u64,
    pub until: u64,
}

/// A window as it stands. What was shut before it began stays shut after it.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
struct Planned {
    window: Window,
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    has_begun: bool,
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    was_shut: bool,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Drawn by who submits; a repeat carries the same.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub id: String,
    /// The epoch that the change was based on: it is a conflict if its subject
    /// was changed past it. 0 stands for any. Index 1 founds the cluster, so a
    /// change that is based on nothing has 1.
    pub base: u64,
    pub command: Command,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    #[brw(magic = 0u8)]
    Applied { epoch: u64 },
    #[brw(magic = 1u8)]
    Repeated { epoch: u64 },
    /// Its subject changed at this epoch, past the base.
    #[brw(magic = 2u8)]
    Conflict { epoch: u64 },
    #[brw(magic = 3u8)]
    Refused(
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        String,
    ),
}

#[binrw]
#[brw(big)]
#[derive(Clone)]
struct Known {
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    id: String,
    sum: u32,
    epoch: u64,
}

/// Invariant: a pin's cell is in the book.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
struct Pin {
    key: Name,
    cell: Name,
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    is_moving: bool,
}

#[binrw]
#[brw(big)]
struct Picture {
    epoch: u64,
    last_changed: LastChanged,
    document: Name,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    view: Vec<Event>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pins: Vec<Pin>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    known: Vec<Known>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    windows: Vec<Planned>,
    sheet: Sheet,
}

/// Invariants: `book` is what `document` reads as; `view` holds what the
/// events of all applied entries make; the same entries in the same order give
/// the same state on every node.
pub struct State {
    document: OwnedValue,
    pub book: Book,
    pub view: View,
    pins: BTreeMap<String, Pin>,
    known: VecDeque<Known>,
    last_changed: LastChanged,
    windows: Vec<Planned>,
    sheet: Sheet,
}

impl Default for State {
    fn default() -> State {
        let document = OwnedValue::object();
        State {
            book: Book::read(&document).expect("an empty book reads"),
            document,
            view: View::default(),
            pins: BTreeMap::new(),
            known: VecDeque::new(),
            last_changed: LastChanged::default(),
            windows: Vec::new(),
            sheet: Sheet::default(),
        }
    }
}

/// Whether a repeat of a command must be known as one. What nodes submit by
/// themselves says nothing twice: a repeat of it is late, or changes nothing.
fn is_remembered(command: &Command) -> bool {
    !matches!(
        command,
        Command::Listed { .. } | Command::Fleet(_) | Command::Begin(_) | Command::End(_)
    )
}

type Checked = Result<Vec<Event>, String>;

impl State {
    pub fn epoch(&self) -> u64 {
        self.view.epoch
    }

    pub fn document(&self) -> String {
        self.document.encode()
    }

    /// Whether a repeat of a submission, and with what outcome.
    fn repeat(&self, submission: &Submission) -> Option<Outcome> {
        let known = self.known.iter().find(|known| known.id == submission.id)?;
        Some(match known.sum == crc(&submission.command) {
            true => Outcome::Repeated { epoch: known.epoch },
            false => Outcome::Refused(format!(
                "submission id {} was used for another change, at epoch {}",
                submission.id, known.epoch
            )),
        })
    }

    /// Whether a submission was built on something else than what is in force.
    fn conflict(&self, submission: &Submission) -> Option<Outcome> {
        let changed = self.last_changed.subject_of(&submission.command);
        let is_old = submission.base != 0 && submission.base < changed;
        let is_other = match &submission.command {
            Command::Adopt { sheet, .. } => sheet.based != self.sheet.revision,
            _ => false,
        };
        (is_old || is_other).then_some(Outcome::Conflict { epoch: changed })
    }

    /// The newest document that was adopted; its revision is 0 where none was.
    pub fn sheet(&self) -> &Sheet {
        &self.sheet
    }

    /// Whether a submission of this id was taken.
    pub fn has_taken(&self, id: &str) -> bool {
        self.known.iter().any(|known| known.id == id)
    }

    /// Says what applying a submission now would give, changing nothing.
    pub fn check(&self, submission: &Submission) -> Option<Outcome> {
        if let Some(outcome) = self.repeat(submission) {
            return Some(outcome);
        }
        if let Some(conflict) = self.conflict(submission) {
            return Some(conflict);
        }
        self.plan(&submission.command).err().map(Outcome::Refused)
    }

    /// Applies a submission that was agreed on as the ledger's entry `epoch`.
    /// Nothing changes unless the outcome is `Applied`.
    pub fn apply(&mut self, epoch: u64, submission: &Submission) -> (Outcome, Vec<Event>) {
        if let Some(outcome) = self.repeat(submission) {
            return (outcome, Vec::new());
        }
        if let Some(conflict) = self.conflict(submission) {
            return (conflict, Vec::new());
        }
        let events = match self.plan(&submission.command) {
            Ok(events) => events,
            Err(text) => return (Outcome::Refused(text), Vec::new()),
        };
        let pins = self.pins.len();
        self.commit(&submission.command);
        for event in &events {
            self.view.take(event);
        }
        self.view.epoch = epoch;
        self.last_changed.note(&submission.command, &events, epoch);
        if self.pins.len() < pins {
            // A revision may take pins along.
            self.last_changed.note_part(Part::Moves, epoch);
        }
        if is_remembered(&submission.command) {
            self.remember(submission, epoch);
        }
        (Outcome::Applied { epoch }, events)
    }

    /// Invariant: the submission that made the document in force is never
    /// forgotten, however many others came after it.
    fn remember(&mut self, submission: &Submission, epoch: u64) {
        let sum = crc(&submission.command);
        self.known.push_back(Known { id: submission.id.clone(), sum, epoch });
        if self.known.len() <= SUBMISSIONS_KEPT {
            return;
        }
        let in_force = self.last_changed.part(Part::Topology);
        if let Some(oldest) = self.known.iter().position(|known| known.epoch != in_force) {
            self.known.remove(oldest);
        }
    }

    fn revised(&self, whole: bool, text: &str) -> Result<(OwnedValue, Book), String> {
        let part = book::parse_text(text)?;
        let mut document = if whole { OwnedValue::object() } else { self.document.clone() };
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
    fn plan(&self, command: &Command) -> Checked {
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
            Command::Adopt { sheet, text } => {
                if sheet.revision <= self.sheet.revision {
                    return Err(format!(
                        "revision {} is not above {}, which is in force",
                        sheet.revision, self.sheet.revision
                    ));
                }
                self.revision_events(true, text)
            }
            Command::Revise { .. } if self.sheet.revision > 0 => Err(format!(
                "the book is what document {} reads as; send a revision of that",
                self.sheet.revision
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
                let unknown =
                    engine.services.iter().find(|name| !self.book.services.contains_key(&name.0));
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
                    let engine = Engine { state: *state, ..engine.clone() };
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
                let touched = Event::Touched(Touch::Home(Name(region.clone())));
                Ok(match is_shut {
                    true => vec![Event::Evacuated(zone.clone()), touched],
                    false => vec![Event::GivenBack(zone.clone()), touched],
                })
            }
            Command::Move { tenant, service, cell } => {
                let key = known_pair(tenant, service)?;
                let Some(region) = self.book.region_of_cell(&cell.0) else {
                    return Err(format!("there is no cell {cell}"));
                };
                if !self.permitted(&tenant.0, &service.0, region).contains(region) {
                    return Err(format!("cell {cell} in {region} is outside the homes of {key}"));
                }
                Ok(vec![Event::Touched(Touch::Key(Name(key)))])
            }
            Command::Schedule(windows) => {
                if windows.len() > 1000 {
                    return Err("at most 1000 windows are kept".into());
                }
                for (at, window) in windows.iter().enumerate() {
                    let is_known = match &window.what {
                        Emptied::Zone(zone) => self.book.zones.contains_key(&zone.0),
                        Emptied::Engine(name) => self.view.engines.contains_key(&name.0),
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
                    true => Ok(vec![Event::Touched(Touch::Key(Name(key)))]),
                    false => Err(format!("{key} is not moved")),
                }
            }
        }
    }

    fn engine_events(&self, name: &str, after: Option<&Engine>) -> Vec<Event> {
        match after {
            Some(engine) => self.listed_events(std::slice::from_ref(engine), &[]),
            None => self.listed_events(&[], &[Name(name.into())]),
        }
    }

    /// Mappings name cells, not engines: they are void only where a cell gains
    /// its first engine for a service or loses its last. Engines of cells that
    /// are not in the book, and changes that change nothing, are passed over.
    fn listed_events(&self, engines: &[Engine], gone: &[Name]) -> Vec<Event> {
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
        let known = gone.iter().filter(|name| self.view.engines.contains_key(&name.0));
        let mut events: Vec<Event> = known.cloned().map(Event::EngineGone).collect();
        events.extend(engines.into_iter().cloned().map(Event::Engine));
        if after != before {
            events.push(Event::Touched(Touch::All));
        }
        events
    }

    /// The events that a revision of the book makes: only of what it changes.
    fn revision_events(&self, whole: bool, text: &str) -> Checked {
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
                _ => {
                    events.push(Event::Key(Place { name: digest.clone(), within: tenant.clone() }))
                }
            }
        }
        let terms = |(name, tenant): (&String, &book::Tenant)| Terms {
            tenant: name.clone(),
            pace: tenant.pace,
            burst: tenant.burst,
            homes: tenant.homes.iter().cloned().map(Name).collect(),
            urgency: tenant.urgency.unwrap_or(u8::MAX),
        };
        let terms: Vec<Terms> = book.tenants.iter().map(terms).collect();
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
    fn turn(&self, what: &Emptied, is_shut: bool) -> Checked {
        match (what, is_shut) {
            (Emptied::Zone(zone), true) => self.plan(&Command::Evacuate(zone.clone())),
            (Emptied::Zone(zone), false) => self.plan(&Command::GiveBack(zone.clone())),
            (Emptied::Engine(name), _) => {
                let state = if is_shut { EngineState::Draining } else { EngineState::Serving };
                self.plan(&Command::EngineState { name: name.clone(), state })
            }
        }
    }

    fn is_shut(&self, what: &Emptied) -> bool {
        match what {
            Emptied::Zone(zone) => self.view.evacuated.contains(&zone.0),
            Emptied::Engine(name) => {
                self.view.engines.get(&name.0).is_some_and(|e| e.state != EngineState::Serving)
            }
        }
    }

    /// What is due at a time, in seconds since 1970. Applying it makes it due
    /// no more, so that each window begins and ends once, whoever leads.
    pub fn due(&self, now: u64) -> Vec<Command> {
        let due = |planned: &Planned| {
            let Window { id, from, until, .. } = &planned.window;
            match planned.has_begun {
                true if now >= *until => Some(Command::End(id.clone())),
                false if now >= *from => Some(Command::Begin(id.clone())),
                _ => None,
            }
        };
        self.windows.iter().filter_map(due).collect()
    }

    /// The windows to come and under way, and whether each has begun.
    pub fn windows(&self) -> impl Iterator<Item = (&Window, bool)> {
        self.windows.iter().map(|planned| (&planned.window, planned.has_begun))
    }

    /// Makes what `plan` has allowed.
    fn commit(&mut self, command: &Command) {
        match command {
            Command::Revise { .. } | Command::Adopt { .. } => {
                let (whole, text) = match command {
                    Command::Revise { whole, text } => (*whole, text),
                    Command::Adopt { text, .. } => (true, text),
                    _ => unreachable!("matched above"),
                };
                if let Command::Adopt { sheet, .. } = command {
                    self.sheet = sheet.clone();
                }
                let (document, book) =
                    self.revised(whole, text).expect("a revision is planned before");
                self.document = document;
                self.book = book;
                let book = &self.book;
                self.pins.retain(|key, _| {
                    let pair = key.split_once('/').expect("a key has two parts");
                    book.tenants.contains_key(pair.0) && book.services.contains_key(pair.1)
                });
            }
            // Ordered while a window has it shut: it stays shut when that ends.
            Command::Evacuate(zone) => {
                let is_its = |what: &Emptied| matches!(what, Emptied::Zone(name) if name == zone);
                let under_way = self.windows.iter_mut().filter(|planned| planned.has_begun);
                for planned in under_way.filter(|planned| is_its(&planned.window.what)) {
                    planned.was_shut = true;
                }
            }
            Command::Move { tenant, service, cell } => {
                let key = key(&tenant.0, &service.0);
                let pin = Pin { key: Name(key.clone()), cell: cell.clone(), is_moving: true };
                self.pins.insert(key, pin);
            }
            Command::Settle { tenant, service } => {
                if let Some(pin) = self.pins.get_mut(&key(&tenant.0, &service.0)) {
                    pin.is_moving = false;
                }
            }
            Command::Schedule(windows) => {
                self.windows.retain(|planned| planned.has_begun);
                for window in windows {
                    if !self.windows.iter().any(|planned| planned.window.id == window.id) {
                        let window = window.clone();
                        self.windows.push(Planned { window, has_begun: false, was_shut: false });
                    }
                }
            }
            Command::Begin(id) => {
                let place = self.windows.iter().position(|planned| planned.window.id == *id);
                if let Some(place) = place {
                    let was_shut = self.is_shut(&self.windows[place].window.what);
                    self.windows[place].has_begun = true;
                    self.windows[place].was_shut = was_shut;
                }
            }
            Command::End(id) => self.windows.retain(|planned| planned.window.id != *id),
            Command::Unpin { tenant, service } => {
                self.pins.remove(&key(&tenant.0, &service.0));
            }
            _ => {}
        }
    }

    /// The regions that a key's jobs may go to, nearest first.
    fn permitted(&self, tenant: &str, service: &str, asker: &str) -> Vec<String> {
        let homes = match self.book.tenants.get(tenant) {
            Some(tenant) => &tenant.homes[..],
            // Nobody in particular: a public route's.
            None if tenant.is_empty() => &[],
            None => return Vec::new(),
        };
        let Some(service) = self.book.services.get(service) else { return Vec::new() };
        let mut regions: Vec<String> = match homes.is_empty() {
            false => homes.to_vec(),
            true => self.book.regions().into_iter().cloned().collect(),
        };
        if homes.is_empty() || self.book.is_near_first {
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
        let entry = self.book.tenants.get(tenant);
        if entry.is_none() && !tenant.is_empty() {
            return Err(("unknown-tenant", "no such tenant is known".into()));
        }
        if !self.book.services.contains_key(service) {
            return Err(("unknown-service", format!("no service {service} is known")));
        }
        let allowed = entry.map_or(&[][..], |entry| &entry.services[..]);
        if !allowed.is_empty() && !allowed.iter().any(|known| known == service) {
            return Err(("service-not-allowed", format!("{tenant} may not use {service}")));
        }
        let regions = self.permitted(tenant, service, asker);
        let key = key(tenant, service);
        let pin = self.pins.get(&key);
        let serves = |engine: &&Engine| {
            engine.state != EngineState::Draining
                && engine.services.iter().any(|name| name.0 == service)
        };
        // Cells of evacuated zones stay on the list, behind the others, so that
        // a mapping outlives an evacuation.
        let mut cells: Vec<(bool, bool, usize, u32, String)> = Vec::new();
        for engine in self.view.engines.values().filter(serves) {
            let Some(zone) = self.book.cells.get(&engine.cell) else { continue };
            let rank = self
                .book
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
            self.book
                .zones
                .iter()
                .any(|(zone, region)| region == home && self.view.evacuated.contains(zone))
        });
        let points = &self.book.points;
        Ok(Mapping {
            tenant: tenant.into(),
            service: service.into(),
            regions: regions.into_iter().map(Name).collect(),
            cells: cells.into_iter().map(|cell| Name(cell.4)).collect(),
            fresh_ms: match is_moving || is_emptied {
                true => 0,
                false => entry.and_then(|entry| entry.fresh_ms).unwrap_or(points.fresh_ms),
            },
            expire_ms: entry.and_then(|entry| entry.expire_ms).unwrap_or(points.expire_ms),
            epoch: self.epoch(),
        })
    }

    pub fn moves(&self) -> impl Iterator<Item = (&str, &str, bool)> {
        self.pins.values().map(|pin| (pin.key.0.as_str(), pin.cell.0.as_str(), pin.is_moving))
    }

    pub fn picture(&self) -> Vec<u8> {
        packed(&Picture {
            epoch: self.epoch(),
            last_changed: self.last_changed.clone(),
            document: Name(self.document.encode()),
            view: self.view.picture(),
            pins: self.pins.values().cloned().collect(),
            known: self.known.iter().cloned().collect(),
            windows: self.windows.clone(),
            sheet: self.sheet.clone(),
        })
    }

    pub fn restore(bytes: &[u8]) -> Result<State, String> {
        if bytes.is_empty() {
            return Ok(State::default());
        }
        let picture: Picture = unpacked(bytes)?;
        let document = book::parse_text(&picture.document.0)?;
        let book = Book::read(&document).map_err(|complaints| complaints.join("; "))?;
        let mut view = View::default();
        for event in &picture.view {
            view.take(event);
        }
        view.epoch = picture.epoch;
        Ok(State {
            document,
            book,
            view,
            pins: picture.pins.into_iter().map(|pin| (pin.key.0.clone(), pin)).collect(),
            known: picture.known.into(),
            last_changed: picture.last_changed,
            windows: picture.windows,
            sheet: picture.sheet,
        })
    }
}

fn crc(command: &Command) -> u32 {
    crc32fast::hash(&packed(command))
}

/// A draw that all nodes make alike.
fn draw(text: &str) -> u32 {
    crc32fast::hash(text.as_bytes())
}
