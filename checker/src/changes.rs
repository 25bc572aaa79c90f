//! Operators' changes get growing epochs, stay known, and are in force in time.

use crate::evidence::Evidence;
use crate::fields::{flag, number, text};
use crate::findings::{Findings, Rule};
use crate::timeline::PROPAGATION_LIMIT_US;
use simd_json::prelude::*;
use simd_json::OwnedValue;

pub(crate) fn check(evidence: &Evidence, findings: &mut Findings) {
    let (mut highest_epoch, mut acknowledged_us) = (0, 0);
    for line in &evidence.acknowledged {
        let (epoch, requested_us) = (number(line, "epoch"), number(line, "at"));
        // One that was requested after another's acknowledgement is later, unless it is a
        // repeat.
        let is_later = !flag(line, "repeated", false) && requested_us > acknowledged_us;
        if is_later && epoch <= highest_epoch {
            let text = format!("epoch {epoch} was given after {highest_epoch}");
            findings.add(Rule::EpochOrder, text);
        }
        if epoch > highest_epoch {
            (highest_epoch, acknowledged_us) = (epoch, number(line, "acknowledged"));
        }
        check_known(line, epoch, findings);
        check_in_force(line, epoch, findings);
    }
}

/// Asked for again at the end of the run, the change has the same epoch.
fn check_known(line: &OwnedValue, epoch: u64, findings: &mut Findings) {
    let is_other = |known: &OwnedValue| known.as_u64() != Some(epoch);
    if line.get("remembered").is_some_and(is_other) {
        let (command, known) = (text(line, "do"), number(line, "remembered"));
        let text = format!("{command} of epoch {epoch} is now known as {known}");
        findings.add(Rule::LostChange, text);
    }
}

fn check_in_force(line: &OwnedValue, epoch: u64, findings: &mut Findings) {
    let limit_ms = PROPAGATION_LIMIT_US / 1000;
    let is_late = |ms: &&OwnedValue| ms.as_u64().is_none_or(|ms| ms > limit_ms);
    if let Some(ms) = line.get("in_force_ms").filter(is_late) {
        let text = format!("epoch {epoch} was in force after {ms} ms");
        findings.add(Rule::InForce, text);
    }
}
