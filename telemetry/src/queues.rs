//! How long work waited in this process's queues, and how long its renewals and confirmed
//! reads took.

use simd_json::{json, OwnedValue};
use std::sync::atomic::{AtomicU64, Ordering};

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// Consensus messages, and notices of the disk, until the consensus thread takes them.
    ConsensusCommands,
    /// Requests of other nodes to this one as the leader, until the consensus thread takes
    /// them.
    LeaderRequestCommands,
    /// Requests of this process, until the consensus thread takes them.
    LocalRequestCommands,
    /// All other commands, until the consensus thread takes them.
    OtherCommands,
    /// Frames until a peer's connection sends them.
    PeerFrames,
    /// Frames until a router's session sends them.
    SessionFrames,
    /// Renewals of leases, from the request to the leader until its response.
    LeaseRenewals,
    /// Confirmed reads, until they succeed or are given up.
    ConfirmedReads,
}

impl Queue {
    /// All of them.
    pub const ALL: [Queue; 8] = [
        Queue::ConsensusCommands,
        Queue::LeaderRequestCommands,
        Queue::LocalRequestCommands,
        Queue::OtherCommands,
        Queue::PeerFrames,
        Queue::SessionFrames,
        Queue::LeaseRenewals,
        Queue::ConfirmedReads,
    ];

    /// Its name in logs and on the operators' port.
    pub fn name(self) -> &'static str {
        match self {
            Queue::ConsensusCommands => "consensus_commands",
            Queue::LeaderRequestCommands => "leader_request_commands",
            Queue::LocalRequestCommands => "local_request_commands",
            Queue::OtherCommands => "other_commands",
            Queue::PeerFrames => "peer_frames",
            Queue::SessionFrames => "session_frames",
            Queue::LeaseRenewals => "lease_renewals",
            Queue::ConfirmedReads => "confirmed_reads",
        }
    }
}

/// The waits in one queue. Invariant: all of it only rises.
struct Waits {
    count: AtomicU64,
    total_ms: AtomicU64,
    longest_ms: AtomicU64,
    /// What found the queue full and was dropped.
    dropped: AtomicU64,
}

impl Waits {
    const fn new() -> Waits {
        Waits {
            count: AtomicU64::new(0),
            total_ms: AtomicU64::new(0),
            longest_ms: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    fn to_json(&self) -> OwnedValue {
        json!({
            "count": self.count.load(Ordering::Relaxed),
            "total_ms": self.total_ms.load(Ordering::Relaxed),
            "longest_ms": self.longest_ms.load(Ordering::Relaxed),
            "dropped": self.dropped.load(Ordering::Relaxed),
        })
    }
}

static WAITS: [Waits; Queue::ALL.len()] = [const { Waits::new() }; Queue::ALL.len()];

/// Records that something waited in a queue, or took, `waited_ms`.
pub fn record_wait(queue: Queue, waited_ms: u64) {
    let waits = &WAITS[queue as usize];
    waits.count.fetch_add(1, Ordering::Relaxed);
    waits.total_ms.fetch_add(waited_ms, Ordering::Relaxed);
    waits.longest_ms.fetch_max(waited_ms, Ordering::Relaxed);
}

/// Records that something was dropped because the queue was full.
pub fn record_dropped(queue: Queue) {
    WAITS[queue as usize]
        .dropped
        .fetch_add(1, Ordering::Relaxed);
}

/// All waits since the start of this process, by the name of the queue.
pub fn to_json() -> OwnedValue {
    let mut object = simd_json::owned::Object::default();
    for queue in Queue::ALL {
        object.insert(queue.name().to_string(), WAITS[queue as usize].to_json());
    }
    OwnedValue::from(object)
}
