//! The responses that clients got, against what engines ran.

use crate::evidence::{EngineRecord, Evidence, Run};
use crate::fields::{flag, number, text};
use crate::findings::{Findings, Rule};
use crate::timeline::PROPAGATION_LIMIT_US;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Status codes of refusals that must say when to come back.
const RETRYABLE: [u64; 5] = [408, 429, 502, 503, 504];

pub(crate) fn check(evidence: &Evidence, findings: &mut Findings) {
    for line in &evidence.journals.clients {
        let record = evidence.by_request.get(text(line, "job"));
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
            check_complete(line, record, findings);
            check_key(evidence, line, findings);
        }
        "wrong" => findings.add(
            Rule::CompleteResponse,
            format!("request {id}: {}", text(line, "text")),
        ),
        _ => {}
    }
}

fn check_refusal(line: &OwnedValue, record: Option<&EngineRecord>, findings: &mut Findings) {
    let (id, outcome) = (text(line, "job"), text(line, "outcome"));
    let has_run = record.is_some_and(|record| !record.begun.is_empty());
    if outcome == "not-run" && has_run {
        let text = format!("request {id} was refused not-run, and run");
        return findings.add(Rule::NotRunMeansNotRun, text);
    }
    if !matches!(outcome, "not-run" | "unknown") {
        let text = format!("request {id} was refused without an outcome");
        return findings.add(Rule::NotRunMeansNotRun, text);
    }
    let status = number(line, "status");
    if RETRYABLE.contains(&status) && number(line, "retry_after") == 0 {
        let code = text(line, "code");
        findings.add(
            Rule::RetryAfter,
            format!("request {id}: {status} {code} does not say when to come back"),
        );
    }
}

fn check_complete(line: &OwnedValue, record: Option<&EngineRecord>, findings: &mut Findings) {
    let run = Run {
        engine: text(line, "engine"),
        number: number(line, "run"),
    };
    let is_one = |record: &EngineRecord| record.begun.contains(&run) && record.ended.contains(&run);
    if !record.is_some_and(is_one) {
        let (id, Run { engine, number }) = (text(line, "job"), run);
        let text = format!(
            "request {id} got a complete response that {engine} did not end as run {number}"
        );
        findings.add(Rule::CompleteResponse, text);
    }
}

fn check_key(evidence: &Evidence, line: &OwnedValue, findings: &mut Findings) {
    let id = text(line, "job");
    // By when it was dispatched; it may have waited at a frozen router.
    let sent = evidence
        .dispatched
        .get(&(id, text(line, "engine")))
        .and_then(|at| at.last());
    let at = sent.copied().unwrap_or(number(line, "at"));
    let tenant = text(line, "tenant");
    let mut revocations = evidence.revoked_keys.iter();
    let is_late = revocations.any(|key| key.is_in_force(tenant, at, PROPAGATION_LIMIT_US));
    if is_late {
        let text = format!("request {id} was admitted by a revoked key");
        findings.add(Rule::RevokedKey, text);
    }
}

/// No engine outside the tenant's home regions gets a request.
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
            .deployment
            .engine_regions
            .get(engine)
            .map_or("", String::as_str);
        if !homes.allows(number(received, "at"), region) {
            findings.add(
                Rule::HomeRegions,
                format!("request {id} reached {engine}, outside its home regions"),
            );
        }
    }
}

/// A request that must not be repeated runs once, over all its client's attempts.
fn check_runs(evidence: &Evidence, findings: &mut Findings) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in evidence
        .journals
        .clients
        .iter()
        .filter(|line| flag(line, "once", true))
    {
        let id = text(line, "job");
        let root = match text(line, "root") {
            "" => id,
            root => root,
        };
        *runs.entry(root).or_default() += evidence
            .by_request
            .get(id)
            .map_or(0, |record| record.begun.len());
    }
    for (root, count) in runs.iter().filter(|(_, count)| **count > 1) {
        findings.add(
            Rule::AtMostOnce,
            format!("request {root} was run {count} times"),
        );
    }
}
