//! What is on disk, what is being written, and the messages that must wait for a write
//! (Raft thesis §3.8: term, vote and entries are persisted before they are answered).

use super::effect::{Effect, Write};
use super::input::WriteTicket;
use crate::{HardState, LogIndex, Message};
use std::collections::VecDeque;

/// A batch that was handed out to be written and is not synced yet.
#[derive(Clone, Hash)]
struct UnsyncedWrite {
    ticket: WriteTicket,
    /// The last index of the log when it was handed out.
    last_index: LogIndex,
    since_ms: u64,
}

/// A message that must not be sent before the write with this ticket is synced.
#[derive(Clone, Hash)]
struct BlockedMessage {
    ticket: WriteTicket,
    message: Message,
}

/// Invariants: the term of `hard_state` never falls; `synced_index` is at most the last
/// index; a message is released only when the hard state that it rests on is synced.
#[derive(Clone, Hash)]
pub(super) struct DurableState {
    pub(super) hard_state: HardState,
    /// Up to this index the log is known to be synced.
    pub(super) synced_index: LogIndex,
    /// Writes collected in this step.
    pending: Vec<Write>,
    newest_ticket: WriteTicket,
    synced_ticket: WriteTicket,
    /// The write that holds the newest hard state.
    hard_state_ticket: WriteTicket,
    unsynced: VecDeque<UnsyncedWrite>,
    blocked: VecDeque<BlockedMessage>,
    /// The disk failed: nothing more will be synced.
    has_failed: bool,
}

impl DurableState {
    /// The state as read back from disk.
    pub(super) fn new(hard_state: HardState, synced_index: LogIndex) -> DurableState {
        DurableState {
            hard_state,
            synced_index,
            pending: Vec::new(),
            newest_ticket: 0,
            synced_ticket: 0,
            hard_state_ticket: 0,
            unsynced: VecDeque::new(),
            blocked: VecDeque::new(),
            has_failed: false,
        }
    }

    /// Adds a write to those of this step.
    pub(super) fn push(&mut self, write: Write) {
        self.pending.push(write);
    }

    pub(super) fn persist_hard_state(&mut self, hard_state: HardState) {
        assert!(
            hard_state.term >= self.hard_state.term,
            "a term never falls"
        );
        self.hard_state = hard_state;
        self.pending.push(Write::HardState(hard_state));
    }

    pub(super) fn truncate(&mut self, from: LogIndex) {
        self.synced_index = self.synced_index.min(from - 1);
        for write in &mut self.unsynced {
            write.last_index = write.last_index.min(from - 1);
        }
        self.pending.push(Write::Truncate(from));
    }

    /// Entries past `limit` were discarded: writes of them count for nothing.
    pub(super) fn limit_synced_index(&mut self, limit: LogIndex) {
        self.synced_index = self.synced_index.min(limit);
        for write in &mut self.unsynced {
            write.last_index = write.last_index.min(self.synced_index);
        }
    }

    fn has_pending_hard_state(&self) -> bool {
        self.pending
            .iter()
            .any(|write| matches!(write, Write::HardState(_)))
    }

    pub(super) fn is_hard_state_synced(&self) -> bool {
        self.hard_state_ticket <= self.synced_ticket && !self.has_pending_hard_state()
    }

    /// Returns the message if it may be sent now; otherwise it waits for the write of the
    /// newest hard state.
    pub(super) fn gate(&mut self, message: Message) -> Option<Message> {
        let ticket = match self.has_pending_hard_state() {
            true => self.newest_ticket + 1,
            false => self.hard_state_ticket,
        };
        if ticket <= self.synced_ticket {
            return Some(message);
        }
        self.blocked.push_back(BlockedMessage { ticket, message });
        None
    }

    /// Turns the writes of this step into one batch with one ticket.
    pub(super) fn flush(&mut self, last_index: LogIndex, now: u64) -> Option<Effect> {
        if self.pending.is_empty() {
            return None;
        }
        self.newest_ticket += 1;
        if self.has_pending_hard_state() {
            self.hard_state_ticket = self.newest_ticket;
        }
        self.unsynced.push_back(UnsyncedWrite {
            ticket: self.newest_ticket,
            last_index,
            since_ms: now,
        });
        let writes = std::mem::take(&mut self.pending);
        // After a failure, further writes would follow a gap. The ticket is never synced,
        // so no message that rests on it is sent.
        (!self.has_failed).then_some(Effect::Write(self.newest_ticket, writes))
    }

    /// The write with this ticket, and all before it, are on disk. Returns the messages
    /// that waited for them and are of the current term.
    pub(super) fn on_synced(&mut self, ticket: WriteTicket) -> Vec<Message> {
        self.synced_ticket = self.synced_ticket.max(ticket);
        while let Some(write) = self.unsynced.pop_front() {
            if write.ticket > ticket {
                self.unsynced.push_front(write);
                break;
            }
            self.synced_index = self.synced_index.max(write.last_index);
        }
        let mut released = Vec::new();
        while let Some(blocked) = self.blocked.pop_front() {
            if blocked.ticket > ticket {
                self.blocked.push_front(blocked);
                break;
            }
            if blocked.message.term == self.hard_state.term {
                released.push(blocked.message);
            }
        }
        released
    }

    pub(super) fn on_disk_failed(&mut self) {
        self.has_failed = true;
    }

    /// Whether the disk failed, or the oldest unsynced write has waited longer than
    /// `limit_ms`.
    pub(super) fn is_stalled(&self, now: u64, limit_ms: u64) -> bool {
        let oldest = self.unsynced.front();
        self.has_failed || oldest.is_some_and(|write| now - write.since_ms > limit_ms)
    }

    /// When the oldest unsynced write will have waited too long.
    pub(super) fn stall_deadline(&self, limit_ms: u64) -> u64 {
        self.unsynced
            .front()
            .map_or(u64::MAX, |write| write.since_ms + limit_ms + 1)
    }
}
