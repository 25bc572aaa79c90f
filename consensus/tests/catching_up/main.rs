//! Members that are behind: how soon, and with how many messages, each is up to date and
//! can lead. Real nodes, logs and memory disks in virtual time, over links of 55 ms one
//! way.

mod faults;
mod harness;
mod leadership;
mod slow_links;
#[path = "../support/mod.rs"]
mod support;

use harness::*;
use support::cluster::{Cluster, Conditions};
use support::traffic::Traffic;

/// Guards: a restarted member catches up and can lead, however far it is behind.
#[test]
fn a_restarted_member_catches_up_and_leads() {
    for nodes in [5, 9] {
        for behind in [10, 300, 3_000] {
            for load in [false, true] {
                let mut cluster = Cluster::led(nodes, Conditions::default());
                let at = put_behind(&mut cluster, behind);
                if load {
                    cluster.schedule_proposals(100, PROPOSAL_INTERVAL_MS);
                }
                let (took, traffic) = catch_up(&mut cluster, at, CATCH_UP_MS);
                println!("{nodes} members, {behind} behind, load {load}: {took} ms, {traffic:?}");
                assert!(
                    traffic.snapshots <= 1,
                    "a snapshot is sent once: {traffic:?}"
                );
                assert!(traffic.entries <= 270, "an entry is sent once: {traffic:?}");
                lead(&mut cluster, at);
            }
        }
    }
}

/// Guards: a blank machine joins, has the newest state and is a voter well within half of
/// `catch_up_s`, also when the first snapshot is lost.
#[test]
fn a_blank_machine_catches_up_and_becomes_a_voter() {
    for voters in [4, 8] {
        for behind in [10, 300, 3_000] {
            for lost in [0, 1] {
                let mut cluster = Cluster::led_with_blank(voters, 1, Conditions::default());
                cluster.schedule_proposals(behind, 10);
                cluster.run(behind * 10 + 1_000);
                cluster.schedule_proposals(100, PROPOSAL_INTERVAL_MS);
                cluster.snapshots_to_lose = lost;
                let at = voters;
                cluster.start(at);
                cluster.add_learner(at);
                let identity = cluster.machines[at].member.identity;
                let is_voter = |cluster: &Cluster| {
                    let node = cluster.node(at).expect("it runs");
                    node.can_change_membership() && node.members().is_voter(identity)
                };
                let took = cluster.run_until(4_000, is_voter);
                let traffic = cluster.traffic[at];
                println!("{voters}+1, {behind} changes, {lost} lost: {took:?} ms, {traffic:?}");
                assert!(took.is_some_and(|took| took <= CATCH_UP_MS), "{took:?} ms");
                lead(&mut cluster, at);
            }
        }
    }
}

/// Guards: a member whose disk is full for a while, or slow, catches up once the disk
/// works; it acknowledges nothing meanwhile, and the others go on.
#[test]
fn a_member_whose_disk_was_full_or_slow_catches_up() {
    for sync_ms in [3, 300, 2_000] {
        for is_full in [false, true] {
            let mut cluster = Cluster::led(5, Conditions::default());
            let at = follower(&cluster);
            cluster.schedule_proposals(300, 20);
            cluster.machines[at].sync_ms = sync_ms;
            cluster.machines[at].disk.set_full(is_full);
            cluster.run(6_500);
            assert!(cluster.acknowledged > 300, "the others go on");
            cluster.machines[at].sync_ms = 3;
            cluster.machines[at].disk.set_full(false);
            cluster.schedule_proposals(60, PROPOSAL_INTERVAL_MS);
            let is_synced = |cluster: &Cluster| {
                let leader = cluster
                    .settled_leader()
                    .and_then(|leader| cluster.node(leader));
                let identity = cluster.machines[at].member.identity;
                let match_index = leader
                    .and_then(|leader| leader.progress().find(|(known, _)| *known == identity));
                match_index.is_some_and(|(_, match_index)| match_index >= cluster.acknowledged)
                    && cluster.is_up_to_date(at)
            };
            // A write in progress, and the next attempt to reopen the log, come first.
            let took = cluster.run_until(6_000, is_synced);
            println!("sync {sync_ms} ms, full {is_full}: {took:?} ms");
            let limit = sync_ms + 1_000 + CATCH_UP_MS;
            assert!(took.is_some_and(|took| took <= limit), "{took:?} ms");
            cluster.stop_proposals();
            cluster.run(3_000);
            lead(&mut cluster, at);
        }
    }
}

/// The same with documents of 60 KB.
#[test]
fn a_restarted_member_catches_up_with_large_documents() {
    for behind in [10, 300] {
        let conditions = Conditions {
            change_bytes: 60_000,
            state_bytes: 400_000,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(5, conditions);
        let at = put_behind(&mut cluster, behind);
        cluster.schedule_proposals(100, PROPOSAL_INTERVAL_MS);
        let (took, traffic) = catch_up(&mut cluster, at, CATCH_UP_MS);
        println!("60 KB, {behind} behind: {took} ms, {traffic:?}");
        assert!(
            traffic.snapshots <= 1,
            "a snapshot is sent once: {traffic:?}"
        );
        lead(&mut cluster, at);
    }
}

/// Guards: a member that was there before in this term, and is known to hold some
/// of the log, is sent the snapshot once, too, however slow its disk.
#[test]
fn a_snapshot_is_sent_once_to_a_member_with_a_slow_disk() {
    for sync_ms in [3, 100, 400] {
        let mut cluster = Cluster::led(5, Conditions::default());
        let at = follower(&cluster);
        cluster.schedule_proposals(20, 10);
        cluster.run(1_000);
        for other in 0..5 {
            cluster.cut_links.insert((at, other));
            cluster.cut_links.insert((other, at));
        }
        cluster.schedule_proposals(300, 10);
        cluster.run(4_500);
        cluster.machines[at].sync_ms = sync_ms;
        cluster.cut_links.clear();
        cluster.traffic[at] = Traffic::default();
        let took = cluster.run_until(CATCH_UP_MS, |cluster| cluster.is_up_to_date(at));
        cluster.run(2_000);
        let traffic = cluster.traffic[at];
        println!("sync {sync_ms} ms: {took:?} ms, {traffic:?}");
        assert!(took.is_some(), "it is current");
        assert_eq!(traffic.snapshots, 1, "sync {sync_ms} ms: {traffic:?}");
    }
}
