//! What routers and directory nodes logged: where bodies went, by which epoch requests were
//! sent, and panics.

use crate::evidence::Evidence;
use crate::fields::{number, text};
use crate::findings::{Findings, Rule};
use crate::journals::log_messages;
use crate::timeline::PROPAGATION_LIMIT_US;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Two threads may overtake each other between reading the epoch and logging it.
const THREAD_RACE_US: u64 = 100_000;

pub(crate) fn check(evidence: &Evidence, findings: &mut Findings) {
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
            log_messages::PANICKED => {
                findings.add(Rule::Panicked, format!("{node}: {}", text(line, "text")));
            }
            log_messages::BODY_RECEIVED => check_body(evidence, line, findings),
            log_messages::DISPATCHED => {
                check_in_force(&acknowledged, line, findings);
                check_order(reached.entry(node).or_insert((0, 0)), line, findings);
            }
            _ => {}
        }
    }
}

/// A body is seen only in its client's region and its tenant's home regions.
fn check_body(evidence: &Evidence, line: &OwnedValue, findings: &mut Findings) {
    let (node, id) = (text(line, "name"), text(line, "job"));
    let Some(client) = evidence.clients.get(id) else {
        return;
    };
    let deployment = evidence.deployment;
    let region = deployment.node_regions.get(node).map_or("", String::as_str);
    let own = deployment
        .zone_regions
        .get(text(client, "zone"))
        .map_or("", String::as_str);
    let homes = evidence.homes.get(text(client, "tenant"));
    let at = number(line, "at");
    if region != own && homes.is_some_and(|homes| !homes.allows(at, region)) {
        findings.add(
            Rule::HomeRegions,
            format!("{node} in {region} saw the body of request {id}"),
        );
    }
}

/// No request is sent by an epoch that another had followed long ago.
fn check_in_force(acknowledged: &[(u64, u64)], line: &OwnedValue, findings: &mut Findings) {
    let (at, epoch) = (number(line, "at"), number(line, "epoch"));
    let settled = acknowledged
        .iter()
        .filter(|(since, _)| since + PROPAGATION_LIMIT_US <= at);
    let Some(owed) = settled.map(|(_, epoch)| *epoch).max() else {
        return;
    };
    if owed > epoch {
        let (node, id) = (text(line, "name"), text(line, "job"));
        let text =
            format!("{node} sent request {id} by epoch {epoch}, 3 s after {owed} was in force");
        findings.add(Rule::InForce, text);
    }
}

/// A node does not fall back to an earlier epoch.
fn check_order(highest: &mut (u64, u64), line: &OwnedValue, findings: &mut Findings) {
    let (at, epoch) = (number(line, "at"), number(line, "epoch"));
    if epoch < highest.0 && at > highest.1 + THREAD_RACE_US {
        let text = format!(
            "{} fell back from {} to {epoch}",
            text(line, "name"),
            highest.0
        );
        findings.add(Rule::EpochOrder, text);
    }
    if epoch > highest.0 {
        *highest = (epoch, at);
    }
}
