//! What operators changed over time, and whether their changes were numbered, kept
//! and put in force as they should be.

use super::evidence::Evidence;
use super::line::{flag, number, text};
use super::{Findings, Ground, Rule, APPLY};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::{BTreeMap, BTreeSet};

/// A name, and from when until when it is to get no work.
pub type Span = (String, u64, u64);

/// Homes as they stood from a change on: asked for, acknowledged, the regions.
pub type Homes = Vec<(u64, u64, BTreeSet<String>)>;

/// Times from which, until which, something is to get no work.
pub fn closed_spans(operators: &[OwnedValue], begin: &str, end: &[&str], field: &str) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    let mut lines: Vec<&OwnedValue> = operators
        .iter()
        .filter(|line| number(line, "acknowledged") > 0)
        .collect();
    lines.sort_by_key(|line| number(line, "epoch"));
    for line in lines {
        let (what, name) = (text(line, "do"), text(line, field).to_string());
        let state = text(line, "state");
        if what == begin || format!("{what} {state}") == begin {
            if !spans
                .iter()
                .any(|span| span.0 == name && span.2 == u64::MAX)
            {
                spans.push((name, number(line, "acknowledged"), u64::MAX));
            }
        } else if end.contains(&what) || end.contains(&format!("{what} {state}").as_str()) {
            // From the moment it was asked for, it may be in force.
            for span in spans.iter_mut().filter(|s| s.0 == name && s.2 == u64::MAX) {
                span.2 = number(line, "at");
            }
        }
    }
    // One that was asked for and never acknowledged may have come into force.
    for line in operators
        .iter()
        .filter(|line| number(line, "acknowledged") == 0)
    {
        let (what, name) = (text(line, "do"), text(line, field));
        if end.contains(&what) || end.contains(&format!("{what} {}", text(line, "state")).as_str())
        {
            for span in spans.iter_mut().filter(|s| s.0 == name) {
                span.2 = span.2.min(number(line, "at").max(span.1));
            }
        }
    }
    spans
}

/// The tenants' homes over time, as the operators changed them.
pub fn homes_over_time(ground: &Ground, operators: &[OwnedValue]) -> BTreeMap<String, Homes> {
    let mut homes: BTreeMap<String, Homes> = BTreeMap::new();
    for (tenant, regions) in &ground.homes {
        homes.insert(tenant.clone(), vec![(0, 0, regions.clone())]);
    }
    let mut lines: Vec<&OwnedValue> = operators.iter().collect();
    lines.sort_by_key(|line| (number(line, "epoch"), number(line, "at")));
    for line in lines {
        let tenants = line.get("book").and_then(|book| book.get("tenants"));
        for (tenant, terms) in tenants.and_then(|v| v.as_object()).into_iter().flatten() {
            let Some(list) = terms.get("homes").and_then(|v| v.as_array()) else {
                continue;
            };
            let regions = list
                .iter()
                .filter_map(|v| v.as_str().map(String::from))
                .collect();
            // One whose outcome is not known may or may not hold.
            let acknowledged = match number(line, "acknowledged") {
                0 => u64::MAX,
                at => at,
            };
            let before = homes.entry(tenant.clone()).or_default();
            before.push((number(line, "at"), acknowledged, regions));
        }
    }
    homes
}

/// Whether a tenant's homes allow a region at a time: by the last change that
/// was acknowledged 3 s before, or by any that came after it.
pub fn allows(homes: &Homes, at: u64, region: &str) -> bool {
    let settled = homes
        .as_slice()
        .iter()
        .rposition(|home| home.1 != u64::MAX && home.1 + APPLY <= at);
    let is_open =
        |home: &(u64, u64, BTreeSet<String>)| home.2.is_empty() || home.2.contains(region);
    match settled {
        Some(last) => homes[last..]
            .iter()
            .any(|home| home.0 <= at && is_open(home)),
        // No homes before the first change: any region.
        None => homes.first().is_none_or(|home| home.0 > 0) || homes.as_slice().iter().any(is_open),
    }
}

/// Epochs grow; what was acknowledged stays known, and is in force in time.
pub fn check(evidence: &Evidence, findings: &mut Findings) {
    // The highest epoch, and when it was acknowledged.
    let mut highest = (0, 0);
    for line in &evidence.acknowledged {
        // One that was asked after another's acknowledgement is later, unless
        // it is a repeat.
        let (epoch, asked) = (number(line, "epoch"), number(line, "at"));
        if !flag(line, "repeated", false) && asked > highest.1 && epoch <= highest.0 {
            findings.add(
                Rule::Epochs,
                format!("epoch {epoch} was given after {}", highest.0),
            );
        }
        if epoch > highest.0 {
            highest = (epoch, number(line, "acknowledged"));
        }
        check_one(line, epoch, findings);
    }
}

fn check_one(line: &OwnedValue, epoch: u64, findings: &mut Findings) {
    if line
        .get("remembered")
        .is_some_and(|known| known.as_u64() != Some(epoch))
    {
        let (what, is_known) = (text(line, "do"), number(line, "remembered"));
        findings.add(
            Rule::Lost,
            format!("{what} of epoch {epoch} is now known as {is_known}"),
        );
    }
    let is_late = |ms: &OwnedValue| ms.as_u64().is_none_or(|ms| ms > APPLY / 1000);
    if let Some(ms) = line.get("in_force_ms").filter(|ms| is_late(ms)) {
        findings.add(
            Rule::InForce,
            format!("epoch {epoch} was in force after {ms} ms"),
        );
    }
}
