//! Which requests a draining router accepts.

use placement::{Drain, DrainPlan};

const STARTED_MS: u64 = 3_600_000;
const PLAN: DrainPlan = DrainPlan {
    accept_all_ms: 2_500,
    end_by_ms: 7_000,
};

/// Whether a request that arrives so long after the start, with so long to its deadline, is
/// accepted.
fn admits(after_ms: u64, remaining_ms: u64) -> bool {
    let now = STARTED_MS + after_ms;
    Drain::start(PLAN, STARTED_MS).admits(now, now + remaining_ms)
}

#[test]
fn everything_is_accepted_in_the_first_part() {
    for after_ms in [0, 1, 2_499] {
        for remaining_ms in [1, 3_000, 12_000, 1_000_000] {
            assert!(admits(after_ms, remaining_ms), "{after_ms} {remaining_ms}");
        }
    }
}

#[test]
fn after_it_only_what_reaches_its_deadline_in_time() {
    let cases = [
        (2_500, 4_500, true),
        (2_500, 4_501, false),
        (3_100, 12_000, false),
        (3_100, 3_000, true),
        (4_000, 3_000, true),
        (4_001, 3_000, false),
        (9_000, 0, false),
    ];
    for (after_ms, remaining_ms, expected) in cases {
        assert_eq!(
            admits(after_ms, remaining_ms),
            expected,
            "{after_ms} {remaining_ms}"
        );
    }
}

#[test]
fn nothing_that_is_accepted_late_ends_too_late() {
    for after_ms in (2_500..9_000).step_by(7) {
        for remaining_ms in (0..15_000).step_by(11) {
            if admits(after_ms, remaining_ms) {
                assert!(after_ms + remaining_ms <= PLAN.end_by_ms);
            }
        }
    }
}
