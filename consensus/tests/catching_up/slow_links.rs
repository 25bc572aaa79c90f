//! Catching up over links that carry little, and lose messages.

use crate::harness::{catch_up, lead, put_behind};
use crate::support::cluster::{Cluster, Conditions};
use crate::support::traffic::Traffic;
use consensus::node::SnapshotPolicy;

const MEGABIT_PER_S: u64 = 125_000;
/// Longer than any row below takes.
const LIMIT_MS: u64 = 60_000;
/// Round trips and heartbeats in which the link carries nothing.
const IDLE_MS: u64 = 1_500;
/// An entry with a whole document of 1,500 routes and a snapshot of it, as they are sent:
/// compressed (`residency/tests`, `protocol/tests/formats`).
const LARGE_DOCUMENT_BYTES: usize = 66_068;
const LARGE_SNAPSHOT_BYTES: usize = 98_983;
/// Eleven large documents, as on disk: 8 MiB of 771,952 bytes each before compression.
const SNAPSHOT_AFTER_BYTES: usize = 11 * LARGE_DOCUMENT_BYTES;

/// What a member lacks.
struct Lag {
    changes: u64,
    change_bytes: usize,
    state_bytes: usize,
}

const LAGS: [Lag; 3] = [
    Lag {
        changes: 300,
        change_bytes: 1_000,
        state_bytes: 20_000,
    },
    Lag {
        changes: 3_000,
        change_bytes: 1_000,
        state_bytes: 20_000,
    },
    Lag {
        changes: 40,
        change_bytes: LARGE_DOCUMENT_BYTES,
        state_bytes: LARGE_SNAPSHOT_BYTES,
    },
];

/// Guards: a member that is behind counts again, however slow its links: nothing that is
/// too long for a moment is given up and sent anew. Ten seeds each; the slowest is printed.
#[test]
fn a_member_catches_up_over_slow_and_lossy_links() {
    for lag in &LAGS {
        for megabits in [1, 4] {
            for lost_permille in [0, 100] {
                let runs = (1..=10).map(|seed| catch_up_over(lag, megabits, lost_permille, seed));
                let (took_ms, traffic) =
                    runs.max_by_key(|(took_ms, _)| *took_ms).expect("ten runs");
                println!(
                    "{} changes of {} bytes behind, {megabits} Mbit/s, {lost_permille} of 1,000 \
                     lost: {took_ms} ms, {traffic:?}",
                    lag.changes, lag.change_bytes
                );
            }
        }
    }
}

/// One member catches up, and leads afterwards. How long it took, and what it was sent.
fn catch_up_over(lag: &Lag, megabits: u64, lost_permille: u64, seed: u64) -> (u64, Traffic) {
    let conditions = Conditions {
        change_bytes: lag.change_bytes,
        state_bytes: lag.state_bytes,
        policy: SnapshotPolicy {
            entries: 256,
            bytes: SNAPSHOT_AFTER_BYTES,
        },
        seed,
        ..Conditions::default()
    };
    let mut cluster = Cluster::led(5, conditions);
    let at = put_behind(&mut cluster, lag.changes);
    cluster.conditions.link_bytes_per_s = Some(megabits * MEGABIT_PER_S);
    cluster.conditions.lost_permille = lost_permille;
    let (took_ms, traffic) = catch_up(&mut cluster, at, LIMIT_MS);
    let carried_ms = traffic.bytes * 1_000 / (megabits * MEGABIT_PER_S);
    assert!(
        took_ms <= carried_ms + IDLE_MS,
        "the link is kept busy: {took_ms} ms, {traffic:?}"
    );
    assert!(
        traffic.snapshots <= 1 + lost_permille / 10,
        "sent once but for losses"
    );
    cluster.conditions.lost_permille = 0;
    lead(&mut cluster, at);
    (took_ms, traffic)
}
