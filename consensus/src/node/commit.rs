//! Proposals, the commit index and applying (Raft thesis §3.5, §3.6.2).

use super::proposal_queue::Outcome;
use super::{Effect, Node, RequestError, Role, Token};
use crate::{Entry, EntryPayload};

/// A step applies no further entry once its commands have this many bytes. Invariant: to
/// apply as much takes a small part of an election timeout.
const MAX_APPLIED_BYTES: usize = 128 << 10;

impl Node {
    /// Appends a proposal as leader; it is sent with the next heartbeat round, which is
    /// due at once. Proposals of one turn of the driver's loop are sent together.
    pub(super) fn propose(&mut self, token: Token, payload: EntryPayload) {
        if self.election.role != Role::Leader {
            return self.reject(token, RequestError::NotLeader);
        }
        let uncommitted = (self.last_index() - self.log.commit_index) as usize;
        if uncommitted >= self.timing.max_uncommitted || self.is_stalled() {
            return self.reject(token, RequestError::Busy);
        }
        let term = self.term();
        let index = self.append_new(payload);
        self.proposals.insert(index, term, token);
        self.replication.heartbeat_deadline = self.now;
    }

    /// As leader, commits what a majority has synced, if the entry is of its own term
    /// (Raft thesis §3.6.2).
    pub(super) fn advance_commit(&mut self) {
        if self.election.role != Role::Leader {
            return;
        }
        let own = (self.identity, self.durable.synced_index);
        let majority_match = self
            .replication
            .majority_value(self.members(), own, |progress| progress.match_index);
        if majority_match > self.log.commit_index
            && self.log.term_at(majority_match) == Some(self.term())
        {
            self.log.commit_index = majority_match;
            self.replication.heartbeat_deadline = self.now;
            self.confirm_reads();
        }
    }

    /// Applies what is committed, in log order, as much as fits one step. The rest follows
    /// with the next steps: a node that applies its whole log after a restart in one go
    /// sends no heartbeat meanwhile and loses the leadership that it has just won.
    pub(super) fn apply_committed(&mut self) {
        let mut applied_bytes = 0;
        while applied_bytes < MAX_APPLIED_BYTES {
            let Some(entry) = self.log.apply_next() else {
                return;
            };
            applied_bytes += entry.command_bytes();
            let token = match self.proposals.on_applied(&entry) {
                Outcome::Committed(token) => Some(token),
                Outcome::Replaced(token) => {
                    self.reject(token, RequestError::LeadershipLost);
                    None
                }
                Outcome::NotLocal => None,
            };
            let is_removed = self.removes_this_node(&entry);
            self.effects.push(Effect::Apply(entry, token));
            // A leader that is not a member any more steps down once that is committed
            // (Raft thesis §4.2.2), after it has told the others of the commit index.
            if is_removed && self.election.role == Role::Leader {
                self.broadcast();
                self.step_down();
            }
        }
    }

    /// Whether this entry is the membership in force, without this node. A restarted node
    /// applies older memberships again that were before it was added.
    fn removes_this_node(&self, entry: &Entry) -> bool {
        matches!(&entry.payload, EntryPayload::Membership(_))
            && self.membership.current_index() == entry.index
            && self.members().get(self.identity).is_none()
    }
}
