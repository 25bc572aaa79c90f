//! Snapshots of the state, proposals, and events as a router takes them.

use crate::allocation::peak_bytes;
use crate::mutations::{config, max_memory_bytes, mutate, mutations};
use crate::samples::{commands, events};
use consensus::codec::{from_bytes, to_bytes};
use proptest::prelude::*;
use proptest::sample::Index;
use residency::{Proposal, State, Topology, View};

pub const TOPOLOGY: &str = r#"{
    "zones": { "north-a": { "region": "north" }, "south-a": { "region": "south" } },
    "cells": { "north-1": { "zone": "north-a" }, "south-1": { "zone": "south-a" } },
    "services": { "writer": {}, "pictures": {} },
    "tenants": { "ana": { "homes": ["north"] } },
    "rules": [
        "door app at \"/app/\" tenant header \"x-tenant-key\" model header \"x-model\"",
        "route write on app POST \"/app/write\" to model once deadline 30s"
    ]
}"#;

fn state() -> State {
    let mut state = State::default();
    let revise = residency::Command::UpdateTopology {
        mode: residency::UpdateMode::Replace,
        text: TOPOLOGY.into(),
    };
    for (command, epoch) in std::iter::once(revise).chain(commands()).zip(1..) {
        state.apply(
            epoch,
            &Proposal {
                id: format!("s-{epoch}"),
                base_epoch: 0,
                command,
            },
        );
    }
    assert!(!state.view.engines.is_empty());
    state
}

#[test]
fn a_snapshot_round_trips_and_no_prefix_of_it_restores() {
    let bytes = state().snapshot();
    let again = State::restore(&bytes).expect("its own snapshot");
    assert_eq!(again.snapshot(), bytes);
    for cut in 1..bytes.len() {
        assert!(
            State::restore(&bytes[..cut]).is_err(),
            "{cut} of {} bytes",
            bytes.len()
        );
    }
}

proptest! {
    #![proptest_config(config(1_000))]

    /// A changed snapshot is refused in words, or is a state that works.
    #[test]
    fn mutated_snapshots_restore_or_are_rejected(mutations in mutations()) {
        let bytes = mutate(&state().snapshot(), &mutations);
        match State::restore(&bytes) {
            Ok(mut state) => {
                for (command, epoch) in commands().into_iter().zip(1_000..) {
                    let proposal = Proposal { id: format!("t-{epoch}"), base_epoch: 0, command };
                    state.apply(epoch, &proposal);
                }
                drop(state.resolve("ana", "writer", "north"));
                assert!(State::restore(&state.snapshot()).is_ok());
            }
            Err(error) => assert!(!error.to_string().is_empty()),
        }
    }

    /// A changed proposal is refused, or does to a state what it says.
    #[test]
    fn mutated_proposals_decode_or_are_rejected(which in any::<Index>(), mutations in mutations()) {
        let all = commands();
        let command = all[which.index(all.len())].clone();
        let proposal = Proposal { id: "s".into(), base_epoch: 0, command };
        let bytes = mutate(&to_bytes(&proposal), &mutations);
        let (read, most) = peak_bytes(|| from_bytes::<Proposal>(&bytes));
        prop_assert!(most <= max_memory_bytes(bytes.len()), "{} bytes of memory", most);
        if let Ok(read) = read {
            prop_assert_eq!(from_bytes::<Proposal>(&to_bytes(&read)), Ok(read.clone()));
            let mut state = state();
            state.check(&read);
            state.apply(1_000, &read);
            assert!(State::restore(&state.snapshot()).is_ok());
        }
    }

    /// A view takes any events that can be read.
    #[test]
    fn mutated_events_are_applied(which in any::<Index>(), mutations in mutations()) {
        let all = events();
        let bytes = mutate(&to_bytes(&all[which.index(all.len())]), &mutations);
        if let Ok(event) = from_bytes::<residency::Event>(&bytes) {
            let mut view = View::default();
            view.apply(&event);
            view.snapshot();
        }
    }

    /// Books that are JSON of any shape are read, or refused in words.
    #[test]
    fn mutated_topologies_are_read_or_rejected(mutations in mutations()) {
        let bytes = mutate(TOPOLOGY.as_bytes(), &mutations);
        if let Ok(text) = std::str::from_utf8(&bytes) {
            match residency::parse_json(text).map(|value| Topology::from_json(&value)) {
                Ok(Ok(_)) => {}
                Ok(Err(errors)) => assert!(!errors.0.is_empty() && errors.0.iter().all(|error| !error.to_string().is_empty())),
                Err(error) => assert!(!error.to_string().is_empty()),
            }
        }
    }
}

/// Guards: a document is refused for its depth, not by the end of a thread's stack.
#[test]
fn unbounded_nesting_is_rejected() {
    for open in ["[", "{\"a\":", "[{\"a\":"] {
        for depth in [10, 1_000, 100_000] {
            let text = open.repeat(depth);
            assert!(
                residency::parse_json(&text).is_err(),
                "{open} {depth} times"
            );
        }
    }
    let whole = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    assert!(
        residency::parse_json(&whole).is_err(),
        "closed as often as opened"
    );
}
