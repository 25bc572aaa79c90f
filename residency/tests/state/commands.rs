//! Commands that are rejected, duplicates and conflicts.

use crate::harness::*;
use residency::{Command, EngineState, Outcome, UpdateMode};

#[test]
fn commands_that_do_not_fit_the_state_are_rejected_with_a_reason() {
    let cases = [
        (add_key("short", "ana"), "64 hexadecimal digits"),
        (add_key(&"a".repeat(64), "nobody"), "no tenant nobody"),
        (Command::RemoveKey("b".into()), "no such key"),
        (
            add_engine("x", "nowhere", EngineState::Serving),
            "no cell nowhere",
        ),
        (Command::RemoveEngine("x".into()), "no engine x"),
        (
            Command::SetEngineState {
                name: "x".into(),
                state: EngineState::Draining,
            },
            "no engine x",
        ),
        (Command::EvacuateZone("mars".into()), "no zone mars"),
        (move_to("ana", "w-1"), "outside the homes"),
        (move_to("ana", "mars"), "no cell mars"),
        (
            Command::CompleteMove {
                tenant: "ana".into(),
                service: "writer".into(),
            },
            "is not moved",
        ),
        (
            update(UpdateMode::Patch, r#"{"cells":{"n-1":null}}"#),
            "engine e-n1 is listed in cell n-1",
        ),
    ];
    for (command, wanted) in cases {
        let mut harness = Harness::with_three_regions();
        let found = harness.rejected(command.clone());
        assert!(found.contains(wanted), "{command:?}: {found}");
    }
}

/// Guards: a retry is applied once; conflicting changes are rejected, not mixed.
#[test]
fn a_retry_is_a_duplicate_and_a_late_command_a_conflict() {
    let mut harness = Harness::with_three_regions();
    let (first, _) = harness.submit("one", 0, evacuate("n-a"));
    let Outcome::Applied { epoch } = first else {
        panic!("{first:?}")
    };
    assert_eq!(
        harness.submit("one", 0, evacuate("n-a")).0,
        Outcome::Duplicate { epoch }
    );
    let (other, _) = harness.submit("one", 0, reinstate("n-a"));
    assert!(
        matches!(other, Outcome::Rejected(_)),
        "one id stands for one change"
    );
    let (late, _) = harness.submit("two", epoch - 1, reinstate("n-a"));
    assert_eq!(late, Outcome::Conflict { epoch });
    let (based, _) = harness.submit("three", epoch, reinstate("n-a"));
    assert!(matches!(based, Outcome::Applied { .. }));
    // A change of another subject in between is no conflict.
    let base_epoch = harness.epoch;
    harness.must(add_engine("e-n3", "n-1", EngineState::Announced));
    let (based, _) = harness.submit("four", base_epoch, evacuate("n-a"));
    assert!(matches!(based, Outcome::Applied { .. }));
}
