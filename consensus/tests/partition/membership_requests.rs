//! Requests about the membership at a leader that is partitioned or paused: what it would
//! answer from its own knowledge waits until a majority confirms that it still leads.

use crate::cluster::{
    Cluster, Loss, ELECTION_MS, LINK_DELAY_MS, PARTITIONS, PARTITION_MS, TICK_MS,
};
use crate::for_each_partition;
use crate::support::members::member;
use consensus::node::{Input, MembershipChangeError, PersistedState, RequestError, Token};
use consensus::{Member, NodeId};

const NEW_MEMBER: NodeId = 99;
const UNKNOWN_MEMBER: NodeId = 98;

fn follower_of(cluster: &Cluster, leader: NodeId) -> NodeId {
    let mut identities = cluster.identities().into_iter();
    identities
        .find(|identity| *identity != leader)
        .expect("a cluster has followers")
}

/// A blank node that uses the name of a member that is alive.
fn namesake_of(identity: NodeId) -> Member {
    Member {
        identity: NEW_MEMBER + 1,
        ..member(identity)
    }
}

/// Requests that a leader answers without an entry, and the error of each; `None` for
/// those that it grants.
fn requests(cluster: &mut Cluster, leader: NodeId) -> Vec<(Token, Option<MembershipChangeError>)> {
    let follower = follower_of(cluster, leader);
    let known = member(follower);
    let namesake = namesake_of(follower);
    let name = namesake.name.clone();
    vec![
        (
            cluster.request(leader, |token| Input::AddLearner(token, known)),
            None,
        ),
        (
            cluster.request(leader, |token| Input::AddLearner(token, namesake)),
            Some(MembershipChangeError::NameInUse(name)),
        ),
        (
            cluster.request(leader, |token| Input::RemoveMember(token, UNKNOWN_MEMBER)),
            Some(MembershipChangeError::UnknownMember),
        ),
        (
            cluster.request(leader, |token| Input::RemoveMember(token, leader)),
            Some(MembershipChangeError::RemovesLeader),
        ),
        (
            cluster.request(leader, |token| Input::Leave(token, leader)),
            Some(MembershipChangeError::LeaderLeaves),
        ),
        (
            cluster.request(leader, |token| Input::Leave(token, follower)),
            None,
        ),
    ]
}

/// Whether a request was answered by what the leader knows.
fn is_answered(cluster: &Cluster, token: Token) -> bool {
    let rejection = cluster.rejections.get(&token);
    let is_refused = matches!(rejection, Some(RequestError::InvalidMembershipChange(_)));
    is_refused || cluster.completed.contains(&token)
}

fn assert_none_answered(cluster: &Cluster, tokens: &[Token], what: &str) {
    let answered: Vec<_> = tokens
        .iter()
        .filter(|token| is_answered(cluster, **token))
        .map(|token| (token, cluster.rejections.get(token)))
        .collect();
    assert!(answered.is_empty(), "{what}: {answered:?}");
}

/// Guards: a leader with a majority answers each request, within a round trip.
#[test]
fn a_leader_answers_requests_about_the_membership() {
    for count in [1, 3, 5] {
        let mut cluster = Cluster::new(count, 1, Loss::Dropped);
        let leader = cluster.leader();
        if count == 1 {
            let token = cluster.request(leader, |token| Input::RemoveMember(token, leader));
            assert!(is_answered(&cluster, token), "alone it is the majority");
            continue;
        }
        let asked = requests(&mut cluster, leader);
        cluster.run(2 * LINK_DELAY_MS + 2 * TICK_MS);
        for (token, error) in asked {
            let error = error.map(RequestError::InvalidMembershipChange);
            assert_eq!(cluster.rejections.get(&token), error.as_ref());
            assert_eq!(cluster.completed.contains(&token), error.is_none());
        }
    }
}

