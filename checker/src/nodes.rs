//! What routers and directory nodes wrote of themselves: where bodies went, by
//! which epoch jobs were sent, and how processes ended.

use super::changes::allows;
use super::evidence::Evidence;
use super::line::{number, text};
use super::{Findings, Rule, APPLY};
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Two threads may pass each other between the look at the epoch and the line.
const PASSING: u64 = 100_000;

pub fn check(evidence: &Evidence, findings: &mut Findings) {
    // When epochs were acknowledged.
    let acknowledged: Vec<(u64, u64)> = evidence
        .acknowledged
        .iter()
        .map(|line| (number(line, "acknowledged"), number(line, "epoch")))
        .collect();
    // By node: the highest epoch it acted by, and since when.
    let mut reached: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for line in &evidence.journals.nodes {
        let node = text(line, "name");
        match text(line, "what") {
            "panicked" => {
                findings.add(Rule::Panicked, format!("{node}: {}", text(line, "text")));
            }
            "its body is here" => check_body(evidence, line, findings),
            "dispatched" => {
                check_in_force(&acknowledged, line, findings);
                check_order(reached.entry(node).or_insert((0, 0)), line, findings);
            }
            _ => {}
        }
    }
}

/// A body is seen in its caller's region and its tenant's homes alone.
fn check_body(evidence: &Evidence, line: &OwnedValue, findings: &mut Findings) {
    let (node, id) = (text(line, "name"), text(line, "job"));
    let Some(caller) = evidence.callers.get(id) else {
        return;
    };
    let ground = evidence.ground;
    let region = ground.node_regions.get(node).map_or("", String::as_str);
    let own = ground
        .zone_regions
        .get(text(caller, "zone"))
        .map_or("", String::as_str);
    let homes = evidence.homes.get(text(caller, "tenant"));
    let at = number(line, "at");
    if region != own && homes.is_some_and(|homes| !allows(homes, at, region)) {
        findings.add(
            Rule::Homes,
            format!("{node} in {region} saw the body of job {id}"),
        );
    }
}

/// Nothing is sent by an epoch that others had left long ago.
fn check_in_force(acknowledged: &[(u64, u64)], line: &OwnedValue, findings: &mut Findings) {
    let (at, epoch) = (number(line, "at"), number(line, "epoch"));
    let settled = acknowledged.iter().filter(|(since, _)| since + APPLY <= at);
    let Some(owed) = settled.map(|(_, epoch)| *epoch).max() else {
        return;
    };
    if owed > epoch {
        let (node, id) = (text(line, "name"), text(line, "job"));
        let text = format!("{node} sent job {id} by epoch {epoch}, 3 s after {owed} counted");
        findings.add(Rule::InForce, text);
    }
}

/// A node does not fall back to an earlier epoch.
fn check_order(highest: &mut (u64, u64), line: &OwnedValue, findings: &mut Findings) {
    let (at, epoch) = (number(line, "at"), number(line, "epoch"));
    if epoch < highest.0 && at > highest.1 + PASSING {
        let text = format!(
            "{} fell back from {} to {epoch}",
            text(line, "name"),
            highest.0
        );
        findings.add(Rule::Epochs, text);
    }
    if epoch > highest.0 {
        *highest = (epoch, at);
    }
}
