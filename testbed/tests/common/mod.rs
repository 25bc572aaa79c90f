//! A small fleet of real processes for tests. Nothing here judges a time.
#![allow(dead_code)] // Each test program uses its own part.

use simd_json::prelude::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use testbed::client::{send_request, ClientOutcome, ClientRequest};
use testbed::fleet::{wait_until, DeploymentSpec, Fleet, ProcessKind};

pub const DEPLOYMENT: &str = r#"{
  "name": "small",
  "routers": { "north-a": 2, "south-a": 1 },
  "directories": { "north-a": 1, "south-a": 1, "west-a": 1 },
  "engines": {
    "north-1": [{ "count": 2, "services": ["writer"], "slots": 4, "pieces": 3, "piece_ms": 5, "prefill_ms": 20 }],
    "south-1": [{ "count": 1, "services": ["writer", "pictures"], "slots": 4, "pieces": 3, "piece_ms": 5, "prefill_ms": 20 }]
  },
  "keys": { "ana": "ana-key-0001", "ben": "ben-key-0002" },
  "book": {
    "zones": { "north-a": { "region": "north" }, "south-a": { "region": "south" }, "west-a": { "region": "west" } },
    "cells": { "north-1": { "zone": "north-a" }, "south-1": { "zone": "south-a" } },
    "services": { "writer": {}, "pictures": {} },
    "tenants": { "ana": { "homes": ["north"] }, "ben": { "homes": ["south", "north"] } },
    "rules": [
      "door app  at \"/app/\"  tenant header \"x-tenant-key\" model header \"x-model\"",
      "door form at \"/form/\" tenant body \"key\" model body \"model\"",
      "door shop at \"/shop/\" tenant segment 2",
      "route write on app  POST \"/app/write\" to model once deadline 30s prefix body \"prompt\" 64",
      "route form  on form POST \"/form/write\" to model repeatable deadline 30s prefix body \"prompt\" 64",
      "route thumb on shop GET \"/shop/*\" to service pictures repeatable deadline 5s"
    ]
  }
}"#;

pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let name = format!("rushport-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        drop(std::fs::remove_dir_all(&path));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Kept for a look where the test failed.
        if !std::thread::panicking() {
            drop(std::fs::remove_dir_all(&self.0));
        }
    }
}

pub fn prompt(id: &str, key: &str, text: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        method: "POST".into(),
        target: "/app/write".into(),
        headers: vec![
            ("x-tenant-key".into(), key.into()),
            ("x-model".into(), "writer".into()),
        ],
        body: format!(r#"{{"prompt":"{text}"}}"#).into_bytes(),
    }
}

pub async fn complete_response(
    router_address: SocketAddr,
    request: &ClientRequest,
) -> (String, bool) {
    match send_request(router_address, request, Duration::from_secs(20)).await {
        ClientOutcome::Complete {
            engine, is_warm, ..
        } => (engine, is_warm),
        other => panic!("{}: {other:?}", request.id),
    }
}

pub async fn start_fleet(name: &str) -> (Folder, Fleet) {
    start_fleet_of(name, DEPLOYMENT).await
}

/// A fleet of a test's own deployment.
pub async fn start_fleet_of(name: &str, deployment: &str) -> (Folder, Fleet) {
    let folder = Folder::new(name);
    let spec = DeploymentSpec::parse(deployment).expect("the shape reads");
    let mut fleet = Fleet::new(spec, &folder.0).expect("a fleet is laid out");
    fleet.bootstrap().await.expect("the fleet comes up");
    (folder, fleet)
}

/// The same, with a relay before every process, so that links can be cut.
pub async fn start_fleet_with_relays(name: &str) -> (Folder, Fleet) {
    let folder = Folder::new(name);
    let spec = DeploymentSpec::parse(DEPLOYMENT).expect("the shape reads");
    let mut fleet = Fleet::new(spec, &folder.0).expect("a fleet is laid out");
    fleet.relay().await.expect("the relays listen");
    fleet.bootstrap().await.expect("the fleet comes up");
    (folder, fleet)
}

/// A refusal's status, outcome and code.
pub async fn rejection(
    router_address: SocketAddr,
    request: &ClientRequest,
) -> (u16, String, String) {
    match send_request(router_address, request, Duration::from_secs(20)).await {
        ClientOutcome::Rejected {
            status,
            outcome,
            code,
            ..
        } => (status, outcome, code),
        other => panic!("{}: {other:?}", request.id),
    }
}

pub fn not_run(status: u16, code: &str) -> (u16, String, String) {
    (status, "not-run".into(), code.into())
}

/// The events that the engines wrote of one request, in the order of their times.
pub fn engine_events(fleet: &Fleet, request: &str) -> Vec<String> {
    let mut events = Vec::new();
    for engine in fleet.of(ProcessKind::Engine) {
        let path = fleet.journals().join(format!("{}.jsonl", engine.name));
        for line in testbed::journal::read(&path).expect("a journal reads") {
            let text = |name: &str| {
                line.get(name)
                    .and_then(|v| v.as_str())
                    .unwrap_or("")
                    .to_string()
            };
            if text("job") == request {
                let at = line.get("at").and_then(|v| v.as_u64()).unwrap_or(0);
                events.push((at, text("event")));
            }
        }
    }
    events.sort();
    events.into_iter().map(|(_, event)| event).collect()
}

/// Longer than anything here takes; where it runs out, something is wrong.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Sends one request after another until one is answered completely.
pub async fn wait_for_service(router_address: SocketAddr, key: &str, mark: &str) {
    let mut round = 0;
    wait_until(PATIENCE, "service", async || {
        round += 1;
        let request = prompt(&format!("{mark}-{round}"), key, "once upon a time");
        match send_request(router_address, &request, Duration::from_secs(10)).await {
            ClientOutcome::Complete { .. } => Ok(()),
            ClientOutcome::Corrupt(text) => panic!("{text}"),
            other => anyhow::bail!("{other:?}"),
        }
    })
    .await
    .expect("service comes back");
}

/// Sends one request after another until one is refused not-run with this code.
pub async fn wait_for_rejection(router_address: SocketAddr, key: &str, mark: &str, wanted: &str) {
    let mut round = 0;
    wait_until(PATIENCE, "a refusal", async || {
        round += 1;
        let request = prompt(&format!("{mark}-{round}"), key, "once upon a time");
        match send_request(router_address, &request, Duration::from_secs(10)).await {
            ClientOutcome::Rejected { code, outcome, .. }
                if code == wanted && outcome == "not-run" =>
            {
                Ok(())
            }
            other => anyhow::bail!("{other:?}"),
        }
    })
    .await
    .expect("the router refuses");
}

/// Waits until an engine has written this of a request.
pub async fn wait_for_engine_event(fleet: &Fleet, request: &str, beginning: &str) {
    wait_until(PATIENCE, beginning, async || {
        let events = engine_events(fleet, request);
        anyhow::ensure!(
            events.iter().any(|event| event.starts_with(beginning)),
            "{events:?}"
        );
        Ok(())
    })
    .await
    .expect("the engine writes it down");
}

/// Sets the time between two chunks of an engine's responses, from its next start on.
pub fn set_chunk_ms(fleet: &mut Fleet, name: &str, chunk_ms: u64) {
    let process = fleet.processes.get_mut(name).expect("it is there");
    process.engine.as_mut().expect("it is an engine").chunk_ms = chunk_ms;
}
