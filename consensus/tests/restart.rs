//! A node that restarts with a log that reaches further than its commit index.

mod support;

use consensus::node::Role;
use consensus::{Entry, EntryPayload, MessageBody};
use support::members::{member, membership};
use support::single_node::SingleNode;

fn members(voters: &[u64]) -> EntryPayload {
    EntryPayload::Membership(membership(voters.iter().copied().map(member)))
}

/// Guards: service returns after everything stopped. A restarted leader applies its
/// whole log, with memberships from before it was added; those do not remove it.
#[test]
fn a_leader_that_applies_memberships_from_before_it_goes_on_leading() {
    let entry = |index, payload| Entry {
        index,
        term: 1,
        payload,
    };
    let entries = vec![
        entry(1, members(&[2])),
        entry(2, members(&[2, 3])),
        entry(3, members(&[1, 2, 3])),
        entry(4, EntryPayload::Command(vec![1])),
    ];
    let mut single = SingleNode::start(3, entries);
    single.run_until_pre_candidate();
    single.receive(2, 3, MessageBody::PreVoteResponse { granted: true });
    single.receive(2, 4, MessageBody::RequestVoteResponse { granted: true });
    assert_eq!(single.node.role(), Role::Leader);
    let response = MessageBody::AppendEntriesResponse {
        is_match: true,
        match_index: 5,
        round: 1,
    };
    single.receive(2, 4, response);
    assert_eq!(single.applied.last(), Some(&5), "it applies the whole log");
    assert_eq!(single.node.role(), Role::Leader);
}

/// Guards: a leader that was just elected and has its whole log to apply sends heartbeats
/// in between, and messages come in. A step applies a bounded part of a long log, and the
/// rest is due at once.
#[test]
fn a_long_log_is_applied_in_steps() {
    const COMMANDS: u64 = 20;
    const COMMAND_BYTES: usize = 100_000;
    let mut entries = vec![Entry {
        index: 1,
        term: 1,
        payload: members(&[1, 2]),
    }];
    entries.extend((2..2 + COMMANDS).map(|index| Entry {
        index,
        term: 1,
        payload: EntryPayload::Command(vec![1; COMMAND_BYTES]),
    }));
    let last_index = entries.len() as u64;
    let mut single = SingleNode::start(1, entries);
    single.run_until_pre_candidate();
    single.receive(2, 1, MessageBody::PreVoteResponse { granted: true });
    single.receive(2, 2, MessageBody::RequestVoteResponse { granted: true });
    let response = MessageBody::AppendEntriesResponse {
        is_match: true,
        match_index: last_index + 1,
        round: 1,
    };
    single.receive(2, 2, response);
    assert_eq!(single.node.commit_index(), last_index + 1);
    let mut steps = 0;
    while single.node.applied_index() < last_index + 1 {
        let before = single.applied.len();
        assert!(single.node.next_deadline() <= single.now(), "more is due");
        single.tick();
        let applied = single.applied.len() - before;
        assert!((1..=3).contains(&applied), "{applied} entries in one step");
        steps += 1;
    }
    assert!(steps >= COMMANDS / 3, "{steps} steps");
    assert!(single.node.next_deadline() > single.now(), "nothing is due");
    let all: Vec<u64> = (1..=last_index + 1).collect();
    assert_eq!(single.applied, all, "each entry once, in order");
}
