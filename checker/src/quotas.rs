//! Tenants get not much more than their quota, and are not refused within it: judged by a
//! token bucket that sees every arrival in its order.

use crate::deployment::Quota;
use crate::evidence::Evidence;
use crate::fields::{number, text};
use crate::findings::{Findings, Rule};
use crate::journals::log_messages;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// How long a request may wait for its tenant's quota.
const QUEUE_LIMIT_US: u64 = 1_000_000;
/// How much more than its burst and rate a tenant may get.
const QUOTA_TOLERANCE: f64 = 1.1;

pub(crate) fn check(evidence: &Evidence, findings: &mut Findings) {
    let admitted = admitted(evidence);
    for (tenant, quota) in &evidence.deployment.quotas {
        let clients = &evidence.journals.clients;
        let mut lines: Vec<&OwnedValue> = clients
            .iter()
            .filter(|line| text(line, "tenant") == tenant)
            .collect();
        lines.sort_by_key(|line| number(line, "at"));
        check_refused(tenant, *quota, &lines, findings);
        let times = admission_times(evidence, &admitted, &lines);
        check_exceeded(tenant, *quota, &times, findings);
    }
}

/// When nodes admitted each request.
fn admitted<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, u64> {
    let lines = evidence.journals.nodes.iter();
    lines
        .filter(|line| text(line, "what") == log_messages::ADMITTED)
        .map(|line| (text(line, "job"), number(line, "at")))
        .collect()
}

/// When each request came, and what the bucket held then.
fn bucket_levels(quota: Quota, lines: &[&OwnedValue]) -> Vec<(u64, f64)> {
    let mut levels = Vec::new();
    let (rate, burst) = (quota.requests_per_s as f64, quota.burst as f64);
    let mut level = burst;
    let mut before = lines.first().map_or(0, |line| number(line, "at"));
    for line in lines {
        let at = number(line, "at");
        level = (level + (at - before) as f64 / 1e6 * rate).min(burst);
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
    // A request waits among those that come with it; a tenant that exceeds its quota in
    // that time was not within it.
    let is_within = |first: usize| {
        let (from, _) = levels[first];
        let mut near = levels[first..]
            .iter()
            .take_while(|(at, _)| *at <= from + QUEUE_LIMIT_US);
        near.all(|(_, level)| *level >= quota.burst as f64 / 2.0)
    };
    let is_wrong =
        |(at, line): &(usize, &&OwnedValue)| text(line, "code") == "quota" && is_within(*at);
    let refused = lines.iter().enumerate().filter(is_wrong).count();
    if refused > 0 {
        let text = format!("{tenant} was refused {refused} times while within its quota");
        findings.add(Rule::RefusedWithinQuota, text);
    }
}

/// When each request was admitted, or, where no node logged that, when an engine received
/// it: some wait for capacity in between.
fn admission_times(
    evidence: &Evidence,
    admitted: &BTreeMap<&str, u64>,
    lines: &[&OwnedValue],
) -> Vec<u64> {
    let admission = |line: &&OwnedValue| {
        let id = text(line, "job");
        let record = evidence.by_request.get(id)?;
        let came = record
            .received
            .iter()
            .map(|line| number(line, "at"))
            .min()?;
        Some(admitted.get(id).copied().unwrap_or(came))
    };
    let mut times: Vec<u64> = lines.iter().filter_map(admission).collect();
    times.sort_unstable();
    times
}

fn check_exceeded(tenant: &str, quota: Quota, times: &[u64], findings: &mut Findings) {
    let (rate, burst) = (quota.requests_per_s as f64, quota.burst as f64);
    // How far past the quota, with how many requests, in how many seconds.
    let mut worst = (0.0, 0, 0.0);
    for (first, from) in times.iter().enumerate() {
        for (count, until) in times[first..].iter().enumerate() {
            let seconds = (until - from) as f64 / 1e6;
            let allowed = (burst + seconds * rate) * QUOTA_TOLERANCE + 1.0;
            let past = (count + 1) as f64 - allowed;
            if past > worst.0 {
                worst = (past, count + 1, seconds);
            }
        }
    }
    if worst.0 > 0.0 {
        let (_, count, seconds) = worst;
        let text = format!("{tenant} got {count} requests in {seconds:.1} s at {rate} a second");
        findings.add(Rule::QuotaExceeded, text);
    }
}
