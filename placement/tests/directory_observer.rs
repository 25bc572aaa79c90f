//! Whether a router may act on its view while no directory node renews its lease.

use consensus::quorum_read::LogReport;
use consensus::{Member, NodeId};
use placement::{DirectoryObserver, ExtensionReason, VotersOutOfReach, ACKNOWLEDGEMENT_TIMEOUT_MS};
use protocol::{StateReport, LEASE_MS};

const CLUSTER: u64 = 77;
/// The epoch of the router's view.
const EPOCH: u64 = 20;
/// That a machine was found out of reach counts for so long, unless it is found so again.
const OUT_OF_REACH_MS: u64 = 3_000;
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

    /// The connections to these nodes end, since their machines acknowledged nothing.
    fn unacknowledged(&mut self, now: u64, nodes: &[NodeId]) {
        for node in nodes {
            self.observer.record_unacknowledged(now, &address(*node));
        }
    }

    /// An attempt to connect to a node times out.
    fn attempt_times_out(&mut self, began_at_ms: u64, now: u64, node: NodeId) {
        self.observer
            .record_attempt_timeout(now, &address(node), began_at_ms);
    }

    fn extended_until(&self, now: u64) -> Option<u64> {
        self.observer
            .lease_extension(now, CLUSTER, EPOCH, &self.members)
            .map(|extension| extension.until_ms)
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
        for unacknowledged in 0..=node_count {
            let mut fixture = Fixture::new(members(node_count));
            let nodes: Vec<NodeId> = (1..=unacknowledged).collect();
            fixture.ask(1_000, &nodes);
            let now = 1_000 + ACKNOWLEDGEMENT_TIMEOUT_MS;
            assert_eq!(fixture.extended_until(now), None, "not unacknowledged yet");
            fixture.unacknowledged(now, &nodes);
            let expected = (unacknowledged >= needed).then_some(now + CUT_OFF_MS);
            let extended_until = fixture.extended_until(now);
            assert_eq!(extended_until, expected, "{unacknowledged} of {node_count}");
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
    fixture.unacknowledged(3_000, &[4, 5, 6]);
    assert_eq!(fixture.extended_until(3_000), None);
    fixture.unacknowledged(3_000, &[2, 3]);
    assert_eq!(fixture.extended_until(3_000), Some(3_000 + CUT_OFF_MS));
}

#[test]
fn a_connection_that_comes_up_ends_it_at_once() {
    let mut fixture = Fixture::new(members(5));
    fixture.unacknowledged(3_000, &[1, 2, 3]);
    assert!(fixture.extended_until(3_100).is_some());
    fixture.observer.record_sign_of_machine(&address(2));
    assert_eq!(fixture.extended_until(3_100), None);
    // Attempts that time out from then on show nothing: its queue of connections is full.
    fixture.attempt_times_out(3_200, 3_650, 2);
    assert_eq!(fixture.extended_until(3_650), None);
}

/// Guards: a node whose queue of connections is full drops new ones without a word.
#[test]
fn attempts_to_connect_that_time_out_show_nothing_by_themselves() {
    let mut fixture = Fixture::new(members(3));
    fixture.ask(1_000, &[1, 2, 3]);
    for node in [1, 2, 3] {
        fixture.observer.record_connection_end(&address(node));
    }
    for now in (1_450..9_000).step_by(450) {
        for node in [1, 2, 3] {
            fixture.attempt_times_out(now - 450, now, node);
        }
        assert_eq!(fixture.extended_until(now), None, "at {now}");
    }
}

/// Guards: a partition lasts longer than one observation of it counts.
#[test]
fn attempts_to_connect_that_time_out_confirm_that_a_machine_is_out_of_reach() {
    let mut fixture = Fixture::new(members(3));
    fixture.unacknowledged(1_000, &[1, 2]);
    for now in (1_650..9_000).step_by(650) {
        for node in [1, 2] {
            fixture.attempt_times_out(now - 450, now, node);
        }
        assert_eq!(fixture.extended_until(now), Some(now + CUT_OFF_MS));
        let last = now + OUT_OF_REACH_MS - 1;
        assert!(fixture.extended_until(last).is_some(), "at {last}");
        assert_eq!(fixture.extended_until(last + 1), None, "nobody looks");
    }
}

#[test]
fn machines_that_refuse_run_no_process() {
    let mut fixture = Fixture::new(members(5));
    for node in [1, 2] {
        fixture.observer.record_refusal(1_000, &address(node));
    }
    assert_eq!(fixture.extended_until(1_500), None, "two of five");
    fixture.unacknowledged(1_500, &[3]);
    fixture.observer.record_refusal(1_500, &address(1));
    fixture.observer.record_refusal(1_600, &address(2));
    let extended_until = fixture.extended_until(2_500);
    assert_eq!(extended_until, None, "the refusal of the first is old");
    fixture.observer.record_refusal(2_400, &address(1));
    assert_eq!(fixture.extended_until(2_500), Some(2_500 + CUT_OFF_MS));
}

/// Guards: a machine that refuses is within reach; only its process is missing.
#[test]
fn a_refusal_ends_that_a_machine_is_out_of_reach() {
    let mut fixture = Fixture::new(members(3));
    fixture.unacknowledged(1_000, &[1, 2]);
    fixture.observer.record_refusal(1_100, &address(1));
    assert!(fixture.extended_until(1_200).is_some(), "no process");
    fixture.attempt_times_out(1_650, 2_100, 1);
    assert_eq!(fixture.extended_until(2_100), None, "its queue may be full");
}

#[test]
fn an_extension_states_what_allows_it() {
    let mut fixture = Fixture::new(members(5));
    fixture.unacknowledged(1_000, &[1, 2]);
    fixture.observer.record_refusal(1_000, &address(3));
    let reason = |fixture: &Fixture, now| {
        let members = &fixture.members;
        let extension = fixture
            .observer
            .lease_extension(now, CLUSTER, EPOCH, members);
        extension.map(|extension| extension.reason)
    };
    let out_of_reach = VotersOutOfReach {
        unacknowledged: 2,
        refusing: 1,
        replaced: 0,
    };
    let expected = Some(ExtensionReason::CutOff(out_of_reach));
    assert_eq!(reason(&fixture, 1_100), expected);
    let number = fixture.ask(1_100, &[3, 4, 5]);
    for node in [3, 4, 5] {
        fixture.answer(number, node, EPOCH);
    }
    let expected = Some(ExtensionReason::ConfirmedByMajority);
    assert_eq!(reason(&fixture, 1_200), expected, "it lasts longer");
}

/// Guards: a voter whose address another node has can't be acting. That node lost the
/// voter's disk, and says so by its identity.
#[test]
fn a_voter_that_lost_its_disk_is_out_of_reach() {
    let mut fixture = Fixture::new(members(5));
    let number = fixture.ask(1_000, &[1, 2, 3]);
    fixture.answer(number, 1, EPOCH);
    fixture.answer(number, 2, EPOCH);
    // Past what the first two confirm.
    let now = 1_000 + LEASE_MS;
    fixture.unacknowledged(now, &[4, 5]);
    assert_eq!(fixture.extended_until(now), None, "3 may be acting");
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

/// Guards: a process that was suspended knows nothing when it resumes: the partition may
/// have ended.
#[test]
fn a_process_that_was_suspended_knows_nothing_when_it_resumes() {
    let mut fixture = Fixture::new(members(3));
    fixture.unacknowledged(8_800, &[1, 2]);
    fixture.observer.record_refusal(8_900, &address(3));
    assert!(fixture.extended_until(8_950).is_some());
    fixture.observer.record_resumption(9_000);
    assert_eq!(fixture.extended_until(9_000), None);
    // Attempts that began before may have timed out before.
    for node in [1, 2] {
        fixture.attempt_times_out(8_999, 9_100, node);
    }
    assert_eq!(fixture.extended_until(9_100), None);
    for node in [1, 2] {
        fixture.attempt_times_out(9_200, 9_650, node);
    }
    let extended_until = fixture.extended_until(9_650);
    assert!(
        extended_until.is_some(),
        "they are out of reach all the same"
    );
}

/// Guards: a connection's time goes on while the machine of this process is suspended; it
/// then ends although the other machine was never asked again.
#[test]
fn a_connection_that_ends_over_a_suspension_shows_nothing_by_itself() {
    let mut fixture = Fixture::new(members(3));
    fixture.observer.record_resumption(9_000);
    let covered_until_ms = 9_000 + ACKNOWLEDGEMENT_TIMEOUT_MS;
    fixture.unacknowledged(covered_until_ms - 1, &[1, 2]);
    assert_eq!(fixture.extended_until(covered_until_ms - 1), None);
    let mut other = Fixture::new(members(3));
    other.observer.record_resumption(9_000);
    other.unacknowledged(covered_until_ms, &[1, 2]);
    assert!(other.extended_until(covered_until_ms).is_some());
    // Attempts since then show whether it is a partition.
    let now = covered_until_ms + 500;
    fixture.attempt_times_out(covered_until_ms, now, 1);
    assert_eq!(fixture.extended_until(now), None, "one of three");
    fixture.attempt_times_out(covered_until_ms, now, 2);
    assert_eq!(fixture.extended_until(now), Some(now + CUT_OFF_MS));
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

/// Guards: overloaded voters, which hold the connection and answer late or not at all, were
/// taken for a partition, and the router went on with an old view for the whole grace.
#[test]
fn voters_that_hold_the_connection_and_do_not_answer_are_no_partition() {
    let mut fixture = Fixture::new(members(5));
    let all: Vec<NodeId> = (1..=5).collect();
    let first = fixture.ask(1_000, &all);
    for now in (1_300..9_000).step_by(300) {
        fixture.ask(now, &all);
        assert_eq!(fixture.extended_until(now), None, "at {now}");
        if now == 3_100 {
            // Two of them answer, after 2 s, that there is a newer change.
            fixture.answer(first, 1, EPOCH + 1);
            fixture.answer(first, 2, EPOCH + 1);
        }
    }
}
