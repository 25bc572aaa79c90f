//! Tables of what each command does to the state, and what it refuses.

use residency::{
    Command, DrainTarget, Engine, EngineState, Event, InvalidationScope, MaintenanceWindow, Name,
    Outcome, Proposal, State, TenantKey, UpdateMode,
};

const TOPOLOGY: &str = r#"{
  "zones": { "n-a": { "region": "north" }, "s-a": { "region": "south" }, "w-a": { "region": "west" } },
  "cells": { "n-1": { "zone": "n-a" }, "n-2": { "zone": "n-a" }, "s-1": { "zone": "s-a" }, "w-1": { "zone": "w-a" } },
  "services": { "writer": {}, "tight": { "homes": ["west"] } },
  "tenants": { "ana": { "homes": ["north", "south"], "fresh": "10s" }, "ben": { "homes": ["south"] }, "any": {} },
  "rules": "door app at \"/app/\" tenant header \"k\" model header \"m\"\nroute w on app POST \"/app/w\" to model once"
}"#;

fn update(mode: UpdateMode, text: &str) -> Command {
    Command::UpdateTopology {
        mode,
        text: text.into(),
    }
}

fn engine(name: &str, cell: &str, state: EngineState) -> Command {
    let number: u32 = name.bytes().map(u32::from).sum();
    Command::AddEngine(Engine {
        name: name.into(),
        address: format!("127.0.0.1:{}", 1000 + number),
        cell: cell.into(),
        services: vec!["writer".into()],
        slots: 4,
        state,
        warm_up_ms: 0,
    })
}

/// Invariant: `epoch` is the index of the entry applied last.
struct Bench {
    state: State,
    epoch: u64,
}

impl Bench {
    fn new() -> Bench {
        let mut bench = Bench {
            state: State::default(),
            epoch: 0,
        };
        bench.must(update(UpdateMode::Replace, TOPOLOGY));
        for (name, cell) in [
            ("e-n1", "n-1"),
            ("e-n2", "n-2"),
            ("e-s1", "s-1"),
            ("e-w1", "w-1"),
        ] {
            bench.must(engine(name, cell, EngineState::Serving));
        }
        bench
    }

    fn submit(&mut self, id: &str, base: u64, command: Command) -> (Outcome, Vec<Event>) {
        self.epoch += 1;
        self.state.apply(
            self.epoch,
            &Proposal {
                id: id.into(),
                base_epoch: base,
                command,
            },
        )
    }

    fn must(&mut self, command: Command) -> Vec<Event> {
        let id = format!("id-{}", self.epoch);
        match self.submit(&id, 0, command) {
            (Outcome::Applied { .. }, events) => events,
            (other, _) => panic!("{other:?}"),
        }
    }

    fn refused(&mut self, command: Command) -> String {
        let before = self.state.snapshot();
        let id = format!("id-{}", self.epoch);
        let (outcome, events) = self.submit(&id, 0, command);
        assert!(events.is_empty());
        let sizes = (before.len(), self.state.snapshot().len());
        assert_eq!(sizes.0, sizes.1, "a refused change changes nothing");
        match outcome {
            Outcome::Rejected(text) => text,
            other => panic!("{other:?}"),
        }
    }

    fn cells(&self, tenant: &str, asker: &str) -> Vec<String> {
        let mapping = self
            .state
            .resolve(tenant, "writer", asker)
            .expect("it resolves");
        mapping.cells.iter().map(|cell| cell.0.clone()).collect()
    }
}

#[test]
fn bad_revisions_say_every_fault_and_its_place() {
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
        let mut bench = Bench {
            state: State::default(),
            epoch: 0,
        };
        let found = bench.refused(update(UpdateMode::Replace, text));
        for wanted in wanted {
            assert!(found.contains(wanted), "{text}: {found:?} lacks {wanted:?}");
        }
    }
}

