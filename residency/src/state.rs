//! Applying what was agreed on.

mod plan;
mod resolve;
mod snapshot;

use crate::command::{
    Command, ConfigDocument, DrainTarget, MaintenanceWindow, Outcome, Proposal, UpdateMode,
};
use crate::fence::{LastChanged, Part};
use crate::{routing_key, Event, Name, Topology, View};
use binrw::binrw;
use consensus::codec::{read_string, to_bytes, write_string};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::{BTreeMap, VecDeque};

/// How many operators' proposals are remembered, so that a repeat is known as
/// one. Several days of hundreds of changes; what the nodes submit by themselves
/// takes no place.
pub const RECENT_PROPOSALS: usize = 4096;

/// A window as it stands. What was shut before it began stays shut after it.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
struct Planned {
    window: MaintenanceWindow,
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    has_begun: bool,
    #[br(map = |n: u8| n != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    was_shut: bool,
}

#[binrw]
#[brw(big)]
#[derive(Clone)]
struct RecentProposal {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    id: String,
    sum: u32,
    epoch: u64,
}

/// Invariant: a pin's cell is in the topology.
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

/// Invariants: `book` is what `document` reads as; `view` holds what the
/// events of all applied entries make; the same entries in the same order give
/// the same state on every node.
pub struct State {
    document: OwnedValue,
    pub topology: Topology,
    pub view: View,
    pins: BTreeMap<String, Pin>,
    recent_proposals: VecDeque<RecentProposal>,
    last_changed: LastChanged,
    windows: Vec<Planned>,
    config_document: ConfigDocument,
}

impl Default for State {
    fn default() -> State {
        let document = OwnedValue::object();
        State {
            topology: Topology::from_json(&document).expect("an empty book reads"),
            document,
            view: View::default(),
            pins: BTreeMap::new(),
            recent_proposals: VecDeque::new(),
            last_changed: LastChanged::default(),
            windows: Vec::new(),
            config_document: ConfigDocument::default(),
        }
    }
}

/// Whether a repeat of a command must be known as one. What nodes submit by
/// themselves says nothing twice: a repeat of it is late, or changes nothing.
fn is_remembered(command: &Command) -> bool {
    !matches!(
        command,
        Command::UpdateEngines { .. }
            | Command::SetRouterCount(_)
            | Command::BeginMaintenance(_)
            | Command::EndMaintenance(_)
    )
}

impl State {
    pub fn epoch(&self) -> u64 {
        self.view.epoch
    }

    pub fn document(&self) -> String {
        self.document.encode()
    }

    /// Whether a repeat of a proposal, and with what outcome.
    fn repeat(&self, proposal: &Proposal) -> Option<Outcome> {
        let known = self
            .recent_proposals
            .iter()
            .find(|known| known.id == proposal.id)?;
        Some(match known.sum == crc(&proposal.command) {
            true => Outcome::Duplicate { epoch: known.epoch },
            false => Outcome::Rejected(format!(
                "proposal id {} was used for another change, at epoch {}",
                proposal.id, known.epoch
            )),
        })
    }

    /// Whether a proposal was built on something else than what is in force.
    fn conflict(&self, proposal: &Proposal) -> Option<Outcome> {
        let changed = self.last_changed.subject_of(&proposal.command);
        let is_old = proposal.base_epoch != 0 && proposal.base_epoch < changed;
        let is_other = match &proposal.command {
            Command::AdoptDocument {
                config_document, ..
            } => config_document.base_revision != self.config_document.revision,
            _ => false,
        };
        (is_old || is_other).then_some(Outcome::Conflict { epoch: changed })
    }

    /// The newest document that was adopted; its revision is 0 where none was.
    pub fn config_document(&self) -> &ConfigDocument {
        &self.config_document
    }

    /// Whether a proposal of this id was taken.
    pub fn has_applied(&self, id: &str) -> bool {
        self.recent_proposals.iter().any(|known| known.id == id)
    }

    /// Says what applying a proposal now would give, changing nothing.
    pub fn check(&self, proposal: &Proposal) -> Option<Outcome> {
        if let Some(outcome) = self.repeat(proposal) {
            return Some(outcome);
        }
        if let Some(conflict) = self.conflict(proposal) {
            return Some(conflict);
        }
        self.plan(&proposal.command).err().map(Outcome::Rejected)
    }

    /// Applies a proposal that was agreed on as the log's entry `epoch`.
    /// Nothing changes unless the outcome is `Applied`.
    pub fn apply(&mut self, epoch: u64, proposal: &Proposal) -> (Outcome, Vec<Event>) {
        if let Some(outcome) = self.repeat(proposal) {
            return (outcome, Vec::new());
        }
        if let Some(conflict) = self.conflict(proposal) {
            return (conflict, Vec::new());
        }
        let events = match self.plan(&proposal.command) {
            Ok(events) => events,
            Err(text) => return (Outcome::Rejected(text), Vec::new()),
        };
        let pins = self.pins.len();
        self.commit(&proposal.command);
        for event in &events {
            self.view.apply(event);
        }
        self.view.epoch = epoch;
        self.last_changed.note(&proposal.command, &events, epoch);
        if self.pins.len() < pins {
            // A revision may take pins along.
            self.last_changed.note_part(Part::Moves, epoch);
        }
        if is_remembered(&proposal.command) {
            self.remember(proposal, epoch);
        }
        (Outcome::Applied { epoch }, events)
    }

