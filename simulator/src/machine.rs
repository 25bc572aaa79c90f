//! A simulated machine: its disk, and its node while it runs.

use crate::memory_files::MemoryFiles;
use consensus::node::{Node, Write};
use consensus::wal::WriteAheadLog;
use consensus::{LogIndex, NodeId};
use residency::State;
use std::collections::VecDeque;

/// A machine's place in the run's list; machines are never removed from that.
pub(crate) type MachineIndex = usize;

/// One machine, running or not.
pub(crate) struct Machine {
    pub(crate) identity: NodeId,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) files: MemoryFiles,
    /// `None` while it is down.
    pub(crate) live: Option<Live>,
    /// Counts its starts and ends, so that events for an earlier one are ignored.
    pub(crate) incarnation: u64,
    pub(crate) frozen_until_ms: u64,
    pub(crate) slow_disk_until_ms: u64,
    /// It belongs to no cluster.
    pub(crate) is_blank: bool,
    /// It is gone for good, and never starts again.
    pub(crate) is_gone: bool,
    pub(crate) requested_admission_at_ms: u64,
}

/// What a running process has in memory.
pub(crate) struct Live {
    pub(crate) node: Node,
    pub(crate) log: WriteAheadLog<MemoryFiles>,
    pub(crate) state: State,
    /// Batches by ticket; the first is being written.
    pub(crate) writes: VecDeque<(u64, Vec<Write>)>,
    pub(crate) is_disk_dead: bool,
    pub(crate) was_leader: bool,
    /// The index of the newest snapshot.
    pub(crate) snapshot_index: LogIndex,
    /// Nothing but ticks came since its last tick.
    pub(crate) is_idle: bool,
}
