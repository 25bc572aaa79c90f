//! Changes of membership: one at a time, each settled before the next.

use super::{Effect, Node, Refusal, Role, Token};
use crate::{Entry, EntryPayload, HardState, Member, Membership, NodeId};

impl Node {
    pub(super) fn bootstrap(&mut self, member: Member, cluster: u64) {
        assert!(self.hard_state.cluster == 0, "a cluster is founded once, by a blank node");
        self.persist_hard_state(HardState { term: 1, vote: 0, cluster });
        let members = Membership { voters: vec![member], ..Membership::default() };
        self.append(Entry { index: 1, term: 1, payload: EntryPayload::Membership(members) });
        self.campaign(true);
    }

    /// A membership may change only when the one before it counts and the
    /// leader has committed in its own term.
    pub fn is_settled(&self) -> bool {
        let newest = self.membership_history.last().map_or(0, |(index, _)| *index);
        newest <= self.commit && self.term_at(self.commit) == Some(self.hard_state.term)
    }

    pub(super) fn change(&mut self, token: Option<Token>, members: Membership) {
        match token {
            Some(token) => self.propose(token, EntryPayload::Membership(members)),
            None => {
                let payload = EntryPayload::Membership(members);
                let entry = Entry { index: self.last() + 1, term: self.hard_state.term, payload };
                self.append(entry);
                self.heartbeat_due = self.now;
            }
        }
    }

    pub(super) fn add_learner(&mut self, token: Token, member: Member) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if let Some(known) = self.members.get(member.identity) {
            if *known == member {
                return self.effects.push(Effect::ReadReady(token, self.commit));
            }
        }
        if !self.is_settled() {
            let text = "a change of membership is under way".into();
            return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
        }
        if self.members.retired.contains(&member.identity) {
            let text = "this identity was retired; the node may come as a blank one".into();
            return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
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
                    .is_some_and(|p| self.now - p.last_heard < 2 * self.pace.election);
            if is_alive {
                let text = format!("a node named {} is alive", member.name);
                return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
            }
            return self.remove_member(token, old);
        }
        members.learners.push(member);
        self.change(Some(token), members);
    }

    pub(super) fn remove_member(&mut self, token: Token, identity: NodeId) {
        let refuse = |text: &str| Effect::Refused(token, Refusal::Unfit(text.into()));
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if !self.is_settled() {
            return self.effects.push(refuse("a change of membership is under way"));
        }
        if self.members.get(identity).is_none() {
            return self.effects.push(refuse("there is no such member"));
        }
        if identity == self.identity {
            return self.effects.push(refuse("the leader retires only after handing over"));
        }
        let mut members = self.members.clone();
        members.voters.retain(|member| member.identity != identity);
        members.learners.retain(|member| member.identity != identity);
        members.retired.push(identity);
        self.change(Some(token), members);
    }

    /// Makes a voter of a learner that has caught up, from the zone with the
    /// fewest voters first. It must have synced the very entry that let it in,
    /// and with it which cluster it belongs to: a voter that might still be
    /// blank could not vote.
    pub(super) fn promote(&mut self) {
        if self.members.voters.len() >= self.pace.voters || !self.is_settled() {
            return;
        }
        let admitted = self.membership_history.last().map_or(0, |(index, _)| *index);
        let in_zone = |zone: &str| self.members.voters.iter().filter(|v| v.zone == zone).count();
        let ready = self.members.learners.iter().filter(|learner| {
            self.peers.get(&learner.identity).is_some_and(|peer| {
                peer.matched >= admitted.max(self.commit.saturating_sub(8))
                    && self.now - peer.last_heard < self.pace.election
            })
        });
        let Some(elect) = ready.min_by_key(|learner| in_zone(&learner.zone)).cloned() else {
            return;
        };
        let mut members = self.members.clone();
        members.learners.retain(|learner| learner.identity != elect.identity);
        members.voters.push(elect);
        self.change(None, members);
    }
}
