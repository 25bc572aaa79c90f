//! Violations are counted by invariant, and shown among the counters.

use simd_json::prelude::*;
use telemetry::invariants::{check, counters, violations, Invariant};
use telemetry::metrics::Metrics;

#[test]
fn a_violation_is_counted_for_its_own_invariant_alone() {
    let (violated, kept) = (
        Invariant::AcceptedRequestOutlastsDrain,
        Invariant::LookupWithinHomeRegions,
    );
    let unasked = || -> &str { panic!("a detail is asked for only where it does not hold") };
    assert!(check(violated, true, unasked));
    assert_eq!(violations(violated), 0);
    assert!(!check(violated, false, || "request 7 was cut"));
    assert!(!check(violated, false, || "request 8 was cut"));
    assert_eq!((violations(violated), violations(kept)), (2, 0));
    let shown = Metrics::default().to_json();
    let count = |name: &str| shown.get_u64(name);
    assert_eq!(count("violations_accepted_request_outlasts_drain"), Some(2));
    assert_eq!(count("violations_lookup_within_homes"), Some(0));
    assert_eq!(counters().count(), 2);
}
