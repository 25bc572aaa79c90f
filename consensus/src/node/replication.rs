//! Replication of the log: entries out, acknowledgements in, the commit index.

use super::{Effect, Node, Peer, RequestError, Rewind, Role};
use crate::{Entry, EntryPayload, LogIndex, MessageBody, NodeId, Term};

/// A message takes no further entry once its commands have so many bytes. One
/// entry always fits.
const MESSAGE_BYTES: usize = 2 << 20;

/// How many bytes of a command an entry carries.
pub(super) fn command_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len(),
        EntryPayload::Noop | EntryPayload::Membership(_) => 0,
    }
}

impl Node {
    /// Brings every other member up, by entries, a snapshot or an empty heartbeat.
    pub(super) fn broadcast(&mut self) {
        self.round += 1;
        self.heartbeat_due = self.now + self.timing.heartbeat_ms;
        let others: Vec<NodeId> = self
            .members
            .all()
            .map(|m| m.identity)
            .filter(|id| *id != self.identity)
            .collect();
        self.peers.retain(|identity, _| others.contains(identity));
        for other in others {
            self.replicate_to(other);
        }
    }

    pub(super) fn replicate_to(&mut self, to: NodeId) {
        let (last, now, round) = (self.last_index(), self.now, self.round);
        let peer = self.peers.entry(to).or_insert(Peer {
            next: last + 1,
            match_index: 0,
            round: 0,
            last_heard: now,
            snapshot_sent: None,
            rewind: None,
            leaving_at: None,
        });
        let prev_log_index = peer.next - 1;
        let Some(prev_log_term) = self.term_at(prev_log_index) else {
            let peer = self.peers.get_mut(&to).expect("entered above");
            if peer.snapshot_sent.is_none() {
                let snapshot = self.snapshot.clone();
                peer.snapshot_sent = Some(round);
                self.send(to, MessageBody::InstallSnapshot { round, snapshot });
            } else {
                // The snapshot is on its way; the heartbeat keeps the peer
                // from campaigning meanwhile.
                let (prev_log_index, prev_log_term) = (last, self.last_term());
                let entries = Vec::new();
                let leader_commit = 0;
                self.send(
                    to,
                    MessageBody::AppendEntries {
                        prev_log_index,
                        prev_log_term,
                        leader_commit,
                        round,
                        entries,
                    },
                );
            }
            return;
        };
        let first = self.log.front().map_or(0, |entry| entry.index);
        let from = (prev_log_index + 1).saturating_sub(first) as usize;
        let mut size = 0;
        let entries: Vec<Entry> = self
            .log
            .iter()
            .skip(if self.log.is_empty() { 0 } else { from })
            .take(self.timing.max_batch)
            .take_while(|entry| {
                let has_room = size < MESSAGE_BYTES;
                size += command_bytes(entry);
                has_room
            })
            .cloned()
            .collect();
        if let Some(entry) = entries.last() {
            self.peers.get_mut(&to).expect("entered above").next = entry.index + 1;
        }
        let leader_commit = self.commit;
        self.send(
            to,
            MessageBody::AppendEntries {
                prev_log_index,
                prev_log_term,
                leader_commit,
                round,
                entries,
            },
        );
    }

    pub(super) fn handle_append_entries(
        &mut self,
        from: NodeId,
        prev_log_index: LogIndex,
        prev_log_term: Term,
        leader_commit: LogIndex,
        round: u64,
        entries: Vec<Entry>,
    ) {
        let is_whole = entries
            .iter()
            .zip(prev_log_index + 1..)
            .all(|(e, index)| e.index == index);
        if !is_whole {
            return;
        }
        // What the snapshot covers is known to be committed; skip over it.
        let floor = self.snapshot.index;
        let is_known =
            prev_log_index < floor || self.term_at(prev_log_index) == Some(prev_log_term);
        if !is_known {
            let match_index = self.last_before_conflict(prev_log_index).max(self.commit);
            return self.send(
                from,
                MessageBody::AppendEntriesResponse {
                    is_match: false,
                    match_index,
                    round,
                },
            );
        }
        let reach = entries.last().map_or(prev_log_index, |entry| entry.index);
        for entry in entries {
            if entry.index <= floor || self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.last_index() {
                self.cut(entry.index);
            }
            self.append(entry);
        }
        self.commit = self.commit.max(leader_commit.min(reach));
        let match_index = reach.max(floor).min(self.synced);
        self.send(
            from,
            MessageBody::AppendEntriesResponse {
                is_match: true,
                match_index,
                round,
            },
        );
    }

    /// Where the leader tries next after a mismatch at `prev_log_index`: before all
    /// entries of the term that conflicts there, so that a long branch costs one
    /// step for each of its terms and not one for each entry.
    fn last_before_conflict(&self, prev_log_index: LogIndex) -> LogIndex {
        match self.term_at(prev_log_index) {
            Some(conflict) => {
                let place = self.log.partition_point(|entry| entry.term < conflict);
                self.log
                    .get(place)
                    .map_or(self.snapshot.index, |entry| entry.index - 1)
            }
            None => self.last_index(),
        }
    }

    pub(super) fn on_answer(
        &mut self,
        from: NodeId,
        is_match: bool,
        match_index: LogIndex,
        round: u64,
    ) {
        let (now, last) = (self.now, self.last_index());
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_heard = now;
        let is_newest = round >= peer.round;
        peer.round = peer.round.max(round);
        let must_send = match is_match {
            true => self.on_match(from, match_index.min(last)),
            false => self.on_mismatch(from, match_index.min(last), round, is_newest),
        };
        if must_send {
            self.replicate_to(from);
        }
        self.settle_reads();
    }

