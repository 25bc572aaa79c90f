//! Slow start of engines that are warming up.

use placement::{SlowStart, SLOW_START_RESPONSES};

/// Guards: an engine that restarted gets few requests at first.
#[test]
fn the_limit_grows_with_responses() {
    let limits: Vec<u32> = (0..=SLOW_START_RESPONSES)
        .map(|n| SlowStart::after_responses(n).limit(8))
        .collect();
    assert_eq!(limits[0], 1);
    assert!(limits.is_sorted());
    assert_eq!(limits.last(), Some(&8));
    assert_eq!(SlowStart::after_responses(0).limit(0), 0);
}
