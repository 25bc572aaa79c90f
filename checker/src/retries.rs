//! Retries stay a bounded part of all requests.

use crate::evidence::Evidence;
use crate::fields::{number, text};
use crate::findings::{Findings, Rule};
use crate::journals::log_messages;
use placement::RETRY_TOKEN_LIFETIME_MS;
use std::collections::BTreeMap;

/// Retries are judged over windows of this length.
const WINDOW_US: u64 = 10_000_000;

pub(crate) fn check(evidence: &Evidence, findings: &mut Findings) {
    if let Some(worst) = worst_window(&retries(evidence), &evidence.arrivals) {
        let Window {
            from_us,
            retries,
            arrivals,
        } = worst;
        let text = format!("{retries} retries for {arrivals} requests in 10 s from {from_us}");
        findings.add(Rule::RetryBudget, text);
    }
}

/// When each attempt beyond a request's first was, by the nodes' logs or the engines'
/// journals, whichever has more.
fn retries(evidence: &Evidence) -> Vec<u64> {
    let mut noted: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in &evidence.journals.nodes {
        if text(line, "what") == log_messages::RETRIED {
            noted
                .entry(text(line, "job"))
                .or_default()
                .push(number(line, "at"));
        }
    }
    let mut retries: Vec<u64> = Vec::new();
    let called = evidence
        .by_request
        .iter()
        .filter(|(id, _)| evidence.clients.contains_key(**id));
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

/// A span of time with its retries, and the arrivals that pay for them.
struct Window {
    from_us: u64,
    retries: usize,
    arrivals: usize,
}

impl Window {
    /// How far its retries go past a fifth of its arrivals, times five.
    fn excess(&self) -> Option<usize> {
        (self.retries * 5)
            .checked_sub(self.arrivals)
            .filter(|excess| *excess > 0)
    }
}

/// The window in which retries went furthest past a fifth of the requests that arrived in
/// it, or before it within the lifetime of a retry token.
fn worst_window(retries: &[u64], arrivals: &[u64]) -> Option<Window> {
    let between = |list: &[u64], from: u64, until: u64| {
        list.partition_point(|at| *at <= until) - list.partition_point(|at| *at < from)
    };
    let lifetime_us = RETRY_TOKEN_LIFETIME_MS * 1000;
    let windows = retries.iter().map(|from| {
        let until = from + WINDOW_US;
        Window {
            from_us: *from,
            retries: between(retries, *from, until),
            arrivals: between(arrivals, from.saturating_sub(lifetime_us), until),
        }
    });
    windows
        .filter(|window| window.excess().is_some())
        .max_by_key(|window| window.excess())
}
