//! Properties of a whole state. Those of a single step are in `history` and
//! `cluster`.

use consensus::node::{PersistedState, Role};
use consensus::quorum_read::{is_current, LogReport};
use consensus::{Entry, EntryPayload, LogIndex, Membership, NodeId};

use crate::checker::Violation;
use crate::cluster::{Cluster, CLUSTER};
use crate::history::broken;
use crate::server::{holds, last_of, members_of, Server};

pub fn check_state(cluster: &Cluster, changed: usize) -> Result<(), Violation> {
    check_log_matching(cluster, changed)?;
    check_membership(cluster, &cluster.servers[changed])?;
    check_leader(cluster, &cluster.servers[changed])?;
    check_quorum_reads(cluster)?;
    check_leader_completeness(cluster)
}

/// Index of the last committed command up to `index`; 0 if there is none.
fn last_command_up_to(cluster: &Cluster, index: LogIndex) -> LogIndex {
    let committed = cluster.history.committed.iter().rev();
    let mut committed = committed.skip_while(|entry| entry.index > index);
    committed
        .find(|entry| matches!(entry.payload, EntryPayload::Command(_)))
        .map_or(0, |entry| entry.index)
}

/// Whoever lacks the last committed command is told so by each quorum that it may ask:
/// no set of servers confirms a copy of the state from before it.
fn check_quorum_reads(cluster: &Cluster) -> Result<(), Violation> {
    let last_change = last_command_up_to(cluster, LogIndex::MAX);
    if last_change == 0 {
        return Ok(());
    }
    let old_epoch = last_change - 1;
    let report = |server: &Server| {
        let node = &server.node;
        node.log_report(last_command_up_to(cluster, node.applied_index()))
    };
    let reports: Vec<LogReport> = cluster
        .servers
        .iter()
        .map(|server| report(server))
        .collect();
    for subset in 1..1_u32 << reports.len() {
        let is_in_subset = |at: &usize| subset & (1 << at) != 0;
        let asked = (0..reports.len()).filter(is_in_subset);
        let asked: Vec<&LogReport> = asked.map(|at| &reports[at]).collect();
        if is_current(asked.iter().copied(), CLUSTER, old_epoch) {
            return broken(
                "a quorum read is never stale",
                format!("{asked:?} confirm epoch {old_epoch}, {last_change} is committed"),
            );
        }
    }
    Ok(())
}

/// Log Matching: logs that agree on an entry's index and term agree on the
/// entry and on all before it.
fn check_log_matching(cluster: &Cluster, changed: usize) -> Result<(), Violation> {
    let mine = &cluster.servers[changed];
    for other in cluster
        .servers
        .iter()
        .filter(|s| s.identity() != mine.identity())
    {
        let mut have_agreed = false;
        for entry in mine.memory.entries.iter().rev() {
            let same = other.memory.entries.iter().find(|e| e.index == entry.index);
            let Some(same) = same else { continue };
            let agree = same.term == entry.term;
            if (agree && same != entry) || (have_agreed && !agree) {
                return broken("log matching", format!("{entry:?} and {same:?}"));
            }
            have_agreed |= agree;
        }
    }
    Ok(())
}

/// The memberships in a log's entries, oldest first.
fn memberships(log: &PersistedState) -> Vec<(&Entry, &Membership)> {
    let entries = log.entries.iter();
    let with_members = entries.filter_map(|entry| match &entry.payload {
        EntryPayload::Membership(members) => Some((entry, members)),
        EntryPayload::Noop | EntryPayload::Command(_) => None,
    });
    with_members.collect()
}

/// Any majority of the one shares a voter with any majority of the other.
fn majorities_meet(one: &Membership, other: &Membership) -> bool {
    let shared = one
        .voters
        .iter()
        .filter(|voter| other.is_voter(voter.identity))
        .count();
    // A majority of the one that leaves as many of the other's voters as it can.
    let of_one_alone = one.voters.len() - shared;
    let taken_from_other = one.majority().saturating_sub(of_one_alone);
    other.voters.len().saturating_sub(taken_from_other) < other.majority()
}

