//! The log in memory: the latest snapshot, the entries after it, and how far they are
//! committed and applied (Raft thesis §3.5, §5.1).

use super::timing::SnapshotPolicy;
use crate::{Entry, EntryPayload, LogIndex, LogPosition, Snapshot, Term};
use std::collections::VecDeque;

/// A message takes no further entry once its commands have this many bytes. One entry
/// always fits.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Invariants: `entries` follow the snapshot without a gap;
/// `snapshot.index <= applied_index <= commit_index <= last_index()`.
#[derive(Clone, Hash)]
pub(super) struct RaftLog {
    pub(super) snapshot: Snapshot,
    entries: VecDeque<Entry>,
    pub(super) commit_index: LogIndex,
    pub(super) applied_index: LogIndex,
    /// Bytes of the applied commands in `entries`.
    applied_bytes: usize,
}

impl RaftLog {
    /// A log that consists of this snapshot.
    pub(super) fn new(snapshot: Snapshot) -> RaftLog {
        RaftLog {
            entries: VecDeque::new(),
            commit_index: snapshot.index,
            applied_index: snapshot.index,
            applied_bytes: 0,
            snapshot,
        }
    }

    /// Number of entries after the snapshot.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.last_position().index
    }

    pub(super) fn last_term(&self) -> Term {
        self.last_position().term
    }

    /// Term and index of the last entry.
    pub(super) fn last_position(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.snapshot.position(), |entry| LogPosition {
                term: entry.term,
                index: entry.index,
            })
    }

    /// Term of the entry at `index`; none where it precedes the snapshot or is past the
    /// end.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: LogIndex) -> Option<&Entry> {
        let first = self.entries.front()?.index;
        self.entries.get(index.checked_sub(first)? as usize)
    }

    /// Whether a candidate's log that ends here is at least as up-to-date as this one
    /// (Raft thesis §3.6.1).
    pub(super) fn is_up_to_date(&self, last: LogPosition) -> bool {
        last >= self.last_position()
    }

    pub(super) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has no gap");
        self.entries.push_back(entry);
    }

    /// Removes all entries from this index on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        assert!(
            from > self.commit_index,
            "a committed entry is never removed: {from}, {} is committed",
            self.commit_index
        );
        while self.entries.back().is_some_and(|entry| entry.index >= from) {
            self.entries.pop_back();
        }
    }

    /// The entries after `previous`, as many as fit one message.
    pub(super) fn batch_after(&self, previous: LogIndex, max_entries: usize) -> Vec<Entry> {
        let first = self
            .entries
            .front()
            .map_or(previous + 1, |entry| entry.index);
        let skipped = (previous + 1).saturating_sub(first) as usize;
        let mut bytes = 0;
        let batch = self.entries.iter().skip(skipped).take(max_entries);
        let batch = batch.take_while(|entry| {
            let has_room = bytes < MAX_MESSAGE_BYTES;
            bytes += entry.command_bytes();
            has_room
        });
        batch.cloned().collect()
    }

    /// Where the leader tries next after a mismatch at `prev_log_index`: before all
    /// entries of the term that conflicts there, so that a long branch costs one step for
    /// each of its terms and not one for each entry (Raft thesis §3.5).
    pub(super) fn last_before_conflict(&self, prev_log_index: LogIndex) -> LogIndex {
        let Some(conflict) = self.term_at(prev_log_index) else {
            return self.last_index();
        };
        let first_of_term = self.entries.partition_point(|entry| entry.term < conflict);
        self.entries
            .get(first_of_term)
            .map_or(self.snapshot.index, |entry| entry.index - 1)
    }

    /// The next committed entry that is not applied yet; it counts as applied from here
    /// on.
    pub(super) fn apply_next(&mut self) -> Option<Entry> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let entry = self
            .get(self.applied_index + 1)
            .expect("a committed entry past the snapshot is in the log")
            .clone();
        self.applied_index = entry.index;
        self.applied_bytes += entry.command_bytes();
        Some(entry)
    }

    /// Index of the newest command that is not applied yet.
    pub(super) fn newest_unapplied_command(&self) -> Option<LogIndex> {
        let unapplied = self.entries.iter().rev();
        let mut unapplied = unapplied.take_while(|entry| entry.index > self.applied_index);
        unapplied
            .find(|entry| matches!(entry.payload, EntryPayload::Command(_)))
            .map(|entry| entry.index)
    }

    /// Whether committed entries wait to be applied.
    pub(super) fn has_unapplied(&self) -> bool {
        self.applied_index < self.commit_index
    }

    /// Whether enough was applied since the last snapshot for a new one.
    pub(super) fn is_snapshot_due(&self, policy: SnapshotPolicy) -> bool {
        let entries = self.applied_index - self.snapshot.index;
        entries >= policy.entries || (entries > 0 && self.applied_bytes >= policy.bytes)
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        *self = RaftLog::new(snapshot);
    }

    /// Discards the entries that a snapshot of applied entries covers.
    pub(super) fn compact(&mut self, snapshot: Snapshot) {
        while let Some(entry) = self.entries.front() {
            if entry.index > snapshot.index {
                break;
            }
            self.applied_bytes -= entry.command_bytes();
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }
}
