//! Where lookups send the requests of a tenant.

use crate::harness::*;
use residency::{Command, Event, InvalidationScope, Name};

/// Guards: a lookup never goes outside the home regions.
#[test]
fn a_lookup_keeps_to_the_homes() {
    let mut harness = Harness::with_three_regions();
    assert_eq!(harness.cells("ben", "north"), ["s-1"]);
    let ana = harness.cells("ana", "west");
    assert_eq!(ana.len(), 3);
    assert!(ana[0].starts_with("n-") && ana[1].starts_with("n-") && ana[2] == "s-1");
    assert_eq!(
        harness.cells("any", "west")[0],
        "w-1",
        "without a home the client's region is first"
    );
    assert_eq!(
        harness
            .state
            .resolve("ben", "tight", "west")
            .expect_err("no common region")
            .code(),
        "no-place"
    );

    harness.must(evacuate("s-a"));
    assert_eq!(
        harness
            .state
            .resolve("ben", "writer", "south")
            .expect_err("its home is empty")
            .code(),
        "no-place"
    );
    assert_eq!(
        harness.cells("ana", "south").len(),
        3,
        "an evacuated cell stays in the list"
    );
    harness.must(reinstate("s-a"));
    harness.must(evacuate("n-a"));
    let mapping = harness
        .state
        .resolve("ana", "writer", "north")
        .expect("the south is left");
    assert_eq!(mapping.cells[0].0, "s-1");
    assert_eq!(mapping.fresh_ms, 0, "never fresh while its home is drained");
    harness.must(reinstate("n-a"));
    assert_eq!(
        harness
            .state
            .resolve("ana", "writer", "north")
            .expect("it resolves")
            .fresh_ms,
        10_000
    );
}

#[test]
fn a_moved_key_is_never_fresh_until_the_move_is_completed() {
    let mut harness = Harness::with_three_regions();
    let (tenant, service) = (Name::from("ana"), Name::from("writer"));
    let fresh = |harness: &Harness| {
        harness
            .state
            .resolve("ana", "writer", "north")
            .expect("it resolves")
            .fresh_ms
    };
    let first = harness.cells("ana", "north")[0].clone();
    harness.must(move_to("ana", "s-1"));
    assert_eq!(
        (harness.cells("ana", "north")[0].as_str(), fresh(&harness)),
        ("s-1", 0)
    );
    let events = harness.must(Command::CompleteMove {
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
        (harness.cells("ana", "north")[0].as_str(), fresh(&harness)),
        ("s-1", 10_000)
    );
    harness.must(Command::UndoMove { tenant, service });
    assert_eq!(harness.cells("ana", "north")[0], first);
}

/// Guards: what makes a mapping void also makes the whole mapping void that it was taken
/// from. A router restricts a cached mapping to a route's home regions; if an event
/// voided the restricted one alone, the cache would serve the whole one for its time to
/// live, and every request by it would be refused.
#[test]
fn an_event_voids_no_part_of_a_mapping_without_voiding_the_whole() {
    let mut harness = Harness::with_three_regions();
    let homes = [Name::from("north"), Name::from("south")];
    let whole = harness
        .state
        .resolve("any", "writer", "west")
        .expect("it resolves");
    assert_eq!(whole.regions[0].0, "west");
    let mut restricted = whole.clone();
    restricted.regions.retain(|region| homes.contains(region));

    for zone in ["n-a", "s-a", "w-a"] {
        for command in [evacuate(zone), reinstate(zone)] {
            for event in harness.must(command.clone()) {
                let Event::Invalidated(scope) = event else {
                    continue;
                };
                assert!(
                    scope.covers(&whole) || !scope.covers(&restricted),
                    "{command:?}: {scope:?}"
                );
            }
        }
    }
}
