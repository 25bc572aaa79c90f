//! Entries that an earlier leader left, at a new one.

mod support;

use consensus::node::{Input, Node, PersistedState, Role, Timing};
use consensus::{Entry, EntryPayload, HardState, Message, MessageBody};
use support::members::{member, membership};
use support::single_node::SingleNode;

const CLUSTER: u64 = 7;

/// Guards: an acknowledged change is never lost. An entry of an older term that a
/// majority has may still be removed by a node whose log ends in a later term, so a
/// leader commits none before a majority has one of its own term (Raft thesis §3.6.2).
#[test]
fn an_entry_of_an_older_term_is_not_committed_by_itself() {
    let entries = vec![
        Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Membership(membership((1..=5).map(member))),
        },
        Entry {
            index: 2,
            term: 2,
            payload: EntryPayload::Command(vec![1]),
        },
    ];
    let mut single = SingleNode::start(3, entries);
    single.run_until_pre_candidate();
    for from in [2, 3] {
        single.receive(from, 3, MessageBody::PreVoteResponse { granted: true });
    }
    for from in [2, 3] {
        single.receive(from, 4, MessageBody::RequestVoteResponse { granted: true });
    }
    let node = &single.node;
    assert_eq!(
        (node.role(), node.term(), node.last_index()),
        (Role::Leader, 4, 3)
    );
    // Two others have the older entry, and not yet the leader's own.
    let response = |match_index| MessageBody::AppendEntriesResponse {
        is_match: true,
        match_index,
        round: 1,
    };
    for from in [2, 3] {
        single.receive(from, 4, response(2));
        assert_eq!(single.applied, [], "it is not committed yet");
    }
    // Both have the leader's own, too: with the leader that is a majority.
    single.receive(2, 4, response(3));
    single.receive(3, 4, response(3));
    assert_eq!(single.applied, [1, 2, 3]);
}

/// Guards: an acknowledged change is never lost. A snapshot that arrives late
/// removes nothing that its node has acknowledged meanwhile.
#[test]
fn a_late_snapshot_removes_nothing() {
    let members = membership((1..=3).map(member));
    let command = |index| Entry {
        index,
        term: 2,
        payload: EntryPayload::Command(vec![1]),
    };
    let first = Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Membership(members.clone()),
    };
    let hard_state = HardState {
        term: 2,
        vote: 0,
        cluster: CLUSTER,
    };
    let cases = [
        // Entries in the log, the snapshot's index and term, the last index after it.
        (vec![first.clone(), command(2), command(3)], (2, 2), 3),
        (vec![first.clone(), command(2), command(3)], (3, 2), 3),
        (vec![first.clone()], (2, 2), 2),
        (
            vec![
                first.clone(),
                Entry {
                    term: 1,
                    ..command(2)
                },
                command(3),
            ],
            (2, 2),
            2,
        ),
    ];
    for (entries, (index, term), last) in cases {
        let persisted = PersistedState {
            hard_state,
            snapshot: None,
            entries,
        };
        let mut node = Node::new(1, Timing::default(), 9, 1_000, persisted);
        let members = members.clone();
        let snapshot = consensus::Snapshot {
            index,
            term,
            cluster: CLUSTER,
            members,
            state: Vec::new(),
        };
        let body = MessageBody::InstallSnapshot { round: 1, snapshot };
        let message = Message {
            from: 2,
            to: 1,
            cluster: CLUSTER,
            term: 2,
            body,
        };
        node.step(1_010, Input::Received(message));
        assert_eq!(
            (node.last_index(), node.commit_index()),
            (last, index),
            "snapshot at {index}"
        );
    }
}