fn check_membership(cluster: &Cluster, server: &Server) -> Result<(), Violation> {
    let log = &server.memory;
    let found = memberships(log);
    let base = log.snapshot.as_ref().map(|snapshot| &snapshot.members);
    let chain: Vec<&Membership> = base
        .into_iter()
        .chain(found.iter().map(|(_, members)| *members))
        .collect();
    for members in &chain {
        check_listed_once(members)?;
    }
    for pair in chain.windows(2) {
        if !majorities_meet(pair[0], pair[1]) {
            let names = |m: &Membership| m.voters.iter().map(|v| v.identity).collect::<Vec<_>>();
            return broken(
                "majorities of neighbouring memberships meet",
                format!("{:?} and {:?}", names(pair[0]), names(pair[1])),
            );
        }
        let back = pair[0]
            .retired
            .iter()
            .find(|id| pair[1].get(**id).is_some());
        let lost = pair[0]
            .retired
            .iter()
            .find(|id| !pair[1].retired.contains(id));
        if back.is_some() || lost.is_some() {
            return broken("a retired identity stays out", format!("{back:?} {lost:?}"));
        }
        check_promoted(cluster, server, pair[0], pair[1])?;
    }
    Ok(())
}

/// No identity occurs twice: a retired one is neither voter nor learner.
fn check_listed_once(members: &Membership) -> Result<(), Violation> {
    let mut listed: Vec<NodeId> = members.all().map(|member| member.identity).collect();
    listed.extend(&members.retired);
    listed.sort_unstable();
    if listed.windows(2).any(|pair| pair[0] == pair[1]) {
        return broken("an identity stands in one list", format!("{members:?}"));
    }
    Ok(())
}

/// A learner becomes a voter only when its disk holds the cluster and the entry that added
/// it: a blank voter counts for the majority and can't vote.
fn check_promoted(
    cluster: &Cluster,
    server: &Server,
    before: &Membership,
    after: &Membership,
) -> Result<(), Violation> {
    if server.node.role() != Role::Leader {
        return Ok(());
    }
    let promoted = after
        .voters
        .iter()
        .filter(|voter| !before.is_voter(voter.identity));
    for voter in promoted {
        let Some(other) = cluster.server(voter.identity) else {
            continue;
        };
        let knows_itself = members_of(&other.disk).get(voter.identity).is_some();
        if !knows_itself {
            return broken(
                "a promoted learner has caught up",
                format!("{} does not hold the entry that let it in", voter.identity),
            );
        }
    }
    Ok(())
}

/// Changes of membership are made one at a time, each by a leader that has
/// committed an entry of its own term.
fn check_leader(cluster: &Cluster, server: &Server) -> Result<(), Violation> {
    if server.node.role() != Role::Leader {
        return Ok(());
    }
    let term = server.node.term();
    let found = memberships(&server.memory);
    // A restarted node has yet to learn the commit index.
    let committed = cluster.history.committed.len() as u64;
    let open = found
        .iter()
        .filter(|(entry, _)| entry.index > committed)
        .count();
    if open > 1 {
        return broken(
            "one unsettled membership",
            format!("{open} at {}", server.identity()),
        );
    }
    let early = found.iter().find(|(entry, _)| {
        let before = cluster
            .history
            .committed
            .iter()
            .take_while(|e| e.index < entry.index);
        entry.term == term && before.filter(|e| e.term == term).count() == 0
    });
    if let Some((entry, _)) = early {
        return broken(
            "a leader commits in its term before it changes the membership",
            format!("{entry:?}"),
        );
    }
    Ok(())
}

/// Leader Completeness, one election ahead: if every node crashed now, whoever
/// could win the votes of a majority of its voters would hold all committed entries.
fn check_leader_completeness(cluster: &Cluster) -> Result<(), Violation> {
    for candidate in &cluster.servers {
        let log = &candidate.disk;
        let members = members_of(log);
        if !members.is_voter(candidate.identity()) {
            continue;
        }
        let grants = members.voters.iter().filter(|voter| {
            let voter = cluster.server(voter.identity);
            voter
                .is_some_and(|v| v.disk.hard_state.cluster != 0 && last_of(&v.disk) <= last_of(log))
        });
        if grants.count() < members.majority() {
            continue;
        }
        let missing = cluster
            .history
            .committed
            .iter()
            .find(|entry| !holds(log, entry));
        if let Some(entry) = missing {
            return broken(
                "committed entries are never lost",
                format!("{} could lead without {entry:?}", candidate.identity()),
            );
        }
    }
    Ok(())
}
