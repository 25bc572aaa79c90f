//! The calls of all operators with their responses, and the sequential objects that they are
//! checked against: the configuration, and each zone.

use crate::linearizability::{is_linearizable, Call, SequentialObject};
use std::collections::{BTreeMap, BTreeSet};

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Intent {
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

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Response {
    Applied,
    /// It builds on another revision than the one in force.
    Conflict,
    /// Its number is not above the one in force.
    RevisionNotAbove,
    Revision(u64),
    IsEvacuated(bool),
    /// The outcome is unknown; it is to be sent again.
    RetryLater,
}

/// A compare-and-set register that recognizes repeats.
#[derive(Clone, PartialEq, Eq, Hash, Default)]
struct Configuration {
    revision: u64,
    taken: BTreeSet<String>,
}

impl SequentialObject for Configuration {
    type Operation = Intent;
    type Response = Response;

    fn step(&self, operation: &Intent, response: Option<&Response>) -> Option<Configuration> {
        let Intent::Change {
            id,
            based,
            revision,
        } = operation
        else {
            let is_right = response.is_none_or(|seen| *seen == Response::Revision(self.revision));
            return is_right.then(|| self.clone());
        };
        let mut after = self.clone();
        let right = if self.taken.contains(id) {
            Response::Applied
        } else if *based != self.revision {
            Response::Conflict
        } else if *revision <= self.revision {
            Response::RevisionNotAbove
        } else {
            after.revision = *revision;
            after.taken.insert(id.clone());
            Response::Applied
        };
        response.is_none_or(|seen| *seen == right).then_some(after)
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
            Intent::SetZone { is_evacuated, .. } => (Response::Applied, *is_evacuated),
            _ => (Response::IsEvacuated(self.0), self.0),
        };
        response
            .is_none_or(|seen| *seen == right)
            .then_some(Zone(after))
    }
}

/// How much of a history is shown when it is wrong.
const CALLS_SHOWN: usize = 16;

struct Record {
    call: Call<Intent, Response>,
    /// When its operator stopped waiting for it.
    abandoned_at: u64,
}

/// The calls of all operators. A change is one call with all its repeats, which the
/// nodes recognize. Each attempt of an order for a zone is a call of its own.
#[derive(Default)]
pub(crate) struct History {
    records: Vec<Record>,
    clock: u64,
}

impl History {
    fn tick(&mut self) -> u64 {
        self.clock += 1;
        self.clock
    }

    /// Returns the call's index.
    pub(crate) fn invoke(&mut self, intent: Intent) -> usize {
        let invoked = self.tick();
        let call = Call {
            operation: intent,
            invoked,
            returned: None,
            expires: u64::MAX,
        };
        self.records.push(Record {
            call,
            abandoned_at: u64::MAX,
        });
        self.records.len() - 1
    }

    /// The operator waits for this call no longer.
    pub(crate) fn abandon(&mut self, index: usize) {
        self.records[index].abandoned_at = self.tick();
    }

    /// An order that was begun after others for its zone had been given up fences
    /// them: they took effect before it is answered, or never will.
    pub(crate) fn respond(&mut self, index: usize, response: Response) {
        let now = self.tick();
        let call = &mut self.records[index].call;
        call.returned = Some((response, now));
        let invoked = call.invoked;
        let Intent::SetZone { zone, .. } = call.operation else {
            return;
        };
        let is_same = |operation: &Intent| matches!(operation, Intent::SetZone { zone: other, .. } if *other == zone);
        for earlier in &mut self.records[..index] {
            let is_fenced = earlier.abandoned_at < invoked && is_same(&earlier.call.operation);
            if is_fenced && earlier.call.returned.is_none() {
                earlier.call.expires = earlier.call.expires.min(now);
            }
        }
    }

    pub(crate) fn answered(&self) -> usize {
        self.records
            .iter()
            .filter(|record| record.call.returned.is_some())
            .count()
    }

    pub(crate) fn unanswered(&self) -> usize {
        self.records.len() - self.answered()
    }

    /// Checks the configuration and each zone by itself: a history is linearizable if
    /// and only if it is so for each object.
    pub(crate) fn check(&self) -> Result<(), String> {
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
        check_object(
            "the configuration",
            Configuration::default(),
            &configuration,
        )?;
        for (zone, calls) in zones {
            check_object(&format!("zone-{zone}"), Zone(false), &calls)?;
        }
        Ok(())
    }
}

type Calls = [Call<Intent, Response>];

/// On failure, says which response can't be explained and what came before it.
fn check_object<S>(name: &str, initial: S, calls: &Calls) -> Result<(), String>
where
    S: SequentialObject<Operation = Intent, Response = Response>,
{
    if is_linearizable(initial.clone(), calls) {
        return Ok(());
    }
    let mut ends: Vec<u64> = calls
        .iter()
        .filter_map(|call| Some(call.returned.as_ref()?.1))
        .collect();
    ends.sort_unstable();
    let holds = |end: &u64| is_linearizable(initial.clone(), &until(calls, *end));
    let first_wrong = ends[ends.partition_point(holds)];
    let mut known = until(calls, first_wrong);
    let shown = known.split_off(known.len().saturating_sub(CALLS_SHOWN));
    let shown: Vec<String> = shown.iter().map(describe).collect();
    Err(format!(
        "{name} at event {first_wrong}, after:\n{}",
        shown.join("\n")
    ))
}

/// The history as it was known at an event.
fn until(calls: &Calls, end: u64) -> Vec<Call<Intent, Response>> {
    let mut known: Vec<_> = calls
        .iter()
        .filter(|call| call.invoked <= end)
        .cloned()
        .collect();
    for call in &mut known {
        call.returned = call.returned.take().filter(|(_, at)| *at <= end);
        if call.expires > end {
            call.expires = u64::MAX;
        }
    }
    known
}

fn describe(call: &Call<Intent, Response>) -> String {
    let Call {
        operation,
        invoked,
        returned,
        expires,
    } = call;
    match returned {
        Some((response, end)) => format!("  {invoked}..{end}: {operation:?} -> {response:?}"),
        None if *expires == u64::MAX => format!("  {invoked}..: {operation:?} -> unknown"),
        None => format!("  {invoked}..: {operation:?} -> unknown, void from {expires} on"),
    }
}
