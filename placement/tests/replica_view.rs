//! The view and the lease of a router, over faulty sessions.

mod common;

use common::draws;
use placement::ReplicaView;
use residency::{Event, Name};

/// Guards: no router falls back to an older epoch; a change is in force within 3 s, since no
/// lease outlasts an entry that the router lacks. A router goes from node to node, each of
/// which is behind by some entries; frames arrive late.
#[test]
fn a_lease_never_covers_an_entry_that_the_router_lacks() {
    for seed in 0..400 {
        let mut draw = draws(seed);
        // When each epoch was committed.
        let mut committed_at_ms: Vec<u64> = vec![0];
        let mut replica_view = ReplicaView::default();
        let (mut number, mut node, mut sent_epoch) = (0u64, 0u64, 0u64);
        let mut leases: Vec<(u64, u64, u64)> = Vec::new();
        let (mut highest, mut renewed, mut stuck_until_ms) = (0, 0, 0);
        for now in (10_000..40_000u64).step_by(10) {
            if draw(40) == 0 {
                committed_at_ms.push(now);
            }
            let newest = committed_at_ms.len() as u64 - 1;
            if draw(150) == 0 {
                // Another node, which may know less: its snapshot is sent first.
                replica_view.begin_session();
                leases.clear();
                node = newest.saturating_sub(draw(6));
                sent_epoch = node;
                drop(replica_view.apply_snapshot(node, &[]));
            }
            // Some nodes apply nothing for seconds, and pass leases on.
            if draw(600) == 0 {
                stuck_until_ms = now + draw(6_000);
            }
            if now >= stuck_until_ms {
                node = (node + draw(3)).min(newest).max(node);
            }
            if draw(3) == 0 && sent_epoch < node {
                let gone = [Event::ZoneReinstated(Name("z".into()))];
                // Sometimes a frame is lost, and the next one does not fit.
                sent_epoch += 1 + u64::from(draw(30) == 0);
                if replica_view
                    .apply_events(sent_epoch - 1, sent_epoch, &gone)
                    .is_err()
                {
                    sent_epoch = node;
                    drop(replica_view.apply_snapshot(node, &[]));
                }
            }
            if draw(30) == 0 {
                number += 1;
                replica_view.record_heartbeat(now, number);
                // The lease covers all that was committed when the leader was asked.
                leases.push((now + 1 + draw(900), number, newest));
            }
            let due: Vec<_> = leases
                .iter()
                .filter(|(at, ..)| *at <= now)
                .copied()
                .collect();
            leases.retain(|(at, ..)| *at > now);
            for (_, number, epoch) in due {
                renewed += usize::from(replica_view.renew_lease(number, epoch).is_some());
            }
            let epoch = replica_view.view().epoch;
            assert!(
                epoch >= highest,
                "seed {seed}: it fell from {highest} to {epoch}"
            );
            highest = epoch;
            if now < replica_view.lease_expires_at() {
                let required = committed_at_ms
                    .iter()
                    .rposition(|at| at + 3_000 <= now)
                    .unwrap_or(0);
                assert!(
                    epoch >= required as u64,
                    "seed {seed}: {epoch}, {required} was committed 3 s ago"
                );
            }
        }
        assert!(renewed > 3, "seed {seed}: {renewed} leases");
    }
}
