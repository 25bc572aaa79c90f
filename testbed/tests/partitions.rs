//! Cut links between real processes, by relays. Everything waits on events.

mod common;

use common::*;
use simd_json::json;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::client::{send_request, ClientOutcome};
use testbed::fleet::{operator_request, wait_until, Fleet, ProcessKind};

const BEN: &str = "ben-key-0002";

async fn status(operator_address: SocketAddr) -> anyhow::Result<OwnedValue> {
    Ok(operator_request(operator_address, "GET", "/status", &OwnedValue::null()).await?)
}

/// A leader elsewhere than at the one that is partitioned.
async fn another_leader(fleet: &Fleet, cut: &str) -> String {
    let mut found = String::new();
    wait_until(PATIENCE, "another leader", async || {
        for node in fleet
            .of(ProcessKind::Directory)
            .iter()
            .filter(|node| node.name != cut)
        {
            let status = status(node.operator_address()).await?;
            if status.get("leads").and_then(|v| v.as_bool()) == Some(true) {
                found = node.name.clone();
                return Ok(());
            }
        }
        anyhow::bail!("none yet")
    })
    .await
    .expect("the others elect");
    found
}

/// Guards: a minority refuses; nobody falls back to an older epoch; what was
/// acknowledged while a node was away reaches it when it is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_is_cut_off_each_way_and_comes_back() {
    let (_folder, fleet) = start_fleet_with_relays("cut").await;
    let router_address = fleet.get("router-3").client_address();
    wait_for_service(router_address, BEN, "before").await;
    for (round, (outward, inward)) in [(true, true), (true, false), (false, true)]
        .into_iter()
        .enumerate()
    {
        let leader = fleet.leader().await.expect("somebody leads");
        fleet
            .partition(std::slice::from_ref(&leader), outward, inward)
            .expect("it is cut");
        another_leader(&fleet, &leader).await;
        let old = fleet.get(&leader).operator_address();
        wait_until(PATIENCE, "its stepping down", async || {
            let leads = status(old).await?.get("leads").and_then(|v| v.as_bool());
            anyhow::ensure!(leads == Some(false), "it still leads");
            Ok(())
        })
        .await
        .expect("it steps down");
        let change =
            json!({ "do": "key", "tenant": "ben", "key": format!("ben-key-more-{round}") });
        if outward && inward {
            let mut change = change.clone();
            change
                .insert("id", format!("minority-{round}"))
                .expect("an object");
            let error = operator_request(old, "POST", "/submit", &change).await;
            let error = error.expect_err("a minority refuses").to_string();
            assert!(error.contains("503"), "{error}");
        }
        let mut epoch = 0;
        for node in fleet
            .of(ProcessKind::Directory)
            .iter()
            .filter(|node| node.name != leader)
        {
            let mut change = change.clone();
            change
                .insert("id", format!("change-{round}"))
                .expect("an object");
            let answer = operator_request(node.operator_address(), "POST", "/submit", &change)
                .await
                .expect("it is taken");
            epoch = answer
                .get("epoch")
                .and_then(|v| v.as_u64())
                .expect("an epoch");
        }
        wait_for_service(router_address, BEN, &format!("cut-{round}")).await;
        fleet.network.as_ref().expect("it has relays").heal();
        wait_until(PATIENCE, "agreement", async || {
            let at = status(old).await?.get("epoch").and_then(|v| v.as_u64());
            anyhow::ensure!(at >= Some(epoch), "it has {at:?} of {epoch}");
            Ok(())
        })
        .await
        .expect("it learns what it missed");
    }
}

/// Guards: a router that nobody reaches has no lease, and dispatches nothing;
/// engines that go dark are left out, and nothing runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn routers_and_engines_are_cut_off() {
    let (_folder, fleet) = start_fleet_with_relays("dark").await;
    let router_address = fleet.get("router-1").client_address();
    wait_for_service(router_address, BEN, "before").await;
    fleet
        .partition(&["router-1".to_string()], true, true)
        .expect("it is cut");
    wait_for_rejection(router_address, BEN, "cut", "no-lease").await;
    wait_for_service(fleet.get("router-3").client_address(), BEN, "elsewhere").await;
    fleet.network.as_ref().expect("it has relays").heal();
    wait_for_service(router_address, BEN, "again").await;

    // The south's engine goes dark; the north is among ben's homes.
    fleet
        .partition(&["engine-3".to_string()], true, true)
        .expect("it is cut");
    let mut round = 0;
    wait_until(PATIENCE, "the other home", async || {
        round += 1;
        let request = prompt(&format!("d-{round}"), "ben-key-0002", "once upon a time");
        match send_request(router_address, &request, Duration::from_secs(30)).await {
            ClientOutcome::Complete { engine, .. } if engine != "engine-3" => Ok(()),
            // Told when the engine is given up, and not held to its deadline.
            ClientOutcome::Rejected { code, .. } if code == "deadline" => panic!("held back"),
            other => anyhow::bail!("{other:?}"),
        }
    })
    .await
    .expect("it spills within its homes");
    for n in 1..=round {
        let begun = engine_events(&fleet, &format!("d-{n}"));
        assert!(
            begun
                .iter()
                .filter(|event| event.starts_with("begun"))
                .count()
                <= 1,
            "{begun:?}"
        );
    }
}
