//! Fencing: commands that come late, after what they were built on has changed.

use crate::harness::*;
use residency::{Command, Engine, EngineState, Name, Outcome, UpdateMode};

/// What came before a command was sent, and what between that and its arrival.
struct Case {
    what: &'static str,
    before: Vec<Command>,
    between: Vec<Command>,
    late: Command,
    is_late: bool,
}

/// Applies `between` and then the late command, whose base is older. Says whether it was
/// a conflict, which changes nothing.
fn submit_late(mut harness: Harness, between: Vec<Command>, late: Command) -> bool {
    let base_epoch = harness.epoch;
    let known = harness
        .state
        .check(&proposal("late", base_epoch, late.clone()));
    assert_eq!(known, None, "in time it would be applied: {late:?}");
    for command in between {
        harness.must(command);
    }
    // A node that restarts from a snapshot says the same.
    harness.restart();
    let before = harness.state.snapshot();
    match harness.outcome("late", base_epoch, late) {
        Outcome::Conflict { epoch } => {
            assert!(epoch > base_epoch);
            assert_eq!(harness.state.snapshot(), before);
            true
        }
        Outcome::Applied { .. } => false,
        other => panic!("{other:?}"),
    }
}

/// Guards: an evacuation that a network partition delayed does not evacuate a zone that
/// was reinstated meanwhile, and a reinstatement does not undo a newer evacuation, also
/// one that found its zone evacuated already.
#[test]
fn a_late_command_for_a_zone_is_a_conflict() {
    let case = |what, before, between, late, is_late| Case {
        what,
        before,
        between,
        late,
        is_late,
    };
    let reinstated = vec![evacuate("n-a"), reinstate("n-a")];
    let elsewhere = vec![evacuate("s-a"), reinstate("s-a")];
    let window = vec![
        Command::BeginMaintenance("w".into()),
        Command::EndMaintenance("w".into()),
    ];
    let cases = [
        case(
            "after it was reinstated",
            vec![],
            reinstated,
            evacuate("n-a"),
            true,
        ),
        case(
            "after a reinstatement of the open zone",
            vec![],
            vec![reinstate("n-a")],
            evacuate("n-a"),
            true,
        ),
        case(
            "after it was evacuated again",
            vec![evacuate("n-a")],
            vec![evacuate("n-a")],
            reinstate("n-a"),
            true,
        ),
        case(
            "after a window came and went",
            vec![schedule("w", 1, 2)],
            window,
            evacuate("n-a"),
            true,
        ),
        case(
            "another zone changed",
            vec![],
            elsewhere,
            evacuate("n-a"),
            false,
        ),
        case(
            "another subject changed",
            vec![],
            vec![add_key(&"a".repeat(64), "ana")],
            evacuate("n-a"),
            false,
        ),
    ];
    for Case {
        what,
        before,
        between,
        late,
        is_late,
    } in cases
    {
        let mut harness = Harness::with_two_regions();
        for command in before {
            harness.must(command);
        }
        assert_eq!(submit_late(harness, between, late), is_late, "{what}");
    }
}

