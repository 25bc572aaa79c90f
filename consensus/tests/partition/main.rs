//! Nodes that are partitioned for twenty seconds, one way or both, paused, or restarted
//! meanwhile: several real nodes in virtual time, with reads and proposals at every side
//! of the partition throughout.

mod cluster;
mod membership_requests;
#[path = "../support/mod.rs"]
mod support;

use cluster::*;
use consensus::node::{Input, Role, Timing, Token};
use consensus::Message;

/// Every direction of partition, with messages dropped and with messages delayed.
fn for_each_partition(mut run: impl FnMut(Cluster, Partition, &str)) {
    for seed in [1, 200, 3_000] {
        for count in [3, 5] {
            for partition in PARTITIONS {
                for loss in [Loss::Dropped, Loss::Delayed] {
                    let what = format!("seed {seed}, {count} nodes, {partition:?}, {loss:?}");
                    run(Cluster::new(count, seed, loss), partition, &what);
                }
            }
        }
    }
}

/// Guards: a partitioned leader, in whichever direction, confirms no read and acknowledges
/// nothing from the partition on, also not by responses that reach it late; it steps down
/// within an election timeout; the others go on and lose nothing that it acknowledged, and
/// its return does not disturb them.
#[test]
fn a_leader_that_is_cut_off_serves_nothing_old() {
    for_each_partition(|mut cluster, partition, what| {
        let old = cluster.leader();
        let first = cluster.propose(old);
        cluster.run(1_000);
        assert!(cluster.completed.contains(&first), "{what}");
        cluster.partition(old, partition);
        let begin = cluster.now;
        let (mut at_old, mut stepped_down, mut acknowledged) = (Vec::new(), None, 0);
        while cluster.now < begin + PARTITION_MS {
            let before = cluster.acknowledged;
            at_old.extend([cluster.read(old), cluster.propose(old)]);
            if let Some(leader) = cluster.leader_outside(Some(old)) {
                cluster.propose(leader);
                cluster.read(leader);
            }
            cluster.run(50);
            acknowledged += usize::from(cluster.acknowledged > before);
            if cluster.node(old).role() != Role::Leader {
                stepped_down.get_or_insert(cluster.now - begin);
            } else {
                assert!(stepped_down.is_none(), "{what}: it leads again");
            }
        }
        cluster.assert_none_completed(&at_old, what);
        let bound = Timing::default().election_timeout_ms + 4 * LINK_DELAY_MS + 50;
        assert!(
            stepped_down.is_some_and(|after| after <= bound),
            "{what}: {stepped_down:?}"
        );
        assert!(
            acknowledged > 100,
            "{what}: the others acknowledged {acknowledged} times"
        );
        let leader = cluster
            .leader_outside(Some(old))
            .expect("the others have a leader");
        let term = cluster.node(leader).term();
        cluster.heal();
        cluster.assert_converges();
        assert_eq!(
            (cluster.leader(), cluster.node(old).term()),
            (leader, term),
            "{what}"
        );
        cluster.assert_none_completed(&at_old, what);
        let is_open = |token: &&Token| !cluster.rejected.contains(token);
        let open: Vec<&Token> = at_old.iter().filter(is_open).collect();
        assert!(open.is_empty(), "{what}: nobody was told of {open:?}");
    });
}

/// Guards: a partitioned follower, in whichever direction and for however long, neither
/// answers in the leader's place nor makes it step down when it is back.
#[test]
fn a_follower_that_is_cut_off_disturbs_nobody() {
    for_each_partition(|mut cluster, partition, what| {
        let leader = cluster.leader();
        let term = cluster.node(leader).term();
        let follower = cluster
            .identities()
            .into_iter()
            .find(|node| *node != leader)
            .expect("one");
        cluster.partition(follower, partition);
        let begin = cluster.now;
        let (mut at_follower, mut at_leader) = (Vec::new(), Vec::new());
        while cluster.now < begin + PARTITION_MS {
            at_follower.extend([cluster.read(follower), cluster.propose(follower)]);
            at_leader.extend([cluster.read(leader), cluster.propose(leader)]);
            cluster.run(50);
        }
        cluster.heal();
        cluster.assert_converges();
        cluster.assert_none_completed(&at_follower, what);
        assert!(
            at_leader
                .iter()
                .all(|token| cluster.completed.contains(token)),
            "{what}"
        );
        let now = (cluster.leader(), cluster.node(follower).term());
        assert_eq!(now, (leader, term), "{what}: leader and term stay");
    });
}

/// Guards: a follower that loses contact with its leader alone, and is heard by all the
/// others, neither makes the leader step down nor raises the term, with a log as long as
/// theirs.
#[test]
fn a_follower_that_misses_the_leader_alone_disturbs_nobody() {
    for_each_partition(|mut cluster, partition, what| {
        let leader = cluster.leader();
        let term = cluster.node(leader).term();
        let follower = cluster
            .identities()
            .into_iter()
            .find(|node| *node != leader)
            .expect("one");
        if partition.outbound {
            cluster.cut_links.insert((follower, leader));
        }
        if partition.inbound {
            cluster.cut_links.insert((leader, follower));
        }
        cluster.run(PARTITION_MS);
        cluster.heal();
        cluster.assert_converges();
        let now = (cluster.leader(), cluster.node(follower).term());
        assert_eq!(now, (leader, term), "{what}: leader and term stay");
    });
}

