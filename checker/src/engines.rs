//! What engines got: nothing while they are drained or their zone is evacuated, no more than
//! their set point, and little while they are cold.

use crate::deployment::Deployment;
use crate::evidence::Evidence;
use crate::fields::{flag, number, text};
use crate::findings::{Findings, Rule};
use crate::timeline::ClosedInterval;
use placement::SlowStart;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// How long after its acknowledgement a drain may take.
const DRAIN_LIMIT_US: u64 = 4_000_000;
/// How long after its acknowledgement an evacuation may take.
const EVACUATION_LIMIT_US: u64 = 5_000_000;
/// The age of a load report; it explains what an engine has past its set point.
const LOAD_REPORT_AGE_US: u64 = 500_000;

/// Engines write of these events alone.
pub(crate) fn check_events(evidence: &Evidence, findings: &mut Findings) {
    for line in &evidence.journals.engines {
        match text(line, "event") {
            "received" | "begun-warm" | "begun-cold" | "ended" => {}
            "declined" | "cancelled" | "broken-body" | "started" => {}
            other => findings.add(Rule::MalformedJournal, format!("an engine wrote {other:?}")),
        }
    }
}

/// No request is sent to an engine that is drained, or whose zone is evacuated.
pub(crate) fn check_drained(evidence: &Evidence, findings: &mut Findings) {
    let lines = &evidence.journals.engines;
    for line in lines
        .iter()
        .filter(|line| text(line, "event") == "received")
    {
        let (engine, id, arrived) = (text(line, "engine"), text(line, "job"), number(line, "at"));
        let before = evidence.dispatched.get(&(id, engine)).into_iter().flatten();
        let at = before
            .filter(|at| **at <= arrived)
            .max()
            .copied()
            .unwrap_or(arrived);
        if is_closed(&evidence.drained_engines, engine, at, DRAIN_LIMIT_US) {
            findings.add(
                Rule::Drained,
                format!("{engine} got request {id} while drained"),
            );
        }
        let zone = evidence
            .deployment
            .engine_zones
            .get(engine)
            .map_or("", |zone| zone.as_str());
        if is_closed(&evidence.evacuated_zones, zone, at, EVACUATION_LIMIT_US) {
            findings.add(
                Rule::Evacuated,
                format!("{engine} got request {id} in {zone}"),
            );
        }
    }
}

fn is_closed(intervals: &[ClosedInterval], name: &str, at_us: u64, limit_us: u64) -> bool {
    intervals
        .iter()
        .any(|interval| interval.is_in_force(name, at_us, limit_us))
}

/// No engine gets more than its slow start and its set point allow.
pub(crate) fn check_load(evidence: &Evidence, findings: &mut Findings) {
    let engines = &evidence.journals.engines;
    for (engine, text) in overloaded_cold_engines(evidence.deployment, engines) {
        findings.add(Rule::SlowStart, format!("{engine} {text}"));
    }
    for (engine, text) in overloaded(evidence.deployment, engines) {
        findings.add(Rule::EngineOverload, format!("{engine} {text}"));
    }
}

/// The lines of each engine in their order.
fn by_engine(engines: &[OwnedValue]) -> BTreeMap<&str, Vec<&OwnedValue>> {
    let mut lines: BTreeMap<&str, Vec<&OwnedValue>> = BTreeMap::new();
    for line in engines {
        lines.entry(text(line, "engine")).or_default().push(line);
    }
    lines
        .values_mut()
        .for_each(|lines| lines.sort_by_key(|line| number(line, "at")));
    lines
}

/// Engines that ran more at once during a cold start than their responses until then
/// allow: the worst moment of each.
fn overloaded_cold_engines(
    deployment: &Deployment,
    engines: &[OwnedValue],
) -> Vec<(String, String)> {
    let mut worst = Vec::new();
    for (name, lines) in by_engine(engines) {
        let set_point = deployment
            .engine_slots
            .get(name)
            .map_or(0, |slots| slots.set_point) as u32;
        // Running and completed; none while warm.
        let mut cold: Option<(u32, u32)> = None;
        let mut most: Option<(u32, u32, u32)> = None;
        for line in lines {
            let event = text(line, "event");
            if event == "started" {
                cold = flag(line, "cold", false).then_some((0, 0));
            }
            let Some((running, completed)) = &mut cold else {
                continue;
            };
            match event {
                "begun-warm" | "begun-cold" => *running += 1,
                "ended" | "cancelled" => {
                    *running = running.saturating_sub(1);
                    *completed += 1;
                }
                _ => {}
            }
            let limit = SlowStart::after_responses(*completed).limit(set_point);
            if limit == set_point {
                cold = None;
            } else if *running > limit && most.is_none_or(|(past, ..)| *running - limit > past) {
                most = Some((*running - limit, *running, limit));
            }
        }
        worst.extend(most.map(|(_, running, limit)| {
            (
                name.to_string(),
                format!("ran {running} at once while cold, {limit} are allowed"),
            )
        }));
    }
    worst
}

/// Engines that held more than their set point, leaving out what came within the age that
/// a load report may have: the worst moment of each.
fn overloaded(deployment: &Deployment, engines: &[OwnedValue]) -> Vec<(String, String)> {
    let mut worst = Vec::new();
    for (name, lines) in by_engine(engines) {
        let Some(slots) = deployment.engine_slots.get(name).copied() else {
            continue;
        };
        let mut held: BTreeMap<&str, u64> = BTreeMap::new();
        let mut most = (0, 0);
        for line in lines {
            let at = number(line, "at");
            match text(line, "event") {
                "started" => held.clear(),
                "received" => drop(held.insert(text(line, "job"), at)),
                "begun-warm" | "begun-cold" => {}
                _ => drop(held.remove(text(line, "job"))),
            }
            let old = held
                .values()
                .filter(|came| **came + LOAD_REPORT_AGE_US < at)
                .count() as u64;
            most = most.max((old, held.len() as u64));
        }
        if most.0 > slots.set_point {
            let text = format!(
                "held {} of {} slots for over 500 ms, {} are its set point",
                most.0, slots.total, slots.set_point
            );
            worst.push((name.to_string(), text));
        }
    }
    worst
}
