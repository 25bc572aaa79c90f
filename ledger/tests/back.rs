//! A node that comes back with a log that goes further than it.

use ledger::node::{Effect, Input, Kept, Node, Pace, Role};
use ledger::{Body, Entry, Matter, Member, Members, Message, Pledge};

const CLUSTER: u64 = 7;

fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{identity}"),
        region: "north".into(),
        zone: "north-a".into(),
        address: String::new(),
        desk: String::new(),
    }
}

fn members(voters: &[u64]) -> Matter {
    let voters = voters.iter().copied().map(member).collect();
    Matter::Members(Members { voters, ..Members::default() })
}

/// Guards: service returns after everything stopped. A leader that comes back
/// applies its whole log, with memberships from before it was let in; it was not
/// removed by those.
#[test]
fn a_leader_that_applies_memberships_from_before_it_goes_on_leading() {
    let entry = |index, matter| Entry { index, term: 1, matter };
    let entries = vec![
        entry(1, members(&[2])),
        entry(2, members(&[2, 3])),
        entry(3, members(&[1, 2, 3])),
        entry(4, Matter::Command(vec![1])),
    ];
    let pledge = Pledge { term: 3, vote: 0, cluster: CLUSTER };
    let kept = Kept { pledge, picture: None, entries };
    let mut node = Node::new(1, Pace::default(), 9, 1_000, kept);
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
    while node.role() != Role::Sounding {
        now += 50;
        step(&mut node, now, Input::Beat);
    }
    let heard = |term: u64, body: Body| {
        Input::Heard(Message { from: 2, to: 1, cluster: CLUSTER, term, body })
    };
    step(&mut node, now, heard(3, Body::SoundAnswer { granted: true }));
    step(&mut node, now, heard(4, Body::VoteAnswer { granted: true }));
    assert_eq!(node.role(), Role::Leader);
    let answer = Body::AppendAnswer { fits: true, matched: 5, round: 1 };
    assert_eq!(step(&mut node, now + 10, heard(4, answer)), 5, "it applies the whole log");
    assert_eq!(node.role(), Role::Leader);
}
