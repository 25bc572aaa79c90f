//! The cluster's status as text, and waiting for a change to be in force.

use crate::calendar;
use crate::client::OperatorApi;
use residency::{DrainTarget, MaintenanceWindow, Name};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::time::Duration;

/// Time between two looks at the routers' epochs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A field as text; `-` where there is none.
fn text(value: &OwnedValue, field: &str) -> String {
    match value.get(field) {
        None => "-".into(),
        Some(found) if found.is_null() => "-".into(),
        Some(found) => match found.as_str() {
            Some(text) => text.into(),
            None => found.encode(),
        },
    }
}

fn number(value: &OwnedValue, field: &str) -> Option<u64> {
    value.get(field).and_then(|found| found.as_u64())
}

fn is_true(value: &OwnedValue, field: &str) -> bool {
    value.get(field).and_then(|found| found.as_bool()) == Some(true)
}

fn list<'v>(value: &'v OwnedValue, field: &str) -> &'v [OwnedValue] {
    let list = value.get(field).and_then(|found| found.as_array());
    list.map_or(&[], |list| list.as_slice())
}

/// Prints the directory nodes and whether the membership is being changed.
pub fn print_members(status: &OwnedValue) {
    println!(
        "{:<16} {:<16} {:<8} {:<14} {:<22} {:<10} synced",
        "directory", "identity", "kind", "zone", "address", "silent_ms"
    );
    for member in list(status, "members") {
        let leader = if is_true(member, "leads") {
            " leads"
        } else {
            ""
        };
        println!(
            "{:<16} {:<16} {:<8} {:<14} {:<22} {:<10} {}{leader}",
            text(member, "name"),
            text(member, "identity"),
            text(member, "kind"),
            text(member, "zone"),
            text(member, "address"),
            text(member, "silent_ms"),
            text(member, "synced"),
        );
    }
    let repair = text(status, "membership_repair");
    if !matches!(repair.as_str(), "" | "-") {
        let state = if is_true(status, "membership_changing") {
            "a change is in progress"
        } else {
            "stable"
        };
        println!("membership: {state}; repair: {repair}");
    }
}

/// Prints the cluster, its routers and engines, and what is evacuated, planned or moving.
pub fn print(status: &OwnedValue) {
    let epoch = number(status, "epoch").unwrap_or(0);
    print_node(status, epoch);
    print_members(status);
    print_routers(status, epoch);
    print_engines(status);
    for zone in list(status, "evacuated") {
        println!("evacuated: {}", zone.as_str().unwrap_or(""));
    }
    for window in list(status, "windows") {
        let state = if is_true(window, "begun") {
            "in progress"
        } else {
            "planned"
        };
        println!(
            "window {state}: {}",
            calendar::describe(&read_window(window))
        );
    }
    for change in list(status, "moves") {
        let state = if is_true(change, "settled") {
            "moved"
        } else {
            "moving"
        };
        let (key, cell) = (text(change, "key"), text(change, "cell"));
        println!("{state}: {key} to {cell}");
    }
}

fn print_node(status: &OwnedValue, epoch: u64) {
    let contact = if is_true(status, "recent") {
        "in touch with a majority"
    } else {
        "CUT OFF from a majority"
    };
    let disk = if is_true(status, "disk_stalled") {
        ", DISK STALLED"
    } else {
        ""
    };
    println!(
        "asked {}: term {}, epoch {epoch}, committed {}, {contact}{disk}",
        text(status, "node"),
        text(status, "term"),
        text(status, "commit"),
    );
}

fn print_routers(status: &OwnedValue, epoch: u64) {
    println!(
        "{:<16} {:<14} {:<22} {:<8} last heartbeat",
        "router", "zone", "client_address", "epoch"
    );
    for router in list(status, "routers") {
        let router_epoch = number(router, "epoch").unwrap_or(0);
        let lag = if router_epoch < epoch { " LAGS" } else { "" };
        let draining = if is_true(router, "leaving") {
            " draining"
        } else {
            ""
        };
        println!(
            "{:<16} {:<14} {:<22} {router_epoch:<8} {} ms ago{lag}{draining}",
            text(router, "name"),
            text(router, "zone"),
            text(router, "door"),
            text(router, "age_ms"),
        );
    }
}

fn print_engines(status: &OwnedValue) {
    println!("{:<16} {:<14} {:<22} state", "engine", "cell", "address");
    for engine in list(status, "engines") {
        let is_closed = engine.get("open").and_then(|open| open.as_bool()) == Some(false);
        let is_evacuated = is_closed && text(engine, "state") == "serving";
        println!(
            "{:<16} {:<14} {:<22} {}{}",
            text(engine, "name"),
            text(engine, "cell"),
            text(engine, "address"),
            text(engine, "state"),
            if is_evacuated { ", evacuated" } else { "" },
        );
    }
}

fn read_window(window: &OwnedValue) -> MaintenanceWindow {
    let target = match window.get("zone").and_then(|zone| zone.as_str()) {
        Some(zone) => DrainTarget::Zone(Name::from(zone)),
        None => DrainTarget::Engine(Name(text(window, "engine"))),
    };
    MaintenanceWindow {
        id: Name(text(window, "id")),
        target,
        starts_at_s: number(window, "from").unwrap_or(0),
        ends_at_s: number(window, "until").unwrap_or(0),
    }
}

/// Waits until every router that the node hears from has the epoch. A router that it
/// does not hear from has no lease past two seconds, and dispatches nothing.
///
/// # Errors
/// The change is committed, but some routers do not have it within `wait`.
pub async fn wait_in_force(api: &OperatorApi, epoch: u64, wait: Duration) -> anyhow::Result<()> {
    let begun = tokio::time::Instant::now();
    loop {
        let behind: Vec<String> = match api.get("/status").await {
            Ok(status) => list(&status, "routers")
                .iter()
                .filter(|router| number(router, "epoch") < Some(epoch))
                .map(|router| text(router, "name"))
                .collect(),
            Err(error) => {
                let error = anyhow::Error::from(error);
                vec![format!("no operator API answers: {error:#}")]
            }
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
                "epoch {epoch} is committed, but not in force at: {}",
                behind.join(", ")
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
