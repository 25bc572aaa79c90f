//! Service comes back once everything is well again.

use super::evidence::Evidence;
use super::line::{flag, number, text};
use super::{Findings, Rule};

/// From the moment that everything is well, in microseconds.
const BACK: u64 = 12_000_000;

pub fn check(evidence: &Evidence, findings: &mut Findings) {
    let mut done: Vec<u64> = evidence
        .journals
        .callers
        .iter()
        .filter(|line| text(line, "seen") == "whole")
        .map(|line| number(line, "done"))
        .collect();
    done.sort_unstable();
    let last = evidence.arrivals.last().copied().unwrap_or(0);
    let well = evidence
        .journals
        .machines
        .iter()
        .filter(|line| flag(line, "all_well", false));
    for at in well.map(|line| number(line, "at")) {
        let back = done
            .iter()
            .find(|done| **done > at)
            .copied()
            .unwrap_or(u64::MAX);
        // Where nobody called for so long, nothing can be said.
        if back > at + BACK && last > at + BACK {
            let took = back.saturating_sub(at) / 1_000_000;
            let text = format!("the first whole answer came {took} s after all was well");
            findings.add(Rule::Back, text);
        }
    }
}
