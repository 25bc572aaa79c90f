//! Catching up while snapshots, messages, disks and processes are lost.

use crate::harness::*;
use crate::support::cluster::{Cluster, Conditions};
use crate::support::traffic::Traffic;
use consensus::node::Role;

/// Guards: a lost snapshot is sent again within two election time-outs.
#[test]
fn a_lost_snapshot_is_sent_again_soon() {
    for lost in [1, 2] {
        for load in [false, true] {
            let mut cluster = Cluster::led(5, Conditions::default());
            let at = put_behind(&mut cluster, 300);
            if load {
                cluster.schedule_proposals(100, PROPOSAL_INTERVAL_MS);
            }
            cluster.snapshots_to_lose = lost;
            let (took, traffic) = catch_up(&mut cluster, at, 4_000);
            println!("{lost} snapshots lost, load {load}: {took} ms, {traffic:?}");
            assert!(took <= 500 + 500 * lost, "after {took} ms");
            assert_eq!(traffic.snapshots, 1 + lost);
        }
    }
}

/// Guards: a receiver that crashes at any moment while it catches up, repeatedly and under
/// load, catches up at its next start.
#[test]
fn a_receiver_that_crashes_while_it_catches_up_catches_up_at_its_next_start() {
    for uptime in (20..600).step_by(20) {
        let conditions = Conditions {
            seed: uptime,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(5, conditions);
        let at = put_behind(&mut cluster, 300);
        cluster.schedule_proposals(200, PROPOSAL_INTERVAL_MS);
        for _ in 0..5 {
            cluster.start(at);
            cluster.run(uptime);
            cluster.crash(at);
            cluster.run(200);
        }
        let (took, _) = catch_up(&mut cluster, at, CATCH_UP_MS);
        assert!(
            took <= CATCH_UP_MS,
            "up for {uptime} ms at a time: {took} ms"
        );
        lead(&mut cluster, at);
    }
}

/// Guards: a sender that loses leadership or crashes while it sends is replaced by the new
/// leader, which begins again.
#[test]
fn a_sender_that_loses_leadership_is_replaced() {
    for moment in (10..500).step_by(35) {
        for is_crash in [false, true] {
            let mut cluster = Cluster::led(
                5,
                Conditions {
                    seed: moment,
                    ..Default::default()
                },
            );
            let at = put_behind(&mut cluster, 300);
            cluster.start(at);
            cluster.run(moment);
            let leader = cluster.leader().expect("one leads");
            match is_crash {
                true => cluster.crash(leader),
                false => cluster.transfer_leadership(),
            }
            // Every voter but the crashed one is caught up by the new leader.
            let took = cluster.run_until(4_000, |cluster| {
                cluster.settled_leader().is_some_and(|now| now != leader)
                    && cluster.is_up_to_date(at)
            });
            assert!(took.is_some(), "after {moment} ms, crash {is_crash}");
        }
    }
}

/// Guards: a former leader with hundreds of entries that nobody else took finds
/// the common part of the logs in a few steps, not one entry at a time.
#[test]
fn a_long_branch_is_truncated_in_a_few_steps() {
    let mut cluster = Cluster::led(5, Conditions::default());
    cluster.schedule_proposals(20, 10);
    cluster.run(1_000);
    let former = cluster.leader().expect("one leads");
    for other in 0..5 {
        cluster.cut_links.insert((former, other));
    }
    for _ in 0..400 {
        cluster.propose_now();
    }
    cluster.run(10);
    assert!(cluster
        .node(former)
        .is_some_and(|node| node.last_index() > 400));
    cluster.crash(former);
    let elected = cluster.run_until(4_000, |cluster| cluster.settled_leader().is_some());
    assert!(elected.is_some(), "the others elect one");
    // Their log grows past the branch, so that the leader begins within it.
    cluster.schedule_proposals(200, 5);
    cluster.run(3_000);
    cluster.cut_links.clear();
    let (took, traffic) = catch_up(&mut cluster, former, 20_000);
    println!("a branch of 400: {took} ms, {traffic:?}");
    assert!(took <= CATCH_UP_MS, "{took} ms");
    lead(&mut cluster, former);
}

/// Guards: a member that restarts with an older copy of its disk, and rejects what it had
/// acknowledged before, is caught up by the same leader all the same.
#[test]
fn a_member_with_an_older_copy_of_its_disk_catches_up() {
    for changes in [20, 300] {
        let mut cluster = Cluster::led(5, Conditions::default());
        cluster.schedule_proposals(10, 10);
        cluster.run(1_000);
        let at = follower(&cluster);
        let copy = cluster.machines[at].disk.copied();
        cluster.schedule_proposals(changes, 10);
        cluster.run(changes * 10 + 1_000);
        cluster.crash(at);
        cluster.machines[at].disk = copy;
        let (took, traffic) = catch_up(&mut cluster, at, CATCH_UP_MS);
        println!("an older copy, {changes} changes: {took} ms, {traffic:?}");
        lead(&mut cluster, at);
    }
}

/// Guards: a lost message is repaired by the next heartbeat, and the entries after it are
/// not sent once for each message in flight.
#[test]
fn a_lost_message_is_sent_again_once() {
    let conditions = Conditions {
        change_bytes: 60_000,
        ..Conditions::default()
    };
    let mut cluster = Cluster::led(5, conditions);
    cluster.run(1_000);
    let at = follower(&cluster);
    let leader = cluster.leader().expect("one leads");
    // Thirty changes within 60 ms, the first of them lost on the way to one.
    cluster.traffic[at] = Traffic::default();
    cluster.cut_links.insert((leader, at));
    cluster.propose_now();
    cluster.run(1);
    cluster.cut_links.clear();
    cluster.schedule_proposals(29, 2);
    let took = cluster.run_until(1_000, |cluster| {
        cluster.proposed == 30 && cluster.acknowledged > 30 && cluster.is_up_to_date(at)
    });
    cluster.run(500);
    let traffic = cluster.traffic[at];
    println!("a lost message: {took:?} ms, {traffic:?}");
    assert!(took.is_some_and(|took| took < 500), "{took:?}");
    assert!(
        traffic.entries <= 3 * 30,
        "{} entries for 30",
        traffic.entries
    );
}

/// Injects one random fault.
fn inject_fault(cluster: &mut Cluster) {
    let at = cluster.draw(5) as usize;
    match cluster.draw(9) {
        0..=2 => {
            cluster.crash(at);
            let after = 50 + cluster.draw(3_000);
            cluster.start_after(after, at);
        }
        3 => cluster.transfer_leadership(),
        4 => cluster.machines[at].sync_ms = 1 + cluster.draw(900),
        5 => cluster.machines[at].disk.set_full(true),
        6 => {
            let other = cluster.draw(5) as usize;
            cluster.cut_links.insert((at, other));
        }
        7 => cluster.snapshots_to_lose = cluster.draw(3),
        _ => cluster.cut_links.clear(),
    }
}

/// Guards: whatever the faults were, once links and disks work again every member soon has
/// the newest state, and each of them can lead.
#[test]
fn every_member_catches_up_after_random_faults() {
    let mut longest = 0;
    for seed in 1..=60 {
        let conditions = Conditions {
            jitter_ms: [0, 30, 200][seed as usize % 3],
            lost_permille: [0, 30, 150][seed as usize / 3 % 3],
            duplicated_permille: [0, 100][seed as usize % 2],
            change_bytes: 200,
            state_bytes: 2_000,
            seed,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(5, conditions);
        cluster.conditions.policy.entries = 40;
        cluster.schedule_proposals(400, 50);
        for _ in 0..25 {
            let pause = cluster.draw(1_600);
            cluster.run(pause);
            inject_fault(&mut cluster);
        }
        let is_calm_link = Conditions {
            lost_permille: 0,
            duplicated_permille: 0,
            jitter_ms: 0,
            ..Default::default()
        };
        cluster.conditions = Conditions {
            policy: cluster.conditions.policy,
            ..is_calm_link
        };
        cluster.cut_links.clear();
        cluster.snapshots_to_lose = 0;
        for at in 0..5 {
            cluster.machines[at].sync_ms = 3;
            cluster.machines[at].disk.set_full(false);
            cluster.start(at);
        }
        let acknowledged = cluster.acknowledged;
        let is_well = |cluster: &Cluster| {
            let has_all = |at| {
                cluster
                    .node(at)
                    .is_some_and(|node| node.applied_index() >= acknowledged)
            };
            cluster.settled_leader().is_some() && (0..5).all(has_all)
        };
        let took = cluster.run_until(10_000, is_well);
        let took = took.unwrap_or_else(|| panic!("seed {seed}: not all are current"));
        longest = longest.max(took);
        cluster.run(3_000);
        for at in 0..5 {
            if cluster.leader() != Some(at) {
                lead(&mut cluster, at);
            }
            assert_eq!(cluster.node(at).map(|node| node.role()), Some(Role::Leader));
        }
    }
    println!("the longest until all are current: {longest} ms");
    assert!(longest <= 2_000, "{longest} ms");
}
