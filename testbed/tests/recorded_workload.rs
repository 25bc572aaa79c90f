//! A short recorded day through a small fleet, with everything that operators
//! and machines do in one, judged by the rules.

mod common;

use checker::log_messages;
use common::*;
use simd_json::prelude::*;
use std::collections::BTreeSet;
use testbed::replay;
use testbed::workload::{self, Generation};

const MIX: &str = r#","mix":[
  {"per_second":30,"service":"writer","method":"POST","target":"/app/write","once":true,
   "headers":{"x-tenant-key":"@tenant","x-model":"writer"},"body":{},"shortest":50,"longest":4000,"prefixes":5},
  {"per_second":30,"service":"writer","method":"POST","target":"/form/write","once":false,
   "body":{"key":"@tenant","model":"writer"},"shortest":50,"longest":90000,"prefixes":5},
  {"per_second":20,"service":"pictures","method":"GET","target":"/shop/@tenant/p.png","once":false}
],"events":[
  {"share":0.1,"operator":{"do":"revise","whole":false,"book":{"tenants":{"dora":{}}}}},
  {"share":0.2,"operator":{"do":"engine-state","name":"engine-1","state":"draining"}},
  {"share":0.3,"operator":{"do":"evacuate","zone":"south-a"}},
  {"share":0.4,"machine":"kill","name":"leader"},
  {"share":0.5,"operator":{"do":"give-back","zone":"south-a"}},
  {"share":0.6,"machine":"start","name":"killed"},
  {"share":0.7,"operator":{"do":"engine-state","name":"engine-1","state":"serving"}},
  {"share":0.8,"operator":{"do":"key-gone","tenant":"ben","key":"ben-key-0002"}},
  {"share":0.9,"machine":"kill","name":"engine-2"}
]}"#;

/// Guards: every rule that the checker knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_day_breaks_no_rule() {
    let (folder, mut fleet) = start_fleet("day").await;
    let deployment = DEPLOYMENT
        .trim_end()
        .strip_suffix('}')
        .expect("an object")
        .to_string()
        + MIX;
    let generation = Generation {
        seconds: 8,
        scale: 1.0,
        seed: 11,
    };
    let actions = workload::generate(&deployment, None, &generation).expect("the mix reads");
    let ends = replay::Targets::of_fleet(&fleet);
    replay::play(ends, Some(&mut fleet), actions, &folder.0)
        .await
        .expect("it is played");
    let (journals, findings) = replay::check_rules(&fleet, &folder.0).expect("the journals read");
    let summary = replay::summary(&fleet, &journals)
        .await
        .expect("counters are told");
    assert!(findings.is_empty(), "{findings:#?}\n{summary}");
    let acknowledged = |line: &&simd_json::OwnedValue| line.get("acknowledged").is_some();
    assert_eq!(
        journals.operators.iter().filter(acknowledged).count(),
        6,
        "{summary}"
    );
    let text = |line: &simd_json::OwnedValue, name: &str| {
        line.get(name)
            .and_then(|v| v.as_str())
            .unwrap_or("")
            .to_string()
    };
    let roots: BTreeSet<String> = journals
        .clients
        .iter()
        .map(|line| text(line, "root"))
        .collect();
    let whole = journals
        .clients
        .iter()
        .filter(|line| text(line, "seen") == "whole")
        .count();
    // A checker that is handed nothing finds nothing.
    for message in [
        log_messages::ADMITTED,
        log_messages::DISPATCHED,
        log_messages::BODY_RECEIVED,
    ] {
        let is_logged = |line: &simd_json::OwnedValue| text(line, "what") == message;
        assert!(
            journals.nodes.iter().any(is_logged),
            "no node logged {message:?}"
        );
    }
    assert!(
        whole * 2 > roots.len(),
        "{whole} of {}: {summary}",
        roots.len()
    );
}
