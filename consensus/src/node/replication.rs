//! The leader replicates its log: entries, snapshots and heartbeats out, answers in
//! (Raft thesis §3.5, §5.1).

use super::progress::Rewind;
use super::Node;
use crate::{LogIndex, MessageBody, NodeId, Term};

impl Node {
    /// Begins a heartbeat round: sends entries, a snapshot or an empty heartbeat to every
    /// other member.
    pub(super) fn broadcast(&mut self) {
        self.replication.round += 1;
        self.replication.heartbeat_deadline = self.now + self.timing.heartbeat_ms;
        let others: Vec<NodeId> = self
            .members()
            .all()
            .map(|member| member.identity)
            .filter(|id| *id != self.identity)
            .collect();
        self.replication.retain(&others);
        for other in others {
            self.replicate_to(other);
        }
    }

    /// Sends one member what it needs next.
    pub(super) fn replicate_to(&mut self, to: NodeId) {
        let (last_index, now) = (self.last_index(), self.now);
        let progress = self.replication.get_or_insert(to, last_index, now);
        let prev_log_index = progress.next_index - 1;
        match self.log.term_at(prev_log_index) {
            Some(prev_log_term) => self.send_entries(to, prev_log_index, prev_log_term),
            None => self.send_snapshot(to),
        }
    }

    fn send_entries(&mut self, to: NodeId, prev_log_index: LogIndex, prev_log_term: Term) {
        let entries = self.log.batch_after(prev_log_index, self.timing.max_batch);
        if let (Some(entry), Some(progress)) = (entries.last(), self.replication.get_mut(to)) {
            progress.next_index = entry.index + 1;
        }
        let body = MessageBody::AppendEntries {
            prev_log_index,
            prev_log_term,
            leader_commit: self.log.commit_index,
            round: self.replication.round,
            entries,
        };
        self.send(to, body);
    }

    /// Sends the snapshot once; while it is on its way, empty heartbeats keep the member
    /// from campaigning.
    fn send_snapshot(&mut self, to: NodeId) {
        let round = self.replication.round;
        let Some(progress) = self.replication.get_mut(to) else {
            return;
        };
        let body = if progress.snapshot_round.is_none() {
            progress.snapshot_round = Some(round);
            let snapshot = self.log.snapshot.clone();
            MessageBody::InstallSnapshot { round, snapshot }
        } else {
            MessageBody::AppendEntries {
                prev_log_index: self.last_index(),
                prev_log_term: self.log.last_term(),
                leader_commit: 0,
                round,
                entries: Vec::new(),
            }
        };
        self.send(to, body);
    }

    /// Takes a member's answer to `AppendEntries` or `InstallSnapshot`.
    pub(super) fn handle_append_response(
        &mut self,
        from: NodeId,
        is_match: bool,
        match_index: LogIndex,
        round: u64,
    ) {
        let match_index = match_index.min(self.last_index());
        let now = self.now;
        let Some(progress) = self.replication.get_mut(from) else {
            return;
        };
        progress.last_heard_ms = now;
        let is_newest = round >= progress.acknowledged_round;
        progress.acknowledged_round = progress.acknowledged_round.max(round);
        let must_send = match is_match {
            true => self.on_match(from, match_index),
            false => self.on_mismatch(from, match_index, round, is_newest),
        };
        if must_send {
            self.replicate_to(from);
        }
        self.confirm_reads();
    }

    /// Returns whether something must be sent at once.
    fn on_match(&mut self, from: NodeId, match_index: LogIndex) -> bool {
        let (last_index, round) = (self.last_index(), self.replication.round);
        let Some(progress) = self.replication.get_mut(from) else {
            return false;
        };
        progress.match_index = progress.match_index.max(match_index);
        progress.next_index = progress.next_index.max(progress.match_index + 1);
        if progress.snapshot_round.is_some() {
            // While a snapshot is on its way, nothing is sent out of turn.
            if self.log.term_at(progress.next_index - 1).is_none() {
                return false;
            }
            progress.snapshot_round = None;
            // Heartbeats that were on their way meanwhile did not match.
            progress.rewind = Some(Rewind {
                match_index: progress.match_index,
                round,
            });
        }
        progress.next_index <= last_index
    }

    /// Steps back to where the member says. Returns whether something must be sent at
    /// once: not for answers to messages that were sent before the last step back, since
    /// what was sent with that step answers them, too.
    fn on_mismatch(&mut self, from: NodeId, hint: LogIndex, round: u64, is_newest: bool) -> bool {
        let own_round = self.replication.round;
        let Some(progress) = self.replication.get_mut(from) else {
            return false;
        };
        let is_late = progress
            .rewind
            .is_some_and(|last| round <= last.round && hint >= last.match_index);
        if is_late {
            return false;
        }
        progress.rewind = Some(Rewind {
            match_index: hint,
            round: own_round,
        });
        // A member that denies what it reported before may run on an older disk. An
        // answer that a newer one overtook must not lead back that far.
        let floor = if is_newest { 0 } else { progress.match_index };
        progress.next_index = hint.max(floor) + 1;
        // This answers a message that was sent after the snapshot: the snapshot was
        // lost, or else the member would be past it.
        progress.snapshot_round = progress.snapshot_round.filter(|sent| round <= *sent);
        let is_snapshot_on_its_way = progress.snapshot_round.is_some();
        !is_snapshot_on_its_way || self.log.term_at(progress.next_index - 1).is_some()
    }
}
