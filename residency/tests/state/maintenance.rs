//! Maintenance windows.

use crate::harness::*;
use residency::{Command, DrainTarget, EngineState};

/// Guards: each window begins and ends once, whoever proposes it and how often; what was
/// drained before it stays drained after it.
#[test]
fn each_window_begins_and_ends_once() {
    let zone = |name: &str| DrainTarget::Zone(name.into());
    let mut harness = Harness::with_three_regions();
    harness.must(evacuate("w-a"));
    let schedule = Command::ScheduleMaintenance(vec![
        window("south", zone("s-a"), 100, 200),
        window("west", zone("w-a"), 100, 200),
        window("engine", DrainTarget::Engine("e-n1".into()), 150, 160),
    ]);
    harness.must(schedule.clone());
    let step = |harness: &mut Harness, now: u64| -> Vec<String> {
        for command in harness.state.due(now) {
            harness.must(command.clone());
            // Another leader, or a retry under another id, changes nothing.
            harness.rejected(command);
        }
        assert!(harness.state.due(now).is_empty());
        let evacuated = harness.state.view.evacuated.iter().cloned();
        let drained = harness
            .state
            .view
            .engines
            .values()
            .filter(|engine| engine.state == EngineState::Draining);
        evacuated
            .chain(drained.map(|engine| engine.name.clone()))
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
        assert_eq!(step(&mut harness, now), wanted, "at {now}");
        // The same schedule, submitted again, begins no window again.
        if now == 100 {
            harness.must(schedule.clone());
            assert!(harness.state.due(now).is_empty());
            harness.restart();
        }
    }
    assert!(harness.state.windows().next().is_none());
    let invalid = [
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
        (
            vec![window("x", zone("s-a"), 1, 2); 1_001],
            "at most 1000 windows, found 1001",
        ),
    ];
    for (windows, wanted) in invalid {
        let found = harness.rejected(Command::ScheduleMaintenance(windows));
        assert!(found.contains(wanted), "{found}");
    }
}

/// Guards: an evacuation that was submitted while a maintenance window has its zone
/// drained does not end with the window.
#[test]
fn the_end_of_a_window_keeps_an_evacuation_submitted_meanwhile() {
    for (commands, is_evacuated) in [
        (vec![], false),
        (vec![evacuate("n-a")], true),
        (vec![evacuate("s-a")], false),
        (vec![evacuate("n-a"), reinstate("n-a")], false),
    ] {
        let mut harness = Harness::with_two_regions();
        harness.must(schedule("w", 10, 20));
        harness.must(Command::BeginMaintenance("w".into()));
        for command in &commands {
            harness.must(command.clone());
        }
        harness.must(Command::EndMaintenance("w".into()));
        assert_eq!(
            harness.state.view.evacuated.contains("n-a"),
            is_evacuated,
            "{commands:?}"
        );
    }
}
