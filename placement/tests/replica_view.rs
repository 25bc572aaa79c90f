//! The view and the lease of a router, over faulty sessions.

mod common;

use common::draws;
use placement::ReplicaView;
use residency::{Event, Name};

/// Guards: nobody falls back to an older epoch; a change is in force within
/// 3 s, since no lease outlives what it did not know. A router goes from
/// node to node, each of which is behind by something; frames come late.
#[test]
fn a_lease_never_covers_an_entry_that_the_router_lacks() {
    for seed in 0..400 {
        let mut draw = draws(seed);
        // When each epoch counted.
        let mut counted: Vec<u64> = vec![0];
        let mut following = ReplicaView::default();
        let (mut number, mut node, mut said) = (0u64, 0u64, 0u64);
        let mut leases: Vec<(u64, u64, u64)> = Vec::new();
        let (mut highest, mut taken, mut stuck) = (0, 0, 0);
        for now in (10_000..40_000u64).step_by(10) {
            if draw(40) == 0 {
                counted.push(now);
            }
            let newest = counted.len() as u64 - 1;
            if draw(150) == 0 {
                // Another node, which may know less: its picture comes first.
                following.begin_session();
                leases.clear();
                node = newest.saturating_sub(draw(6));
                said = node;
                drop(following.apply_snapshot(node, &[]));
            }
            // Some are stuck behind for seconds, and pass leases on.
            if draw(600) == 0 {
                stuck = now + draw(6_000);
            }
            if now >= stuck {
                node = (node + draw(3)).min(newest).max(node);
            }
            if draw(3) == 0 && said < node {
                let gone = [Event::ZoneReinstated(Name("z".into()))];
                // Sometimes a frame is lost, and the next one does not fit.
                said += 1 + u64::from(draw(30) == 0);
                if following.apply_events(said - 1, said, &gone).is_err() {
                    said = node;
                    drop(following.apply_snapshot(node, &[]));
                }
            }
            if draw(30) == 0 {
                number += 1;
                following.record_heartbeat(now, number);
                // The leader confirms all that counted when it was asked.
                leases.push((now + 1 + draw(900), number, newest));
            }
            let due: Vec<_> = leases
                .iter()
                .filter(|(at, ..)| *at <= now)
                .copied()
                .collect();
            leases.retain(|(at, ..)| *at > now);
            for (_, number, epoch) in due {
                taken += usize::from(following.renew_lease(number, epoch).is_some());
            }
            let epoch = following.view().epoch;
            assert!(
                epoch >= highest,
                "seed {seed}: it fell from {highest} to {epoch}"
            );
            highest = epoch;
            if now < following.lease_expires_at() {
                let owed = counted
                    .iter()
                    .rposition(|at| at + 3_000 <= now)
                    .unwrap_or(0);
                assert!(
                    epoch >= owed as u64,
                    "seed {seed}: {epoch}, {owed} counted 3 s ago"
                );
            }
        }
        assert!(taken > 3, "seed {seed}: {taken} leases");
    }
}
