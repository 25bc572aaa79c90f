//! The state of the control plane: checking a proposal, and applying it once consensus
//! has committed it.
//!
//! `plan` checks a command and says which events it makes, changing nothing; `commit`
//! changes what the events do not carry; `maintenance` holds the windows; `resolve`
//! answers lookups; `snapshot` turns the state into bytes and back.

mod commit;
mod error;
mod maintenance;
mod plan;
mod recent_proposals;
mod resolve;
mod scheduled_window;
mod snapshot;

pub use error::{CommandError, ResolveError, RestoreError};
pub use recent_proposals::RECENT_PROPOSALS;
pub use scheduled_window::ScheduledWindow;

use crate::last_changed::{LastChanged, Subject};
use crate::{Command, ConfigDocument, Epoch, Event, Name, Outcome, Proposal, Topology, View};
use binrw::binrw;
use plan::Plan;
use recent_proposals::RecentProposals;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The cell that operators chose for a routing key. Invariant: the cell is in the
/// topology.
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

/// A routing key whose requests go to a cell of the operators' choice.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyMove<'a> {
    /// The routing key, `TENANT/SERVICE`.
    pub routing_key: &'a str,
    /// The cell.
    pub cell: &'a str,
    /// Whether the move is under way: the key's mapping is never fresh.
    pub is_moving: bool,
}

/// The replicated state. Invariants: `topology` is what `document` reads as; `view` holds
/// what the events of all applied entries make; the same entries in the same order give
/// the same state on every node.
pub struct State {
    /// The topology file as JSON.
    document: OwnedValue,
    /// The topology file, read.
    pub topology: Topology,
    /// What routers know of the state.
    pub view: View,
    pins: BTreeMap<String, Pin>,
    recent_proposals: RecentProposals,
    last_changed: LastChanged,
    windows: Vec<ScheduledWindow>,
    config_document: ConfigDocument,
}

impl Default for State {
    fn default() -> State {
        let document = OwnedValue::object();
        State {
            topology: Topology::from_json(&document).expect("an empty topology file is valid"),
            document,
            view: View::default(),
            pins: BTreeMap::new(),
            recent_proposals: RecentProposals::default(),
            last_changed: LastChanged::default(),
            windows: Vec::new(),
            config_document: ConfigDocument::default(),
        }
    }
}

/// Whether a duplicate of a command must be recognised. Commands that nodes propose by
/// themselves need no memory: a duplicate of one is late, or changes nothing.
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
    /// The index of the log entry that was applied last.
    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Reads a state that holds everything up to `confirmed`, which a majority confirmed.
    /// `None` where it does not: it may have been replaced by an older one since, when a
    /// node goes on from what its disk holds.
    pub fn read_confirmed<T>(&self, confirmed: Epoch, read: impl FnOnce(&State) -> T) -> Option<T> {
        (self.epoch() >= confirmed).then(|| read(self))
    }

    /// The topology file in force, as JSON.
    pub fn document(&self) -> String {
        self.document.encode()
    }

    /// The configuration document in force; its revision is 0 where none was adopted.
    pub fn config_document(&self) -> &ConfigDocument {
        &self.config_document
    }

    /// Whether a proposal of this id was applied, as far as it is remembered.
    pub fn has_applied(&self, id: &str) -> bool {
        self.recent_proposals.contains(id)
    }

    /// The routing keys that operators moved.
    pub fn moves(&self) -> impl Iterator<Item = KeyMove<'_>> {
        self.pins.values().map(|pin| KeyMove {
            routing_key: &pin.key.0,
            cell: &pin.cell.0,
            is_moving: pin.is_moving,
        })
    }

    /// What applying a proposal now would give, changing nothing; `None` where it would
    /// be applied.
    pub fn check(&self, proposal: &Proposal) -> Option<Outcome> {
        self.checked(proposal).err()
    }

    /// Applies a committed proposal, the log's entry `epoch`. Nothing changes unless the
    /// outcome is `Applied`.
    pub fn apply(&mut self, epoch: Epoch, proposal: &Proposal) -> (Outcome, Vec<Event>) {
        let Plan { events, topology } = match self.checked(proposal) {
            Ok(plan) => plan,
            Err(outcome) => return (outcome, Vec::new()),
        };
        let command = &proposal.command;
        let pin_count = self.pins.len();
        self.commit(command, topology);
        for event in &events {
            self.apply_to_view(event);
        }
        self.view.epoch = epoch;
        self.last_changed.record(command, &events, epoch);
        if self.pins.len() < pin_count {
            // A topology update removes the pins of tenants and services that it removes.
            self.last_changed.record_subject(Subject::Moves, epoch);
        }
        if is_remembered(command) {
            let in_force = self.last_changed.of(Subject::Topology);
            self.recent_proposals.remember(proposal, epoch, in_force);
        }
        (Outcome::Applied { epoch }, events)
    }

    fn apply_to_view(&mut self, event: &Event) {
        match event {
            // The topology has them compiled.
            Event::Rules(text) if text.0 == self.topology.rules => {
                let program = Arc::clone(&self.topology.program);
                self.view.set_rules(text.0.clone(), program);
            }
            event => self.view.apply(event),
        }
    }

    /// What a proposal does, or the outcome by which it changes nothing.
    fn checked(&self, proposal: &Proposal) -> Result<Plan, Outcome> {
        if let Some(outcome) = self.recent_proposals.outcome_of(proposal) {
            return Err(outcome);
        }
        if let Some(conflict) = self.conflict(proposal) {
            return Err(conflict);
        }
        self.plan(&proposal.command)
            .map_err(|error| Outcome::Rejected(error.to_string()))
    }

    /// Whether a proposal was built on another state of its subject than the one in force.
    fn conflict(&self, proposal: &Proposal) -> Option<Outcome> {
        let changed = self.last_changed.of_command(&proposal.command);
        let is_late = proposal.base_epoch != 0 && proposal.base_epoch < changed;
        let is_on_other_document = match &proposal.command {
            Command::AdoptDocument {
                config_document, ..
            } => config_document.base_revision != self.config_document.revision,
            _ => false,
        };
        (is_late || is_on_other_document).then_some(Outcome::Conflict { epoch: changed })
    }
}
