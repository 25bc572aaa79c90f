//! The cluster at a glance, and waiting for a change to be in force.

use crate::Way;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::time::Duration;

fn text(value: &OwnedValue, name: &str) -> String {
    match value.get(name) {
        Some(found) if found.as_str().is_some() => found.as_str().unwrap_or("").to_string(),
        Some(found) if found.is_null() => "-".into(),
        Some(found) => found.encode(),
        None => "-".into(),
    }
}

fn list<'v>(value: &'v OwnedValue, name: &str) -> &'v [OwnedValue] {
    value
        .get(name)
        .and_then(|found| found.as_array())
        .map_or(&[], |list| list.as_slice())
}

pub fn print_members(value: &OwnedValue) {
    println!(
        "{:<16} {:<16} {:<8} {:<14} {:<22} {:<10} synced",
        "directory", "identity", "kind", "zone", "address", "silent_ms"
    );
    for member in list(value, "members") {
        let mark = if text(member, "leads") == "true" {
            " leads"
        } else {
            ""
        };
        println!(
            "{:<16} {:<16} {:<8} {:<14} {:<22} {:<10} {}{mark}",
            text(member, "name"),
            text(member, "identity"),
            text(member, "kind"),
            text(member, "zone"),
            text(member, "address"),
            text(member, "silent_ms"),
            text(member, "synced"),
        );
    }
    let repair = text(value, "membership_repair");
    if !matches!(repair.as_str(), "" | "-") {
        let is_changing = text(value, "membership_changing") == "true";
        let state = if is_changing {
            "a change is under way"
        } else {
            "settled"
        };
        println!("membership: {state}; repair: {repair}");
    }
}

pub fn print(value: &OwnedValue) {
    let epoch = value.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
    println!(
        "asked {}: term {}, epoch {epoch}, committed {}, {}{}",
        text(value, "node"),
        text(value, "term"),
        text(value, "commit"),
        if text(value, "recent") == "true" {
            "in touch with a majority"
        } else {
            "CUT OFF from a majority"
        },
        if text(value, "disk_stalled") == "true" {
            ", DISK STALLED"
        } else {
            ""
        },
    );
    print_members(value);
    println!(
        "{:<16} {:<14} {:<22} {:<8} heard",
        "router", "zone", "door", "epoch"
    );
    for router in list(value, "routers") {
        let at = router.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
        println!(
            "{:<16} {:<14} {:<22} {:<8} {} ms ago{}{}",
            text(router, "name"),
            text(router, "zone"),
            text(router, "door"),
            at,
            text(router, "age_ms"),
            if at < epoch { " LAGS" } else { "" },
            if text(router, "leaving") == "true" {
                " leaving"
            } else {
                ""
            },
        );
    }
    println!("{:<16} {:<14} {:<22} state", "engine", "cell", "address");
    for engine in list(value, "engines") {
        let is_shut = text(engine, "state") == "serving" && text(engine, "open") == "false";
        println!(
            "{:<16} {:<14} {:<22} {}{}",
            text(engine, "name"),
            text(engine, "cell"),
            text(engine, "address"),
            text(engine, "state"),
            if is_shut { ", evacuated" } else { "" },
        );
    }
    for zone in list(value, "evacuated") {
        println!("evacuated: {}", zone.as_str().unwrap_or(""));
    }
    for window in list(value, "windows") {
        let state = if text(window, "begun") == "true" {
            "under way"
        } else {
            "to come"
        };
        println!("window {state}: {}", crate::windows::describe(window));
    }
    for change in list(value, "moves") {
        let state = if text(change, "settled") == "true" {
            "moved"
        } else {
            "moving"
        };
        println!(
            "{state}: {} to {}",
            text(change, "key"),
            text(change, "cell")
        );
    }
}

/// Waits until every router that is heard of has the epoch. A router that is
/// not heard of has no lease past two seconds, and dispatches nothing.
pub async fn wait_in_force(way: &Way, epoch: u64, wait: Duration) -> anyhow::Result<()> {
    let begun = tokio::time::Instant::now();
    loop {
        let behind: Vec<String> = match way.get("/status").await {
            Ok(value) => list(&value, "routers")
                .iter()
                .filter(|router| router.get("epoch").and_then(|v| v.as_u64()) < Some(epoch))
                .map(|router| text(router, "name"))
                .collect(),
            Err(error) => vec![format!("no desk answers: {error:#}")],
        };
        if behind.is_empty() {
            println!(
                "in force everywhere after {} ms",
                begun.elapsed().as_millis()
            );
            return Ok(());
        }
        if begun.elapsed() >= wait {
            anyhow::bail!(
                "epoch {epoch} counts, but is not in force at: {}",
                behind.join(", ")
            );
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
