//! Entries that an earlier leader left, at a new one.

use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing};
use consensus::{Entry, EntryPayload, HardState, Member, Membership, Message, MessageBody};

const CLUSTER: u64 = 7;

fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{identity}"),
        region: "north".into(),
        zone: "north-a".into(),
        address: String::new(),
        operator_address: String::new(),
    }
}

/// Guards: an acknowledged change is never lost. An entry of an older term that
/// a majority holds may still be cut away by a node whose log ends in a later
/// term, so a leader counts none before one of its own term is held as widely.
#[test]
fn an_entry_of_an_older_term_is_not_counted_by_itself() {
    let members = Membership {
        voters: (1..=5).map(member).collect(),
        ..Membership::default()
    };
    let entries = vec![
        Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Membership(members),
        },
        Entry {
            index: 2,
            term: 2,
            payload: EntryPayload::Command(vec![1]),
        },
    ];
    let hard_state = HardState {
        term: 3,
        vote: 0,
        cluster: CLUSTER,
    };
    let kept = PersistedState {
        hard_state,
        snapshot: None,
        entries,
    };
    let mut node = Node::new(1, Timing::default(), 9, 1_000, kept);
    let mut now = 1_000;
    let mut applied = Vec::new();
    // Every write is on disk at once; what counts is kept.
    let mut step = |node: &mut Node, now: u64, input: Input| {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in node.step(now, input) {
                match effect {
                    Effect::Write(ticket, _) => inputs.push(Input::Synced(ticket)),
                    Effect::Apply(entry, _) => applied.push(entry.index),
                    _ => {}
                }
            }
        }
        applied.clone()
    };
    let heard = |from: u64, term: u64, body: MessageBody| {
        Input::Received(Message {
            from,
            to: 1,
            cluster: CLUSTER,
            term,
            body,
        })
    };
    while node.role() != Role::PreCandidate {
        now += 50;
        step(&mut node, now, Input::Tick);
    }
    for from in [2, 3] {
        step(
            &mut node,
            now,
            heard(from, 3, MessageBody::PreVoteResponse { granted: true }),
        );
    }
    for from in [2, 3] {
        step(
            &mut node,
            now,
            heard(from, 4, MessageBody::RequestVoteResponse { granted: true }),
        );
    }
    assert_eq!(
        (node.role(), node.term(), node.last_index()),
        (Role::Leader, 4, 3)
    );
    // Two others hold the older entry, and not yet the leader's own.
    let answer = |match_index| MessageBody::AppendEntriesResponse {
        is_match: true,
        match_index,
        round: 1,
    };
    for from in [2, 3] {
        assert_eq!(
            step(&mut node, now, heard(from, 4, answer(2))),
            [],
            "it does not count yet"
        );
    }
    // One more of them holds the leader's own, too: a majority does, with it.
    step(&mut node, now, heard(2, 4, answer(3)));
    assert_eq!(step(&mut node, now, heard(3, 4, answer(3))), [1, 2, 3]);
}

/// Guards: an acknowledged change is never lost. A snapshot that comes late takes
/// nothing away that its node has answered for meanwhile.
#[test]
fn a_late_picture_takes_nothing_away() {
    let members = Membership {
        voters: (1..=3).map(member).collect(),
        ..Membership::default()
    };
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
        // What is kept, the snapshot's index and term, what is left after it.
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
        let kept = PersistedState {
            hard_state,
            snapshot: None,
            entries,
        };
        let mut node = Node::new(1, Timing::default(), 9, 1_000, kept);
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
