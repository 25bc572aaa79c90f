//! The size of a snapshot with the largest documents that the platform sends.

use residency::{Command, ConfigDocument, Engine, EngineState, Outcome, Proposal, State};

const DOCUMENT_BYTES: usize = 60_000;
/// More than `RECENT_PROPOSALS`.
const CHANGES: u64 = 5_000;
const TENANTS: usize = 600;
const ENGINES: u64 = 60;

/// A topology file of about the size of the operators' document.
fn topology() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|number| {
            let name = format!("tenant-{number:04}-{}", "x".repeat(50));
            format!(r#""{name}": {{ "homes": ["north"], "fresh": "10s" }}"#)
        })
        .collect();
    format!(
        r#"{{ "zones": {{ "n-a": {{ "region": "north" }} }}, "cells": {{ "n-1": {{ "zone": "n-a" }} }},
        "services": {{ "writer": {{}} }}, "tenants": {{ {} }},
        "rules": "door app at \"/app/\" tenant header \"k\" model header \"m\"\nroute w on app POST \"/app/w\" to model once" }}"#,
        tenants.join(", ")
    )
}

fn engine(number: u64) -> Command {
    Command::AddEngine(Engine {
        name: format!("engine-{number}").as_str().into(),
        address: format!("127.0.0.1:{}", 1_000 + number),
        cell: "n-1".into(),
        services: vec!["writer".into()],
        slots: 4,
        state: EngineState::Serving,
        warm_up_ms: 0,
    })
}

fn adopt(revision: u64) -> Command {
    let config_document = ConfigDocument {
        revision,
        base_revision: revision - 1,
        text: "d".repeat(DOCUMENT_BYTES),
    };
    Command::AdoptDocument {
        config_document,
        text: topology(),
    }
}

/// A proposal id of the greatest length that the operator API accepts.
fn id(index: u64) -> String {
    format!("{index:064}")
}

/// Guards: snapshots are bounded, however many changes there were, and a restored state
/// recognises duplicates, too.
#[test]
fn a_snapshot_is_bounded_however_many_changes_there_were() {
    let mut state = State::default();
    let mut largest = 0;
    let mut index = 0;
    let mut must = |state: &mut State, command: Command| {
        index += 1;
        let (outcome, _) = state.apply(
            index,
            &Proposal {
                id: id(index),
                base_epoch: 0,
                command,
            },
        );
        assert!(matches!(outcome, Outcome::Applied { .. }), "{outcome:?}");
    };
    must(&mut state, adopt(1));
    for number in 0..CHANGES {
        must(&mut state, engine(number % ENGINES));
        if number % 500 == 0 {
            largest = largest.max(state.snapshot().len());
        }
    }
    must(&mut state, adopt(2));
    let snapshot = state.snapshot();
    largest = largest.max(snapshot.len());
    println!(
        "topology file {} bytes, snapshot {largest} bytes",
        topology().len()
    );
    assert!(largest < 1 << 20, "{largest} bytes");

    let restored = State::restore(&snapshot).expect("it is read back");
    // The members of a JSON object have no order, so bytes may differ.
    assert_eq!(restored.snapshot().len(), snapshot.len());
    assert!(
        restored.view.snapshot() == state.view.snapshot(),
        "the view is the same"
    );
    assert!(
        restored.config_document() == state.config_document(),
        "the document is the same"
    );
    let oldest_kept = index - residency::RECENT_PROPOSALS as u64 + 1;
    assert!(restored.has_applied(&id(index)) && restored.has_applied(&id(oldest_kept)));
    assert!(
        !restored.has_applied(&id(oldest_kept - 1)),
        "the ones before are forgotten"
    );
}