/// Guards: the same under restarts during a partition, of the partitioned node and of
/// those that went on without it.
#[test]
fn restarts_within_a_cut_bring_nothing_old_back() {
    for_each_partition(|mut cluster, partition, what| {
        let old = cluster.leader();
        cluster.partition(old, partition);
        // Entries that only the partitioned leader has, on its disk.
        let mut at_old: Vec<Token> = (0..5).map(|_| cluster.propose(old)).collect();
        cluster.run(ELECTION_MS);
        for _ in 0..3 {
            cluster.restart(old);
            at_old.extend([cluster.read(old), cluster.propose(old)]);
            cluster.run(500);
            let leader = cluster
                .leader_outside(Some(old))
                .expect("the others have a leader");
            let token = cluster.propose(leader);
            cluster.run(500);
            assert!(cluster.completed.contains(&token), "{what}");
            at_old.extend([cluster.read(old), cluster.propose(old)]);
            cluster.restart(leader);
            cluster.run(ELECTION_MS);
        }
        cluster.heal();
        cluster.assert_converges();
        cluster.assert_none_completed(&at_old, what);
    });
}

/// Guards: a leader that was paused for nine seconds and finds earlier responses in its
/// sockets, before it reads the clock, confirms and acknowledges nothing.
#[test]
fn a_leader_that_wakes_serves_nothing_old() {
    for seed in 1..=20 {
        for count in [3, 5] {
            let mut cluster = Cluster::new(count, seed, Loss::Dropped);
            let old = cluster.leader();
            // A proposal's round is in flight, so that responses to it will be queued.
            cluster.propose(old);
            cluster.run(TICK_MS);
            cluster.machines.get_mut(&old).expect("known").is_paused = true;
            cluster.run(9_000);
            let leader = cluster
                .leader_outside(Some(old))
                .expect("the others have a leader");
            let token = cluster.propose(leader);
            cluster.run(1_000);
            assert!(
                cluster.completed.contains(&token),
                "seed {seed}: the others go on"
            );

            let machine = cluster.machines.get_mut(&old).expect("known");
            machine.is_paused = false;
            let inbox = std::mem::take(&mut machine.inbox);
            assert!(
                !inbox.is_empty(),
                "seed {seed}: answers wait in its sockets"
            );
            let mut at_old = vec![cluster.read(old), cluster.propose(old)];
            for message in inbox {
                cluster.step(old, Input::Received(message));
                at_old.extend([cluster.read(old), cluster.propose(old)]);
            }
            cluster.assert_none_completed(&at_old, "at once");
            cluster.assert_converges();
            cluster.assert_none_completed(&at_old, "in the end");
        }
    }
}

/// Guards: a newly elected leader confirms nothing before it knows its predecessors'
/// commit index, whose last advance no follower had heard of.
#[test]
fn a_new_leader_confirms_nothing_before_it_knows_what_was_acknowledged() {
    for seed in 1..=20 {
        for count in [3, 5] {
            let mut cluster = Cluster::new(count, seed, Loss::Dropped);
            for _ in 0..5 {
                let old = cluster.leader();
                let token = cluster.propose(old);
                while !cluster.completed.contains(&token) {
                    cluster.run(TICK_MS);
                }
                // Before a follower learns that the entry is committed.
                cluster.queue.clear();
                cluster.partition(old, PARTITIONS[0]);
                let before = cluster.completed.len();
                while cluster.completed.len() < before + 10 {
                    for identity in cluster.identities() {
                        cluster.read(identity);
                    }
                    cluster.run(TICK_MS);
                }
                cluster.heal();
                cluster.assert_converges();
            }
        }
    }
}

/// Guards: responses to an earlier incarnation of a leader, with rounds and indexes that
/// are higher than its own now, count for nothing when it leads again.
#[test]
fn answers_of_an_earlier_term_count_for_nothing() {
    for seed in 1..=5 {
        let mut cluster = Cluster::new(3, seed, Loss::Delayed);
        let old = cluster.leader();
        // Many rounds, so that the counter of the next incarnation is far below.
        cluster.run(PARTITION_MS);
        cluster.partition(
            old,
            Partition {
                outbound: false,
                inbound: true,
            },
        );
        cluster.propose(old);
        cluster.run(2_000);
        let late: Vec<Message> = std::mem::take(&mut cluster.delayed);
        assert!(!late.is_empty(), "seed {seed}: answers are on their way");
        cluster.cut_links.clear();
        cluster.restart(old);
        cluster.assert_converges();
        for _ in 0..20 {
            let leader = cluster.leader();
            if leader == old {
                break;
            }
            cluster.partition(leader, PARTITIONS[0]);
            cluster.run(2_000);
            cluster.cut_links.clear();
            cluster.assert_converges();
        }
        assert_eq!(cluster.leader(), old, "seed {seed}: it leads again");
        cluster.partition(old, PARTITIONS[0]);
        let mut at_old = vec![cluster.read(old), cluster.propose(old)];
        cluster.run(2 * TICK_MS);
        assert_eq!(
            cluster.node(old).role(),
            Role::Leader,
            "it believes so for a while"
        );
        for message in late {
            cluster.step(old, Input::Received(message));
            at_old.push(cluster.read(old));
        }
        cluster.run(PARTITION_MS);
        cluster.assert_none_completed(&at_old, &format!("seed {seed}"));
    }
}
