//! What goes into a node and what comes out of it.

use crate::{Entry, HardState, LogIndex, Member, Message, NodeId, Snapshot};

/// All times in milliseconds of the caller's monotonic clock. Invariant: a
/// heartbeat interval is well shorter than an election timeout, and that well
/// shorter than the routers' lease.
#[derive(Clone, Copy, Hash)]
pub struct Timing {
    /// Interval of a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// A follower waits this long, and up to twice as long, for its leader.
    pub election_timeout_ms: u64,
    /// A write not synced for this long makes a leader step down.
    pub write_stall_ms: u64,
    /// The number of voters that repair aims for.
    pub voters: usize,
    /// Most entries proposed and not yet committed.
    pub max_uncommitted: usize,
    /// Most entries in one message.
    pub max_batch: usize,
    /// A voter silent for this long is replaced where a learner is ready.
    pub replace_voter_after_ms: u64,
    /// A learner silent for this long leaves the list of members.
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

/// Identifies a request of the caller; returned with its result.
pub type Token = u64;

/// What a node is told by its driver.
pub enum Input {
    /// Time went by.
    Tick,
    /// A message from another node arrived.
    Received(Message),
    /// The write with this ticket, and all before it, are on disk.
    Synced(u64),
    /// The disk failed; nothing more will be synced.
    DiskFailed,
    /// Founds a cluster with this identity, of which the member is the only voter.
    Bootstrap(Member, u64),
    /// Proposes a command. Answered by `Apply` with the token once it is committed.
    Propose(Token, Vec<u8>),
    /// Adds a learner, or updates the description of a known member.
    AddLearner(Token, Member),
    /// Removes a member and retires its identity.
    RemoveMember(Token, NodeId),
    /// This member is about to stop. Answered by `ReadReady` once nothing is lost
    /// with it, by `MembershipChangeError::NotReplaced` while it is to wait and ask again.
    Leave(Token, NodeId),
    /// Asks for a read index. Answered by `ReadReady`.
    ReadIndex(Token),
    /// Transfers leadership to another voter, if this node is the leader.
    TransferLeadership,
    /// The state machine's snapshot as of an applied index.
    SnapshotTaken(LogIndex, Vec<u8>),
}

/// Why a request was rejected.
#[derive(Debug, Clone, PartialEq, Hash, thiserror::Error)]
pub enum RequestError {
    /// Nothing was appended: this node is not the leader. The request may be sent to the
    /// leader.
    #[error("this node is not the leader")]
    NotLeader,
    /// Nothing was appended: too many requests are pending, or the disk is stalled. The
    /// request may be repeated later.
    #[error("too many requests are pending, or the disk is stalled")]
    Busy,
    /// The membership was not changed.
    #[error(transparent)]
    InvalidMembershipChange(#[from] MembershipChangeError),
    /// Leadership was lost before the entry was known to be committed: it may or may
    /// not become committed, so a repeated request must be idempotent.
    #[error("leadership was lost before the entry was known to be committed")]
    LeadershipLost,
}

/// Why a requested change of membership was not made. The membership is unchanged, so
/// the request may be repeated.
#[derive(Debug, Clone, PartialEq, Hash, thiserror::Error)]
pub enum MembershipChangeError {
    /// Only one change is made at a time (Raft thesis §4.1); the one before is not
    /// committed yet.
    #[error("a change of membership is under way")]
    ChangeInProgress,
    /// The identity was removed before and is never admitted again.
    #[error("this identity was retired; the node may come as a blank one")]
    RetiredIdentity,
    /// Another member has this name and is alive.
    #[error("a node named {0} is alive")]
    NameInUse(String),
    /// No member has this identity.
    #[error("there is no such member")]
    UnknownMember,
    /// A leader does not remove itself.
    #[error("the leader retires only after handing over")]
    RemovesLeader,
    /// A leader must transfer leadership before it stops.
    #[error("the leader leaves only after transferring leadership")]
    LeaderLeaves,
    /// The member must wait before it stops, and ask again.
    #[error("not yet: it is being replaced, or others lack what counts")]
    NotReplaced,
}

/// One change of what is on disk.
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

/// What the driver is to do for a node.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    /// To be written and synced in order, then reported by this ticket.
    Write(u64, Vec<Write>),
    /// A message to be sent; it may be lost.
    Send(Message),
    /// A committed entry to be applied, in log order, with the token of a local
    /// proposal.
    Apply(Entry, Option<Token>),
    /// The state machine is replaced by this snapshot.
    Restore(Snapshot),
    /// Leadership was confirmed after the read began: once the state machine has
    /// applied this read index, the read is linearizable.
    ReadReady(Token, LogIndex),
    /// The request with this token was rejected.
    Rejected(Token, RequestError),
}

/// A node's role in the current term.
#[derive(Clone, Copy, PartialEq, Debug, Hash)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for pre-votes; its term is unchanged.
    PreCandidate,
    /// Campaigns for votes in a new term.
    Candidate,
    /// Leads the current term.
    Leader,
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
