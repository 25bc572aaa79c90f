//! Retries stay a small part of all jobs.

use super::evidence::Evidence;
use super::line::{number, text};
use super::{Findings, Rule};
use placement::RETRY_TOKEN_LIFETIME_MS;
use std::collections::BTreeMap;

/// Further rounds are judged over windows of this length.
const WINDOW: u64 = 10_000_000;

pub fn check(evidence: &Evidence, findings: &mut Findings) {
    if let Some((from, many, of)) = worst_window(&retries(evidence), &evidence.arrivals) {
        let text = format!("{many} further rounds for {of} jobs in 10 s from {from}");
        findings.add(Rule::Retries, text);
    }
}

/// When each round beyond a job's first was, whoever noticed it.
fn retries(evidence: &Evidence) -> Vec<u64> {
    let mut noted: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in &evidence.journals.nodes {
        if text(line, "what") == "a further round" {
            noted
                .entry(text(line, "job"))
                .or_default()
                .push(number(line, "at"));
        }
    }
    let mut retries: Vec<u64> = Vec::new();
    let called = evidence
        .by_job
        .iter()
        .filter(|(id, _)| evidence.callers.contains_key(**id));
    for (id, record) in called {
        let mut received: Vec<u64> = record
            .received
            .iter()
            .map(|line| number(line, "at"))
            .collect();
        received.sort_unstable();
        let noted = noted.remove(*id).unwrap_or_default();
        let seen = received.get(1..).unwrap_or(&[]);
        retries.extend(if seen.len() > noted.len() {
            seen
        } else {
            &noted
        });
    }
    retries.extend(noted.into_values().flatten());
    retries.sort_unstable();
    retries
}

/// The window in which further rounds went furthest past a fifth of the jobs
/// that arrived in it, or shortly before, as long as what they earn lives.
fn worst_window(rounds: &[u64], arrivals: &[u64]) -> Option<(u64, usize, usize)> {
    let between = |list: &[u64], from: u64, until: u64| {
        list.partition_point(|at| *at <= until) - list.partition_point(|at| *at < from)
    };
    let life = RETRY_TOKEN_LIFETIME_MS * 1000;
    let past = rounds.iter().map(|from| {
        let (until, earlier) = (from + WINDOW, from.saturating_sub(life));
        (
            *from,
            between(rounds, *from, until),
            between(arrivals, earlier, until),
        )
    });
    past.filter(|(_, many, of)| many * 5 > *of)
        .max_by_key(|(_, many, of)| many * 5 - of)
}
