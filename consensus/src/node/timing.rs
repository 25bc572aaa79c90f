//! Intervals, time-outs and limits of a node.

/// Times in milliseconds of the caller's monotonic clock, and limits. Invariant: a
/// heartbeat interval is much shorter than an election timeout (Raft thesis §3.9), and
/// that much shorter than the routers' lease.
#[derive(Clone, Copy, Hash)]
pub struct Timing {
    /// Interval of a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// A follower waits this long, and up to twice as long, for its leader before it
    /// campaigns (Raft thesis §3.4).
    pub election_timeout_ms: u64,
    /// A leader steps down when a write has not been synced for this long.
    pub write_stall_ms: u64,
    /// The number of voters that repair aims for.
    pub voters: usize,
    /// Most entries proposed and not yet committed.
    pub max_uncommitted: usize,
    /// Most entries in one message.
    pub max_batch: usize,
    /// A voter silent for this long is replaced where a learner is ready.
    pub replace_voter_after_ms: u64,
    /// A learner silent for this long is removed from the membership.
    pub remove_learner_after_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_ms: 80,
            election_timeout_ms: 400,
            write_stall_ms: 600,
            voters: 5,
            max_uncommitted: 512,
            max_batch: 256,
            replace_voter_after_ms: 2_000,
            remove_learner_after_ms: 60_000,
        }
    }
}

/// When the log is long enough for a snapshot (Raft thesis §5.1.3). Invariant: the disk
/// holds at most about twice `bytes`, or twice `entries`, whichever comes first, plus
/// two snapshots and the uncommitted entries.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotPolicy {
    /// Entries applied since the last snapshot.
    pub entries: u64,
    /// Bytes of the commands among them.
    pub bytes: usize,
}
