//! Tenants come not much past their pace, and are not refused within it: judged by
//! a bucket that sees every arrival in its order.

use super::evidence::Evidence;
use super::line::{number, text};
use super::{Findings, Rule};
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// How long a job may wait for its tenant's pace, in microseconds.
const QUEUE: u64 = 1_000_000;
/// How much past its pace, over its burst, a tenant may come.
const PAST_PACE: f64 = 1.1;

/// Jobs a second, and the burst.
#[derive(Clone, Copy)]
struct Quota {
    pace: f64,
    burst: f64,
}

pub fn check(evidence: &Evidence, findings: &mut Findings) {
    let admitted = admitted(evidence);
    for (tenant, (pace, burst)) in &evidence.ground.paces {
        let quota = Quota {
            pace: *pace as f64,
            burst: *burst as f64,
        };
        let callers = &evidence.journals.callers;
        let mut lines: Vec<&OwnedValue> = callers
            .iter()
            .filter(|line| text(line, "tenant") == tenant)
            .collect();
        lines.sort_by_key(|line| number(line, "at"));
        check_refused(tenant, quota, &lines, findings);
        let times = times_let_in(evidence, &admitted, &lines);
        check_passed(tenant, quota, &times, findings);
    }
}

/// When nodes admitted each job.
fn admitted<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, u64> {
    let lines = evidence.journals.nodes.iter();
    lines
        .filter(|line| text(line, "what") == "admitted")
        .map(|line| (text(line, "job"), number(line, "at")))
        .collect()
}

/// When each job came, and what the bucket held then.
fn bucket_levels(quota: Quota, lines: &[&OwnedValue]) -> Vec<(u64, f64)> {
    let mut levels = Vec::new();
    let mut level = quota.burst;
    let mut before = lines.first().map_or(0, |line| number(line, "at"));
    for line in lines {
        let at = number(line, "at");
        level = (level + (at - before) as f64 / 1e6 * quota.pace).min(quota.burst);
        before = at;
        levels.push((at, level));
        if level >= 1.0 {
            level -= 1.0;
        }
    }
    levels
}

fn check_refused(tenant: &str, quota: Quota, lines: &[&OwnedValue], findings: &mut Findings) {
    let levels = bucket_levels(quota, lines);
    // A job waits among those that come with it; who is past its quota within
    // that time was not within it.
    let is_within = |first: usize| {
        let (from, _) = levels[first];
        let mut near = levels[first..]
            .iter()
            .take_while(|(at, _)| *at <= from + QUEUE);
        near.all(|(_, level)| *level >= quota.burst / 2.0)
    };
    let is_wrong =
        |(at, line): &(usize, &&OwnedValue)| text(line, "code") == "quota" && is_within(*at);
    let refused = lines.iter().enumerate().filter(is_wrong).count();
    if refused > 0 {
        let text = format!("{tenant} was refused {refused} times while within its quota");
        findings.add(Rule::QuotaRefused, text);
    }
}

/// When each job was let in, or, where nobody wrote that, when it came to an
/// engine: some wait for room between.
fn times_let_in(
    evidence: &Evidence,
    admitted: &BTreeMap<&str, u64>,
    lines: &[&OwnedValue],
) -> Vec<u64> {
    let let_in = |line: &&OwnedValue| {
        let id = text(line, "job");
        let record = evidence.by_job.get(id)?;
        let came = record
            .received
            .iter()
            .map(|line| number(line, "at"))
            .min()?;
        Some(admitted.get(id).copied().unwrap_or(came))
    };
    let mut times: Vec<u64> = lines.iter().filter_map(let_in).collect();
    times.sort_unstable();
    times
}

fn check_passed(tenant: &str, quota: Quota, times: &[u64], findings: &mut Findings) {
    // How far past, with how many jobs, in how many seconds.
    let mut worst = (0.0, 0, 0.0);
    for (first, from) in times.iter().enumerate() {
        for (count, until) in times[first..].iter().enumerate() {
            let seconds = (until - from) as f64 / 1e6;
            let allowed = (quota.burst + seconds * quota.pace) * PAST_PACE + 1.0;
            let past = (count + 1) as f64 - allowed;
            if past > worst.0 {
                worst = (past, count + 1, seconds);
            }
        }
    }
    if worst.0 > 0.0 {
        let (_, count, seconds) = worst;
        let pace = quota.pace;
        let text = format!("{tenant} got {count} jobs in {seconds:.1} s at a pace of {pace}");
        findings.add(Rule::QuotaPassed, text);
    }
}
