//! A follower appends entries of its leader (Raft thesis §3.5, figure 3.1,
//! AppendEntries).

use super::{Node, Role, WriteTicket};
use crate::{Entry, LogIndex, MessageBody, NodeId, Term};

impl Node {
    pub(super) fn handle_append_entries(
        &mut self,
        from: NodeId,
        prev_log_index: LogIndex,
        prev_log_term: Term,
        leader_commit: LogIndex,
        round: u64,
        entries: Vec<Entry>,
    ) {
        let are_consecutive = entries
            .iter()
            .zip(prev_log_index + 1..)
            .all(|(entry, index)| entry.index == index);
        if !are_consecutive {
            return;
        }
        // Entries that the snapshot covers are committed, so they match.
        let snapshot_index = self.log.snapshot.index;
        let is_match = prev_log_index < snapshot_index
            || self.log.term_at(prev_log_index) == Some(prev_log_term);
        if !is_match {
            let hint = self.log.last_before_conflict(prev_log_index);
            let hint = hint.max(self.log.commit_index);
            return self.respond(from, false, hint, round);
        }
        let last_new = entries.last().map_or(prev_log_index, |entry| entry.index);
        for entry in entries {
            if entry.index <= snapshot_index || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.last_index() {
                self.truncate(entry.index);
            }
            self.append(entry);
        }
        self.log.commit_index = self.log.commit_index.max(leader_commit.min(last_new));
        let match_index = last_new.max(snapshot_index).min(self.durable.synced_index);
        self.respond(from, true, match_index, round);
    }

    pub(super) fn respond(&mut self, to: NodeId, is_match: bool, match_index: u64, round: u64) {
        let body = MessageBody::AppendEntriesResponse {
            is_match,
            match_index,
            round,
        };
        self.send(to, body);
    }

    /// A write reached the disk: messages that waited for it are sent, a candidate may
    /// have won, and a follower reports its match index.
    pub(super) fn on_synced(&mut self, ticket: WriteTicket) {
        let released = self.durable.on_synced(ticket);
        self.effects
            .extend(released.into_iter().map(super::Effect::Send));
        match (self.election.role, self.election.leader) {
            (Role::Candidate, _) => self.check_votes(),
            (Role::Follower, Some(leader)) => {
                let match_index = self.match_index_after_sync();
                self.respond(leader, true, match_index, 0);
            }
            _ => {}
        }
    }

    /// The highest synced index that surely equals the leader's log. Entries of the
    /// leader's own term can only have come from it, and all before them match by the
    /// Log Matching Property (Raft thesis §3.5); otherwise only what is committed does.
    fn match_index_after_sync(&self) -> LogIndex {
        let synced = self.durable.synced_index;
        match self.log.term_at(synced) {
            Some(term) if term == self.term() => synced,
            _ => synced.min(self.log.commit_index),
        }
    }
}
