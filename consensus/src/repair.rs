//! Which change of membership a leader makes by itself, one at a time.
//!
//! The decision is a pure function of the members' health. A voter that is silent or
//! about to stop is replaced by a learner that has caught up: the learner is promoted
//! first and the voter demoted next (Raft thesis §4.1 and §4.2.1, one server at a time),
//! so that the number of voters never falls below what it was. Voters are spread so that
//! the loss of one zone or region leaves a majority wherever the members allow it.

use crate::{Member, MembershipChange, NodeId};
use std::collections::BTreeMap;

/// Health of a member, as its leader knows it.
#[derive(Clone, Copy, Debug)]
pub struct MemberHealth<'a> {
    /// The member in question.
    pub member: &'a Member,
    /// Milliseconds since the leader last received a message from it; 0 for the leader itself.
    pub silent_ms: u64,
    /// It was heard within an election timeout, and has synced all but the newest entries,
    /// including the membership in force.
    pub is_caught_up: bool,
    /// It announced that it is about to stop.
    pub is_leaving: bool,
}

/// When repair changes the membership.
#[derive(Clone, Copy, Debug)]
pub struct RepairPolicy {
    /// The number of voters to keep.
    pub voters: usize,
    /// A voter that is silent for this long is replaced where a learner is ready.
    pub replace_voter_after_ms: u64,
    /// A learner that is silent for this long is removed from the membership.
    pub remove_learner_after_ms: u64,
}

/// Why no change is made.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum NoChange {
    /// The membership needs no repair.
    #[error("nothing to repair")]
    NothingToRepair,
    /// Voters are missing or must be replaced, and no learner has caught up.
    #[error("waits for a learner that has caught up")]
    NoReadyLearner,
}

/// Decides which change comes next. `leader` is never demoted.
///
/// # Errors
/// [`NoChange`] says why there is none; that is a state, not a failure.
pub fn next_change(
    voters: &[MemberHealth],
    learners: &[MemberHealth],
    leader: NodeId,
    policy: &RepairPolicy,
) -> Result<MembershipChange, NoChange> {
    let outgoing = voter_to_replace(voters, leader, policy);
    if voters.len() > policy.voters {
        let demoted = outgoing.or_else(|| most_dispensable(voters, leader));
        return demoted
            .map(MembershipChange::DemoteVoter)
            .ok_or(NoChange::NothingToRepair);
    }
    if voters.len() < policy.voters || outgoing.is_some() {
        return best_learner(voters, learners, outgoing)
            .map(MembershipChange::PromoteLearner)
            .ok_or(NoChange::NoReadyLearner);
    }
    better_spread(voters, learners, leader)
        .map(MembershipChange::PromoteLearner)
        .or_else(|| learner_to_forget(learners, policy).map(MembershipChange::RemoveLearner))
        .ok_or(NoChange::NothingToRepair)
}

/// The voter that has been silent for longest, past the limit; else one that is leaving.
fn voter_to_replace(
    voters: &[MemberHealth],
    leader: NodeId,
    policy: &RepairPolicy,
) -> Option<NodeId> {
    let others = || {
        voters
            .iter()
            .filter(|voter| voter.member.identity != leader)
    };
    let silent = others()
        .filter(|voter| voter.silent_ms >= policy.replace_voter_after_ms)
        .max_by_key(|voter| voter.silent_ms);
    let leaving = || others().find(|voter| voter.is_leaving);
    silent.or_else(leaving).map(|voter| voter.member.identity)
}

fn is_ready(learner: &&MemberHealth) -> bool {
    learner.is_caught_up && !learner.is_leaving
}

