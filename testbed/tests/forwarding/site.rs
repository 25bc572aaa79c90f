//! A router before a stand-in for its directory node, and its clients.

use crate::node::{Node, Script};
use crate::{DEADLINE_MS, KEY, OWN, PATIENCE};
use parking_lot::Mutex;
use residency::{Command, Proposal, State, TenantKey, UpdateMode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use transport::http_client::HttpClientErrorCause;
use transport::link;

const TOPOLOGY: &str = r#"{
    "zones": { "north-a": { "region": "north" } },
    "cells": { "north-1": { "zone": "north-a" } },
    "services": { "writer": {}, "painter": {} },
    "tenants": { "ana": {} },
    "rules": [
        "door app at \"/app/\" tenant header \"x-tenant-key\" model header \"x-model\"",
        "route once on app POST \"/app/once\" to model once deadline 9s",
        "route many on app POST \"/app/many\" to model repeatable deadline 9s"
    ]
}"#;

pub struct Site {
    pub node: Arc<Node>,
    router_address: SocketAddr,
}

fn state() -> State {
    let mut state = State::default();
    let key = TenantKey {
        digest: policy::sha256_hex(KEY),
        tenant: "ana".into(),
    };
    let commands = [
        Command::UpdateTopology {
            mode: UpdateMode::Replace,
            text: TOPOLOGY.into(),
        },
        Command::AddKey(key),
    ]
    .into_iter();
    for (command, epoch) in commands.zip(1..) {
        let proposal = Proposal {
            id: format!("s-{epoch}"),
            base_epoch: 0,
            command,
        };
        let (outcome, _) = state.apply(epoch, &proposal);
        assert_eq!(outcome, residency::Outcome::Applied { epoch });
    }
    state
}

impl Site {
    /// A router at an address of its own for each test.
    pub async fn start(test: u8) -> Site {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let seed = listener.local_addr().expect("bound");
        let node = Arc::new(Node {
            state: state(),
            script: Script::default(),
            handed: Mutex::default(),
        });
        let serving = Arc::clone(&node);
        tokio::spawn(link::accept(listener, move |stream| {
            let node = Arc::clone(&serving);
            async move { node.serve(stream).await }
        }));
        let process = std::process::id();
        let ip = [
            127,
            190 + test,
            (process / 250 % 250) as u8,
            (process % 250) as u8 + 1,
        ];
        let at = |port: u16| SocketAddr::from((ip, port));
        let settings = router::Settings {
            name: "edge-1".into(),
            region: "north".into(),
            zone: "north-a".into(),
            ingress_address: at(7_000),
            peer_address: at(7_001),
            peer_listen_address: at(7_001),
            operator_address: at(7_002),
            body_head_timeout: Duration::from_secs(5),
            quota_wait: Duration::from_secs(1),
            max_requests: 100,
            client_limits: placement::ClientLimits::of_process(1_000_000_000, 16_384),
            seeds: vec![seed],
            body_limit_bytes: 1 << 20,
            local_cache_entries: 16,
            regional_cache_entries: 16,
            drain_plan: placement::DrainPlan {
                accept_all_ms: 0,
                end_by_ms: 0,
            },
            drain_period: Duration::ZERO,
            shutdown_grace: Duration::ZERO,
            slot_wait_ms: 0,
            buffered_body_bytes: 0,
            resolves_by_key_only: false,
            lease_grace: Default::default(),
            heartbeat_interval_ms: 100,
        };
        let router_address = settings.ingress_address;
        tokio::spawn(async move {
            // No engine stands here, so that none is waited for.
            let options = dispatch::DispatchOptions {
                discovery_wait_ms: 0,
                ..Default::default()
            };
            let extensions = router::Extensions {
                dispatch: options,
                ..Default::default()
            };
            router::run(settings, extensions).await.expect("it runs");
        });
        let site = Site {
            node,
            router_address,
        };
        let until = Instant::now() + PATIENCE;
        while !matches!(site.send("once", "first").await, Told::Own) {
            assert!(Instant::now() < until, "it never serves");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        site
    }

    pub async fn send(&self, route: &str, id: &str) -> Told {
        self.send_within(route, id, PATIENCE).await
    }

    pub async fn send_within(&self, route: &str, id: &str, patience: Duration) -> Told {
        let left_ms = match id.contains("Silence") && !id.starts_with("next") {
            true => 400,
            false => DEADLINE_MS,
        };
        let headers = [
            ("x-tenant-key", KEY),
            ("x-model", "writer"),
            ("x-rushport-job", id),
            ("x-deadline-ms", &left_ms.to_string()),
        ];
        let target = format!("/app/{route}");
        // Cut visibly, or broken off.
        let asked = transport::http_client::send_request(
            self.router_address,
            "POST",
            &target,
            &headers,
            vec![b'x'; 5_000],
            patience,
        );
        match asked.await {
            Ok((200, body)) if body == OWN => Told::Own,
            Ok((200, body)) => panic!("{id}: {} bytes look whole", body.len()),
            Ok((_, body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                match (text.contains("\"not-run\""), text.contains("\"unknown\"")) {
                    (true, false) => Told::NotRun,
                    (false, true) => Told::Unknown,
                    _ => panic!("{id}: {text}"),
                }
            }
            Err(error) => {
                let is_late = matches!(error.cause, HttpClientErrorCause::Timeout);
                assert!(!is_late, "{id}: nothing ends it");
                Told::Broken
            }
        }
    }

    pub fn handed(&self, id: &str) -> usize {
        self.node
            .handed
            .lock()
            .iter()
            .filter(|handed| *handed == id)
            .count()
    }
}

#[derive(Debug, PartialEq, Eq)]
pub enum Told {
    Own,
    NotRun,
    Unknown,
    Broken,
}
