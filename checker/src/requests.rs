//! What callers saw of their jobs, against what engines ran.

use super::changes::allows;
use super::evidence::{EngineRecord, Evidence};
use super::line::{flag, number, text};
use super::{Findings, Rule, APPLY};
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Refusals after which a caller is to be told when to come again.
const RETRYABLE: [u64; 5] = [408, 429, 502, 503, 504];

pub fn check(evidence: &Evidence, findings: &mut Findings) {
    for line in &evidence.journals.callers {
        let record = evidence.by_job.get(text(line, "job"));
        check_outcome(evidence, line, record, findings);
        check_homes(evidence, line, record, findings);
    }
    check_runs(evidence, findings);
}

fn check_outcome(
    evidence: &Evidence,
    line: &OwnedValue,
    record: Option<&EngineRecord>,
    findings: &mut Findings,
) {
    let id = text(line, "job");
    match text(line, "seen") {
        "refused" => check_refusal(line, record, findings),
        "whole" => {
            check_whole(line, record, findings);
            check_key(evidence, line, findings);
        }
        "wrong" => findings.add(
            Rule::OneRunWhole,
            format!("job {id}: {}", text(line, "text")),
        ),
        _ => {}
    }
}

fn check_refusal(line: &OwnedValue, record: Option<&EngineRecord>, findings: &mut Findings) {
    let (id, outcome) = (text(line, "job"), text(line, "outcome"));
    let has_run = record.is_some_and(|record| !record.begun.is_empty());
    if outcome == "not-run" && has_run {
        let text = format!("job {id} was refused not-run, and run");
        return findings.add(Rule::NotRunMeansNotRun, text);
    }
    if !matches!(outcome, "not-run" | "unknown") {
        let text = format!("job {id} was refused without an outcome");
        return findings.add(Rule::NotRunMeansNotRun, text);
    }
    let status = number(line, "status");
    if RETRYABLE.contains(&status) && number(line, "retry_after") == 0 {
        let code = text(line, "code");
        findings.add(
            Rule::RetryAfter,
            format!("job {id}: {status} {code} says not when"),
        );
    }
}

fn check_whole(line: &OwnedValue, record: Option<&EngineRecord>, findings: &mut Findings) {
    let run = (text(line, "engine"), number(line, "run"));
    let is_one = |record: &EngineRecord| record.begun.contains(&run) && record.ended.contains(&run);
    if !record.is_some_and(is_one) {
        let (id, (engine, run)) = (text(line, "job"), run);
        let text = format!("job {id} got a whole answer that {engine} did not end as run {run}");
        findings.add(Rule::OneRunWhole, text);
    }
}

fn check_key(evidence: &Evidence, line: &OwnedValue, findings: &mut Findings) {
    let id = text(line, "job");
    // By when it was sent on; it may have waited at a frozen door.
    let sent = evidence
        .dispatched
        .get(&(id, text(line, "engine")))
        .and_then(|at| at.last());
    let at = sent.copied().unwrap_or(number(line, "at"));
    let is_late = evidence.removed_keys.iter().any(|(tenant, from, until)| {
        tenant == text(line, "tenant") && at > from + APPLY && at < *until
    });
    if is_late {
        let text = format!("job {id} was let in by a key that was taken away");
        findings.add(Rule::KeyTaken, text);
    }
}

/// No engine outside the tenant's homes gets a job.
fn check_homes(
    evidence: &Evidence,
    line: &OwnedValue,
    record: Option<&EngineRecord>,
    findings: &mut Findings,
) {
    let Some(homes) = evidence.homes.get(text(line, "tenant")) else {
        return;
    };
    let id = text(line, "job");
    for received in record.into_iter().flat_map(|record| &record.received) {
        let engine = text(received, "engine");
        let region = evidence
            .ground
            .engine_regions
            .get(engine)
            .map_or("", String::as_str);
        if !allows(homes, number(received, "at"), region) {
            findings.add(
                Rule::Homes,
                format!("job {id} reached {engine}, outside its homes"),
            );
        }
    }
}

/// A job that must not be repeated runs once, over all its caller's rounds.
fn check_runs(evidence: &Evidence, findings: &mut Findings) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in evidence
        .journals
        .callers
        .iter()
        .filter(|line| flag(line, "once", true))
    {
        let id = text(line, "job");
        let root = match text(line, "root") {
            "" => id,
            root => root,
        };
        *runs.entry(root).or_default() += evidence
            .by_job
            .get(id)
            .map_or(0, |record| record.begun.len());
    }
    for (root, count) in runs.iter().filter(|(_, count)| **count > 1) {
        findings.add(Rule::NotTwice, format!("job {root} was run {count} times"));
    }
}
