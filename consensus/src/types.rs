//! Identities, positions and the state that every node keeps on disk.

use crate::codec::{read_bytes, write_bytes};
use crate::Membership;
use binrw::binrw;

/// Identity of a node, unique for the life of its cluster; 0 is no node.
pub type NodeId = u64;
/// Identity of a cluster, drawn when it is bootstrapped; 0 is no cluster.
pub type ClusterId = u64;
/// Position of an entry in the log; the first entry has index 1 (Raft thesis §3.5).
pub type LogIndex = u64;
/// Election term; each term has at most one leader (Raft thesis §3.3).
pub type Term = u64;

/// Term and index of an entry. The order is that in which logs are compared in an
/// election: the later term first, then the longer log (Raft thesis §3.6.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LogPosition {
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
}

/// The whole state as of one entry (Raft thesis §5.1). Invariant: `members` is the membership in
/// force at `index`, and `state` holds every entry up to it and none past it.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Snapshot {
    /// Index of the last entry it includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// The cluster this snapshot belongs to.
    pub cluster: ClusterId,
    /// The membership in force at `index`.
    pub members: Membership,
    /// The encoded state machine.
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub state: Vec<u8>,
}

impl Snapshot {
    /// Term and index of the last entry that it includes.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            index: self.index,
        }
    }
}

/// Term and vote, which must be synced before a vote or a message of a new term is sent
/// (Raft thesis, figure 3.1, persistent state; `HardState` in raft-rs). Invariant:
/// `term` never falls; a vote given in a term is not changed within it.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq, Default, Hash)]
pub struct HardState {
    /// The latest term this node has seen.
    pub term: Term,
    /// The candidate voted for in `term`; 0 for no vote.
    pub vote: NodeId,
    /// The cluster this node belongs to; 0 for none yet.
    pub cluster: ClusterId,
}
