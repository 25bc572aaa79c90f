//! Whether a router may act on its view while no directory node renews its lease.

use consensus::quorum_read::LogReport;
use consensus::{Member, NodeId};
use placement::DirectoryObserver;
use protocol::{StateReport, LEASE_MS};

const CLUSTER: u64 = 77;
/// The epoch of the router's view.
const EPOCH: u64 = 20;
/// A query that is not answered for so long shows that its node is out of reach.
const SILENCE_MS: u64 = 1_500;
/// How long one observation of being cut off counts.
const CUT_OFF_MS: u64 = 600;

fn address(node: NodeId) -> String {
    format!("10.0.0.{node}:7000")
}

fn members(count: u64) -> Vec<Member> {
    let member = |identity| Member {
        identity,
        name: format!("d{identity}"),
        region: "r".into(),
        zone: "z".into(),
        address: address(identity),
        operator_address: String::new(),
    };
    (1..=count).map(member).collect()
}

/// A router that observes some directory nodes.
struct Fixture {
    observer: DirectoryObserver,
    members: Vec<Member>,
    number: u64,
}

impl Fixture {
    fn new(members: Vec<Member>) -> Fixture {
        Fixture {
            observer: DirectoryObserver::default(),
            members,
            number: 0,
        }
    }

    /// Asks these nodes; returns the query's number.
    fn ask(&mut self, now: u64, nodes: &[NodeId]) -> u64 {
        self.number += 1;
        for node in nodes {
            self.observer
                .record_query(now, &address(*node), self.number);
        }
        self.number
    }

    /// A node answers that it has no change after `newest_change`.
    fn answer(&mut self, number: u64, node: NodeId, newest_change: u64) {
        let voters = self.members.iter();
        let log = LogReport {
            identity: node,
            cluster: CLUSTER,
            newest_change,
            voters: voters.map(|voter| voter.identity).collect(),
        };
        let report = StateReport { number, log };
        self.observer.record_report(&address(node), report);
    }

    fn extended_until(&self, now: u64) -> Option<u64> {
        self.observer
            .extends_lease_until_ms(now, CLUSTER, EPOCH, &self.members)
    }
}

#[test]
fn a_majority_that_has_nothing_newer_extends_the_lease_from_the_question() {
    let mut fixture = Fixture::new(members(5));
    let number = fixture.ask(1_000, &[1, 2, 3, 4, 5]);
    fixture.answer(number, 1, EPOCH);
    fixture.answer(number, 2, 3);
    assert_eq!(fixture.extended_until(1_100), None, "two of five");
    fixture.answer(number, 3, EPOCH);
    assert_eq!(fixture.extended_until(1_100), Some(1_000 + LEASE_MS));
    assert_eq!(fixture.extended_until(1_000 + LEASE_MS), None, "it is over");
}

/// Guards: what was acknowledged after the first node of the majority was asked may be
/// missing; the time counts from there.
#[test]
fn the_oldest_question_of_the_majority_counts() {
    let mut fixture = Fixture::new(members(5));
    for (now, node) in [(1_000, 1), (1_200, 2), (1_400, 3), (1_600, 4)] {
        let number = fixture.ask(now, &[node]);
        fixture.answer(number, node, EPOCH);
    }
    assert_eq!(fixture.extended_until(1_700), Some(1_200 + LEASE_MS));
    let number = fixture.ask(1_800, &[1]);
    fixture.answer(number, 1, EPOCH);
    assert_eq!(fixture.extended_until(1_900), Some(1_400 + LEASE_MS));
}

/// Guards: a node that has a newer change counts no more, whatever it said before.
#[test]
fn a_newer_change_at_a_node_takes_its_word_back() {
    let mut fixture = Fixture::new(members(3));
    let number = fixture.ask(1_000, &[1, 2]);
    fixture.answer(number, 1, EPOCH);
    fixture.answer(number, 2, EPOCH);
    assert!(fixture.extended_until(1_100).is_some());
    let number = fixture.ask(1_200, &[2]);
    fixture.answer(number, 2, EPOCH + 1);
    assert_eq!(fixture.extended_until(1_300), None);
    let number = fixture.ask(1_400, &[3]);
    fixture.answer(number, 3, EPOCH);
    assert_eq!(fixture.extended_until(1_500), Some(1_000 + LEASE_MS));
}

#[test]
fn an_answer_to_no_question_counts_for_nothing() {
    let mut fixture = Fixture::new(members(3));
    let first = fixture.ask(1_000, &[1, 2]);
    let second = fixture.ask(1_300, &[1, 2]);
    fixture.answer(second + 1, 1, EPOCH);
    fixture.answer(second + 1, 2, EPOCH);
    assert_eq!(fixture.extended_until(1_400), None, "of the future");
    fixture.answer(second, 1, EPOCH);
    fixture.answer(second, 2, EPOCH);
    assert_eq!(fixture.extended_until(1_400), Some(1_300 + LEASE_MS));
    // Late or twice: the time does not go back.
    fixture.answer(first, 1, EPOCH);
    fixture.answer(second, 2, EPOCH);
    assert_eq!(fixture.extended_until(1_400), Some(1_300 + LEASE_MS));
    // A node that the router never asked.
    fixture.answer(second, 3, EPOCH);
    assert_eq!(fixture.extended_until(1_400), Some(1_300 + LEASE_MS));
    // A question on a connection that has ended.
    let third = fixture.ask(1_500, &[1, 2]);
    fixture.observer.record_connection_end(&address(1));
    fixture.answer(third, 1, EPOCH);
    fixture.answer(third, 2, EPOCH);
    assert_eq!(fixture.extended_until(1_600), Some(1_300 + LEASE_MS));
}

