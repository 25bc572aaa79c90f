//! A node that comes back with a log that goes further than it.

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

fn members(voters: &[u64]) -> EntryPayload {
    let voters = voters.iter().copied().map(member).collect();
    EntryPayload::Membership(Membership {
        voters,
        ..Membership::default()
    })
}

/// Guards: service returns after everything stopped. A leader that comes back
/// applies its whole log, with memberships from before it was let in; it was not
/// removed by those.
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
    let mut applied = 0;
    let mut step = |node: &mut Node, now: u64, input: Input| {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in node.step(now, input) {
                match effect {
                    Effect::Write(ticket, _) => inputs.push(Input::Synced(ticket)),
                    Effect::Apply(entry, _) => applied = entry.index,
                    _ => {}
                }
            }
        }
        applied
    };
    while node.role() != Role::PreCandidate {
        now += 50;
        step(&mut node, now, Input::Tick);
    }
    let heard = |term: u64, body: MessageBody| {
        Input::Received(Message {
            from: 2,
            to: 1,
            cluster: CLUSTER,
            term,
            body,
        })
    };
    step(
        &mut node,
        now,
        heard(3, MessageBody::PreVoteResponse { granted: true }),
    );
    step(
        &mut node,
        now,
        heard(4, MessageBody::RequestVoteResponse { granted: true }),
    );
    assert_eq!(node.role(), Role::Leader);
    let answer = MessageBody::AppendEntriesResponse {
        is_match: true,
        match_index: 5,
        round: 1,
    };
    assert_eq!(
        step(&mut node, now + 10, heard(4, answer)),
        5,
        "it applies the whole log"
    );
    assert_eq!(node.role(), Role::Leader);
}
