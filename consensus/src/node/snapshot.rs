//! Snapshots: taking one of the applied state, installing one from the leader (Raft
//! thesis §5.1).

use super::{Effect, Node, SnapshotPolicy, Write};
use crate::{LogIndex, NodeId, Snapshot};

impl Node {
    /// Whether enough was applied since the last snapshot that the driver should take one
    /// (Raft thesis §5.1.3).
    pub fn is_snapshot_due(&self, policy: SnapshotPolicy) -> bool {
        self.log.is_snapshot_due(policy)
    }

    /// Takes a snapshot from the leader (Raft thesis, figure 5.3).
    pub(super) fn install_snapshot(&mut self, from: NodeId, round: u64, snapshot: Snapshot) {
        if snapshot.index <= self.log.commit_index {
            // Everything in it is committed here already.
        } else if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            // The log contains the snapshot's last entry; what follows it may have been
            // acknowledged, and stays.
            self.log.commit_index = snapshot.index;
        } else {
            self.replace_log(snapshot);
        }
        let match_index = self.durable.synced_index.min(self.log.commit_index);
        self.respond(from, true, match_index, round);
    }

    fn replace_log(&mut self, snapshot: Snapshot) {
        // A snapshot that was taken here may not be on disk yet, either.
        self.durable.limit_synced_index(self.log.snapshot.index);
        self.membership = super::MembershipState::new(snapshot.index, snapshot.members.clone());
        self.log.restore(snapshot.clone());
        self.durable.push(Write::InstallSnapshot(snapshot.clone()));
        self.effects.push(Effect::Restore(snapshot));
    }

    /// Takes the state machine's snapshot as of an applied index, and discards the entries
    /// that it covers.
    pub(super) fn take_snapshot(&mut self, index: LogIndex, state: Vec<u8>) {
        if index <= self.log.snapshot.index || index > self.log.applied_index {
            return;
        }
        let term = self
            .log
            .term_at(index)
            .expect("an applied entry past the snapshot is in the log");
        let snapshot = Snapshot {
            index,
            term,
            cluster: self.cluster(),
            members: self.membership.compact(index),
            state,
        };
        self.log.compact(snapshot.clone());
        self.durable.push(Write::Snapshot(snapshot));
    }
}
