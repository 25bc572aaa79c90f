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
