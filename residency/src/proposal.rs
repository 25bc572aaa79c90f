//! Proposals, the content of log entries, and what became of them.

use crate::{Command, Epoch};
use binrw::binrw;
use consensus::codec::{read_string, write_string};

/// A command with what makes it idempotent and what it was built on.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Drawn by the sender; a retry carries the same.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub id: String,
    /// The epoch of the state that the command was built on: it is a conflict if its
    /// subject changed after that. 0 stands for any. Index 1 founds the cluster, so a
    /// command that is built on nothing has 1.
    pub base_epoch: Epoch,
    /// The change.
    pub command: Command,
}

/// What became of a proposal.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was applied.
    #[brw(magic = 0u8)]
    Applied {
        /// The index of its log entry.
        epoch: Epoch,
    },
    /// It had been applied before; nothing changed now.
    #[brw(magic = 1u8)]
    Duplicate {
        /// The index of the log entry that applied it.
        epoch: Epoch,
    },
    /// Its subject changed after the base; nothing changed. A retry needs a new base.
    #[brw(magic = 2u8)]
    Conflict {
        /// The epoch that last changed its subject.
        epoch: Epoch,
    },
    /// It does not fit the state, for the reason given; nothing changed.
    #[brw(magic = 3u8)]
    Rejected(
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        String,
    ),
}
