//! Commands that come late, after what they were built on has changed.

use residency::{
    Command, ConfigDocument, DrainTarget, Engine, EngineState, MaintenanceWindow, Name, Outcome,
    Proposal, State, TenantKey, UpdateMode, RECENT_PROPOSALS,
};

const TOPOLOGY: &str = r#"{
  "zones": { "n-a": { "region": "north" }, "s-a": { "region": "south" } },
  "cells": { "n-1": { "zone": "n-a" }, "s-1": { "zone": "s-a" } },
  "services": { "writer": {} },
  "tenants": { "ana": {}, "ben": {} }
}"#;

/// Invariant: `index` is that of the entry applied last.
struct Log {
    state: State,
    index: u64,
}

impl Log {
    /// The first entry founds the cluster.
    fn new() -> Log {
        let mut log = Log {
            state: State::default(),
            index: 1,
        };
        log.must(revise(TOPOLOGY));
        for (name, cell, port) in [("e-n", "n-1", 1001), ("e-s", "s-1", 1002)] {
            log.must(Command::AddEngine(engine(name, cell, port)));
        }
        log
    }

    fn submit(&mut self, id: &str, base: u64, command: Command) -> Outcome {
        self.index += 1;
        self.state
            .apply(
                self.index,
                &Proposal {
                    id: id.into(),
                    base_epoch: base,
                    command,
                },
            )
            .0
    }

    /// Applies a command that is built on what is in force.
    fn must(&mut self, command: Command) -> u64 {
        let (id, base) = (format!("id-{}", self.index), self.index);
        match self.submit(&id, base, command) {
            Outcome::Applied { epoch } => epoch,
            other => panic!("{other:?}"),
        }
    }

    /// Applies `between` and then the late command, whose base is older. Says
    /// whether it was a conflict, which changes nothing.
    fn submit_late(mut self, between: Vec<Command>, late: Command) -> bool {
        let base = self.index;
        let known = self.state.check(&proposal("held", base, late.clone()));
        assert_eq!(known, None, "in time it would be taken: {late:?}");
        for command in between {
            self.must(command);
        }
        // A node that comes back with a snapshot says the same.
        self.state = State::restore(&self.state.snapshot()).expect("it reads back");
        let before = self.state.snapshot();
        match self.submit("held", base, late) {
            Outcome::Conflict { epoch } => {
                assert!(epoch > base);
                assert_eq!(self.state.snapshot(), before);
                true
            }
            Outcome::Applied { .. } => false,
            other => panic!("{other:?}"),
        }
    }
}

/// What came before a command was sent, and what between that and its arrival.
struct Case {
    what: &'static str,
    before: Vec<Command>,
    between: Vec<Command>,
    late: Command,
    is_late: bool,
}

fn proposal(id: &str, base: u64, command: Command) -> Proposal {
    Proposal {
        id: id.into(),
        base_epoch: base,
        command,
    }
}

fn revise(text: &str) -> Command {
    Command::UpdateTopology {
        mode: UpdateMode::Patch,
        text: text.into(),
    }
}

fn engine(name: &str, cell: &str, port: u16) -> Engine {
    Engine {
        name: name.into(),
        address: format!("127.0.0.1:{port}"),
        cell: cell.into(),
        services: vec!["writer".into()],
        slots: 4,
        state: EngineState::Serving,
        warm_up_ms: 0,
    }
}

fn evacuate(zone: &str) -> Command {
    Command::EvacuateZone(zone.into())
}

fn reinstate(zone: &str) -> Command {
    Command::ReinstateZone(zone.into())
}

fn schedule(id: &str, starts_at_s: u64, ends_at_s: u64) -> Command {
    let target = DrainTarget::Zone("n-a".into());
    Command::ScheduleMaintenance(vec![MaintenanceWindow {
        id: id.into(),
        target,
        starts_at_s,
        ends_at_s,
    }])
}

fn key(digit: &str, tenant: &str) -> Command {
    Command::AddKey(TenantKey {
        digest: digit.repeat(64),
        tenant: tenant.into(),
    })
}

fn move_to(cell: &str) -> Command {
    Command::MoveKey {
        tenant: "ana".into(),
        service: "writer".into(),
        cell: cell.into(),
    }
}

