//! Elections: the election timer, campaigns, leadership won, lost and transferred (Raft
//! thesis §3.4, §9.6, §3.10).

use super::{Node, RequestError, Role};
use crate::{EntryPayload, HardState, LogPosition, MessageBody, NodeId};

/// A pre-candidate goes ahead of others for this part of an election time-out: for about
/// the time of a round trip.
const PRECEDENCE_DIVISOR: u64 = 4;

impl Node {
    /// Time went by: heartbeats of a leader, the election timer of any other node.
    pub(super) fn tick(&mut self) {
        if self.election.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.election.deadline {
            self.start_pre_vote();
        }
    }

    /// A leader that hears no majority, or whose disk is stalled, steps down (Raft thesis
    /// §6.2); otherwise it begins a heartbeat round when one is due.
    fn tick_leader(&mut self) {
        let heard = self
            .members()
            .voters
            .iter()
            .filter(|voter| voter.identity == self.identity || self.is_heard(voter.identity));
        if heard.count() < self.members().majority() || self.is_stalled() {
            return self.step_down();
        }
        if self.now >= self.replication.heartbeat_deadline {
            self.repair();
            self.broadcast();
        }
    }

    /// Whether another member was heard within an election timeout.
    pub(super) fn is_heard(&self, id: NodeId) -> bool {
        self.replication
            .get(id)
            .is_some_and(|progress| progress.silent_ms(self.now) < self.timing.election_timeout_ms)
    }

    /// Asks whether an election could be won, without a change of term (Raft thesis
    /// §9.6).
    fn start_pre_vote(&mut self) {
        self.election
            .reset_pre_vote_timer(self.now, self.timing.election_timeout_ms);
        self.election.leader = None;
        if !self.members().is_voter(self.identity) || self.is_stalled() {
            return;
        }
        self.election
            .begin_campaign(Role::PreCandidate, self.identity, self.now);
        self.send_to_voters(MessageBody::PreVote {
            last_log_index: self.last_index(),
            last_log_term: self.log.last_term(),
        });
        self.check_votes();
    }

    /// Whether this node asks for pre-votes just now, and goes ahead of another one that
    /// does: of nodes that restart together one campaigns, and votes are not split. It
    /// gives way soon, since its own messages may not reach a majority.
    pub(super) fn outranks_pre_candidate(&self, other: NodeId, last: LogPosition) -> bool {
        let own_rank = (self.log.last_position(), self.identity);
        let precedence_ms = self.timing.election_timeout_ms / PRECEDENCE_DIVISOR;
        self.election
            .is_asking_since(self.now - precedence_ms.min(self.now))
            && own_rank > (last, other)
    }

    fn send_to_voters(&mut self, body: MessageBody) {
        let voters = self.members().voters.iter();
        let voters: Vec<NodeId> = voters.map(|voter| voter.identity).collect();
        for voter in voters {
            self.send(voter, body.clone());
        }
    }

    /// Begins an election in a new term (Raft thesis §3.4).
    pub(super) fn campaign(&mut self, is_transfer: bool) {
        self.election
            .begin_campaign(Role::Candidate, self.identity, self.now);
        self.election
            .reset_timer(self.now, self.timing.election_timeout_ms);
        self.persist_hard_state(HardState {
            term: self.term() + 1,
            vote: self.identity,
            ..self.durable.hard_state
        });
        self.send_to_voters(MessageBody::RequestVote {
            last_log_index: self.last_index(),
            last_log_term: self.log.last_term(),
            is_transfer,
        });
        self.check_votes();
    }

    /// A voter granted a pre-vote or a vote.
    pub(super) fn count_vote(&mut self, from: NodeId) {
        self.election.record_vote(from);
        self.check_votes();
    }

    /// Goes on with the campaign if a majority has granted it.
    pub(super) fn check_votes(&mut self) {
        if !self.election.has_majority(self.membership.current()) {
            return;
        }
        match self.election.role {
            Role::PreCandidate => self.campaign(false),
            // Its own vote is valid only once it is synced; a majority of others may have
            // been quicker, but leading rests on the hard state all the same.
            Role::Candidate if self.durable.is_hard_state_synced() => self.become_leader(),
            _ => {}
        }
    }

    /// Leads from now on: an entry of its own term lets it commit those of earlier terms
    /// (Raft thesis §3.6.2).
    fn become_leader(&mut self) {
        self.election.become_leader(self.identity);
        self.replication.clear();
        self.reads.clear();
        self.append_new(EntryPayload::Noop);
        self.broadcast();
    }

    /// Becomes a follower without a leader; pending requests are rejected.
    pub(super) fn step_down(&mut self) {
        if self.election.role == Role::Leader {
            for read in self.reads.take_all() {
                self.reject(read.token, RequestError::NotLeader);
            }
            for token in self.proposals.take_all() {
                self.reject(token, RequestError::LeadershipLost);
            }
        }
        self.election
            .become_follower(self.now, self.timing.election_timeout_ms);
    }

    /// Asks the voter with the highest match index, of those heard lately, to campaign at
    /// once (Raft thesis §3.10).
    pub(super) fn transfer_leadership(&mut self) {
        if self.election.role != Role::Leader {
            return;
        }
        let voters = self.members().voters.iter();
        let successor = voters
            .filter(|voter| self.is_heard(voter.identity))
            .filter_map(|voter| Some((voter.identity, self.replication.get(voter.identity)?)))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(id, _)| id);
        if let Some(successor) = successor {
            self.send(successor, MessageBody::TimeoutNow);
        }
    }
}
