//! Counts of a run: outcomes, cache hits, prefix hits, retries, changes.

use crate::fleet::{Fleet, ProcessKind};
use checker::{text, Journals};
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The routers' counters that a summary shows.
const COUNTERS: [&str; 18] = [
    "jobs",
    "own-fresh",
    "own-stale",
    "shared-fresh",
    "shared-stale",
    "misses",
    "joined",
    "forwards",
    "handed-back",
    "key-only",
    "refreshes",
    "unkeyed",
    "dispatches",
    "retries",
    "connect-failed",
    "declined",
    "answers-lost",
    "refused-no-room",
];

/// Counts by outcome, and how requests were looked up and dispatched, as text.
///
/// # Errors
///
/// Where a running router can't be asked for its counters.
pub async fn summary(fleet: &Fleet, journals: &Journals) -> anyhow::Result<String> {
    let mut counters = BTreeMap::new();
    for name in COUNTERS {
        counters.insert(name, fleet.count(ProcessKind::Router, name).await?);
    }
    let mut out = String::new();
    write_outcomes(&mut out, journals)?;
    write_lookups(&mut out, &counters)?;
    write_engines(&mut out, journals)?;
    write_changes(&mut out, journals)?;
    writeln!(out, "counters: {counters:?}")?;
    Ok(out)
}

fn write_outcomes(out: &mut String, journals: &Journals) -> std::fmt::Result {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for line in &journals.clients {
        let mut words = vec![text(line, "service"), text(line, "seen")];
        if words[1] == "refused" {
            words.push(text(line, "outcome"));
            words.push(text(line, "code"));
        }
        *outcomes.entry(words.join(" ")).or_default() += 1;
    }
    writeln!(out, "requests: {}", journals.clients.len())?;
    for (words, count) in outcomes {
        writeln!(out, "  {words:<44} {count}")?;
    }
    Ok(())
}

fn write_lookups(out: &mut String, counters: &BTreeMap<&str, u64>) -> std::fmt::Result {
    let count = |name: &str| counters.get(name).copied().unwrap_or(0) as f64;
    let own = count("own-fresh") + count("own-stale");
    let shared = count("shared-fresh") + count("shared-stale");
    let misses = count("misses");
    let all = own + shared + misses;
    writeln!(
        out,
        "looked up: own cache {:.1} %, region's cache {:.1} %, misses {:.1} % (of {all})",
        percent(own, all),
        percent(shared, all),
        percent(misses, all),
    )?;
    let (forwards, key_only, refreshes) =
        (count("forwards"), count("key-only"), count("refreshes"));
    writeln!(
        out,
        "directory calls: {:.2} per hundred requests (forwards {forwards}, key alone {key_only}, \
         refreshes {refreshes})",
        percent(forwards + key_only + refreshes, count("jobs")),
    )
}

fn write_engines(out: &mut String, journals: &Journals) -> std::fmt::Result {
    let count = |event: &str| {
        let lines = journals.engines.iter();
        lines.filter(|line| text(line, "event") == event).count() as f64
    };
    let (warm, cold) = (count("begun-warm"), count("begun-cold"));
    let requests = journals.clients.len() as f64;
    writeln!(
        out,
        "begun on a warm prefix: {:.1} % of {}",
        percent(warm, warm + cold),
        warm + cold
    )?;
    writeln!(
        out,
        "retries: {:.2} % of requests",
        percent(count("received") - requests, requests).max(0.0)
    )
}

fn write_changes(out: &mut String, journals: &Journals) -> std::fmt::Result {
    let lines = &journals.operators;
    let in_force_ms = lines
        .iter()
        .filter_map(|line| line.get("in_force_ms").and_then(|v| v.as_u64()));
    let mut in_force_ms: Vec<u64> = in_force_ms.collect();
    in_force_ms.sort_unstable();
    let acknowledged = lines
        .iter()
        .filter(|line| line.get("acknowledged").is_some());
    writeln!(
        out,
        "changes: {} acknowledged of {}; in force everywhere after ms: {in_force_ms:?}",
        acknowledged.count(),
        lines.len(),
    )
}

fn percent(part: f64, whole: f64) -> f64 {
    match whole > 0.0 {
        true => 100.0 * part / whole,
        false => 0.0,
    }
}
