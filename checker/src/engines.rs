//! What engines got: nothing while they or their zone are left, no more than their
//! set point, and little while they are cold.

use super::evidence::Evidence;
use super::line::{flag, number, text};
use super::{Findings, Ground, Rule, Span};
use placement::SlowStart;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Bounds in microseconds, from an acknowledgement on.
const DRAIN: u64 = 4_000_000;
const EVACUATE: u64 = 5_000_000;
/// The age of vitals that explains what an engine has past its set point.
const VITALS: u64 = 500_000;

/// No job is sent to an engine that is drained, or whose zone is evacuated.
pub fn check_closed(evidence: &Evidence, findings: &mut Findings) {
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
        if is_closed(&evidence.drained_engines, engine, at, DRAIN) {
            findings.add(
                Rule::Leaving,
                format!("{engine} got job {id} while leaving"),
            );
        }
        let zone = evidence
            .ground
            .engine_zones
            .get(engine)
            .map_or("", |zone| zone.as_str());
        if is_closed(&evidence.evacuated_zones, zone, at, EVACUATE) {
            findings.add(Rule::Evacuated, format!("{engine} got job {id} in {zone}"));
        }
    }
}

fn is_closed(spans: &[Span], name: &str, at: u64, bound: u64) -> bool {
    spans
        .iter()
        .any(|(who, from, until)| who == name && at > from + bound && at < *until)
}

/// Nor does one get more than it may have.
pub fn check_load(evidence: &Evidence, findings: &mut Findings) {
    let engines = &evidence.journals.engines;
    for (engine, text) in cold_starts(evidence.ground, engines) {
        findings.add(Rule::Flooded, format!("{engine} {text}"));
    }
    for (engine, text) in overfull(evidence.ground, engines) {
        findings.add(Rule::Overfull, format!("{engine} {text}"));
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

/// Cold starts in which an engine ran more at once than its answers until then
/// allow: the worst moment of each.
fn cold_starts(ground: &Ground, engines: &[OwnedValue]) -> Vec<(String, String)> {
    let mut worst = Vec::new();
    for (name, lines) in by_engine(engines) {
        let point = ground.engine_slots.get(name).map_or(0, |slots| slots.1) as u32;
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
            let limit = SlowStart::after_responses(*completed).limit(point);
            if limit == point {
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

/// Engines that held more than their set point, leaving out what came within
/// the age that vitals may have: the worst moment of each.
fn overfull(ground: &Ground, engines: &[OwnedValue]) -> Vec<(String, String)> {
    let mut worst = Vec::new();
    for (name, lines) in by_engine(engines) {
        let Some((slots, point)) = ground.engine_slots.get(name).copied() else {
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
            let old = held.values().filter(|came| **came + VITALS < at).count() as u64;
            most = most.max((old, held.len() as u64));
        }
        if most.0 > point {
            let text = format!(
                "held {} of {slots} slots for over 500 ms, {point} are its set point",
                most.0
            );
            worst.push((name.to_string(), text));
        }
    }
    worst
}
