//! Messages from other nodes: which are accepted, how terms advance by them, and votes
//! (Raft thesis, figure 3.1, rules for servers).

use super::{Node, Role};
use crate::{ClusterId, HardState, LogPosition, Message, MessageBody, NodeId, Term};

impl Node {
    /// Takes one message from another node.
    pub(super) fn receive(&mut self, message: Message) {
        // A blank node joins whichever cluster's leader admitted it, and no other.
        let is_joining =
            self.cluster() == 0 && is_from_leader(&message.body) && message.cluster != 0;
        let is_same_cluster = message.cluster == self.cluster();
        if message.to != self.identity || !(is_same_cluster || is_joining) {
            return;
        }
        let (from, term) = (message.from, message.term);
        let has_live_leader = self
            .election
            .has_live_leader(self.now, self.timing.election_timeout_ms);
        match message.body {
            MessageBody::PreVote {
                last_log_index,
                last_log_term,
            } => {
                let last = LogPosition {
                    term: last_log_term,
                    index: last_log_index,
                };
                let granted = term >= self.term()
                    && !has_live_leader
                    && self.log.is_up_to_date(last)
                    && !self.outranks_pre_candidate(from, last);
                return self.send(from, MessageBody::PreVoteResponse { granted });
            }
            // A candidate that misses the leader alone does not disturb the others (Raft
            // thesis §4.2.3).
            MessageBody::RequestVote {
                is_transfer: false, ..
            } if has_live_leader => return,
            _ => {}
        }
        // A pre-vote is granted in the term that the election would have, which a grant
        // must not advance; a refusal from a later term does.
        let is_pre_vote_grant =
            matches!(message.body, MessageBody::PreVoteResponse { granted: true });
        if (term > self.term() || is_joining) && !is_pre_vote_grant {
            self.adopt_term(term, message.cluster);
        }
        if term < self.term() {
            self.handle_stale(from, &message.body);
        } else {
            self.handle(from, message.body);
        }
    }

    /// Follows in a later term, or in the cluster that this node joins (Raft thesis §3.3).
    fn adopt_term(&mut self, term: Term, cluster: ClusterId) {
        if self.election.role != Role::Follower {
            self.step_down();
        }
        self.election.leader = None;
        let term = term.max(self.term());
        self.persist_hard_state(HardState {
            term,
            vote: 0,
            cluster,
        });
    }

    /// A message of an earlier term: a leader that is behind learns of the newer term by
    /// any answer.
    fn handle_stale(&mut self, from: NodeId, body: &MessageBody) {
        // A pre-candidate's term may be ahead of its voters', by an election whose
        // messages were lost: a grant is valid all the same.
        let is_pre_vote_grant = matches!(body, MessageBody::PreVoteResponse { granted: true });
        if is_pre_vote_grant && self.election.role == Role::PreCandidate {
            return self.count_vote(from);
        }
        if is_from_leader(body) {
            self.respond(from, false, self.last_index(), 0);
        }
    }

    /// A message of the current term.
    fn handle(&mut self, from: NodeId, body: MessageBody) {
        match body {
            // Answered before the terms were compared.
            MessageBody::PreVote { .. } => {}
            MessageBody::PreVoteResponse { granted } => {
                if granted && self.election.role == Role::PreCandidate {
                    self.count_vote(from);
                }
            }
            MessageBody::RequestVote {
                last_log_index,
                last_log_term,
                ..
            } => {
                let last = LogPosition {
                    term: last_log_term,
                    index: last_log_index,
                };
                self.handle_request_vote(from, last);
            }
            MessageBody::RequestVoteResponse { granted } => {
                if granted && self.election.role == Role::Candidate {
                    self.count_vote(from);
                }
            }
            MessageBody::AppendEntries {
                prev_log_index,
                prev_log_term,
                leader_commit,
                round,
                entries,
            } => {
                self.follow(from);
                self.handle_append_entries(
                    from,
                    prev_log_index,
                    prev_log_term,
                    leader_commit,
                    round,
                    entries,
                );
            }
            MessageBody::InstallSnapshot { round, snapshot } => {
                self.follow(from);
                self.install_snapshot(from, round, snapshot);
            }
            MessageBody::AppendEntriesResponse {
                is_match,
                match_index,
                round,
            } => {
                if self.election.role == Role::Leader {
                    self.handle_append_response(from, is_match, match_index, round);
                }
            }
            MessageBody::TimeoutNow => {
                if self.members().is_voter(self.identity) && !self.is_stalled() {
                    self.campaign(true);
                }
            }
        }
    }

    /// Grants a vote: one in a term, and only to a candidate whose log is at least as
    /// up-to-date (Raft thesis §3.4, §3.6.1).
    fn handle_request_vote(&mut self, from: NodeId, last: LogPosition) {
        let vote = self.durable.hard_state.vote;
        let granted =
            (vote == 0 || vote == from) && self.log.is_up_to_date(last) && !self.is_stalled();
        if granted {
            if vote == 0 {
                self.persist_hard_state(HardState {
                    vote: from,
                    ..self.durable.hard_state
                });
            }
            self.election
                .reset_timer(self.now, self.timing.election_timeout_ms);
        }
        self.send(from, MessageBody::RequestVoteResponse { granted });
    }

    fn follow(&mut self, leader: NodeId) {
        self.election
            .follow(leader, self.now, self.timing.election_timeout_ms);
    }
}

/// Whether only a leader sends this.
fn is_from_leader(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. }
    )
}
