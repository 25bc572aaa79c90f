//! Members that are behind: how soon, and with how many messages, each holds the
//! newest state and can lead with it. Real nodes, logs and memory disks in virtual
//! time, over links of 55 ms one way.

mod support;

use consensus::node::{Input, Role};
use consensus::{Message, MessageBody};
use support::cluster::{Cluster, Conditions};
use support::traffic::Traffic;

/// A member has to hold the newest state well within half of the platform's
/// `catch_up_s`, which is 4 s.
const CATCH_UP_MS: u64 = 1_500;
/// Ten changes a second.
const STORM_MS: u64 = 100;

fn follower(cluster: &Cluster) -> usize {
    let leader = cluster.leader().expect("one leads");
    (0..cluster.machines.len())
        .find(|at| *at != leader)
        .expect("there are others")
}

/// Puts a follower so many changes behind, and ends its process meanwhile.
fn put_behind(cluster: &mut Cluster, changes: u64) -> usize {
    let behind = follower(cluster);
    cluster.crash(behind);
    cluster.storm(changes, 10);
    cluster.run(changes * 10 + 1_000);
    assert!(cluster.acknowledged >= changes, "the others go on");
    behind
}

/// Starts a member and waits until it has applied all that is acknowledged; the
/// time that took and what was sent to it meanwhile.
fn catch_up(cluster: &mut Cluster, at: usize, limit_ms: u64) -> (u64, Traffic) {
    cluster.traffic[at] = Traffic::default();
    cluster.start(at);
    let took = cluster.run_until(limit_ms, |cluster| cluster.is_current(at));
    let took = took.unwrap_or_else(|| {
        panic!(
            "node {at} is not current after {limit_ms} ms: {:?}",
            cluster.traffic[at]
        )
    });
    (took, cluster.traffic[at])
}

/// The leader asks this member to take over, and it does, with the newest state.
/// The storm ends before: a change on its way would put another member ahead.
fn lead(cluster: &mut Cluster, at: usize) {
    cluster.stop_storm();
    cluster.run(500);
    let leader = cluster.leader().expect("one leads");
    let node = cluster.node(leader).expect("it runs");
    let message = Message {
        from: node.identity(),
        to: cluster.machines[at].member.identity,
        cluster: node.cluster(),
        term: node.term(),
        body: MessageBody::TimeoutNow,
    };
    let acknowledged = cluster.acknowledged;
    cluster.step(at, Input::Received(message));
    let took = cluster.run_until(2_000, |cluster| cluster.settled_leader() == Some(at));
    assert!(took.is_some(), "node {at} leads");
    let applied = cluster.node(at).expect("it runs").applied_index();
    assert!(
        applied >= acknowledged,
        "it leads with {applied}, and {acknowledged} was there"
    );
}

