//! The journals, sorted and indexed once for all rules.

use crate::deployment::Deployment;
use crate::fields::{number, text};
use crate::journals::{log_messages, Journals};
use crate::timeline::{closed_intervals, home_histories, ClosedInterval, Commands, HomeHistory};
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// One run of a request: the engine, and the engine's number for it.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Run<'a> {
    pub(crate) engine: &'a str,
    pub(crate) number: u64,
}

/// What engines wrote of one request.
#[derive(Default)]
pub(crate) struct EngineRecord<'a> {
    pub(crate) received: Vec<&'a OwnedValue>,
    pub(crate) begun: Vec<Run<'a>>,
    pub(crate) ended: Vec<Run<'a>>,
}

/// The journals by request, tenant, engine and zone.
pub(crate) struct Evidence<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) journals: &'a Journals,
    /// What engines wrote, by request.
    pub(crate) by_request: BTreeMap<&'a str, EngineRecord<'a>>,
    /// What its client wrote, by request.
    pub(crate) clients: BTreeMap<&'a str, &'a OwnedValue>,
    /// When a node sent a request to an engine, by request and engine. What was sent in
    /// time may arrive late, because of the network or an engine that froze.
    pub(crate) dispatched: BTreeMap<(&'a str, &'a str), Vec<u64>>,
    /// When clients sent their requests, in order.
    pub(crate) arrivals: Vec<u64>,
    /// Operators' lines with an epoch, in the order of their acknowledgements.
    pub(crate) acknowledged: Vec<&'a OwnedValue>,
    pub(crate) drained_engines: Vec<ClosedInterval>,
    pub(crate) evacuated_zones: Vec<ClosedInterval>,
    /// Tenants whose key was revoked.
    pub(crate) revoked_keys: Vec<ClosedInterval>,
    /// By tenant.
    pub(crate) homes: BTreeMap<String, HomeHistory>,
}

const DRAIN: Commands = Commands {
    begin: "engine-state draining",
    end: &["engine-state serving", "engine"],
    name_field: "name",
};
const EVACUATION: Commands = Commands {
    begin: "evacuate",
    end: &["give-back"],
    name_field: "zone",
};
const KEY_REVOCATION: Commands = Commands {
    begin: "key-gone",
    end: &["key"],
    name_field: "tenant",
};

impl<'a> Evidence<'a> {
    pub(crate) fn new(deployment: &'a Deployment, journals: &'a Journals) -> Evidence<'a> {
        let operators = &journals.operators;
        Evidence {
            deployment,
            journals,
            by_request: by_request(journals),
            clients: journals
                .clients
                .iter()
                .map(|line| (text(line, "job"), line))
                .collect(),
            dispatched: dispatched(journals),
            arrivals: arrivals(journals),
            acknowledged: acknowledged(journals),
            drained_engines: closed_intervals(operators, &DRAIN),
            evacuated_zones: closed_intervals(operators, &EVACUATION),
            revoked_keys: closed_intervals(operators, &KEY_REVOCATION),
            homes: home_histories(deployment, operators),
        }
    }
}

fn by_request(journals: &Journals) -> BTreeMap<&str, EngineRecord<'_>> {
    let mut by_request: BTreeMap<&str, EngineRecord> = BTreeMap::new();
    for line in &journals.engines {
        let record = by_request.entry(text(line, "job")).or_default();
        let run = Run {
            engine: text(line, "engine"),
            number: number(line, "run"),
        };
        match text(line, "event") {
            "received" => record.received.push(line),
            "begun-warm" | "begun-cold" => record.begun.push(run),
            "ended" => record.ended.push(run),
            _ => {}
        }
    }
    by_request
}

fn dispatched(journals: &Journals) -> BTreeMap<(&str, &str), Vec<u64>> {
    let mut dispatched: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    for line in journals
        .nodes
        .iter()
        .filter(|line| text(line, "what") == log_messages::DISPATCHED)
    {
        let key = (text(line, "job"), text(line, "engine"));
        dispatched.entry(key).or_default().push(number(line, "at"));
    }
    dispatched
}

fn arrivals(journals: &Journals) -> Vec<u64> {
    let mut arrivals: Vec<u64> = journals
        .clients
        .iter()
        .map(|line| number(line, "at"))
        .collect();
    arrivals.sort_unstable();
    arrivals
}

fn acknowledged(journals: &Journals) -> Vec<&OwnedValue> {
    let mut lines: Vec<&OwnedValue> = journals
        .operators
        .iter()
        .filter(|line| number(line, "epoch") > 0)
        .collect();
    lines.sort_by_key(|line| number(line, "acknowledged"));
    lines
}
