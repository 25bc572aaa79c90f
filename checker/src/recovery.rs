//! Service is back in time after all faults ended.

use crate::evidence::Evidence;
use crate::fields::{flag, number, text};
use crate::findings::{Findings, Rule};

/// From the end of all faults to the first complete response.
const RECOVERY_LIMIT_US: u64 = 12_000_000;

pub(crate) fn check(evidence: &Evidence, findings: &mut Findings) {
    let mut done: Vec<u64> = evidence
        .journals
        .clients
        .iter()
        .filter(|line| text(line, "seen") == "whole")
        .map(|line| number(line, "done"))
        .collect();
    done.sort_unstable();
    let last = evidence.arrivals.last().copied().unwrap_or(0);
    let healed = evidence
        .journals
        .machines
        .iter()
        .filter(|line| flag(line, "all_well", false));
    for at in healed.map(|line| number(line, "at")) {
        let back = done
            .iter()
            .find(|done| **done > at)
            .copied()
            .unwrap_or(u64::MAX);
        // Where no client sent anything for so long, nothing can be said.
        if back > at + RECOVERY_LIMIT_US && last > at + RECOVERY_LIMIT_US {
            let took = back.saturating_sub(at) / 1_000_000;
            let text = format!("the first complete response came {took} s after all faults ended");
            findings.add(Rule::RecoveryTime, text);
        }
    }
}
