//! Linearizable reads without a log entry (Raft thesis §6.4): a read index is valid once
//! a majority has answered a heartbeat round that began after the read.

use super::{Effect, Node, RequestError, Role, Token};
use crate::LogIndex;
use std::collections::VecDeque;

/// A read that waits for a heartbeat round.
#[derive(Clone, Hash)]
pub(super) struct PendingRead {
    round: u64,
    /// The commit index when the read began.
    commit_index: LogIndex,
    pub(super) token: Token,
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
        if self.election.role != Role::Leader {
            return self.reject(token, RequestError::NotLeader);
        }
        if self.reads.len() >= self.timing.max_uncommitted * 4 {
            return self.reject(token, RequestError::Busy);
        }
        self.reads.push(PendingRead {
            round: self.replication.round + 1,
            commit_index: self.log.commit_index,
            token,
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
            let index = read.commit_index.max(self.log.commit_index);
            self.effects.push(Effect::ReadReady(read.token, index));
        }
    }
}
