//! What operators' changes allowed at each moment: when something was to get no requests,
//! and which regions were a tenant's homes.

use crate::deployment::Deployment;
use crate::fields::{number, text};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::{BTreeMap, BTreeSet};

/// How long a change may take from its acknowledgement until it is in force everywhere.
pub(crate) const PROPAGATION_LIMIT_US: u64 = 3_000_000;

/// A time in which something named is to get no requests.
pub(crate) struct ClosedInterval {
    pub(crate) name: String,
    /// When its beginning was acknowledged.
    pub(crate) from_us: u64,
    /// When its end was requested; `u64::MAX` while it has none.
    pub(crate) until_us: u64,
}

impl ClosedInterval {
    /// Whether it was in force at a time, when it may take so long to come into force.
    pub(crate) fn is_in_force(&self, name: &str, at_us: u64, limit_us: u64) -> bool {
        self.name == name && at_us > self.from_us + limit_us && at_us < self.until_us
    }

    fn is_open(&self, name: &str) -> bool {
        self.name == name && self.until_us == u64::MAX
    }
}

/// Which operators' lines begin and end an interval: the command alone, or the command and
/// the state that it sets.
pub(crate) struct Commands<'a> {
    pub(crate) begin: &'a str,
    pub(crate) end: &'a [&'a str],
    /// The line's field with the name.
    pub(crate) name_field: &'a str,
}

impl Commands<'_> {
    fn is_begin(&self, line: &OwnedValue) -> bool {
        matches_command(line, self.begin)
    }

    fn is_end(&self, line: &OwnedValue) -> bool {
        self.end.iter().any(|end| matches_command(line, end))
    }
}

fn matches_command(line: &OwnedValue, command: &str) -> bool {
    let (verb, state) = (text(line, "do"), text(line, "state"));
    verb == command || format!("{verb} {state}") == command
}

/// The intervals between acknowledged beginnings and requested ends.
pub(crate) fn closed_intervals(
    operators: &[OwnedValue],
    commands: &Commands,
) -> Vec<ClosedInterval> {
    let mut intervals: Vec<ClosedInterval> = Vec::new();
    let is_acknowledged = |line: &&OwnedValue| number(line, "acknowledged") > 0;
    let mut lines: Vec<&OwnedValue> = operators.iter().filter(is_acknowledged).collect();
    lines.sort_by_key(|line| number(line, "epoch"));
    for line in lines {
        let name = text(line, commands.name_field);
        if commands.is_begin(line) {
            if !intervals.iter().any(|interval| interval.is_open(name)) {
                intervals.push(ClosedInterval {
                    name: name.to_string(),
                    from_us: number(line, "acknowledged"),
                    until_us: u64::MAX,
                });
            }
        } else if commands.is_end(line) {
            // From the moment it was requested, it may be in force.
            for interval in intervals.iter_mut().filter(|one| one.is_open(name)) {
                interval.until_us = number(line, "at");
            }
        }
    }
    // An end that was requested and never acknowledged may have come into force.
    let is_unknown = |line: &&OwnedValue| !is_acknowledged(line) && commands.is_end(line);
    for line in operators.iter().filter(is_unknown) {
        let name = text(line, commands.name_field);
        for interval in intervals.iter_mut().filter(|one| one.name == name) {
            let requested_us = number(line, "at").max(interval.from_us);
            interval.until_us = interval.until_us.min(requested_us);
        }
    }
    intervals
}

/// A tenant's home regions from a change on. No regions stand for any.
pub(crate) struct HomeChange {
    pub(crate) requested_us: u64,
    /// `u64::MAX`: its outcome is unknown.
    pub(crate) acknowledged_us: u64,
    pub(crate) regions: BTreeSet<String>,
}

impl HomeChange {
    fn allows(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.contains(region)
    }
}

/// A tenant's home regions over time, in the order of the changes.
pub(crate) struct HomeHistory(Vec<HomeChange>);

impl HomeHistory {
    /// Whether a region is allowed at a time: by the last change that was acknowledged
    /// long enough before, or by any that came after it.
    pub(crate) fn allows(&self, at_us: u64, region: &str) -> bool {
        let changes = self.0.as_slice();
        let settled = changes.iter().rposition(|change| {
            change.acknowledged_us != u64::MAX
                && change.acknowledged_us + PROPAGATION_LIMIT_US <= at_us
        });
        match settled {
            Some(last) => changes[last..]
                .iter()
                .any(|change| change.requested_us <= at_us && change.allows(region)),
            // No homes before the first change: any region.
            None => {
                changes.first().is_none_or(|change| change.requested_us > 0)
                    || changes.iter().any(|change| change.allows(region))
            }
        }
    }
}

/// The tenants' home regions over time: those of the deployment, then the operators'
/// changes.
pub(crate) fn home_histories(
    deployment: &Deployment,
    operators: &[OwnedValue],
) -> BTreeMap<String, HomeHistory> {
    let mut histories: BTreeMap<String, HomeHistory> = BTreeMap::new();
    for (tenant, regions) in &deployment.homes {
        let first = HomeChange {
            requested_us: 0,
            acknowledged_us: 0,
            regions: regions.clone(),
        };
        histories.insert(tenant.clone(), HomeHistory(vec![first]));
    }
    let mut lines: Vec<&OwnedValue> = operators.iter().collect();
    lines.sort_by_key(|line| (number(line, "epoch"), number(line, "at")));
    for line in lines {
        let tenants = line.get("book").and_then(|book| book.get("tenants"));
        for (tenant, settings) in tenants.and_then(|v| v.as_object()).into_iter().flatten() {
            let Some(list) = settings.get("homes").and_then(|v| v.as_array()) else {
                continue;
            };
            let regions = list
                .iter()
                .filter_map(|v| v.as_str().map(String::from))
                .collect();
            let acknowledged_us = match number(line, "acknowledged") {
                0 => u64::MAX,
                at_us => at_us,
            };
            let history = histories
                .entry(tenant.clone())
                .or_insert_with(|| HomeHistory(Vec::new()));
            history.0.push(HomeChange {
                requested_us: number(line, "at"),
                acknowledged_us,
                regions,
            });
        }
    }
    histories
}
