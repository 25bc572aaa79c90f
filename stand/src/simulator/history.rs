//! What operators sent and were told, and the objects it is judged by: the
//! configuration, and each zone.

use crate::linearizability::{is_linearizable, Call, SequentialObject};
use std::collections::{BTreeMap, BTreeSet};

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Intent {
    /// A document on top of another. The same `id` is the same document.
    Change {
        id: String,
        based: u64,
        revision: u64,
    },
    ReadConfiguration,
    SetZone {
        zone: u64,
        is_evacuated: bool,
    },
    ReadZone {
        zone: u64,
    },
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Response {
    Taken,
    /// It builds on another revision than the one in force.
    Conflict,
    /// Its number is not above the one in force.
    NotAbove,
    Revision(u64),
    IsEvacuated(bool),
    /// Nothing is said of it; it is to be sent again.
    Later,
}

/// A register under compare and set, in which a repeat is known as one.
#[derive(Clone, PartialEq, Eq, Hash, Default)]
struct Configuration {
    revision: u64,
    taken: BTreeSet<String>,
}

impl SequentialObject for Configuration {
    type Operation = Intent;
    type Response = Response;

    fn step(&self, operation: &Intent, response: Option<&Response>) -> Option<Configuration> {
        let Intent::Change { id, based, revision } = operation else {
            let is_right = response.is_none_or(|told| *told == Response::Revision(self.revision));
            return is_right.then(|| self.clone());
        };
        let mut after = self.clone();
        let right = if self.taken.contains(id) {
            Response::Taken
        } else if *based != self.revision {
            Response::Conflict
        } else if *revision <= self.revision {
            Response::NotAbove
        } else {
            after.revision = *revision;
            after.taken.insert(id.clone());
            Response::Taken
        };
        response.is_none_or(|told| *told == right).then_some(after)
    }
}

/// Whether a zone is evacuated.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Zone(bool);

impl SequentialObject for Zone {
    type Operation = Intent;
    type Response = Response;

    fn step(&self, operation: &Intent, response: Option<&Response>) -> Option<Zone> {
        let (right, after) = match operation {
            Intent::SetZone { is_evacuated, .. } => (Response::Taken, *is_evacuated),
            _ => (Response::IsEvacuated(self.0), self.0),
        };
        response.is_none_or(|told| *told == right).then_some(Zone(after))
    }
}

struct Record {
    operator: usize,
    call: Call<Intent, Response>,
}

/// The calls of all operators.
#[derive(Default)]
pub(super) struct History {
    records: Vec<Record>,
    clock: u64,
}

impl History {
    fn tick(&mut self) -> u64 {
        self.clock += 1;
        self.clock
    }

    /// Returns the call's place.
    pub(super) fn invoke(&mut self, operator: usize, intent: Intent) -> usize {
        let invoked = self.tick();
        let call = Call { operation: intent, invoked, returned: None, expires: u64::MAX };
        self.records.push(Record { operator, call });
        self.records.len() - 1
    }

    /// A later order of the same operator for the same zone ends the time of those
    /// that it gave up before.
    pub(super) fn respond(&mut self, place: usize, response: Response) {
        let now = self.tick();
        self.records[place].call.returned = Some((response, now));
        let Intent::SetZone { zone, .. } = self.records[place].call.operation else { return };
        let operator = self.records[place].operator;
        let is_same = |operation: &Intent| matches!(operation, Intent::SetZone { zone: other, .. } if *other == zone);
        for earlier in &mut self.records[..place] {
            let call = &mut earlier.call;
            if earlier.operator == operator && call.returned.is_none() && is_same(&call.operation) {
                call.expires = call.expires.min(now);
            }
        }
    }

    pub(super) fn answered(&self) -> usize {
        self.records.iter().filter(|record| record.call.returned.is_some()).count()
    }

    pub(super) fn unanswered(&self) -> usize {
        self.records.len() - self.answered()
    }

    /// Judges the configuration and each zone by itself: linearizability of the
    /// parts is that of the whole.
    pub(super) fn judge(&self) -> Result<(), String> {
        let mut configuration = Vec::new();
        let mut zones: BTreeMap<u64, Vec<Call<Intent, Response>>> = BTreeMap::new();
        for Record { call, .. } in &self.records {
            match call.operation {
                Intent::Change { .. } | Intent::ReadConfiguration => {
                    configuration.push(call.clone())
                }
                Intent::SetZone { zone, .. } | Intent::ReadZone { zone } => {
                    zones.entry(zone).or_default().push(call.clone())
                }
            }
        }
        if !is_linearizable(Configuration::default(), &configuration) {
            return Err(format!("the configuration's history: {configuration:#?}"));
        }
        for (zone, calls) in zones {
            if !is_linearizable(Zone(false), &calls) {
                return Err(format!("zone-{zone}'s history: {calls:#?}"));
            }
        }
        Ok(())
    }
}
