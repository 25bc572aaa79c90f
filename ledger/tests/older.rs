//! Entries that an earlier leader left, at a new one.

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

/// Guards: an acknowledged change is never lost. An entry of an older term that
/// a majority holds may still be cut away by a node whose log ends in a later
/// term, so a leader counts none before one of its own term is held as widely.
#[test]
fn an_entry_of_an_older_term_is_not_counted_by_itself() {
    let members = Members { voters: (1..=5).map(member).collect(), ..Members::default() };
    let entries = vec![
        Entry { index: 1, term: 1, matter: Matter::Members(members) },
        Entry { index: 2, term: 2, matter: Matter::Command(vec![1]) },
    ];
    let pledge = Pledge { term: 3, vote: 0, cluster: CLUSTER };
    let kept = Kept { pledge, picture: None, entries };
    let mut node = Node::new(1, Pace::default(), 9, 1_000, kept);
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
    let heard = |from: u64, term: u64, body: Body| {
        Input::Heard(Message { from, to: 1, cluster: CLUSTER, term, body })
    };
    while node.role() != Role::Sounding {
        now += 50;
        step(&mut node, now, Input::Beat);
    }
    for from in [2, 3] {
        step(&mut node, now, heard(from, 3, Body::SoundAnswer { granted: true }));
    }
    for from in [2, 3] {
        step(&mut node, now, heard(from, 4, Body::VoteAnswer { granted: true }));
    }
    assert_eq!((node.role(), node.term(), node.last()), (Role::Leader, 4, 3));
    // Two others hold the older entry, and not yet the leader's own.
    let answer = |matched| Body::AppendAnswer { fits: true, matched, round: 1 };
    for from in [2, 3] {
        assert_eq!(step(&mut node, now, heard(from, 4, answer(2))), [], "it does not count yet");
    }
    // One more of them holds the leader's own, too: a majority does, with it.
    step(&mut node, now, heard(2, 4, answer(3)));
    assert_eq!(step(&mut node, now, heard(3, 4, answer(3))), [1, 2, 3]);
}

/// Guards: an acknowledged change is never lost. A picture that comes late takes
/// nothing away that its node has answered for meanwhile.
#[test]
fn a_late_picture_takes_nothing_away() {
    let members = Members { voters: (1..=3).map(member).collect(), ..Members::default() };
    let command = |index| Entry { index, term: 2, matter: Matter::Command(vec![1]) };
    let first = Entry { index: 1, term: 1, matter: Matter::Members(members.clone()) };
    let pledge = Pledge { term: 2, vote: 0, cluster: CLUSTER };
    let cases = [
        // What is kept, the picture's index and term, what is left after it.
        (vec![first.clone(), command(2), command(3)], (2, 2), 3),
        (vec![first.clone(), command(2), command(3)], (3, 2), 3),
        (vec![first.clone()], (2, 2), 2),
        (vec![first.clone(), Entry { term: 1, ..command(2) }, command(3)], (2, 2), 2),
    ];
    for (entries, (index, term), last) in cases {
        let kept = Kept { pledge, picture: None, entries };
        let mut node = Node::new(1, Pace::default(), 9, 1_000, kept);
        let members = members.clone();
        let picture = ledger::Picture { index, term, cluster: CLUSTER, members, state: Vec::new() };
        let body = Body::Install { round: 1, picture };
        let message = Message { from: 2, to: 1, cluster: CLUSTER, term: 2, body };
        node.step(1_010, Input::Heard(message));
        assert_eq!((node.last(), node.commit()), (last, index), "picture at {index}");
    }
}
