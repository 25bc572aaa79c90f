//! Linearizable reads without a log entry (Raft thesis §6.4): a read index is valid once
//! a majority has answered a heartbeat round that began after the read.
//!
//! An answer about the membership that adds no entry is a read as well: what this node
//! knows counts only if it still led after the request had come.

use super::{Effect, MembershipChangeError, Node, RequestError, Role, Token};
use crate::{LogIndex, NodeId};
use std::collections::VecDeque;

/// A read that waits for a heartbeat round.
#[derive(Clone, Hash)]
pub(super) struct PendingRead {
    round: u64,
    pub(super) token: Token,
    answer: ReadAnswer,
}

/// What a confirmed read is answered with.
#[derive(Clone, Hash)]
enum ReadAnswer {
    /// The commit index, which was at least this one when the read began.
    Index(LogIndex),
    /// A change of membership is refused, as the membership was when it was asked for.
    Refusal(MembershipChangeError),
    /// Whether this member may stop, as it is when the read is confirmed: entries that
    /// were committed meanwhile count.
    Departure(NodeId),
}

/// Reads in the order of their rounds.
#[derive(Clone, Default, Hash)]
pub(super) struct ReadIndexQueue {
    reads: VecDeque<PendingRead>,
}

impl ReadIndexQueue {
    fn len(&self) -> usize {
        self.reads.len()
    }

    fn push(&mut self, read: PendingRead) {
        self.reads.push_back(read);
    }

    /// Removes the oldest read if its round is at most `round`.
    fn pop_confirmed(&mut self, round: u64) -> Option<PendingRead> {
        match self.reads.front() {
            Some(read) if read.round <= round => self.reads.pop_front(),
            _ => None,
        }
    }

    pub(super) fn clear(&mut self) {
        self.reads.clear();
    }

    /// Removes all reads.
    pub(super) fn take_all(&mut self) -> VecDeque<PendingRead> {
        std::mem::take(&mut self.reads)
    }
}

impl Node {
    /// Queues a read for the next heartbeat round, which is due at once.
    pub(super) fn read_index(&mut self, token: Token) {
        self.queue_read(token, ReadAnswer::Index(self.log.commit_index));
    }

    /// Refuses a change of membership once a majority confirms that this node still leads.
    pub(super) fn refuse_change(&mut self, token: Token, error: MembershipChangeError) {
        self.queue_read(token, ReadAnswer::Refusal(error));
    }

    /// Tells whether a member may stop, once a majority confirms that this node still leads.
    pub(super) fn confirm_departure(&mut self, token: Token, id: NodeId) {
        self.queue_read(token, ReadAnswer::Departure(id));
    }

    fn queue_read(&mut self, token: Token, answer: ReadAnswer) {
        if self.election.role != Role::Leader {
            return self.reject(token, RequestError::NotLeader);
        }
        if self.reads.len() >= self.timing.max_uncommitted * 4 {
            return self.reject(token, RequestError::Busy);
        }
        self.reads.push(PendingRead {
            round: self.replication.round + 1,
            token,
            answer,
        });
        self.replication.heartbeat_deadline = self.now;
        self.confirm_reads();
    }

    /// Answers the reads whose round a majority has acknowledged.
    pub(super) fn confirm_reads(&mut self) {
        // Until the first entry of its own term is committed, a leader does not know the
        // commit index of its predecessors.
        if self.election.role != Role::Leader || !self.has_committed_in_term() {
            return;
        }
        let own = (self.identity, self.replication.round + 1);
        let round = self
            .replication
            .majority_value(self.membership.current(), own, |progress| {
                progress.acknowledged_round
            });
        while let Some(read) = self.reads.pop_confirmed(round) {
            self.answer_read(read);
        }
    }

    fn answer_read(&mut self, read: PendingRead) {
        let index = match read.answer {
            ReadAnswer::Index(index) => index.max(self.log.commit_index),
            ReadAnswer::Refusal(error) => return self.reject(read.token, error),
            ReadAnswer::Departure(id) if self.may_leave(id) => self.log.commit_index,
            ReadAnswer::Departure(_) => {
                return self.reject(read.token, MembershipChangeError::NotReplaced);
            }
        };
        self.effects.push(Effect::ReadReady(read.token, index));
    }
}
