//! Which change of membership comes next: a table.

mod support;

use consensus::repair::{next_change, MemberHealth, NoChange, RepairPolicy};
use consensus::{Member, MembershipChange};
use support::members::member;

const POLICY: RepairPolicy = RepairPolicy {
    voters: 5,
    replace_voter_after_ms: 1_000,
    remove_learner_after_ms: 60_000,
};

/// State of a member in the tables below.
#[derive(Clone, Copy)]
enum Stands {
    Well,
    Silent(u64),
    Leaving,
    Behind,
}

fn member_in(zone: &str, identity: u64) -> Member {
    Member {
        region: zone[..1].into(),
        zone: zone.into(),
        ..member(identity)
    }
}

fn health<'a>(members: &'a [(Member, Stands)]) -> Vec<MemberHealth<'a>> {
    let of = |(member, stands): &'a (Member, Stands)| MemberHealth {
        member,
        silent_ms: if let Stands::Silent(silent_ms) = stands {
            *silent_ms
        } else {
            50
        },
        is_caught_up: matches!(stands, Stands::Well | Stands::Leaving),
        is_leaving: matches!(stands, Stands::Leaving),
    };
    members.iter().map(of).collect()
}

type Listed<'a> = &'a [(u64, &'a str, Stands)];

fn change(voters: Listed, learners: Listed) -> Result<MembershipChange, NoChange> {
    let of = |list: Listed| -> Vec<(Member, Stands)> {
        list.iter()
            .map(|(identity, zone, stands)| (member_in(zone, *identity), *stands))
            .collect()
    };
    let (voters, learners) = (of(voters), of(learners));
    next_change(&health(&voters), &health(&learners), 1, &POLICY)
}

const FIVE: [(u64, &str, Stands); 5] = [
    (1, "a1", Stands::Well),
    (2, "b1", Stands::Well),
    (3, "c1", Stands::Well),
    (4, "a1", Stands::Well),
    (5, "b1", Stands::Well),
];

fn five_with(identity: u64, stands: Stands) -> Vec<(u64, &'static str, Stands)> {
    let with = |(known, zone, was): (u64, &'static str, Stands)| {
        (known, zone, if known == identity { stands } else { was })
    };
    FIVE.into_iter().map(with).collect()
}

#[test]
fn a_silent_voter_is_replaced_and_nothing_else_changes() {
    use MembershipChange::{DemoteVoter, PromoteLearner, RemoveLearner};
    use Stands::{Behind, Leaving, Silent, Well};
    type Members = Vec<(u64, &'static str, Stands)>;
    type Case = (
        &'static str,
        Members,
        Members,
        Result<MembershipChange, NoChange>,
    );
    let cases: Vec<Case> = vec![
        (
            "all is well",
            FIVE.into(),
            vec![],
            Err(NoChange::NothingToRepair),
        ),
        (
            "a learner stands by",
            FIVE.into(),
            vec![(6, "c1", Well)],
            Err(NoChange::NothingToRepair),
        ),
        (
            "silent, nobody ready",
            five_with(3, Silent(9_000)),
            vec![(6, "c1", Behind)],
            Err(NoChange::NoReadyLearner),
        ),
        (
            "silent, not for long",
            five_with(3, Silent(900)),
            vec![(6, "c1", Well)],
            Err(NoChange::NothingToRepair),
        ),
        (
            "silent, a learner ready",
            five_with(3, Silent(1_000)),
            vec![(6, "c1", Well)],
            Ok(PromoteLearner(6)),
        ),
        (
            "one that leaves",
            five_with(2, Leaving),
            vec![(6, "c1", Well)],
            Ok(PromoteLearner(6)),
        ),
        (
            "a learner that leaves is not ready",
            five_with(2, Silent(2_000)),
            vec![(6, "c1", Leaving)],
            Err(NoChange::NoReadyLearner),
        ),
        (
            "the place of the one that goes is filled",
            five_with(3, Silent(2_000)),
            vec![(6, "a1", Well), (7, "c1", Well)],
            Ok(PromoteLearner(7)),
        ),
        (
            "too few",
            FIVE[..4].into(),
            vec![(6, "a1", Well), (7, "c1", Well)],
            Ok(PromoteLearner(7)),
        ),
        (
            "a learner gone for good",
            FIVE.into(),
            vec![(6, "c1", Silent(60_000))],
            Ok(RemoveLearner(6)),
        ),
        (
            "not forgotten while there is more to do",
            five_with(2, Silent(5_000)),
            vec![(6, "c1", Silent(70_000)), (7, "b1", Well)],
            Ok(PromoteLearner(7)),
        ),
        (
            "six: the silent one goes",
            [five_with(3, Silent(2_000)), vec![(6, "c1", Well)]].concat(),
            vec![],
            Ok(DemoteVoter(3)),
        ),
        (
            "six: the one that leaves goes",
            [five_with(4, Leaving), vec![(6, "c1", Well)]].concat(),
            vec![],
            Ok(DemoteVoter(4)),
        ),
        (
            "six, the silent one is back: the fullest region gives",
            [FIVE.to_vec(), vec![(6, "b2", Well)]].concat(),
            vec![],
            Ok(DemoteVoter(2)),
        ),
    ];
    for (name, voters, learners, wanted) in cases {
        assert_eq!(change(&voters, &learners), wanted, "{name}");
    }
}

/// Guards: the loss of one region or zone leaves a majority wherever the members allow
/// it; where they don't, nothing changes.
#[test]
fn voters_are_spread_so_that_a_region_may_be_lost() {
    use Stands::Well;
    let crowded = [
        (1, "a1", Well),
        (2, "a2", Well),
        (3, "a2", Well),
        (4, "b1", Well),
        (5, "c1", Well),
    ];
    assert_eq!(
        change(&crowded, &[(6, "a1", Well)]),
        Err(NoChange::NothingToRepair)
    );
    assert_eq!(
        change(&crowded, &[(6, "a1", Well), (7, "b2", Well)]),
        Ok(MembershipChange::PromoteLearner(7))
    );
    let six: Vec<_> = crowded.into_iter().chain([(7, "b2", Well)]).collect();
    let demoted = change(&six, &[(6, "a1", Well)]);
    assert!(
        matches!(demoted, Ok(MembershipChange::DemoteVoter(2 | 3))),
        "{demoted:?}"
    );
}

/// Guards: the leader itself is never demoted, whatever its health.
#[test]
fn the_leader_is_never_demoted() {
    use Stands::{Leaving, Well};
    let voters = [(1, "a1", Leaving), (2, "a1", Well)];
    let policy = RepairPolicy {
        voters: 1,
        ..POLICY
    };
    let listed: Vec<(Member, Stands)> = voters
        .iter()
        .map(|(id, zone, stands)| (member_in(zone, *id), *stands))
        .collect();
    assert_eq!(
        next_change(&health(&listed), &[], 1, &policy),
        Ok(MembershipChange::DemoteVoter(2))
    );
}
