//! Role, leader, votes and election timer of a node (Raft thesis §3.4, §9.6).

use crate::{Membership, NodeId};

/// A node's role in the current term (Raft thesis §3.3; pre-candidate §9.6).
#[derive(Clone, Copy, PartialEq, Debug, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for pre-votes; its term is unchanged.
    PreCandidate,
    /// Campaigns for votes in a new term.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// What a node knows of the current election. Invariant: `votes` is meaningful only to a
/// pre-candidate or candidate, and is of its current attempt.
#[derive(Clone, Hash)]
pub(super) struct ElectionState {
    pub(super) role: Role,
    /// The leader of the current term, where it is known.
    pub(super) leader: Option<NodeId>,
    leader_heard_at: Option<u64>,
    /// When the election timer runs out, in milliseconds of the driver's clock.
    pub(super) deadline: u64,
    /// The nodes that granted a pre-vote or vote, this one included.
    votes: Vec<NodeId>,
    /// When the latest attempt began, pre-vote or election.
    attempt_began_at: u64,
    random_state: u64,
}

impl ElectionState {
    /// A follower without a leader. `seed` determines the random election timeouts.
    pub(super) fn new(seed: u64) -> ElectionState {
        ElectionState {
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            deadline: 0,
            votes: Vec::new(),
            attempt_began_at: 0,
            // Xorshift never leaves a state of zero.
            random_state: seed | 1,
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        if below <= 1 {
            return 0;
        }
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % below
    }

    /// The first timeout after a start is short: a pre-vote does not change terms, and is
    /// refused by all who hear a leader. If all restart, whoever completes a majority can
    /// lead at once.
    pub(super) fn reset_first_timer(&mut self, now: u64, timeout_ms: u64) {
        self.deadline = now + timeout_ms / 16 + self.random(timeout_ms / 8);
    }

    /// Begins a new wait for a leader.
    pub(super) fn reset_timer(&mut self, now: u64, timeout_ms: u64) {
        self.deadline = now + timeout_ms + self.random(timeout_ms);
    }

    /// A pre-vote whose messages were lost is repeated sooner: it does not change terms.
    pub(super) fn reset_pre_vote_timer(&mut self, now: u64, timeout_ms: u64) {
        self.deadline = now + timeout_ms / 4 + self.random(timeout_ms / 4);
    }

    /// Becomes pre-candidate or candidate, with its own vote.
    pub(super) fn begin_campaign(&mut self, role: Role, own_id: NodeId, now: u64) {
        self.role = role;
        self.attempt_began_at = now;
        self.leader = None;
        self.votes = vec![own_id];
    }

    /// Whether it asks for pre-votes, and began to at `since` or later.
    pub(super) fn is_asking_since(&self, since: u64) -> bool {
        self.role == Role::PreCandidate && self.attempt_began_at >= since
    }

    /// Counts a granted pre-vote or vote once.
    pub(super) fn record_vote(&mut self, from: NodeId) {
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
    }

    /// Whether a majority of the voters granted this attempt.
    pub(super) fn has_majority(&self, members: &Membership) -> bool {
        let granted = members
            .voters
            .iter()
            .filter(|voter| self.votes.contains(&voter.identity));
        granted.count() >= members.majority()
    }

    pub(super) fn become_leader(&mut self, own_id: NodeId) {
        self.role = Role::Leader;
        self.leader = Some(own_id);
    }

    /// Becomes or stays a follower of `leader`, which was heard now.
    pub(super) fn follow(&mut self, leader: NodeId, now: u64, timeout_ms: u64) {
        assert!(self.role != Role::Leader, "a term has one leader");
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = Some(now);
        self.reset_timer(now, timeout_ms);
    }

    pub(super) fn become_follower(&mut self, now: u64, timeout_ms: u64) {
        self.role = Role::Follower;
        self.leader = None;
        self.leader_heard_at = None;
        self.reset_timer(now, timeout_ms);
    }

    /// Whether this node leads, or heard from its leader within an election timeout: then
    /// it grants no votes to others (Raft thesis §4.2.3).
    pub(super) fn has_live_leader(&self, now: u64, timeout_ms: u64) -> bool {
        self.leader_heard_at.is_some_and(|at| now - at < timeout_ms) || self.role == Role::Leader
    }
}
