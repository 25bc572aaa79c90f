//! Harness of the tests of catching up.

use crate::support::cluster::Cluster;
use crate::support::traffic::Traffic;
use consensus::node::Input;
use consensus::{Message, MessageBody};

/// A member must be up to date well within half of the platform's `catch_up_s`, which is
/// 4 s.
pub const CATCH_UP_MS: u64 = 1_500;
/// Ten changes a second.
pub const PROPOSAL_INTERVAL_MS: u64 = 100;

pub fn follower(cluster: &Cluster) -> usize {
    let leader = cluster.leader().expect("one leads");
    (0..cluster.machines.len())
        .find(|at| *at != leader)
        .expect("there are others")
}

/// Stops a follower while this many changes are committed.
pub fn put_behind(cluster: &mut Cluster, changes: u64) -> usize {
    let behind = follower(cluster);
    cluster.crash(behind);
    cluster.schedule_proposals(changes, 10);
    cluster.run(changes * 10 + 1_000);
    assert!(cluster.acknowledged >= changes, "the others go on");
    behind
}

/// Starts a member and waits until it has applied everything acknowledged. Returns how
/// long that took, in milliseconds, and what was sent to it meanwhile.
pub fn catch_up(cluster: &mut Cluster, at: usize, limit_ms: u64) -> (u64, Traffic) {
    cluster.traffic[at] = Traffic::default();
    cluster.start(at);
    let took = cluster.run_until(limit_ms, |cluster| cluster.is_up_to_date(at));
    let took = took.unwrap_or_else(|| {
        panic!(
            "node {at} is not current after {limit_ms} ms: {:?}",
            cluster.traffic[at]
        )
    });
    (took, cluster.traffic[at])
}

/// Transfers leadership to this member, which must lead with the newest state. The load
/// ends before: a change in flight would put another member ahead.
pub fn lead(cluster: &mut Cluster, at: usize) {
    cluster.stop_proposals();
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
