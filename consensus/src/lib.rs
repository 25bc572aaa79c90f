//! Raft among the directory nodes, without I/O, and the write-ahead log beneath it.
//!
//! - `node`: one node as a state machine: elections, replication, read indexes,
//!   membership, snapshots. Input and time are arguments, effects are returned values.
//! - `wal`: the log on disk: checksummed segments with snapshots beside them, over the
//!   small [`wal::LogStorage`] trait.
//! - `repair`: which change of membership a leader makes by itself.
//! - `quorum_read`: whether a copy of the state is the newest, without a leader.
//! - `codec`: strings, byte strings and lists in binrw layouts.
//! - `entry`, `membership`, `message`, `types`: the data that nodes exchange and persist.
//!
//! Nothing here has a clock, a socket or a task. Sections are cited from Diego Ongaro's
//! thesis, "Consensus: Bridging Theory and Practice" (Stanford, 2014), in short "Raft
//! thesis".

pub mod codec;
pub mod node;
pub mod quorum_read;
pub mod repair;
pub mod wal;

mod entry;
mod membership;
mod message;
mod types;

pub use entry::{Entry, EntryPayload};
pub use membership::{Member, Membership, MembershipChange};
pub use message::{Message, MessageBody};
use types::LogPosition;
pub use types::{ClusterId, HardState, LogIndex, NodeId, Snapshot, Term};
