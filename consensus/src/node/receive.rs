//! Messages from other nodes: which are accepted, and how terms advance by them.

use super::{Node, Role};
use crate::{HardState, Message, MessageBody};

impl Node {
    pub(super) fn receive(&mut self, message: Message) {
        let Message {
            from,
            to,
            cluster,
            term,
            body,
        } = message;
        // A blank node follows whichever cluster admitted it, and no other.
        let is_leading = matches!(
            body,
            MessageBody::AppendEntries { .. } | MessageBody::InstallSnapshot { .. }
        );
        let is_joining = self.hard_state.cluster == 0 && is_leading && cluster != 0;
        if to != self.identity || (cluster != self.hard_state.cluster && !is_joining) {
            return;
        }
        let is_steady = self
            .leader_heard_at
            .is_some_and(|at| self.now - at < self.timing.election_timeout_ms)
            || self.role == Role::Leader;
        match body {
            MessageBody::PreVote {
                last_log_index,
                last_log_term,
            } => {
                let granted = term >= self.hard_state.term
                    && !is_steady
                    && (last_log_term, last_log_index) >= (self.last_term(), self.last_index());
                return self.send(from, MessageBody::PreVoteResponse { granted });
            }
            MessageBody::RequestVote {
                is_transfer: false, ..
            } if is_steady => return,
            _ => {}
        }
        if term > self.hard_state.term || is_joining {
            // A refused pre-vote from a later term advances the term, too.
            let is_pre_vote_grant = matches!(body, MessageBody::PreVoteResponse { granted: true });
            if !is_pre_vote_grant {
                if self.role != Role::Follower {
                    self.step_down();
                }
                self.leader = None;
                let term = term.max(self.hard_state.term);
                self.persist_hard_state(HardState {
                    term,
                    vote: 0,
                    cluster,
                });
            }
        }
        if term < self.hard_state.term {
            // A pre-candidate's term may be ahead of its voters', by an election whose
            // messages were lost: a grant is valid all the same.
            if matches!(body, MessageBody::PreVoteResponse { granted: true })
                && self.role == Role::PreCandidate
            {
                return self.grant(from);
            }
            // The stale sender learns of the newer term from any answer.
            if is_leading {
                let body = MessageBody::AppendEntriesResponse {
                    is_match: false,
                    match_index: self.last_index(),
                    round: 0,
                };
                self.send(from, body);
            }
            return;
        }
        match body {
            MessageBody::PreVote { .. } => {}
            MessageBody::PreVoteResponse { granted } => {
                if granted && self.role == Role::PreCandidate {
                    self.grant(from);
                }
            }
            MessageBody::RequestVote {
                last_log_index,
                last_log_term,
                ..
            } => {
                let is_free = self.hard_state.vote == 0 || self.hard_state.vote == from;
                let is_behind =
                    (last_log_term, last_log_index) < (self.last_term(), self.last_index());
                let granted = is_free && !is_behind && !self.is_stalled();
                if granted {
                    if self.hard_state.vote == 0 {
                        let hard_state = HardState {
                            vote: from,
                            ..self.hard_state
                        };
                        self.persist_hard_state(hard_state);
                    }
                    self.reset_election_timer();
                }
                self.send(from, MessageBody::RequestVoteResponse { granted });
            }
            MessageBody::RequestVoteResponse { granted } => {
                if granted && self.role == Role::Candidate {
                    self.grant(from);
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
                self.install(from, round, snapshot);
            }
            MessageBody::AppendEntriesResponse {
                is_match,
                match_index,
                round,
            } => {
                if self.role == Role::Leader {
                    self.on_answer(from, is_match, match_index, round);
                }
            }
            MessageBody::TimeoutNow => {
                if self.members.is_voter(self.identity) && !self.is_stalled() {
                    self.campaign(true);
                }
            }
        }
    }
}
