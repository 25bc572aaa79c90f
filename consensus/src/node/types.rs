//! What goes into a node and what comes out of it.

use crate::{Entry, HardState, LogIndex, Member, Message, NodeId, Snapshot};

/// All times in milliseconds of the caller's monotonic clock. Invariant: a
/// beat is well shorter than an election, an election well shorter than the
/// routers' lease.
#[derive(Clone, Copy, Hash)]
pub struct Timing {
    pub heartbeat_ms: u64,
    /// A follower waits this long, and up to twice as long, for its leader.
    pub election_timeout_ms: u64,
    /// A write not synced for this long makes a leader step down.
    pub write_stall_ms: u64,
    /// How many voters the leader strives for.
    pub voters: usize,
    /// Most entries proposed and not yet committed.
    pub max_uncommitted: usize,
    /// Most entries in one message.
    pub max_batch: usize,
    /// A voter silent for this long is replaced where a learner is ready.
    pub replace_after_ms: u64,
    /// A learner silent for this long leaves the list of members.
    pub forget_after_ms: u64,
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
            replace_after_ms: 2_000,
            forget_after_ms: 60_000,
        }
    }
}

/// When the log is long enough for a snapshot. Invariant: what is on the disk is
/// bounded by about twice `bytes`, or twice `entries`, whichever comes first, with
/// two snapshots and what is not committed.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotPolicy {
    /// Entries applied since the last snapshot.
    pub entries: u64,
    /// Bytes of the commands among them.
    pub bytes: usize,
}

pub type Token = u64;

pub enum Input {
    /// Time went by.
    Tick,
    Received(Message),
    /// The write with this ticket, and all before it, are on disk.
    Synced(u64),
    /// The disk failed; nothing more will be synced.
    DiskFailed,
    Bootstrap(Member, u64),
    Propose(Token, Vec<u8>),
    AddLearner(Token, Member),
    RemoveMember(Token, NodeId),
    /// This member is about to stop. Answered by `ReadReady` once nothing is lost
    /// with it, by `Refusal::Unfit` while it is to wait and ask again.
    Leave(Token, NodeId),
    ReadIndex(Token),
    /// Hand leadership over, if led from here.
    TransferLeadership,
    /// The state machine's snapshot as of an applied index.
    SnapshotTaken(LogIndex, Vec<u8>),
}

#[derive(Debug, Clone, PartialEq, Hash)]
pub enum Refusal {
    NotLeader,
    Busy,
    /// A change of membership is under way, or this one makes no sense.
    Unfit(String),
    /// Leadership was lost with the payload open; it may or may not hold.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Hash)]
pub enum Write {
    HardState(HardState),
    /// Entries from here on are void.
    Truncate(LogIndex),
    Entry(Entry),
    /// A whole new beginning: what was before it is void.
    InstallSnapshot(Snapshot),
    /// A snapshot of what is in the log already.
    Snapshot(Snapshot),
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    /// To be written and synced in order, then reported by this ticket.
    Write(u64, Vec<Write>),
    Send(Message),
    /// Entries that count, in order, with the token of a local proposal.
    Apply(Entry, Option<Token>),
    /// The state machine is replaced by this.
    Restore(Snapshot),
    /// The leader led throughout since the question; state up to this index
    /// must be applied before the question is answered.
    ReadReady(Token, LogIndex),
    Refused(Token, Refusal),
}

#[derive(Clone, Copy, PartialEq, Debug, Hash)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// What a disk gave back at the start.
#[derive(Default, Clone, Hash)]
pub struct PersistedState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}
