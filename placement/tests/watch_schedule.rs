//! When a router looks at the directory nodes and asks them.

use placement::WatchSchedule;

const LEASE_UNTIL_MS: u64 = 20_000;
/// From when on nodes are asked.
const NEEDED_AT_MS: u64 = LEASE_UNTIL_MS - 1_300;
const EXTENSION_MS: u64 = 15_000;
const SCHEDULE: WatchSchedule = WatchSchedule {
    lease_until_ms: LEASE_UNTIL_MS,
    extension_ms: EXTENSION_MS,
};

/// Guards: a check less than 100 ms before the nodes have to be asked put the next one off by
/// 900 ms, and the router was found cut off only after its grace had ended.
#[test]
fn the_nodes_are_asked_in_time_whenever_the_last_check_was() {
    for now in NEEDED_AT_MS - 2_000..NEEDED_AT_MS {
        let next_ms = SCHEDULE.next_check_ms(now);
        assert!(now < next_ms && next_ms <= NEEDED_AT_MS, "{now}: {next_ms}");
        assert!(next_ms <= now + 900, "{now}: {next_ms}");
    }
}

#[test]
fn nodes_are_asked_often_only_while_their_words_are_of_use() {
    let calm = |now| (SCHEDULE.is_calm(now), SCHEDULE.query_interval_ms(now));
    assert_eq!(calm(NEEDED_AT_MS - 1), (true, 5_000), "leases come");
    assert_eq!(calm(NEEDED_AT_MS), (false, 300));
    assert_eq!(SCHEDULE.next_check_ms(NEEDED_AT_MS), NEEDED_AT_MS + 100);
    let last_ms = LEASE_UNTIL_MS + EXTENSION_MS - 1;
    assert_eq!(calm(last_ms), (false, 300));
    assert_eq!(calm(last_ms + 1), (true, 5_000), "it ended too long ago");
    assert_eq!(SCHEDULE.next_check_ms(last_ms + 1), last_ms + 901);
}

#[test]
fn a_router_without_a_lease_is_calm() {
    let schedule = WatchSchedule {
        lease_until_ms: 0,
        extension_ms: EXTENSION_MS,
    };
    assert!(schedule.is_calm(500));
    assert_eq!(schedule.next_check_ms(500), 1_400);
}