    /// Whether something is to be sent at once.
    fn on_match(&mut self, from: NodeId, match_index: LogIndex) -> bool {
        let (last, round) = (self.last_index(), self.round);
        let peer = self
            .peers
            .get_mut(&from)
            .expect("its answer is being looked at");
        peer.match_index = peer.match_index.max(match_index);
        peer.next = peer.next.max(peer.match_index + 1);
        let (next, match_index) = (peer.next, peer.match_index);
        let is_in_log = self.term_at(next - 1).is_some();
        let peer = self
            .peers
            .get_mut(&from)
            .expect("its answer is being looked at");
        if peer.snapshot_sent.is_some() {
            // While a snapshot is on its way nothing is pushed out of turn.
            if !is_in_log {
                return false;
            }
            peer.snapshot_sent = None;
            // Heartbeats that were on their way meanwhile did not match.
            peer.rewind = Some(Rewind { match_index, round });
        }
        next <= last
    }

    /// Steps back to where the peer says. Whether something is to be sent at once:
    /// not for answers to what was on its way before the last step back, since what
    /// went out with that step answers them, too.
    fn on_mismatch(
        &mut self,
        from: NodeId,
        match_index: LogIndex,
        round: u64,
        is_newest: bool,
    ) -> bool {
        let own_round = self.round;
        let peer = self
            .peers
            .get_mut(&from)
            .expect("its answer is being looked at");
        let is_late = peer
            .rewind
            .is_some_and(|last| round <= last.round && match_index >= last.match_index);
        if is_late {
            return false;
        }
        peer.rewind = Some(Rewind {
            match_index,
            round: own_round,
        });
        // A peer that denies what it claimed before may have an older disk. An answer
        // that was passed by a newer one may not lead back so far.
        let floor = if is_newest { 0 } else { peer.match_index };
        peer.next = match_index.max(floor) + 1;
        // An answer to something that was sent after the snapshot: that was lost, or
        // else the peer would be past it.
        peer.snapshot_sent = peer.snapshot_sent.filter(|sent| round <= *sent);
        let (next, is_on_its_way) = (peer.next, peer.snapshot_sent.is_some());
        !is_on_its_way || self.term_at(next - 1).is_some()
    }

    pub(super) fn on_synced(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket);
        let mut synced = self.synced;
        while self.writing.front().is_some_and(|(t, _, _)| *t <= ticket) {
            let (_, last, _) = self.writing.pop_front().expect("looked at above");
            synced = synced.max(last);
        }
        self.synced = synced;
        while self.held.front().is_some_and(|(t, _)| *t <= ticket) {
            let (_, message) = self.held.pop_front().expect("looked at above");
            if message.term == self.hard_state.term {
                self.effects.push(Effect::Send(message));
            }
        }
        match (self.role, self.leader) {
            (Role::Candidate, _) => self.tally(),
            (Role::Follower, Some(leader)) => {
                // Nothing past the commit is claimed without the leader's own
                // word for it, which `handle_append_entries` has checked up to the
                // last append.
                let match_index = self.synced;
                let claim = self.claim(match_index);
                self.send(
                    leader,
                    MessageBody::AppendEntriesResponse {
                        is_match: true,
                        match_index: claim,
                        round: 0,
                    },
                );
            }
            _ => {}
        }
    }

    /// Entries of the leader's own term can only have come from it; they and
    /// all before them are the same as its own. Otherwise only the commit is.
    pub(super) fn claim(&self, synced: LogIndex) -> LogIndex {
        match self.term_at(synced) {
            Some(term) if term == self.hard_state.term => synced,
            _ => synced.min(self.commit),
        }
    }

    /// Commits what a majority has synced, and applies what is committed.
    pub(super) fn advance_commit(&mut self) {
        if self.role == Role::Leader {
            let mut marks: Vec<LogIndex> = self
                .members
                .voters
                .iter()
                .map(|voter| match voter.identity == self.identity {
                    true => self.synced,
                    false => self
                        .peers
                        .get(&voter.identity)
                        .map_or(0, |peer| peer.match_index),
                })
                .collect();
            marks.sort_unstable_by(|a, b| b.cmp(a));
            let mark = marks.get(self.members.majority() - 1).copied().unwrap_or(0);
            if mark > self.commit && self.term_at(mark) == Some(self.hard_state.term) {
                self.commit = mark;
                self.heartbeat_due = self.now;
                self.settle_reads();
            }
        }
        while self.applied < self.commit {
            let index = self.applied + 1;
            let first = self.log.front().expect("what counts is in the log").index;
            let entry = self.log[(index - first) as usize].clone();
            let token = match self.waiting.remove(&index) {
                Some((term, token)) if term == entry.term => Some(token),
                Some((_, token)) => {
                    self.effects
                        .push(Effect::Rejected(token, RequestError::LeadershipLost));
                    None
                }
                None => None,
            };
            self.applied = index;
            self.applied_bytes += command_bytes(&entry);
            // A node that comes back applies memberships again that were before it.
            let was_removed = matches!(&entry.payload, EntryPayload::Membership(_))
                && self
                    .membership_history
                    .last()
                    .is_some_and(|(newest, _)| *newest == index)
                && self.members.get(self.identity).is_none();
            self.effects.push(Effect::Apply(entry, token));
            if was_removed && self.role == Role::Leader {
                self.broadcast();
                self.step_down();
            }
        }
    }
}