/// The ready learner that spreads the voters best once `outgoing` is gone.
fn best_learner(
    voters: &[MemberHealth],
    learners: &[MemberHealth],
    outgoing: Option<NodeId>,
) -> Option<NodeId> {
    let staying = |voter: &&Member| Some(voter.identity) != outgoing;
    let staying: Vec<&Member> = members(voters).filter(staying).collect();
    let spread_with = |learner: &&MemberHealth| {
        let voters: Vec<&Member> = staying.iter().copied().chain([learner.member]).collect();
        Spread::of(&voters)
    };
    let best = learners.iter().filter(is_ready).min_by_key(spread_with)?;
    Some(best.member.identity)
}

/// The voter without which the others are spread best.
fn most_dispensable(voters: &[MemberHealth], leader: NodeId) -> Option<NodeId> {
    let others = members(voters).filter(|voter| voter.identity != leader);
    others
        .min_by_key(|voter| spread_without(voters, voter.identity))
        .map(|voter| voter.identity)
}

/// A ready learner that, in exchange for one of the voters, would let the cluster survive
/// the loss of a zone or region that it can't survive now.
fn better_spread(
    voters: &[MemberHealth],
    learners: &[MemberHealth],
    leader: NodeId,
) -> Option<NodeId> {
    let now: Vec<&Member> = members(voters).collect();
    let excess = Spread::of(&now).excess();
    if excess == (0, 0) {
        return None;
    }
    let exchanged = |learner: &&MemberHealth| {
        let others = now.iter().filter(|voter| voter.identity != leader);
        let spread_after = |gone: &&&Member| {
            let staying = now
                .iter()
                .copied()
                .filter(|voter| voter.identity != gone.identity);
            Spread::of(&staying.chain([learner.member]).collect::<Vec<_>>())
        };
        others.map(|gone| spread_after(&gone)).min()
    };
    let candidates = learners.iter().filter(is_ready);
    let (best, spread) = candidates
        .filter_map(|learner| Some((learner, exchanged(&learner)?)))
        .min_by_key(|(_, spread)| *spread)?;
    (spread.excess() < excess).then_some(best.member.identity)
}

fn learner_to_forget(learners: &[MemberHealth], policy: &RepairPolicy) -> Option<NodeId> {
    let gone = learners
        .iter()
        .filter(|learner| learner.silent_ms >= policy.remove_learner_after_ms);
    gone.max_by_key(|learner| learner.silent_ms)
        .map(|learner| learner.member.identity)
}

fn members<'a>(health: &'a [MemberHealth]) -> impl Iterator<Item = &'a Member> {
    health.iter().map(|health| health.member)
}

fn spread_without(voters: &[MemberHealth], gone: NodeId) -> Spread {
    let staying: Vec<&Member> = members(voters)
        .filter(|voter| voter.identity != gone)
        .collect();
    Spread::of(&staying)
}

/// How voters are spread over regions and zones. A smaller value is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Spread {
    /// By how many voters the fullest region exceeds the number that may be lost.
    region_excess: usize,
    zone_excess: usize,
    /// Sums of squares: smaller where voters are spread more evenly.
    region_crowding: usize,
    zone_crowding: usize,
}

impl Spread {
    fn of(voters: &[&Member]) -> Spread {
        let majority = voters.len() / 2 + 1;
        let may_be_lost = voters.len().saturating_sub(majority);
        let regions = counts(voters.iter().map(|voter| voter.region.as_str()));
        let zones = counts(voters.iter().map(|voter| voter.zone.as_str()));
        let excess = |counts: &[usize]| {
            counts
                .iter()
                .max()
                .map_or(0, |fullest| fullest.saturating_sub(may_be_lost))
        };
        let crowding = |counts: &[usize]| counts.iter().map(|count| count * count).sum();
        Spread {
            region_excess: excess(&regions),
            zone_excess: excess(&zones),
            region_crowding: crowding(&regions),
            zone_crowding: crowding(&zones),
        }
    }

    fn excess(&self) -> (usize, usize) {
        (self.region_excess, self.zone_excess)
    }
}

fn counts<'a>(places: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for place in places {
        *counts.entry(place).or_default() += 1;
    }
    counts.into_values().collect()
}
