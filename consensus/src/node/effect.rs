//! What comes out of a node: writes, messages, entries to apply, results of requests.

use super::input::{RequestError, Token, WriteTicket};
use crate::{Entry, HardState, LogIndex, Message, Snapshot};

/// One change of the state on disk.
#[derive(Debug, Clone, PartialEq, Hash)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Removes all entries from this index on.
    Truncate(LogIndex),
    /// Appends an entry to the log.
    Entry(Entry),
    /// A snapshot from the leader; it replaces the whole log.
    InstallSnapshot(Snapshot),
    /// A snapshot of entries that are in the log; those after it stay.
    Snapshot(Snapshot),
}

/// What the driver must do for a node, in the order in which the effects are returned.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    /// Write and sync these in order, then report [`Input::Synced`](super::Input::Synced)
    /// with this ticket.
    Write(WriteTicket, Vec<Write>),
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply a committed entry, in log order; with the token of a local proposal.
    Apply(Entry, Option<Token>),
    /// Replace the state machine by this snapshot (Raft thesis §5.1).
    Restore(Snapshot),
    /// Leadership was confirmed after the read began: once the state machine has
    /// applied this read index, the read is linearizable (Raft thesis §6.4).
    ReadReady(Token, LogIndex),
    /// The request with this token was rejected.
    Rejected(Token, RequestError),
}

/// What was read back from disk at the start.
#[derive(Default, Clone, Hash)]
pub struct PersistedState {
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The log after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