/// Guards: an evacuation that a cut held back does not empty a zone again that was
/// taken back meanwhile, and the end of one does not undo a newer evacuation, also
/// one that found its zone evacuated already.
#[test]
fn a_late_order_for_a_zone_is_a_conflict() {
    let case = |what, before, between, late, is_late| Case {
        what,
        before,
        between,
        late,
        is_late,
    };
    let taken_back = vec![evacuate("n-a"), reinstate("n-a")];
    let elsewhere = vec![evacuate("s-a"), reinstate("s-a")];
    let window = vec![
        Command::BeginMaintenance("w".into()),
        Command::EndMaintenance("w".into()),
    ];
    let cases = [
        case(
            "after it was taken back",
            vec![],
            taken_back,
            evacuate("n-a"),
            true,
        ),
        case(
            "after it was said to be open",
            vec![],
            vec![reinstate("n-a")],
            evacuate("n-a"),
            true,
        ),
        case(
            "after it was evacuated anew",
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
            "another zone is no matter",
            vec![],
            elsewhere,
            evacuate("n-a"),
            false,
        ),
        case(
            "other changes are no matter",
            vec![],
            vec![key("a", "ana")],
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
        let mut log = Log::new();
        for command in before {
            log.must(command);
        }
        assert_eq!(log.submit_late(between, late), is_late, "{what}");
    }
}

#[test]
fn a_repeat_of_a_taken_order_stays_one() {
    let mut log = Log::new();
    let base = log.index;
    let Outcome::Applied { epoch } = log.submit("one", base, evacuate("n-a")) else {
        panic!("it is taken")
    };
    log.must(reinstate("n-a"));
    // With the base of its first try, and with one that was read anew.
    for base in [base, log.index] {
        assert_eq!(
            log.submit("one", base, evacuate("n-a")),
            Outcome::Duplicate { epoch }
        );
    }
    assert!(log.state.view.evacuated.is_empty());
    // An order that finds its zone so already is taken and says nothing to routers.
    log.must(evacuate("n-a"));
    let again = proposal("again", log.index, evacuate("n-a"));
    let (outcome, events) = log.state.apply(log.index + 1, &again);
    assert!(
        matches!(outcome, Outcome::Applied { .. }) && events.is_empty(),
        "{outcome:?}"
    );
}

/// Guards: whatever else is submitted does not come true after what it was built on
/// has changed.
#[test]
fn other_late_commands_are_conflicts() {
    let (settle, unpin) = (
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
        revise(&format!(
            r#"{{"tenants":{{"{tenant}":{{"keys":["{}"]}}}}}}"#,
            "b".repeat(64)
        ))
    };
    let cases: Vec<(&str, Vec<Command>, Vec<Command>, Command)> = vec![
        (
            "a move after another",
            vec![],
            vec![move_to("s-1")],
            move_to("n-1"),
        ),
        (
            "a move after it was undone",
            vec![],
            vec![move_to("s-1"), unpin.clone()],
            move_to("s-1"),
        ),
        (
            "settling another move",
            vec![move_to("s-1")],
            vec![move_to("n-1")],
            settle,
        ),
        (
            "unpinning another move",
            vec![move_to("s-1")],
            vec![move_to("n-1")],
            unpin,
        ),
        (
            "a move whose tenant went and came",
            vec![move_to("s-1")],
            vec![
                revise(r#"{"tenants":{"ana":null}}"#),
                revise(r#"{"tenants":{"ana":{}}}"#),
            ],
            move_to("n-1"),
        ),
        (
            "a key that was dropped",
            vec![],
            vec![key("a", "ana"), Command::RemoveKey(digest.clone())],
            key("a", "ana"),
        ),
        (
            "dropping a key that was added anew",
            vec![key("a", "ana")],
            vec![key("a", "ana")],
            Command::RemoveKey(digest),
        ),
        (
            "a key that a revision dropped",
            vec![],
            vec![with_key("ben"), revise(r#"{"tenants":{"ben":null}}"#)],
            key("b", "ana"),
        ),
        (
            "draining an engine after serving",
            vec![],
            vec![draining.clone(), serving],
            draining.clone(),
        ),
        (
            "an older list",
            vec![],
            vec![listed(vec![engine("e-2", "n-1", 1003)], &["e-n"])],
            listed(vec![], &["e-s"]),
        ),
        (
            "a list read before an operator's word",
            vec![],
            vec![draining],
            listed(vec![engine("e-2", "n-1", 1003)], &["e-n"]),
        ),
        (
            "a window that was put off",
            vec![schedule("w", 10, 20)],
            vec![schedule("w", 1_000, 2_000)],
            Command::BeginMaintenance("w".into()),
        ),
        (
            "an older calendar",
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
            "an older revision",
            vec![],
            vec![revise(r#"{"tenants":{"cat":{}}}"#)],
            revise(r#"{"tenants":{"ben":null}}"#),
        ),
    ];
    for (what, before, between, late) in cases {
        let mut log = Log::new();
        for command in before {
            log.must(command);
        }
        assert!(log.submit_late(between, late), "{what}");
    }
}

/// Guards: what is built on nothing at all is late once there is something.
#[test]
fn a_late_first_revision_is_a_conflict() {
    let mut log = Log {
        state: State::default(),
        index: 1,
    };
    let first = proposal("first", log.index, revise(r#"{"zones":{}}"#));
    assert_eq!(log.state.check(&first), None);
    log.must(revise(TOPOLOGY));
    assert!(matches!(
        log.state.check(&first),
        Some(Outcome::Conflict { .. })
    ));
}

/// Guards: an evacuation that was ordered while a maintenance window has its zone
/// empty anyway does not end with the window.
#[test]
fn the_end_of_a_window_keeps_what_was_ordered_meanwhile() {
    for (orders, is_shut) in [
        (vec![], false),
        (vec![evacuate("n-a")], true),
        (vec![evacuate("s-a")], false),
        (vec![evacuate("n-a"), reinstate("n-a")], false),
    ] {
        let mut log = Log::new();
        log.must(schedule("w", 10, 20));
        log.must(Command::BeginMaintenance("w".into()));
        for order in &orders {
            log.must(order.clone());
        }
        log.must(Command::EndMaintenance("w".into()));
        assert_eq!(
            log.state.view.evacuated.contains("n-a"),
            is_shut,
            "{orders:?}"
        );
    }
}

fn adopt(revision: u64, based: u64) -> Command {
    let config_document = ConfigDocument {
        revision,
        base_revision: based,
        text: format!("document {revision} on {based}"),
    };
    Command::AdoptDocument {
        config_document,
        text: TOPOLOGY.into(),
    }
}

/// Guards: a change of the configuration is known again, whatever the nodes submit by
/// themselves and however many orders came since, as long as no other change was
/// made; and over a day of hundreds of changes also then. Snapshots keep that.
#[test]
fn a_taken_change_is_not_forgotten() {
    const CHANGES: u64 = 1_000;
    let mut log = Log {
        state: State::default(),
        index: 1,
    };
    for change in 1..=CHANGES {
        let id = format!("change-{change}");
        let outcome = log.submit(&id, 0, adopt(change, change - 1));
        assert!(
            matches!(outcome, Outcome::Applied { .. }),
            "{change}: {outcome:?}"
        );
        for round in 0..10 {
            let life = engine(&format!("e-{change}-{round}"), "n-1", 1001);
            let gone = log.state.view.engines.keys().cloned().map(Name).collect();
            log.must(Command::UpdateEngines {
                engines: vec![life],
                gone,
            });
            log.must(Command::SetRouterCount(round));
        }
    }
    log.state = State::restore(&log.state.snapshot()).expect("it reads back");
    for change in 1..=CHANGES {
        assert!(
            log.state.has_applied(&format!("change-{change}")),
            "{change}"
        );
    }
    for _ in 0..RECENT_PROPOSALS {
        log.must(evacuate("n-a"));
        log.must(reinstate("n-a"));
    }
    log.state = State::restore(&log.state.snapshot()).expect("it reads back");
    let newest = format!("change-{CHANGES}");
    assert!(log.state.has_applied(&newest), "it is the one in force");
    let outcome = log.submit(&newest, 0, adopt(CHANGES, CHANGES - 1));
    assert!(matches!(outcome, Outcome::Duplicate { .. }), "{outcome:?}");
    assert!(!log.state.has_applied("change-1"), "memory is bounded");
    // What is forgotten can't be taken a second time.
    let outcome = log.submit("change-1", 0, adopt(1, 0));
    assert!(matches!(outcome, Outcome::Conflict { .. }), "{outcome:?}");
}