/// Guards: a restarted member catches up and can lead, however far it is behind.
#[test]
fn a_restarted_member_catches_up_and_leads() {
    for nodes in [5, 9] {
        for behind in [10, 300, 3_000] {
            for storm in [false, true] {
                let mut cluster = Cluster::led(nodes, Conditions::default());
                let at = put_behind(&mut cluster, behind);
                if storm {
                    cluster.storm(100, STORM_MS);
                }
                let (took, traffic) = catch_up(&mut cluster, at, CATCH_UP_MS);
                println!("{nodes} members, {behind} behind, storm {storm}: {took} ms, {traffic:?}");
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

/// Guards: a blank machine is let in, holds the newest state and is a voter well
/// within half of `catch_up_s`, also when the first snapshot is lost.
#[test]
fn a_blank_machine_catches_up_and_becomes_a_voter() {
    for voters in [4, 8] {
        for behind in [10, 300, 3_000] {
            for lost in [0, 1] {
                let mut cluster = Cluster::led_with_blank(voters, 1, Conditions::default());
                cluster.storm(behind, 10);
                cluster.run(behind * 10 + 1_000);
                cluster.storm(100, STORM_MS);
                cluster.snapshots_to_lose = lost;
                let at = voters;
                cluster.start(at);
                cluster.admit(at);
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

/// Guards: a member whose disk is full for a while, or slow, catches up once it is
/// well; it claims nothing meanwhile, and the others go on.
#[test]
fn a_member_whose_disk_was_full_or_slow_catches_up() {
    for sync_ms in [3, 300, 2_000] {
        for is_full in [false, true] {
            let mut cluster = Cluster::led(5, Conditions::default());
            let at = follower(&cluster);
            cluster.storm(300, 20);
            cluster.machines[at].sync_ms = sync_ms;
            cluster.machines[at].disk.set_full(is_full);
            cluster.run(6_500);
            assert!(cluster.acknowledged > 300, "the others go on");
            cluster.machines[at].sync_ms = 3;
            cluster.machines[at].disk.set_full(false);
            cluster.storm(60, STORM_MS);
            let is_synced = |cluster: &Cluster| {
                let leader = cluster
                    .settled_leader()
                    .and_then(|leader| cluster.node(leader));
                let identity = cluster.machines[at].member.identity;
                let match_index = leader
                    .and_then(|leader| leader.progress().find(|(known, _)| *known == identity));
                match_index.is_some_and(|(_, match_index)| match_index >= cluster.acknowledged)
                    && cluster.is_current(at)
            };
            // A write under way, and a disk's next try, come first.
            let took = cluster.run_until(6_000, is_synced);
            println!("sync {sync_ms} ms, full {is_full}: {took:?} ms");
            let limit = sync_ms + 1_000 + CATCH_UP_MS;
            assert!(took.is_some_and(|took| took <= limit), "{took:?} ms");
            cluster.stop_storm();
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
        cluster.storm(100, STORM_MS);
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
        cluster.storm(20, 10);
        cluster.run(1_000);
        for other in 0..5 {
            cluster.cut.insert((at, other));
            cluster.cut.insert((other, at));
        }
        cluster.storm(300, 10);
        cluster.run(4_500);
        cluster.machines[at].sync_ms = sync_ms;
        cluster.cut.clear();
        cluster.traffic[at] = Traffic::default();
        let took = cluster.run_until(CATCH_UP_MS, |cluster| cluster.is_current(at));
        cluster.run(2_000);
        let traffic = cluster.traffic[at];
        println!("sync {sync_ms} ms: {took:?} ms, {traffic:?}");
        assert!(took.is_some(), "it is current");
        assert_eq!(traffic.snapshots, 1, "sync {sync_ms} ms: {traffic:?}");
    }
}

/// Guards: a lost snapshot is sent again within two election time-outs.
#[test]
fn a_lost_snapshot_is_sent_again_soon() {
    for lost in [1, 2] {
        for storm in [false, true] {
            let mut cluster = Cluster::led(5, Conditions::default());
            let at = put_behind(&mut cluster, 300);
            if storm {
                cluster.storm(100, STORM_MS);
            }
            cluster.snapshots_to_lose = lost;
            let (took, traffic) = catch_up(&mut cluster, at, 4_000);
            println!("{lost} snapshots lost, storm {storm}: {took} ms, {traffic:?}");
            assert!(took <= 500 + 500 * lost, "after {took} ms");
            assert_eq!(traffic.snapshots, 1 + lost);
        }
    }
}

/// Guards: a receiver that dies at any moment of its catching up is caught up by
/// its next start, in a storm, again and again.
#[test]
fn a_receiver_that_dies_in_the_middle_catches_up_at_its_next_start() {
    for uptime in (20..600).step_by(20) {
        let conditions = Conditions {
            seed: uptime,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(5, conditions);
        let at = put_behind(&mut cluster, 300);
        cluster.storm(200, STORM_MS);
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

/// Guards: a sender that loses leadership or dies in the middle is replaced by one
/// that begins again.
#[test]
fn a_sender_that_loses_leadership_in_the_middle_is_replaced() {
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
            // Every voter but the dead one is caught up by the new leader.
            let took = cluster.run_until(4_000, |cluster| {
                cluster.settled_leader().is_some_and(|now| now != leader) && cluster.is_current(at)
            });
            assert!(took.is_some(), "after {moment} ms, crash {is_crash}");
        }
    }
}

/// Guards: one with old state is not elected, and who is elected answers with all
/// that was acknowledged.
#[test]
fn a_member_with_old_state_does_not_lead() {
    for seed in 1..=20 {
        let mut cluster = Cluster::led(
            5,
            Conditions {
                seed,
                ..Conditions::default()
            },
        );
        let old = put_behind(&mut cluster, if seed % 2 == 0 { 30 } else { 300 });
        let acknowledged = cluster.acknowledged;
        let leader = cluster.leader().expect("one leads");
        let another = (0..5)
            .find(|at| *at != leader && *at != old)
            .expect("there are five");
        cluster.crash(leader);
        cluster.crash(another);
        cluster.start(old);
        let took = cluster.run_until(6_000, |cluster| {
            assert_ne!(
                cluster.leader().filter(|at| !cluster.is_current(*at)),
                Some(old)
            );
            cluster.settled_leader().is_some() && cluster.is_current(old)
        });
        assert!(took.is_some(), "seed {seed}: three of five go on");
        let now = cluster.settled_leader().expect("one leads");
        assert!(cluster.node(now).expect("it runs").applied_index() >= acknowledged);
        cluster.read_index();
        cluster.run(1_000);
        assert_eq!(
            cluster.reads, 1,
            "seed {seed}: the leader answers, with all of it"
        );
    }
}

/// Guards: a new leader answers no read before it knows how far its predecessors
/// had come: it may have heard of the last commit late, or not at all.
#[test]
fn a_new_leader_answers_reads_with_all_that_was_acknowledged() {
    for seed in 1..=20 {
        let mut cluster = Cluster::led(
            5,
            Conditions {
                seed,
                ..Conditions::default()
            },
        );
        cluster.storm(1_000, 7);
        cluster.run(1_000 + seed * 3);
        let leader = cluster.leader().expect("one leads");
        // It hears that a majority has its last entries, and can't pass that on.
        cluster.cut.extend((0..5).map(|other| (leader, other)));
        cluster.run(100);
        cluster.crash(leader);
        cluster.stop_storm();
        let took = cluster.run_until(4_000, |cluster| cluster.leader().is_some());
        assert!(took.is_some(), "seed {seed}: one is elected");
        cluster.read_index();
        cluster.run(1_000);
        assert_eq!(cluster.reads, 1, "seed {seed}: it answers");
    }
}

/// Guards: a former leader with hundreds of entries that nobody else took finds
/// the common part of the logs in a few steps, not one entry at a time.
#[test]
fn a_long_branch_is_cut_in_a_few_steps() {
    let mut cluster = Cluster::led(5, Conditions::default());
    cluster.storm(20, 10);
    cluster.run(1_000);
    let former = cluster.leader().expect("one leads");
    for other in 0..5 {
        cluster.cut.insert((former, other));
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
    cluster.storm(200, 5);
    cluster.run(3_000);
    cluster.cut.clear();
    let (took, traffic) = catch_up(&mut cluster, former, 20_000);
    println!("a branch of 400: {took} ms, {traffic:?}");
    assert!(took <= CATCH_UP_MS, "{took} ms");
    lead(&mut cluster, former);
}

/// Guards: a member that comes back with an older copy of its disk, and denies what
/// it had claimed before, is caught up by the same leader all the same.
#[test]
fn a_member_with_an_older_copy_of_its_disk_catches_up() {
    for changes in [20, 300] {
        let mut cluster = Cluster::led(5, Conditions::default());
        cluster.storm(10, 10);
        cluster.run(1_000);
        let at = follower(&cluster);
        let copy = cluster.machines[at].disk.copied();
        cluster.storm(changes, 10);
        cluster.run(changes * 10 + 1_000);
        cluster.crash(at);
        cluster.machines[at].disk = copy;
        let (took, traffic) = catch_up(&mut cluster, at, CATCH_UP_MS);
        println!("an older copy, {changes} changes: {took} ms, {traffic:?}");
        lead(&mut cluster, at);
    }
}

/// Guards: a lost message is made good by the next heartbeat, and what follows it
/// is not sent once for each message that was on its way.
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
    cluster.cut.insert((leader, at));
    cluster.propose_now();
    cluster.run(1);
    cluster.cut.clear();
    cluster.storm(29, 2);
    let took = cluster.run_until(1_000, |cluster| {
        cluster.proposed == 30 && cluster.acknowledged > 30 && cluster.is_current(at)
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

/// What befalls a cluster in a row of the drawn table.
fn trouble(cluster: &mut Cluster) {
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
            cluster.cut.insert((at, other));
        }
        7 => cluster.snapshots_to_lose = cluster.draw(3),
        _ => cluster.cut.clear(),
    }
}

/// Guards: whatever came, once the links and disks are well again every member
/// holds the newest state soon, and each of them can lead.
#[test]
fn every_member_catches_up_after_drawn_troubles() {
    let mut longest = 0;
    for seed in 1..=60 {
        let conditions = Conditions {
            jitter_ms: [0, 30, 200][seed as usize % 3],
            lost: [0, 30, 150][seed as usize / 3 % 3],
            duplicated: [0, 100][seed as usize % 2],
            change_bytes: 200,
            state_bytes: 2_000,
            seed,
            ..Conditions::default()
        };
        let mut cluster = Cluster::led(5, conditions);
        cluster.conditions.policy.entries = 40;
        cluster.storm(400, 50);
        for _ in 0..25 {
            let pause = cluster.draw(1_600);
            cluster.run(pause);
            trouble(&mut cluster);
        }
        let is_calm_link = Conditions {
            lost: 0,
            duplicated: 0,
            jitter_ms: 0,
            ..Default::default()
        };
        cluster.conditions = Conditions {
            policy: cluster.conditions.policy,
            ..is_calm_link
        };
        cluster.cut.clear();
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
