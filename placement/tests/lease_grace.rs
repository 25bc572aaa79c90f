//! How long a router goes on past the end of its lease.

use placement::LeaseGrace;

const GRACE: LeaseGrace = LeaseGrace {
    unconditional_ms: 800,
    partition_ms: 15_000,
};

#[test]
fn the_grace_follows_what_is_known_of_a_partition() {
    let cases = [
        // The lease ends at, cut off until, the router goes on until.
        (0, 0, 0),
        (0, 9_000, 0),
        (5_000, 0, 5_800),
        (5_000, 5_500, 5_800),
        (5_000, 7_000, 7_000),
        (5_000, 40_000, 20_000),
    ];
    for (lease_until_ms, cut_off_until_ms, wanted) in cases {
        let until_ms = GRACE.until_ms(lease_until_ms, cut_off_until_ms);
        assert_eq!(until_ms, wanted, "{lease_until_ms}, {cut_off_until_ms}");
    }
}

/// Guards: the strict settings leave nothing past the lease, whatever the probes show.
#[test]
fn without_a_grace_the_lease_ends_at_its_end() {
    let strict = LeaseGrace::default();
    assert_eq!(strict.until_ms(5_000, 0), 5_000);
    assert_eq!(strict.until_ms(5_000, 9_000), 5_000);
}
