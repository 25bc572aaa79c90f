//! The journals, put in order once for all rules.

use super::changes::{closed_spans, homes_over_time, Homes, Span};
use super::line::{number, text};
use super::{Ground, Journals};
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// One run of a job: the engine, and the engine's number for it.
pub type Run<'a> = (&'a str, u64);

/// What engines wrote of one job.
#[derive(Default)]
pub struct EngineRecord<'a> {
    pub received: Vec<&'a OwnedValue>,
    pub begun: Vec<Run<'a>>,
    pub ended: Vec<Run<'a>>,
}

/// What is known of a day, by job, tenant, engine and zone.
pub struct Evidence<'a> {
    pub ground: &'a Ground,
    pub journals: &'a Journals,
    /// What engines wrote, by job.
    pub by_job: BTreeMap<&'a str, EngineRecord<'a>>,
    /// What its caller wrote, by job.
    pub callers: BTreeMap<&'a str, &'a OwnedValue>,
    /// When a process sent a job to an engine. What was sent in time may arrive
    /// late, by the network or by an engine that froze: it is judged by these.
    pub dispatched: BTreeMap<(&'a str, &'a str), Vec<u64>>,
    /// When callers called, in order.
    pub arrivals: Vec<u64>,
    /// Operators' lines with an epoch, in the order of their acknowledgements.
    pub acknowledged: Vec<&'a OwnedValue>,
    pub drained_engines: Vec<Span>,
    pub evacuated_zones: Vec<Span>,
    /// Tenants whose key was taken away.
    pub removed_keys: Vec<Span>,
    /// By tenant.
    pub homes: BTreeMap<String, Homes>,
}

impl<'a> Evidence<'a> {
    pub fn of(ground: &'a Ground, journals: &'a Journals) -> Evidence<'a> {
        let operators = &journals.operators;
        let drain_ends = ["engine-state serving", "engine"];
        Evidence {
            ground,
            journals,
            by_job: by_job(journals),
            callers: journals
                .callers
                .iter()
                .map(|line| (text(line, "job"), line))
                .collect(),
            dispatched: dispatched(journals),
            arrivals: arrivals(journals),
            acknowledged: acknowledged(journals),
            drained_engines: closed_spans(operators, "engine-state draining", &drain_ends, "name"),
            evacuated_zones: closed_spans(operators, "evacuate", &["give-back"], "zone"),
            removed_keys: closed_spans(operators, "key-gone", &["key"], "tenant"),
            homes: homes_over_time(ground, operators),
        }
    }
}

fn by_job(journals: &Journals) -> BTreeMap<&str, EngineRecord<'_>> {
    let mut by_job: BTreeMap<&str, EngineRecord> = BTreeMap::new();
    for line in &journals.engines {
        let record = by_job.entry(text(line, "job")).or_default();
        let run = (text(line, "engine"), number(line, "run"));
        match text(line, "event") {
            "received" => record.received.push(line),
            "begun-warm" | "begun-cold" => record.begun.push(run),
            "ended" => record.ended.push(run),
            _ => {}
        }
    }
    by_job
}

fn dispatched(journals: &Journals) -> BTreeMap<(&str, &str), Vec<u64>> {
    let mut dispatched: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    for line in journals
        .nodes
        .iter()
        .filter(|line| text(line, "what") == "dispatched")
    {
        let key = (text(line, "job"), text(line, "engine"));
        dispatched.entry(key).or_default().push(number(line, "at"));
    }
    dispatched
}

fn arrivals(journals: &Journals) -> Vec<u64> {
    let mut arrivals: Vec<u64> = journals
        .callers
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
