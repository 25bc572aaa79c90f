//! A node that hears its leader, and candidates that don't (Raft thesis §4.2.3).

mod support;

use consensus::{Entry, EntryPayload, MessageBody};
use support::members::{member, membership};
use support::single_node::SingleNode;

const TERM: u64 = 3;

/// Node 1 of three, which has just heard node 2 as its leader.
fn follower() -> SingleNode {
    let members = Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Membership(membership((1..=3).map(member))),
    };
    let mut single = SingleNode::start(TERM, vec![members]);
    let heartbeat = MessageBody::AppendEntries {
        prev_log_index: 1,
        prev_log_term: 1,
        leader_commit: 1,
        round: 1,
        entries: Vec::new(),
    };
    single.receive(2, TERM, heartbeat);
    assert_eq!(single.node.leader(), Some(2));
    single.sent.clear();
    single
}

fn request_vote(is_transfer: bool) -> MessageBody {
    MessageBody::RequestVote {
        last_log_index: 9,
        last_log_term: TERM,
        is_transfer,
    }
}

/// Guards: a candidate that misses the leader alone does not unseat it. Whoever hears the
/// leader neither answers it nor follows into its term; the pre-vote, which refuses it
/// first, may have been granted before the leader was heard.
#[test]
fn a_candidate_gets_no_vote_of_a_node_that_hears_its_leader() {
    let mut single = follower();
    single.receive(3, TERM + 1, request_vote(false));
    assert_eq!(single.sent, [], "no answer");
    assert_eq!(single.node.term(), TERM);
    assert_eq!(single.node.leader(), Some(2));
}

#[test]
fn a_successor_that_the_leader_chose_gets_the_vote() {
    let mut single = follower();
    single.receive(3, TERM + 1, request_vote(true));
    assert_eq!(single.node.term(), TERM + 1);
    let granted = MessageBody::RequestVoteResponse { granted: true };
    assert!(single
        .sent
        .iter()
        .any(|sent| sent.to == 3 && sent.body == granted));
}

/// Guards: nor a pre-vote, which a candidate needs before it campaigns.
#[test]
fn a_pre_candidate_is_refused_by_a_node_that_hears_its_leader() {
    let mut single = follower();
    let pre_vote = MessageBody::PreVote {
        last_log_index: 9,
        last_log_term: TERM,
    };
    single.receive(3, TERM, pre_vote);
    let refused = MessageBody::PreVoteResponse { granted: false };
    assert!(single.sent.iter().all(|sent| sent.body == refused));
    assert_eq!(single.sent.len(), 1);
}
