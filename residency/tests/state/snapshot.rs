//! Snapshots of the state.

use crate::harness::*;
use residency::{Outcome, State, UpdateMode};

/// A snapshot holds everything: a restored state continues as the one that it was taken
/// of.
#[test]
fn a_restored_state_continues_like_the_original() {
    let mut harness = Harness::with_three_regions();
    harness.must(evacuate("s-a"));
    harness.must(move_to("any", "w-1"));
    let mut copy = State::restore(&harness.state.snapshot()).expect("its own snapshot");
    assert_eq!(copy.epoch(), harness.state.epoch());
    assert_eq!(copy.view.snapshot(), harness.state.view.snapshot());
    let again = proposal("id-0", 0, update(UpdateMode::Replace, THREE_REGIONS));
    assert_eq!(copy.apply(99, &again).0, Outcome::Duplicate { epoch: 1 });
    for tenant in ["ana", "ben", "any"] {
        let ask = |state: &State| state.resolve(tenant, "writer", "west").ok();
        assert_eq!(ask(&copy), ask(&harness.state));
    }
    let damaged = &harness.state.snapshot()[..40];
    assert!(State::restore(damaged).is_err());
}