/// Guards: no other command is applied after what it was built on has changed.
#[test]
fn other_late_commands_are_conflicts() {
    let (complete, undo) = (
        Command::CompleteMove {
            tenant: "ana".into(),
            service: "writer".into(),
        },
        Command::UndoMove {
            tenant: "ana".into(),
            service: "writer".into(),
        },
    );
    let draining = Command::SetEngineState {
        name: "e-n".into(),
        state: EngineState::Draining,
    };
    let serving = Command::SetEngineState {
        name: "e-n".into(),
        state: EngineState::Serving,
    };
    let listed = |engines: Vec<Engine>, gone: &[&str]| Command::UpdateEngines {
        engines,
        gone: gone.iter().copied().map(Name::from).collect(),
    };
    let digest = Name("a".repeat(64));
    let with_key = |tenant: &str| {
        update(
            UpdateMode::Patch,
            &format!(
                r#"{{"tenants":{{"{tenant}":{{"keys":["{}"]}}}}}}"#,
                "b".repeat(64)
            ),
        )
    };
    let cases: Vec<(&str, Vec<Command>, Vec<Command>, Command)> = vec![
        (
            "a move after another",
            vec![],
            vec![move_to("ana", "s-1")],
            move_to("ana", "n-1"),
        ),
        (
            "a move after it was undone",
            vec![],
            vec![move_to("ana", "s-1"), undo.clone()],
            move_to("ana", "s-1"),
        ),
        (
            "completing another move",
            vec![move_to("ana", "s-1")],
            vec![move_to("ana", "n-1")],
            complete,
        ),
        (
            "undoing another move",
            vec![move_to("ana", "s-1")],
            vec![move_to("ana", "n-1")],
            undo,
        ),
        (
            "a move whose tenant was removed and added",
            vec![move_to("ana", "s-1")],
            vec![
                update(UpdateMode::Patch, r#"{"tenants":{"ana":null}}"#),
                update(UpdateMode::Patch, r#"{"tenants":{"ana":{}}}"#),
            ],
            move_to("ana", "n-1"),
        ),
        (
            "a key that was removed",
            vec![],
            vec![
                add_key(&"a".repeat(64), "ana"),
                Command::RemoveKey(digest.clone()),
            ],
            add_key(&"a".repeat(64), "ana"),
        ),
        (
            "removing a key that was added again",
            vec![add_key(&"a".repeat(64), "ana")],
            vec![add_key(&"a".repeat(64), "ana")],
            Command::RemoveKey(digest),
        ),
        (
            "a key that a topology update removed",
            vec![],
            vec![
                with_key("ben"),
                update(UpdateMode::Patch, r#"{"tenants":{"ben":null}}"#),
            ],
            add_key(&"b".repeat(64), "ana"),
        ),
        (
            "draining an engine after serving",
            vec![],
            vec![draining.clone(), serving],
            draining.clone(),
        ),
        (
            "an older engine list",
            vec![],
            vec![listed(vec![engine("e-2", "n-1")], &["e-n"])],
            listed(vec![], &["e-s"]),
        ),
        (
            "an engine list read before an operator's command",
            vec![],
            vec![draining],
            listed(vec![engine("e-2", "n-1")], &["e-n"]),
        ),
        (
            "a window that was postponed",
            vec![schedule("w", 10, 20)],
            vec![schedule("w", 1_000, 2_000)],
            Command::BeginMaintenance("w".into()),
        ),
        (
            "an older schedule",
            vec![],
            vec![schedule("w", 1, 2), schedule("x", 1, 2)],
            schedule("w", 1, 2),
        ),
        (
            "an older count of routers",
            vec![],
            vec![Command::SetRouterCount(7)],
            Command::SetRouterCount(3),
        ),
        (
            "an older topology update",
            vec![],
            vec![update(UpdateMode::Patch, r#"{"tenants":{"cat":{}}}"#)],
            update(UpdateMode::Patch, r#"{"tenants":{"ben":null}}"#),
        ),
    ];
    for (what, before, between, late) in cases {
        let mut harness = Harness::with_two_regions();
        for command in before {
            harness.must(command);
        }
        assert!(submit_late(harness, between, late), "{what}");
    }
}

/// Guards: a command that is built on an empty state is late once there is a topology.
#[test]
fn a_late_first_update_is_a_conflict() {
    let mut harness = Harness::founded();
    let first = proposal(
        "first",
        harness.epoch,
        update(UpdateMode::Patch, r#"{"zones":{}}"#),
    );
    assert_eq!(harness.state.check(&first), None);
    harness.must(update(UpdateMode::Patch, TWO_REGIONS));
    assert!(matches!(
        harness.state.check(&first),
        Some(Outcome::Conflict { .. })
    ));
}
