//! The memory of applied proposals.

use crate::harness::*;
use residency::{Command, ConfigDocument, Name, Outcome, RECENT_PROPOSALS};

#[test]
fn a_retry_of_an_applied_command_stays_a_duplicate() {
    let mut harness = Harness::with_two_regions();
    let base = harness.epoch;
    let Outcome::Applied { epoch } = harness.outcome("one", base, evacuate("n-a")) else {
        panic!("it is applied")
    };
    harness.must(reinstate("n-a"));
    // With the base of its first attempt, and with a newer one.
    for base in [base, harness.epoch] {
        assert_eq!(
            harness.outcome("one", base, evacuate("n-a")),
            Outcome::Duplicate { epoch }
        );
    }
    assert!(harness.state.view.evacuated.is_empty());
    // A command that finds its zone evacuated already is applied without events.
    harness.must(evacuate("n-a"));
    let again = proposal("again", harness.epoch, evacuate("n-a"));
    let (outcome, events) = harness.state.apply(harness.epoch + 1, &again);
    assert!(
        matches!(outcome, Outcome::Applied { .. }) && events.is_empty(),
        "{outcome:?}"
    );
}

fn adopt(revision: u64, base_revision: u64) -> Command {
    let config_document = ConfigDocument {
        revision,
        base_revision,
        text: format!("document {revision} on {base_revision}"),
    };
    Command::AdoptDocument {
        config_document,
        text: TWO_REGIONS.into(),
    }
}

/// Guards: a retry of a configuration change is recognised, whatever the nodes propose by
/// themselves and however many commands came since, as long as no other change was made;
/// and over a day of hundreds of changes also then. Snapshots keep that.
#[test]
fn an_applied_configuration_change_is_remembered() {
    const CHANGES: u64 = 1_000;
    let mut harness = Harness::founded();
    for change in 1..=CHANGES {
        let id = format!("change-{change}");
        let outcome = harness.outcome(&id, 0, adopt(change, change - 1));
        assert!(
            matches!(outcome, Outcome::Applied { .. }),
            "{change}: {outcome:?}"
        );
        for round in 0..10 {
            let incarnation = engine(&format!("e-{change}-{round}"), "n-1");
            let gone = harness
                .state
                .view
                .engines
                .keys()
                .cloned()
                .map(Name)
                .collect();
            harness.must(Command::UpdateEngines {
                engines: vec![incarnation],
                gone,
            });
            harness.must(Command::SetRouterCount(round));
        }
    }
    harness.restart();
    for change in 1..=CHANGES {
        assert!(
            harness.state.has_applied(&format!("change-{change}")),
            "{change}"
        );
    }
    for _ in 0..RECENT_PROPOSALS {
        harness.must(evacuate("n-a"));
        harness.must(reinstate("n-a"));
    }
    harness.restart();
    let newest = format!("change-{CHANGES}");
    assert!(harness.state.has_applied(&newest), "it is the one in force");
    let outcome = harness.outcome(&newest, 0, adopt(CHANGES, CHANGES - 1));
    assert!(matches!(outcome, Outcome::Duplicate { .. }), "{outcome:?}");
    assert!(!harness.state.has_applied("change-1"), "memory is bounded");
    // What is forgotten can't be applied a second time.
    let outcome = harness.outcome("change-1", 0, adopt(1, 0));
    assert!(matches!(outcome, Outcome::Conflict { .. }), "{outcome:?}");
}
