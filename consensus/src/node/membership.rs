//! Changes of membership: one server at a time, each committed before the next (Raft
//! thesis §4).

use super::{MembershipChangeError, Node, RequestError, Role, Token};
use crate::repair::{self, MemberHealth, NoChange, RepairPolicy};
use crate::{
    ClusterId, Entry, EntryPayload, HardState, LogIndex, Member, Membership, MembershipChange,
    NodeId,
};

/// A learner may be this many committed entries behind when it becomes a voter: it
/// receives them within a round trip.
const PROMOTION_LAG: LogIndex = 32;

impl Node {
    /// Creates a cluster whose only voter is this node.
    pub(super) fn bootstrap(&mut self, member: Member, cluster: ClusterId) {
        assert!(
            self.cluster() == 0,
            "a cluster is created once, by a blank node; this one belongs to {:x}",
            self.cluster()
        );
        self.persist_hard_state(HardState {
            term: 1,
            vote: 0,
            cluster,
        });
        let members = Membership {
            voters: vec![member],
            ..Membership::default()
        };
        self.append(Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Membership(members),
        });
        self.campaign(true);
    }

    /// Whether the membership may change now: the newest one is committed, and so is an
    /// entry of the leader's own term (Raft thesis §4.1; the second condition closes the
    /// gap that Ongaro reported after the thesis, raft-dev, July 2015).
    pub fn can_change_membership(&self) -> bool {
        self.membership.current_index() <= self.log.commit_index && self.has_committed_in_term()
    }

    /// Adds a learner (Raft thesis §4.2.1), or updates the description of a known member.
    pub(super) fn add_learner(&mut self, token: Token, member: Member) {
        if self.election.role != Role::Leader {
            return self.reject(token, RequestError::NotLeader);
        }
        if self.members().get(member.identity) == Some(&member) {
            return self.read_index(token);
        }
        if !self.can_change_membership() {
            return self.refuse_change(token, MembershipChangeError::ChangeInProgress);
        }
        if self.members().retired.contains(&member.identity) {
            return self.refuse_change(token, MembershipChangeError::RetiredIdentity);
        }
        let mut members = self.members().clone();
        let mut known = members.voters.iter_mut().chain(&mut members.learners);
        if let Some(known) = known.find(|known| known.identity == member.identity) {
            *known = member;
            return self.propose(token, EntryPayload::Membership(members));
        }
        // A blank node with a known name lost its data directory: the old identity is
        // removed first, in a change of its own, and the node asks again.
        let namesake = members.all().find(|known| known.name == member.name);
        if let Some(old) = namesake.map(|known| known.identity) {
            if self.is_alive(old) {
                return self.refuse_change(token, MembershipChangeError::NameInUse(member.name));
            }
            return self.remove_member(token, old);
        }
        members.learners.push(member);
        self.propose(token, EntryPayload::Membership(members));
    }

    fn is_alive(&self, id: NodeId) -> bool {
        let limit_ms = 2 * self.timing.election_timeout_ms;
        let progress = self.replication.get(id);
        id == self.identity
            || progress.is_some_and(|progress| progress.silent_ms(self.now) < limit_ms)
    }

    /// Removes a member and retires its identity.
    pub(super) fn remove_member(&mut self, token: Token, id: NodeId) {
        if self.election.role != Role::Leader {
            return self.reject(token, RequestError::NotLeader);
        }
        if !self.can_change_membership() {
            return self.refuse_change(token, MembershipChangeError::ChangeInProgress);
        }
        if self.members().get(id).is_none() {
            return self.refuse_change(token, MembershipChangeError::UnknownMember);
        }
        if id == self.identity {
            return self.refuse_change(token, MembershipChangeError::RemovesLeader);
        }
        let mut members = self.members().clone();
        members.voters.retain(|member| member.identity != id);
        members.learners.retain(|member| member.identity != id);
        members.retired.push(id);
        self.propose(token, EntryPayload::Membership(members));
    }

    /// Health of these members, as their leader knows it.
    pub fn health_of<'a>(&self, members: &'a [Member]) -> Vec<MemberHealth<'a>> {
        members.iter().map(|member| self.health(member)).collect()
    }

    fn health<'a>(&self, member: &'a Member) -> MemberHealth<'a> {
        if member.identity == self.identity {
            return MemberHealth {
                member,
                silent_ms: 0,
                is_caught_up: true,
                is_leaving: false,
            };
        }
        let Some(progress) = self.replication.get(member.identity) else {
            return MemberHealth {
                member,
                silent_ms: 0,
                is_caught_up: false,
                is_leaving: false,
            };
        };
        let silent_ms = progress.silent_ms(self.now);
        MemberHealth {
            member,
            silent_ms,
            is_caught_up: progress.match_index >= self.caught_up_index()
                && silent_ms < self.timing.election_timeout_ms,
            is_leaving: progress.is_leaving(self.now),
        }
    }

    /// A learner that has synced everything up to here may become a voter. That includes
    /// the membership in force, and with it the cluster that the learner belongs to: a
    /// voter that might still be blank could not vote.
    fn caught_up_index(&self) -> LogIndex {
        let nearly_committed = self.log.commit_index.saturating_sub(PROMOTION_LAG);
        self.membership.current_index().max(nearly_committed)
    }

    /// Which change of membership repair asks for, or why it asks for none.
    ///
    /// # Errors
    /// [`NoChange`] is a state, not a failure.
    pub fn next_change(&self) -> Result<MembershipChange, NoChange> {
        let policy = RepairPolicy {
            voters: self.timing.voters,
            replace_voter_after_ms: self.timing.replace_voter_after_ms,
            remove_learner_after_ms: self.timing.remove_learner_after_ms,
        };
        let voters = self.health_of(&self.members().voters);
        let learners = self.health_of(&self.members().learners);
        repair::next_change(&voters, &learners, self.identity, &policy)
    }

    /// Makes the next change that repair asks for, if the membership may change now.
    pub(super) fn repair(&mut self) {
        if !self.can_change_membership() {
            return;
        }
        let Ok(change) = self.next_change() else {
            return;
        };
        let mut members = self.members().clone();
        members.apply(change);
        self.append_new(EntryPayload::Membership(members));
        self.replication.heartbeat_deadline = self.now;
    }

    /// A member is about to stop: it is replaced where a learner is ready, and may stop
    /// once a majority of the others has synced everything that is committed.
    pub(super) fn leave(&mut self, token: Token, id: NodeId) {
        if self.election.role != Role::Leader {
            return self.reject(token, RequestError::NotLeader);
        }
        if id == self.identity {
            return self.refuse_change(token, MembershipChangeError::LeaderLeaves);
        }
        if let Some(progress) = self.replication.get_mut(id) {
            progress.leaving_at_ms = Some(self.now);
        }
        self.confirm_departure(token, id);
    }

    /// Whether a member may stop without a loss, as this leader knows it.
    pub(super) fn may_leave(&self, id: NodeId) -> bool {
        if !self.members().is_voter(id) {
            return self.can_change_membership();
        }
        !self.is_being_replaced() && self.is_committed_without(id)
    }

    /// Whether a voter that leaves is about to be demoted, or a learner is about to
    /// replace it: one that is heard and has not caught up yet soon will have.
    fn is_being_replaced(&self) -> bool {
        let learners = self.health_of(&self.members().learners);
        let will_catch_up = |learner: &MemberHealth| {
            learner.silent_ms < self.timing.election_timeout_ms && !learner.is_leaving
        };
        self.members().voters.len() > self.timing.voters || learners.iter().any(will_catch_up)
    }

    /// Whether a majority of the voters, without this one, is heard and has synced
    /// everything that is committed.
    fn is_committed_without(&self, id: NodeId) -> bool {
        let commit_index = self.log.commit_index;
        let has_synced = |voter: &&Member| match self.replication.get(voter.identity) {
            _ if voter.identity == self.identity => self.durable.synced_index >= commit_index,
            Some(progress) => progress.match_index >= commit_index && self.is_heard(voter.identity),
            None => false,
        };
        let others = self.members().voters.iter();
        let others = others.filter(|voter| voter.identity != id);
        others.filter(has_synced).count() >= self.members().majority()
    }
}
