//! When the reports of single nodes show that a copy of the state is the newest.

use consensus::quorum_read::{is_current, LogReport};
use consensus::{LogIndex, NodeId};

const CLUSTER: u64 = 7;
const EPOCH: LogIndex = 20;

fn report(identity: NodeId, newest_change: LogIndex, voters: &[NodeId]) -> LogReport {
    LogReport {
        identity,
        cluster: CLUSTER,
        newest_change,
        voters: voters.to_vec(),
    }
}

#[test]
fn a_majority_without_a_newer_change_confirms_a_copy() {
    const FIVE: &[NodeId] = &[1, 2, 3, 4, 5];
    const FOUR: &[NodeId] = &[1, 2, 3, 4];
    let at = |identity, newest_change| report(identity, newest_change, FIVE);
    let of_four = |identity| report(identity, EPOCH, FOUR);
    let cases = [
        ("nobody", vec![], false),
        ("two of five", vec![at(1, 20), at(2, 20)], false),
        ("three of five", vec![at(1, 20), at(2, 3), at(3, 20)], true),
        (
            "one of three has a newer change",
            vec![at(1, 20), at(2, 21), at(3, 20)],
            false,
        ),
        (
            "three others have not",
            vec![at(1, 20), at(2, 21), at(3, 20), at(4, 9)],
            true,
        ),
        ("half of four", vec![of_four(1), of_four(2)], false),
        (
            "three of four",
            vec![of_four(1), of_four(2), of_four(3)],
            true,
        ),
        (
            "no voters among them",
            vec![at(6, 20), at(7, 20), at(8, 20)],
            false,
        ),
        (
            "the same node three times",
            vec![at(1, 20), at(1, 20), at(1, 20)],
            false,
        ),
        (
            "a majority of one membership, not of a newer one that one of them knows",
            vec![
                report(1, 20, &[1, 2, 3]),
                report(2, 20, &[1, 2, 3]),
                report(3, 20, FIVE),
                report(3, 20, &[3, 4, 5, 6, 7]),
            ],
            false,
        ),
        (
            "a node that knows no membership",
            vec![report(1, 0, &[])],
            false,
        ),
        (
            "a blank node beside a majority",
            vec![at(1, 20), at(2, 20), at(3, 20), report(9, 0, &[])],
            false,
        ),
    ];
    for (case, reports, expected) in cases {
        assert_eq!(is_current(&reports, CLUSTER, EPOCH), expected, "{case}");
    }
}

#[test]
fn nodes_of_another_cluster_say_nothing() {
    let reports: Vec<LogReport> = (1..=3)
        .map(|identity| report(identity, 4, &[1, 2, 3]))
        .collect();
    assert!(is_current(&reports, CLUSTER, EPOCH));
    assert!(!is_current(&reports, CLUSTER + 1, EPOCH));
    assert!(!is_current(&reports, 0, EPOCH));
    let mut mixed = reports.clone();
    mixed[0].cluster = CLUSTER + 1;
    mixed[1].cluster = CLUSTER + 1;
    assert!(!is_current(&mixed, CLUSTER, EPOCH));
}
