//! Entries of the replicated log (Raft thesis §3.5).

use crate::codec::{read_bytes, write_bytes};
use crate::{LogIndex, Membership, Term};
use binrw::binrw;

/// What a log entry carries.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum EntryPayload {
    /// A new leader's first entry, without content: once it is committed, so are all
    /// entries of earlier terms before it (Raft thesis §3.6.2 and §6.4).
    #[brw(magic = 0u8)]
    Noop,
    /// A command of the state machine, opaque to this package.
    #[brw(magic = 1u8)]
    Command(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    /// A membership, in force from the moment that this entry is in a node's log,
    /// committed or not (Raft thesis §4.1).
    #[brw(magic = 2u8)]
    Membership(Membership),
}

/// One entry of the replicated log (Raft thesis §3.5).
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Entry {
    /// Its position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub payload: EntryPayload,
}

impl Entry {
    /// Bytes of the command that it carries.
    pub(crate) fn command_bytes(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(bytes) => bytes.len(),
            EntryPayload::Noop | EntryPayload::Membership(_) => 0,
        }
    }
}
