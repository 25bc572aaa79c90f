//! Elections: pre-vote, votes, taking and giving up leadership.

use super::{Effect, Node, Peer, RequestError, Role, Write};
use crate::{Entry, EntryPayload, HardState, MessageBody, NodeId};

impl Node {
    pub(super) fn tick(&mut self) {
        if self.role == Role::Leader {
            let in_touch =
                |peer: &Peer| self.now - peer.last_heard < self.timing.election_timeout_ms;
            let live = self.members.voters.iter().filter(|voter| {
                voter.identity == self.identity
                    || self.peers.get(&voter.identity).is_some_and(in_touch)
            });
            if live.count() < self.members.majority() || self.is_stalled() {
                return self.step_down();
            }
            if self.now >= self.heartbeat_due {
                self.repair();
                self.broadcast();
            }
        } else if self.now >= self.election_due {
            // A pre-vote whose messages were lost is repeated before long: it changes
            // no terms.
            self.election_due = self.now
                + self.timing.election_timeout_ms / 2
                + self.random(self.timing.election_timeout_ms / 2);
            self.leader = None;
            if self.members.is_voter(self.identity) && !self.is_stalled() {
                self.role = Role::PreCandidate;
                self.votes = vec![self.identity];
                let body = MessageBody::PreVote {
                    last_log_index: self.last_index(),
                    last_log_term: self.last_term(),
                };
                self.send_to_voters(body);
                self.tally();
            }
        }
    }

    pub(super) fn send_to_voters(&mut self, body: MessageBody) {
        let voters: Vec<NodeId> = self.members.voters.iter().map(|v| v.identity).collect();
        for voter in voters {
            self.send(voter, body.clone());
        }
    }

    pub(super) fn campaign(&mut self, is_transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes = vec![self.identity];
        self.reset_election_timer();
        let hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: self.identity,
            ..self.hard_state
        };
        self.persist_hard_state(hard_state);
        let body = MessageBody::RequestVote {
            last_log_index: self.last_index(),
            last_log_term: self.last_term(),
            is_transfer,
        };
        self.send_to_voters(body);
        self.tally();
    }

    pub(super) fn tally(&mut self) {
        let votes = self
            .members
            .voters
            .iter()
            .filter(|v| self.votes.contains(&v.identity))
            .count();
        if votes < self.members.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            // Its own vote is valid only once it is synced; a majority of others may
            // have been quicker, but leading rests on the hard state all the same.
            Role::Candidate
                if self.hard_state_ticket <= self.synced_ticket
                    && !self.has_unsynced_hard_state() =>
            {
                self.become_leader()
            }
            _ => {}
        }
    }

    pub(super) fn has_unsynced_hard_state(&self) -> bool {
        self.pending
            .iter()
            .any(|write| matches!(write, Write::HardState(_)))
    }

    pub(super) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.identity);
        self.peers.clear();
        self.reads.clear();
        let entry = Entry {
            index: self.last_index() + 1,
            term: self.hard_state.term,
            payload: EntryPayload::Noop,
        };
        self.append(entry);
        self.broadcast();
    }

    pub(super) fn step_down(&mut self) {
        if self.role == Role::Leader {
            for (_, _, token) in std::mem::take(&mut self.reads) {
                self.effects
                    .push(Effect::Rejected(token, RequestError::NotLeader));
            }
            for (_, (_, token)) in std::mem::take(&mut self.waiting) {
                self.effects
                    .push(Effect::Rejected(token, RequestError::LeadershipLost));
            }
        }
        self.role = Role::Follower;
        self.leader = None;
        self.leader_heard_at = None;
        self.reset_election_timer();
    }

    pub(super) fn grant(&mut self, from: NodeId) {
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        self.tally();
    }

    pub(super) fn follow(&mut self, leader: NodeId) {
        assert!(self.role != Role::Leader, "a term has one leader");
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = Some(self.now);
        self.reset_election_timer();
    }

    pub(super) fn transfer_leadership(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let heir = self
            .members
            .voters
            .iter()
            .filter_map(|voter| Some((voter.identity, self.peers.get(&voter.identity)?)))
            .filter(|(_, peer)| now - peer.last_heard < self.timing.election_timeout_ms)
            .max_by_key(|(_, peer)| peer.match_index)
            .map(|(identity, _)| identity);
        if let Some(heir) = heir {
            self.send(heir, MessageBody::TimeoutNow);
        }
    }
}
