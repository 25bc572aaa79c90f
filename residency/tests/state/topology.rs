//! Updates of the topology file and configuration documents.

use crate::harness::*;
use residency::{
    Command, ConfigDocument, EngineState, Event, InvalidationScope, Outcome, State, UpdateMode,
};
use std::sync::Arc;

#[test]
fn every_error_of_a_topology_file_is_reported_with_its_path() {
    let cases: Vec<(&str, Vec<&str>)> = vec![
        ("{", vec!["line 1, column"]),
        (
            "[]",
            vec!["topology file: expected an object, found a list"],
        ),
        (r#"{"zons":{}}"#, vec!["zons: no such field"]),
        (
            r#"{"zones":{"a":{}}}"#,
            vec!["zones.a.region: expected a text, found nothing"],
        ),
        (
            r#"{"cells":{"c":{"zone":"nowhere"}}}"#,
            vec!["cells.c.zone: there is no zone nowhere"],
        ),
        (
            r#"{"tenants":{"t":{"homes":["mars"],"pace":-1,"fresh":"soon"}}}"#,
            vec![
                "tenants.t.homes[0]: no zone",
                "tenants.t.pace: expected a whole number from 0 to 1000000, found -1",
                "tenants.t.fresh: expected a time such as 30s, 5m or 24h, found \"soon\"",
            ],
        ),
        (
            r#"{"tenants":{"t":{"homes":[]}}}"#,
            vec!["tenants.t.homes: an empty list"],
        ),
        (r#"{"tenants":{"a b":{}}}"#, vec!["tenants.a b: a name is"]),
        (
            r#"{"rules":"door"}"#,
            vec!["rules: line 1, column 5: the line ends"],
        ),
        (
            r#"{"rules":"door a at \"/a/\" tenant bearer\nroute r on a GET \"/a/x\" to service ghost once"}"#,
            vec!["rules: route r names no known service"],
        ),
    ];
    for (text, wanted) in cases {
        let mut harness = Harness::empty();
        let found = harness.rejected(update(UpdateMode::Replace, text));
        for wanted in wanted {
            assert!(found.contains(wanted), "{text}: {found:?} lacks {wanted:?}");
        }
    }
}

#[test]
fn only_what_changed_is_invalidated() {
    let scopes = |events: Vec<Event>| -> Vec<InvalidationScope> {
        let scope = |event| match event {
            Event::Invalidated(scope) => Some(scope),
            _ => None,
        };
        events.into_iter().filter_map(scope).collect()
    };
    let cases: Vec<(Command, Vec<InvalidationScope>)> = vec![
        (
            update(
                UpdateMode::Patch,
                r#"{"tenants":{"ben":{"homes":["south","north"]}}}"#,
            ),
            vec![InvalidationScope::Tenant("ben".into())],
        ),
        (
            update(UpdateMode::Patch, r#"{"tenants":{"new":{}}}"#),
            vec![],
        ),
        (
            update(UpdateMode::Patch, r#"{"tenants":{"ben":null}}"#),
            vec![InvalidationScope::Tenant("ben".into())],
        ),
        (
            update(UpdateMode::Patch, r#"{"cells":{"w-2":{"zone":"w-a"}}}"#),
            vec![InvalidationScope::All],
        ),
        (add_engine("e-n4", "n-1", EngineState::Serving), vec![]),
        (
            add_engine("e-n1", "n-1", EngineState::Draining),
            vec![InvalidationScope::All],
        ),
        (
            evacuate("w-a"),
            vec![InvalidationScope::Region("west".into())],
        ),
    ];
    for (command, wanted) in cases {
        let mut harness = Harness::with_three_regions();
        assert_eq!(scopes(harness.must(command.clone())), wanted, "{command:?}");
    }
}

/// Guards: the document that is read back is the one in force. A topology that was
/// adopted with its document is not updated apart from it.
#[test]
fn an_adopted_topology_is_changed_by_documents_alone() {
    let mut state = State::default();
    let adopt = |revision: u64, based: u64| Command::AdoptDocument {
        config_document: ConfigDocument {
            revision,
            base_revision: based,
            text: format!("document {revision}"),
        },
        text: "{}".into(),
    };
    let update = update(UpdateMode::Replace, "{}");
    let cases = [
        ("a", update.clone(), true),
        ("b", adopt(5, 0), true),
        ("c", update, false),
        ("d", adopt(9, 4), false),
        ("e", adopt(5, 5), false),
        ("f", adopt(9, 5), true),
    ];
    for (epoch, (id, command, is_applied)) in cases.into_iter().enumerate() {
        let (outcome, _) = state.apply(epoch as u64 + 1, &proposal(id, 0, command));
        let was_applied = matches!(outcome, Outcome::Applied { .. });
        assert_eq!(was_applied, is_applied, "{id}: {outcome:?}");
    }
    assert_eq!(
        (
            state.config_document().revision,
            &*state.config_document().text
        ),
        (9, "document 9")
    );
    let back = State::restore(&state.snapshot()).expect("its own snapshot");
    assert_eq!(back.config_document(), state.config_document());
    assert!(back.has_applied("f") && !back.has_applied("c"));
}

#[test]
fn a_removed_tenant_takes_its_keys_along() {
    let mut harness = Harness::with_three_regions();
    let digest = policy::sha256_hex("a key of ben's");
    harness.must(add_key(&digest, "ben"));
    assert!(harness.state.view.keys.contains_key(&digest));
    harness.must(update(UpdateMode::Patch, r#"{"tenants":{"ben":null}}"#));
    assert!(harness.state.view.keys.is_empty());
}

/// Guards: rules are compiled once for each text. A change that leaves them as they are
/// keeps the program, and so do the view and a state that is restored from a snapshot.
#[test]
fn rules_that_do_not_change_are_not_compiled_again() {
    let mut harness = Harness::with_three_regions();
    let before = Arc::clone(&harness.state.topology.program);
    assert!(Arc::ptr_eq(&before, &harness.state.view.program));
    let other_limits = r#"{ "limits": { "idle": "9s" } }"#;
    harness.must(update(UpdateMode::Patch, other_limits));
    let after = &harness.state;
    assert_eq!(after.topology.limits.idle_timeout_ms, 9_000);
    assert!(Arc::ptr_eq(&before, &after.topology.program));
    assert!(Arc::ptr_eq(&before, &after.view.program));
    let restored = State::restore(&after.snapshot()).expect("its own snapshot");
    assert!(Arc::ptr_eq(
        &restored.topology.program,
        &restored.view.program
    ));
    let other_rules = r#"{ "rules": "set fill 50%" }"#;
    harness.must(update(UpdateMode::Patch, other_rules));
    let after = &harness.state;
    assert!(!Arc::ptr_eq(&before, &after.topology.program));
    assert!(Arc::ptr_eq(&after.view.program, &after.topology.program));
    assert_eq!(after.view.rules, "set fill 50%");
}
