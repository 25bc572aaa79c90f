//! Changes of membership: one at a time, each settled before the next.

use super::{Effect, MembershipChangeError, Node, RequestError, Role, Token};
use crate::repair::{self, MemberHealth, NoChange, RepairPolicy};
use crate::{
    Entry, EntryPayload, HardState, LogIndex, Member, Membership, MembershipChange, NodeId,
};

/// A learner may be so many committed entries behind when it is made a voter: it has
/// them within a round trip.
const PROMOTION_LAG: LogIndex = 32;
/// Who said that it is about to stop and does not say it again goes on.
const LEAVING_VALID_MS: u64 = 1_000;

impl Node {
    pub(super) fn bootstrap(&mut self, member: Member, cluster: u64) {
        assert!(
            self.hard_state.cluster == 0,
            "a cluster is founded once, by a blank node"
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

    /// A membership may change only when the one before it is committed and the
    /// leader has committed in its own term.
    pub fn can_change_membership(&self) -> bool {
        let newest = self
            .membership_history
            .last()
            .map_or(0, |(index, _)| *index);
        newest <= self.commit && self.term_at(self.commit) == Some(self.hard_state.term)
    }

    pub(super) fn change(&mut self, token: Option<Token>, members: Membership) {
        match token {
            Some(token) => self.propose(token, EntryPayload::Membership(members)),
            None => {
                let payload = EntryPayload::Membership(members);
                let entry = Entry {
                    index: self.last_index() + 1,
                    term: self.hard_state.term,
                    payload,
                };
                self.append(entry);
                self.heartbeat_due = self.now;
            }
        }
    }

    fn reject_change(&mut self, token: Token, error: MembershipChangeError) {
        self.effects.push(Effect::Rejected(token, error.into()));
    }

    pub(super) fn add_learner(&mut self, token: Token, member: Member) {
        if self.role != Role::Leader {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::NotLeader));
        }
        if let Some(known) = self.members.get(member.identity) {
            if *known == member {
                return self.effects.push(Effect::ReadReady(token, self.commit));
            }
        }
        if !self.can_change_membership() {
            return self.reject_change(token, MembershipChangeError::ChangeInProgress);
        }
        if self.members.retired.contains(&member.identity) {
            return self.reject_change(token, MembershipChangeError::RetiredIdentity);
        }
        let mut members = self.members.clone();
        if let Some(known) = members
            .voters
            .iter_mut()
            .chain(&mut members.learners)
            .find(|known| known.identity == member.identity)
        {
            *known = member;
            return self.change(Some(token), members);
        }
        // A blank node under a known name lost its folder: the old identity
        // goes first, by itself, and the node asks again.
        let namesake = members.all().find(|known| known.name == member.name);
        if let Some(old) = namesake.map(|known| known.identity) {
            let is_alive = old == self.identity
                || self
                    .peers
                    .get(&old)
                    .is_some_and(|p| self.now - p.last_heard < 2 * self.timing.election_timeout_ms);
            if is_alive {
                return self.reject_change(token, MembershipChangeError::NameInUse(member.name));
            }
            return self.remove_member(token, old);
        }
        members.learners.push(member);
        self.change(Some(token), members);
    }

    pub(super) fn remove_member(&mut self, token: Token, identity: NodeId) {
        if self.role != Role::Leader {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::NotLeader));
        }
        if !self.can_change_membership() {
            return self.reject_change(token, MembershipChangeError::ChangeInProgress);
        }
        if self.members.get(identity).is_none() {
            return self.reject_change(token, MembershipChangeError::UnknownMember);
        }
        if identity == self.identity {
            return self.reject_change(token, MembershipChangeError::RemovesLeader);
        }
        let mut members = self.members.clone();
        members.voters.retain(|member| member.identity != identity);
        members
            .learners
            .retain(|member| member.identity != identity);
        members.retired.push(identity);
        self.change(Some(token), members);
    }

    /// How these members stand, as their leader knows it.
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
        let peer = self.peers.get(&member.identity);
        let silent_ms = peer.map_or(0, |peer| self.now - peer.last_heard);
        let is_caught_up = peer.is_some_and(|peer| peer.match_index >= self.caught_up_index())
            && silent_ms < self.timing.election_timeout_ms;
        let left_at = peer.and_then(|peer| peer.leaving_at);
        let is_leaving = left_at.is_some_and(|at| self.now - at < LEAVING_VALID_MS);
        MemberHealth {
            member,
            silent_ms,
            is_caught_up,
            is_leaving,
        }
    }

    /// Who has synced all up to here may become a voter. It includes the membership in
    /// force, and with it which cluster the member belongs to: a voter that might still
    /// be blank could not vote.
    fn caught_up_index(&self) -> LogIndex {
        let membership = self
            .membership_history
            .last()
            .map_or(0, |(index, _)| *index);
        membership.max(self.commit.saturating_sub(PROMOTION_LAG))
    }

    /// Which change of membership repair asks for, or why it asks for none.
    pub fn next_change(&self) -> Result<MembershipChange, NoChange> {
        let policy = RepairPolicy {
            voters: self.timing.voters,
            replace_voter_after_ms: self.timing.replace_voter_after_ms,
            remove_learner_after_ms: self.timing.remove_learner_after_ms,
        };
        let voters = self.health_of(&self.members.voters);
        let learners = self.health_of(&self.members.learners);
        repair::next_change(&voters, &learners, self.identity, &policy)
    }

    /// Makes the next change of membership, if the one before it is settled.
    pub(super) fn repair(&mut self) {
        if !self.can_change_membership() {
            return;
        }
        let Ok(change) = self.next_change() else {
            return;
        };
        let mut members = self.members.clone();
        members.apply(change);
        self.change(None, members);
    }

    /// A member is about to stop: it is replaced where a learner is ready, and may stop
    /// once the others hold all that is committed.
    pub(super) fn leave(&mut self, token: Token, identity: NodeId) {
        if self.role != Role::Leader {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::NotLeader));
        }
        if identity == self.identity {
            return self.reject_change(token, MembershipChangeError::LeaderLeaves);
        }
        if let Some(peer) = self.peers.get_mut(&identity) {
            peer.leaving_at = Some(self.now);
        }
        if self.may_leave(identity) {
            return self.effects.push(Effect::ReadReady(token, self.commit));
        }
        self.reject_change(token, MembershipChangeError::NotReplaced);
    }

    fn may_leave(&self, identity: NodeId) -> bool {
        if !self.members.is_voter(identity) {
            return self.can_change_membership();
        }
        !self.is_being_replaced() && self.is_held_without(identity)
    }

    /// Whether a voter that leaves is about to be demoted, or a learner is about to take
    /// its place: one that is heard and has not caught up will have before long.
    fn is_being_replaced(&self) -> bool {
        let learners = self.health_of(&self.members.learners);
        let is_coming = |learner: &MemberHealth| {
            learner.silent_ms < self.timing.election_timeout_ms && !learner.is_leaving
        };
        self.members.voters.len() > self.timing.voters || learners.iter().any(is_coming)
    }

    /// Whether a majority of the voters without this one has synced all that is committed.
    fn is_held_without(&self, identity: NodeId) -> bool {
        let voters = self
            .members
            .voters
            .iter()
            .filter(|voter| voter.identity != identity);
        let holds = |voter: &&Member| match voter.identity == self.identity {
            true => self.synced >= self.commit,
            false => self.peers.get(&voter.identity).is_some_and(|peer| {
                peer.match_index >= self.commit
                    && self.now - peer.last_heard < self.timing.election_timeout_ms
            }),
        };
        voters.filter(holds).count() >= self.members.majority()
    }
}