#[test]
fn at_most_half_of_the_voters_are_within_reach() {
    for (node_count, needed) in [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)] {
        for silent in 0..=node_count {
            let mut fixture = Fixture::new(members(node_count));
            let nodes: Vec<NodeId> = (1..=silent).collect();
            fixture.ask(1_000, &nodes);
            let now = 1_000 + SILENCE_MS;
            assert_eq!(fixture.extended_until(now - 1), None, "not silent yet");
            let expected = (silent >= needed).then_some(now + CUT_OFF_MS);
            let extended_until = fixture.extended_until(now);
            assert_eq!(extended_until, expected, "{silent} of {node_count}");
        }
    }
    let fixture = Fixture::new(Vec::new());
    assert_eq!(fixture.extended_until(9_000), None, "no node is known");
}

/// Guards: learners that are out of reach don't make a router believe that the voters are.
#[test]
fn learners_count_for_nothing_once_the_voters_are_known() {
    let mut fixture = Fixture::new(members(3));
    let number = fixture.ask(1_000, &[1]);
    fixture.answer(number, 1, EPOCH + 1);
    // Three more that are no voters.
    fixture.members = members(6);
    fixture.ask(1_100, &[4, 5, 6]);
    assert_eq!(fixture.extended_until(3_000), None);
    fixture.ask(1_200, &[2, 3]);
    assert_eq!(fixture.extended_until(3_000), Some(3_000 + CUT_OFF_MS));
}

#[test]
fn a_node_that_answers_again_ends_it_at_once() {
    let mut fixture = Fixture::new(members(5));
    fixture.ask(1_000, &[1, 2, 3]);
    let number = fixture.ask(2_400, &[1, 2, 3]);
    assert!(fixture.extended_until(3_000).is_some());
    fixture.answer(number, 2, EPOCH + 1);
    assert_eq!(fixture.extended_until(3_000), None);
}

/// Guards: a connection that ends says that its node, or the machine, is there.
#[test]
fn a_silence_counts_only_on_a_connection_that_stands() {
    let mut fixture = Fixture::new(members(3));
    fixture.ask(1_000, &[1, 2, 3]);
    assert!(fixture.extended_until(3_000).is_some());
    fixture.observer.record_connection_end(&address(1));
    assert!(fixture.extended_until(3_000).is_some(), "two of three");
    fixture.observer.record_connection_end(&address(2));
    assert_eq!(fixture.extended_until(3_000), None);
}

#[test]
fn machines_that_refuse_run_no_process() {
    let mut fixture = Fixture::new(members(5));
    for node in [1, 2] {
        fixture.observer.record_refusal(1_000, &address(node));
    }
    fixture.ask(1_000, &[3]);
    assert_eq!(fixture.extended_until(1_500), None, "two of five");
    fixture.observer.record_refusal(1_500, &address(1));
    fixture.observer.record_refusal(1_600, &address(2));
    let extended_until = fixture.extended_until(2_500);
    assert_eq!(extended_until, None, "the refusal of the first is old");
    fixture.observer.record_refusal(2_400, &address(1));
    assert_eq!(fixture.extended_until(2_500), Some(2_500 + CUT_OFF_MS));
}

/// Guards: a voter whose address another node has can't be acting. That node lost the
/// voter's disk, and says so by its identity.
#[test]
fn a_voter_that_lost_its_disk_is_out_of_reach() {
    let mut fixture = Fixture::new(members(5));
    let number = fixture.ask(1_000, &[1, 2, 3]);
    fixture.answer(number, 1, EPOCH);
    fixture.answer(number, 2, EPOCH);
    fixture.ask(1_100, &[4, 5]);
    let now = 1_100 + SILENCE_MS;
    assert_eq!(
        fixture.extended_until(now),
        Some(now + CUT_OFF_MS),
        "3, 4, 5"
    );
    let blank = LogReport {
        identity: 99,
        cluster: 0,
        newest_change: 0,
        voters: Vec::new(),
    };
    let report = |number| StateReport {
        number,
        log: blank.clone(),
    };
    fixture.observer.record_report(&address(3), report(number));
    assert_eq!(fixture.extended_until(now), Some(now + CUT_OFF_MS));
    // Its word confirms nothing, whichever way it is counted.
    let number = fixture.ask(now, &[1, 2, 3, 4, 5]);
    for node in [1, 2] {
        fixture.answer(number, node, EPOCH);
    }
    fixture.observer.record_report(&address(3), report(number));
    fixture.answer(number, 4, EPOCH + 1);
    assert_eq!(
        fixture.extended_until(now + 100),
        None,
        "1, 2 and 4 can act"
    );
}

/// Guards: a process that was suspended knows nothing when it resumes: the answers may
/// wait in its sockets.
#[test]
fn a_process_that_was_suspended_knows_nothing_when_it_resumes() {
    let mut fixture = Fixture::new(members(3));
    fixture.ask(1_000, &[1, 2]);
    fixture.observer.record_refusal(8_900, &address(3));
    fixture.observer.record_resumption(9_000);
    assert_eq!(fixture.extended_until(9_000), None);
    assert_eq!(fixture.extended_until(9_000 + SILENCE_MS - 1), None);
    let extended_until = fixture.extended_until(9_000 + SILENCE_MS);
    assert!(extended_until.is_some(), "they are silent all the same");
}

#[test]
fn nodes_that_are_no_members_any_more_are_forgotten() {
    let mut fixture = Fixture::new(members(3));
    let number = fixture.ask(1_000, &[1, 2]);
    fixture.answer(number, 1, EPOCH);
    fixture.answer(number, 2, EPOCH);
    assert!(fixture.extended_until(1_100).is_some());
    let left = address(2);
    fixture.observer.retain(|address| address != left);
    assert_eq!(fixture.extended_until(1_100), None);
}
