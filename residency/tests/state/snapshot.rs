//! Snapshots of the state.

use crate::harness::*;
use residency::{Outcome, State, UpdateMode};

/// Guards: a read that a majority has confirmed is not answered from a state that was put
/// back since, as when a node goes on from what its disk holds.
#[test]
fn a_confirmed_read_is_refused_by_an_older_state() {
    let mut harness = Harness::with_two_regions();
    let older = harness.state.snapshot();
    let older_epoch = harness.state.epoch();
    harness.must(evacuate("n-a"));
    let confirmed = harness.state.epoch();
    let read = |state: &State| state.view.evacuated.contains("n-a");
    assert_eq!(harness.state.read_confirmed(confirmed, read), Some(true));
    let state = State::restore(&older).expect("its own snapshot");
    assert_eq!(state.read_confirmed(confirmed, read), None);
    assert_eq!(state.read_confirmed(older_epoch, read), Some(false));
}

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
