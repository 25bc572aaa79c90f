//! The way back with a log of a year's size. Run by hand, in a release build:
//! `cargo test --release -p testbed --test large_log -- --ignored --nocapture`.

mod common;

use common::*;
use simd_json::json;
use simd_json::prelude::*;
use std::time::{Duration, Instant};
use testbed::client::{send_request, ClientOutcome};
use testbed::fleet::{operator_request, ProcessKind};

/// Guards: after everything stops, service returns within about 12 s, with one
/// zone that never comes back and engines that are cold.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement, for whoever has the time"]
async fn service_returns_with_a_years_ledger() {
    let (_folder, mut fleet) = start_fleet("year").await;
    let tenants: Vec<String> = (0..300)
        .map(|n| format!(r#""tenant-{n:03}":{{"homes":["north"],"pace":5}}"#))
        .collect();
    let book = format!(r#"{{"tenants":{{{}}}}}"#, tenants.join(","));
    let book = residency::parse_json(&book).expect("it reads");
    fleet
        .submit(json!({ "do": "revise", "whole": false, "book": book }))
        .await
        .expect("taken");
    let operator_addresses = fleet.operator_addresses();
    let mut changes = tokio::task::JoinSet::new();
    for lane in 0..48usize {
        let operator_address = operator_addresses[lane % operator_addresses.len()];
        changes.spawn(async move {
            for n in 0..160usize {
                let tenant = format!("tenant-{:03}", (lane * 160 + n) % 300);
                let id = format!("year-{lane}-{n}");
                let key = format!("key-of-the-year-{lane}-{n}");
                let change = json!({ "do": "key", "tenant": tenant, "key": key, "id": id });
                while operator_request(operator_address, "POST", "/submit", &change)
                    .await
                    .is_err()
                {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        });
    }
    while let Some(done) = changes.join_next().await {
        done.expect("it is taken");
    }
    let router_address = fleet.get("router-1").client_address();
    wait_for_service(router_address, "ana-key-0001", "before").await;
    let names: Vec<String> = fleet.processes.keys().cloned().collect();
    for round in 0..5 {
        names.iter().for_each(|name| fleet.kill(name));
        let begun = Instant::now();
        let is_away = |name: &String| fleet.get(name).zone == "west-a";
        let back: Vec<String> = names
            .iter()
            .filter(|name| !is_away(name))
            .cloned()
            .collect();
        back.iter()
            .for_each(|name| fleet.start(name).expect("it starts"));
        let mut tries = 0;
        loop {
            tries += 1;
            let request = prompt(
                &format!("back-{round}-{tries}"),
                "ana-key-0001",
                "once upon",
            );
            if let ClientOutcome::Complete { .. } =
                send_request(router_address, &request, Duration::from_secs(10)).await
            {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let status = operator_request(
            fleet.of(ProcessKind::Directory)[0].operator_address(),
            "GET",
            "/status",
            &json!(null),
        );
        let status = status.await.expect("told");
        println!(
            "round {round}: epoch {}, {} keys, first whole answer after {} ms",
            status.get("epoch").map_or(String::new(), |v| v.to_string()),
            status.get("keys").map_or(String::new(), |v| v.to_string()),
            begun.elapsed().as_millis()
        );
    }
}