#[test]
fn what_is_refused_and_why() {
    let key = |digest: &str, tenant: &str| {
        Command::AddKey(TenantKey {
            digest: digest.into(),
            tenant: tenant.into(),
        })
    };
    let pair = |tenant: &str, cell: &str| Command::MoveKey {
        tenant: tenant.into(),
        service: "writer".into(),
        cell: cell.into(),
    };
    let cases = [
        (key("short", "ana"), "64 hexadecimal digits"),
        (key(&"a".repeat(64), "nobody"), "no tenant nobody"),
        (Command::RemoveKey("b".into()), "no such key"),
        (
            engine("x", "nowhere", EngineState::Serving),
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
        (pair("ana", "w-1"), "outside the homes"),
        (pair("ana", "mars"), "no cell mars"),
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
        let mut bench = Bench::new();
        let found = bench.refused(command.clone());
        assert!(found.contains(wanted), "{command:?}: {found}");
    }
}

/// Guards: a repeat is applied once; colliding changes are refused, not mixed.
#[test]
fn repeats_and_collisions() {
    let mut bench = Bench::new();
    let evacuate = || Command::EvacuateZone("n-a".into());
    let (first, _) = bench.submit("one", 0, evacuate());
    let Outcome::Applied { epoch } = first else {
        panic!("{first:?}")
    };
    assert_eq!(
        bench.submit("one", 0, evacuate()).0,
        Outcome::Duplicate { epoch }
    );
    let (other, _) = bench.submit("one", 0, Command::ReinstateZone("n-a".into()));
    assert!(
        matches!(other, Outcome::Rejected(_)),
        "one id stands for one change"
    );
    let (late, _) = bench.submit("two", epoch - 1, Command::ReinstateZone("n-a".into()));
    assert_eq!(late, Outcome::Conflict { epoch });
    let (based, _) = bench.submit("three", epoch, Command::ReinstateZone("n-a".into()));
    assert!(matches!(based, Outcome::Applied { .. }));
    // Another kind's change in between is no collision.
    let mark = bench.epoch;
    bench.must(engine("e-n3", "n-1", EngineState::Coming));
    let (based, _) = bench.submit("four", mark, evacuate());
    assert!(matches!(based, Outcome::Applied { .. }));
}

/// Guards: nothing ever widens homes.
#[test]
fn resolving_keeps_to_homes() {
    let mut bench = Bench::new();
    assert_eq!(bench.cells("ben", "north"), ["s-1"]);
    let ana = bench.cells("ana", "west");
    assert_eq!(ana.len(), 3);
    assert!(ana[0].starts_with("n-") && ana[1].starts_with("n-") && ana[2] == "s-1");
    assert_eq!(
        bench.cells("any", "west")[0],
        "w-1",
        "without a home the caller's region is first"
    );
    assert_eq!(
        bench
            .state
            .resolve("ben", "tight", "west")
            .expect_err("no common region")
            .code(),
        "no-place"
    );

    bench.must(Command::EvacuateZone("s-a".into()));
    assert_eq!(
        bench
            .state
            .resolve("ben", "writer", "south")
            .expect_err("its home is empty")
            .code(),
        "no-place"
    );
    assert_eq!(
        bench.cells("ana", "south").len(),
        3,
        "an evacuated spill cell keeps its place"
    );
    bench.must(Command::ReinstateZone("s-a".into()));
    bench.must(Command::EvacuateZone("n-a".into()));
    let mapping = bench
        .state
        .resolve("ana", "writer", "north")
        .expect("the south is left");
    assert_eq!(mapping.cells[0].0, "s-1");
    assert_eq!(mapping.fresh_ms, 0, "never fresh while its home is drained");
    bench.must(Command::ReinstateZone("n-a".into()));
    assert_eq!(
        bench
            .state
            .resolve("ana", "writer", "north")
            .expect("it resolves")
            .fresh_ms,
        10_000
    );
}

#[test]
fn a_move_is_never_fresh_until_settled() {
    let mut bench = Bench::new();
    let (tenant, service) = (Name::from("ana"), Name::from("writer"));
    let fresh = |bench: &Bench| {
        bench
            .state
            .resolve("ana", "writer", "north")
            .expect("it resolves")
            .fresh_ms
    };
    let first = bench.cells("ana", "north")[0].clone();
    bench.must(Command::MoveKey {
        tenant: tenant.clone(),
        service: service.clone(),
        cell: "s-1".into(),
    });
    assert_eq!(
        (bench.cells("ana", "north")[0].as_str(), fresh(&bench)),
        ("s-1", 0)
    );
    let events = bench.must(Command::CompleteMove {
        tenant: tenant.clone(),
        service: service.clone(),
    });
    assert_eq!(
        events,
        [Event::Invalidated(InvalidationScope::Key(
            "ana/writer".into()
        ))]
    );
    assert_eq!(
        (bench.cells("ana", "north")[0].as_str(), fresh(&bench)),
        ("s-1", 10_000)
    );
    bench.must(Command::UndoMove { tenant, service });
    assert_eq!(bench.cells("ana", "north")[0], first);
}

#[test]
fn only_what_changed_is_touched() {
    let touches = |events: Vec<Event>| -> Vec<InvalidationScope> {
        let touch = |event| match event {
            Event::Invalidated(touch) => Some(touch),
            _ => None,
        };
        events.into_iter().filter_map(touch).collect()
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
        (engine("e-n4", "n-1", EngineState::Serving), vec![]),
        (
            engine("e-n1", "n-1", EngineState::Draining),
            vec![InvalidationScope::All],
        ),
        (
            Command::EvacuateZone("w-a".into()),
            vec![InvalidationScope::Home("west".into())],
        ),
    ];
    for (command, wanted) in cases {
        let mut bench = Bench::new();
        assert_eq!(touches(bench.must(command.clone())), wanted, "{command:?}");
    }
}

#[test]
fn a_tenant_that_goes_takes_its_keys_along() {
    let mut bench = Bench::new();
    let digest = policy::sha256_hex("a key of ben's");
    bench.must(Command::AddKey(TenantKey {
        digest: digest.clone(),
        tenant: "ben".into(),
    }));
    assert!(bench.state.view.keys.contains_key(&digest));
    bench.must(update(UpdateMode::Patch, r#"{"tenants":{"ben":null}}"#));
    assert!(bench.state.view.keys.is_empty());
}

/// Each window begins and ends once, whoever asks for it and how often; what
/// was shut before it stays shut after it.
#[test]
fn windows_turn_once_each() {
    let window =
        |id: &str, target: DrainTarget, starts_at_s: u64, ends_at_s: u64| MaintenanceWindow {
            id: id.into(),
            target,
            starts_at_s,
            ends_at_s,
        };
    let zone = |name: &str| DrainTarget::Zone(name.into());
    let mut bench = Bench::new();
    bench.must(Command::EvacuateZone("w-a".into()));
    let schedule = Command::ScheduleMaintenance(vec![
        window("south", zone("s-a"), 100, 200),
        window("west", zone("w-a"), 100, 200),
        window("engine", DrainTarget::Engine("e-n1".into()), 150, 160),
    ]);
    bench.must(schedule.clone());
    let step = |bench: &mut Bench, now: u64| -> Vec<String> {
        for command in bench.state.due(now) {
            bench.must(command.clone());
            // Another leader, or a repeat under another id, changes nothing.
            bench.refused(command);
        }
        assert!(bench.state.due(now).is_empty());
        let shut = bench.state.view.evacuated.iter().cloned();
        let drained = bench
            .state
            .view
            .engines
            .values()
            .filter(|e| e.state == EngineState::Draining);
        shut.chain(drained.map(|engine| engine.name.clone()))
            .collect()
    };
    let cases: Vec<(u64, Vec<&str>)> = vec![
        (99, vec!["w-a"]),
        (100, vec!["s-a", "w-a"]),
        (150, vec!["s-a", "w-a", "e-n1"]),
        (160, vec!["s-a", "w-a"]),
        (200, vec!["w-a"]),
        (999, vec!["w-a"]),
    ];
    for (now, wanted) in cases {
        assert_eq!(step(&mut bench, now), wanted, "at {now}");
        // The same calendar read once more brings nothing back that has begun.
        if now == 100 {
            bench.must(schedule.clone());
            assert!(bench.state.due(now).is_empty());
            bench.state = State::restore(&bench.state.snapshot()).expect("it reads back");
        }
    }
    assert!(bench.state.windows().next().is_none());
    let odd = [
        (vec![window("x", zone("mars"), 1, 2)], "is not known"),
        (
            vec![window("x", zone("s-a"), 2, 2)],
            "ends before it begins",
        ),
        (
            vec![
                window("x", zone("s-a"), 1, 2),
                window("x", zone("n-a"), 1, 2),
            ],
            "stands twice",
        ),
    ];
    for (windows, wanted) in odd {
        let found = bench.refused(Command::ScheduleMaintenance(windows));
        assert!(found.contains(wanted), "{found}");
    }
}

/// A picture holds everything: it continues as the state that it was taken of.
#[test]
fn a_picture_goes_on_like_its_original() {
    let mut bench = Bench::new();
    bench.must(Command::EvacuateZone("s-a".into()));
    bench.must(Command::MoveKey {
        tenant: "any".into(),
        service: "writer".into(),
        cell: "w-1".into(),
    });
    let mut copy = State::restore(&bench.state.snapshot()).expect("a picture reads back");
    assert_eq!(copy.epoch(), bench.state.epoch());
    assert_eq!(copy.view.snapshot(), bench.state.view.snapshot());
    let again = Proposal {
        id: "id-0".into(),
        base_epoch: 0,
        command: update(UpdateMode::Replace, TOPOLOGY),
    };
    assert_eq!(copy.apply(99, &again).0, Outcome::Duplicate { epoch: 1 });
    for tenant in ["ana", "ben", "any"] {
        let ask = |state: &State| state.resolve(tenant, "writer", "west").ok();
        assert_eq!(ask(&copy), ask(&bench.state));
    }
    let damaged = &bench.state.snapshot()[..40];
    assert!(State::restore(damaged).is_err());
}

/// Guards: what is read back is what is in force. A book that was adopted with its
/// document is not revised past it.
#[test]
fn an_adopted_book_is_revised_by_documents_alone() {
    use residency::ConfigDocument;
    let mut state = State::default();
    let proposal = |id: &str, command: Command| Proposal {
        id: id.into(),
        base_epoch: 0,
        command,
    };
    let adopt = |revision: u64, based: u64| Command::AdoptDocument {
        config_document: ConfigDocument {
            revision,
            base_revision: based,
            text: format!("document {revision}"),
        },
        text: "{}".into(),
    };
    let revise = Command::UpdateTopology {
        mode: UpdateMode::Replace,
        text: "{}".into(),
    };
    let cases = [
        ("a", revise.clone(), true),
        ("b", adopt(5, 0), true),
        ("c", revise, false),
        ("d", adopt(9, 4), false),
        ("e", adopt(5, 5), false),
        ("f", adopt(9, 5), true),
    ];
    for (epoch, (id, command, is_taken)) in cases.into_iter().enumerate() {
        let (outcome, _) = state.apply(epoch as u64 + 1, &proposal(id, command));
        let was_taken = matches!(outcome, residency::Outcome::Applied { .. });
        assert_eq!(was_taken, is_taken, "{id}: {outcome:?}");
    }
    assert_eq!(
        (
            state.config_document().revision,
            &*state.config_document().text
        ),
        (9, "document 9")
    );
    let back = State::restore(&state.snapshot()).expect("its picture reads");
    assert_eq!(back.config_document(), state.config_document());
    assert!(back.has_applied("f") && !back.has_applied("c"));
}
