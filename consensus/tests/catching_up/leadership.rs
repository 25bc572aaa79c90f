//! A member that is behind does not lead, and a leader answers with everything
//! acknowledged.

use crate::harness::*;
use crate::support::cluster::{Cluster, Conditions};

/// Guards: a member with old state is not elected, and the one elected answers with
/// everything that was acknowledged.
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
                cluster.leader().filter(|at| !cluster.is_up_to_date(*at)),
                Some(old)
            );
            cluster.settled_leader().is_some() && cluster.is_up_to_date(old)
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

/// Guards: a new leader answers no read before it knows its predecessors' commit index: it
/// may have heard of the last commit late, or not at all.
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
        cluster.schedule_proposals(1_000, 7);
        cluster.run(1_000 + seed * 3);
        let leader = cluster.leader().expect("one leads");
        // It hears that a majority has its last entries, and can't pass that on.
        cluster
            .cut_links
            .extend((0..5).map(|other| (leader, other)));
        cluster.run(100);
        cluster.crash(leader);
        cluster.stop_proposals();
        let took = cluster.run_until(4_000, |cluster| cluster.leader().is_some());
        assert!(took.is_some(), "seed {seed}: one is elected");
        cluster.read_index();
        cluster.run(1_000);
        assert_eq!(cluster.reads, 1, "seed {seed}: it answers");
    }
}
