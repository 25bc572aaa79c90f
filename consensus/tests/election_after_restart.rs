//! How long it takes until a leader serves after all members stopped and started again.
//!
//! Run with `--nocapture` for the figures.

mod support;

use support::cluster::{Cluster, Conditions};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=300;
const MEMBERS: usize = 5;
/// Members that start together do so within this time.
const START_SPREAD_MS: u64 = 200;
const PATIENCE_MS: u64 = 20_000;

/// From the last start until a leader has committed an entry of its own term, in
/// milliseconds, for each seed.
fn times_to_leader(restarted: usize, link_ms: u64) -> Vec<u64> {
    let time_to_leader = |seed: u64| {
        let conditions = Conditions {
            seed,
            link_ms,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(MEMBERS, conditions);
        cluster.schedule_proposals(20, 10);
        cluster.run(1_000);
        (0..MEMBERS).for_each(|at| cluster.crash(at));
        let starts: Vec<u64> = (0..restarted)
            .map(|at| {
                let after_ms = cluster.draw(START_SPREAD_MS);
                cluster.start_after(after_ms, at);
                after_ms
            })
            .collect();
        let is_led = |cluster: &Cluster| cluster.settled_leader().is_some();
        let took_ms = cluster.run_until(PATIENCE_MS, is_led);
        let last_start_ms = starts.into_iter().max().unwrap_or_default();
        let took_ms = took_ms.unwrap_or_else(|| panic!("seed {seed}: no leader"));
        took_ms.saturating_sub(last_start_ms)
    };
    let mut times: Vec<u64> = SEEDS.map(time_to_leader).collect();
    times.sort_unstable();
    times
}

/// Guards: after a restart of all members, or of a bare majority, they elect a leader
/// without waiting out election time-outs. Bounds are in virtual time.
#[test]
fn a_leader_serves_soon_after_all_members_were_restarted() {
    for (restarted, link_ms, median_bound_ms, bound_ms) in [
        (5, 20, 250, 1_000),
        (3, 20, 300, 600),
        (5, 55, 450, 1_300),
        (3, 55, 550, 800),
    ] {
        let times = times_to_leader(restarted, link_ms);
        let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
        let late = times[times.len() * 95 / 100];
        println!(
            "{restarted} of {MEMBERS}, links of {link_ms} ms: median {median}, 95th {late}, most {most} ms"
        );
        assert!(median <= median_bound_ms, "median {median}");
        assert!(most <= bound_ms, "most {most}");
    }
}
