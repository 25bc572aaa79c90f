//! Snapshots: taking one of the applied state, installing one from the leader.

use super::replication::command_bytes;
use super::{Effect, Node, SnapshotPolicy, Write};
use crate::{LogIndex, MessageBody, NodeId, Snapshot};

impl Node {
    /// Whether so much was applied since the last snapshot that one is to be taken.
    pub fn is_snapshot_due(&self, policy: SnapshotPolicy) -> bool {
        let entries = self.applied - self.snapshot.index;
        entries >= policy.entries || (entries > 0 && self.applied_bytes >= policy.bytes)
    }

    pub(super) fn install(&mut self, from: NodeId, round: u64, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            // It says nothing new.
        } else if self.term_at(snapshot.index) == Some(snapshot.term) {
            // The log leads to the snapshot, and what comes after it may have been
            // answered for: it stays.
            self.commit = snapshot.index;
        } else {
            self.log.clear();
            self.members = snapshot.members.clone();
            self.membership_history = vec![(snapshot.index, snapshot.members.clone())];
            self.commit = snapshot.index;
            self.applied = snapshot.index;
            // A snapshot that was taken here may not be on the disk yet, either.
            self.synced = self.synced.min(self.snapshot.index);
            self.applied_bytes = 0;
            for (_, last, _) in &mut self.writing {
                *last = (*last).min(self.synced);
            }
            self.snapshot = snapshot.clone();
            self.pending.push(Write::InstallSnapshot(snapshot.clone()));
            self.effects.push(Effect::Restore(snapshot));
        }
        let match_index = self.synced.min(self.commit);
        self.send(
            from,
            MessageBody::AppendEntriesResponse {
                is_match: true,
                match_index,
                round,
            },
        );
    }

    pub(super) fn take_snapshot(&mut self, index: LogIndex, state: Vec<u8>) {
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let term = self
            .term_at(index)
            .expect("what is applied and past the snapshot is in the log");
        let members = self
            .membership_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, members)| members.clone())
            .expect("a membership stands at the snapshot or before it");
        self.membership_history.retain(|(at, _)| *at > index);
        self.membership_history.insert(0, (index, members.clone()));
        while let Some(entry) = self.log.front().filter(|entry| entry.index <= index) {
            self.applied_bytes -= command_bytes(entry);
            self.log.pop_front();
        }
        self.snapshot = Snapshot {
            index,
            term,
            cluster: self.hard_state.cluster,
            members,
            state,
        };
        self.pending.push(Write::Snapshot(self.snapshot.clone()));
    }
}