    /// Invariant: the proposal that made the document in force is never
    /// forgotten, however many others came after it.
    fn remember(&mut self, proposal: &Proposal, epoch: u64) {
        let sum = crc(&proposal.command);
        self.recent_proposals.push_back(RecentProposal {
            id: proposal.id.clone(),
            sum,
            epoch,
        });
        if self.recent_proposals.len() <= RECENT_PROPOSALS {
            return;
        }
        let in_force = self.last_changed.part(Part::Topology);
        if let Some(oldest) = self
            .recent_proposals
            .iter()
            .position(|known| known.epoch != in_force)
        {
            self.recent_proposals.remove(oldest);
        }
    }

    /// What is due at a time, in seconds since 1970. Applying it makes it due
    /// no more, so that each window begins and ends once, whoever leads.
    pub fn due(&self, now: u64) -> Vec<Command> {
        let due = |planned: &Planned| {
            let MaintenanceWindow {
                id,
                starts_at_s,
                ends_at_s,
                ..
            } = &planned.window;
            match planned.has_begun {
                true if now >= *ends_at_s => Some(Command::EndMaintenance(id.clone())),
                false if now >= *starts_at_s => Some(Command::BeginMaintenance(id.clone())),
                _ => None,
            }
        };
        self.windows.iter().filter_map(due).collect()
    }

    /// The windows to come and under way, and whether each has begun.
    pub fn windows(&self) -> impl Iterator<Item = (&MaintenanceWindow, bool)> {
        self.windows
            .iter()
            .map(|planned| (&planned.window, planned.has_begun))
    }

    /// Makes what `plan` has allowed.
    fn commit(&mut self, command: &Command) {
        match command {
            Command::UpdateTopology { .. } | Command::AdoptDocument { .. } => {
                let (mode, text) = match command {
                    Command::UpdateTopology { mode, text } => (*mode, text),
                    Command::AdoptDocument { text, .. } => (UpdateMode::Replace, text),
                    _ => unreachable!("matched above"),
                };
                if let Command::AdoptDocument {
                    config_document, ..
                } = command
                {
                    self.config_document = config_document.clone();
                }
                let (document, topology) = self
                    .revised(mode, text)
                    .expect("a revision is planned before");
                self.document = document;
                self.topology = topology;
                let topology = &self.topology;
                self.pins.retain(|key, _| {
                    let pair = key.split_once('/').expect("a key has two parts");
                    topology.tenants.contains_key(pair.0) && topology.services.contains_key(pair.1)
                });
            }
            // Ordered while a window has it shut: it stays shut when that ends.
            Command::EvacuateZone(zone) => {
                let is_its =
                    |what: &DrainTarget| matches!(what, DrainTarget::Zone(name) if name == zone);
                let under_way = self.windows.iter_mut().filter(|planned| planned.has_begun);
                for planned in under_way.filter(|planned| is_its(&planned.window.target)) {
                    planned.was_shut = true;
                }
            }
            Command::MoveKey {
                tenant,
                service,
                cell,
            } => {
                let key = routing_key(&tenant.0, &service.0);
                let pin = Pin {
                    key: Name(key.clone()),
                    cell: cell.clone(),
                    is_moving: true,
                };
                self.pins.insert(key, pin);
            }
            Command::CompleteMove { tenant, service } => {
                if let Some(pin) = self.pins.get_mut(&routing_key(&tenant.0, &service.0)) {
                    pin.is_moving = false;
                }
            }
            Command::ScheduleMaintenance(windows) => {
                self.windows.retain(|planned| planned.has_begun);
                for window in windows {
                    if !self
                        .windows
                        .iter()
                        .any(|planned| planned.window.id == window.id)
                    {
                        let window = window.clone();
                        self.windows.push(Planned {
                            window,
                            has_begun: false,
                            was_shut: false,
                        });
                    }
                }
            }
            Command::BeginMaintenance(id) => {
                let place = self
                    .windows
                    .iter()
                    .position(|planned| planned.window.id == *id);
                if let Some(place) = place {
                    let was_shut = self.is_shut(&self.windows[place].window.target);
                    self.windows[place].has_begun = true;
                    self.windows[place].was_shut = was_shut;
                }
            }
            Command::EndMaintenance(id) => self.windows.retain(|planned| planned.window.id != *id),
            Command::UndoMove { tenant, service } => {
                self.pins.remove(&routing_key(&tenant.0, &service.0));
            }
            _ => {}
        }
    }

    pub fn moves(&self) -> impl Iterator<Item = (&str, &str, bool)> {
        self.pins
            .values()
            .map(|pin| (pin.key.0.as_str(), pin.cell.0.as_str(), pin.is_moving))
    }
}

fn crc(command: &Command) -> u32 {
    crc32fast::hash(&to_bytes(command))
}