/// Guards: a leader that is cut off, in whichever direction, neither refuses a change of
/// membership nor confirms one, or a departure, by what it knew; whoever asked is told
/// that it does not lead.
#[test]
fn a_leader_that_is_cut_off_answers_nothing_about_the_membership() {
    for_each_partition(|mut cluster, partition, what| {
        let old = cluster.leader();
        cluster.partition(old, partition);
        let mut at_old = tokens_of(requests(&mut cluster, old));
        // An entry that only this leader has: more changes would be refused for it.
        let moved = Member {
            address: "moved".into(),
            ..member(follower_of(&cluster, old))
        };
        cluster.request(old, |token| Input::AddLearner(token, moved));
        at_old.extend(tokens_of(requests(&mut cluster, old)));
        cluster.run(PARTITION_MS);
        assert_none_answered(&cluster, &at_old, what);
        cluster.heal();
        cluster.assert_converges();
        assert_none_answered(&cluster, &at_old, what);
        let is_open = |token: &&Token| !cluster.rejected.contains(token);
        let open: Vec<&Token> = at_old.iter().filter(is_open).collect();
        assert!(open.is_empty(), "{what}: nobody was told of {open:?}");
    });
}

fn tokens_of(asked: Vec<(Token, Option<MembershipChangeError>)>) -> Vec<Token> {
    asked.into_iter().map(|(token, _)| token).collect()
}

/// Guards: a leader that was paused while another one added a member, and has not looked
/// at the clock since, does not answer that there is no such member.
#[test]
fn a_leader_that_wakes_does_not_refuse_by_an_old_membership() {
    for seed in 1..=20 {
        for count in [3, 5] {
            let what = format!("seed {seed}, {count} nodes");
            let mut cluster = Cluster::new(count, seed, Loss::Dropped);
            let old = cluster.leader();
            cluster.machines.get_mut(&old).expect("known").is_paused = true;
            cluster.run(9_000);
            let leader = cluster
                .leader_outside(Some(old))
                .expect("the others have a leader");
            cluster.begin(NEW_MEMBER, PersistedState::default());
            let added =
                cluster.request(leader, |token| Input::AddLearner(token, member(NEW_MEMBER)));
            cluster.run(1_000);
            assert!(cluster.completed.contains(&added), "{what}");

            let machine = cluster.machines.get_mut(&old).expect("known");
            machine.is_paused = false;
            let inbox = std::mem::take(&mut machine.inbox);
            let asked = [
                cluster.request(old, |token| Input::RemoveMember(token, NEW_MEMBER)),
                cluster.request(old, |token| Input::Leave(token, NEW_MEMBER)),
            ];
            for message in inbox {
                cluster.step(old, Input::Received(message));
                assert_none_answered(&cluster, &asked, &what);
            }
            cluster.run(ELECTION_MS);
            assert_none_answered(&cluster, &asked, &what);
        }
    }
}

/// Guards: a voter is not told that it may stop while an entry, committed since it asked,
/// is on no disk but its own and the leader's.
#[test]
fn a_voter_that_holds_a_copy_that_counts_may_not_stop() {
    let mut cluster = Cluster::new(3, 1, Loss::Dropped);
    let leader = cluster.leader();
    let leaving = follower_of(&cluster, leader);
    let other = cluster
        .identities()
        .into_iter()
        .find(|identity| ![leader, leaving].contains(identity))
        .expect("one of three");
    cluster.partition(other, PARTITIONS[0]);
    // The entry is on its way when the voter asks, and committed before the answer.
    let proposed = cluster.propose(leader);
    cluster.run(TICK_MS);
    let asked = cluster.request(leader, |token| Input::Leave(token, leaving));
    cluster.run(4 * LINK_DELAY_MS + 2 * TICK_MS);
    assert!(
        cluster.completed.contains(&proposed),
        "two of three are a majority"
    );
    let not_replaced = RequestError::InvalidMembershipChange(MembershipChangeError::NotReplaced);
    assert_eq!(cluster.rejections.get(&asked), Some(&not_replaced));
}
