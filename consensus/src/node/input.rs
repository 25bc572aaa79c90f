//! What goes into a node: ticks, messages, completed writes and requests; and why a
//! request is rejected.

use crate::{ClusterId, LogIndex, Member, Message, NodeId};

/// Identifies a request of the caller; returned with its result.
pub type Token = u64;

/// Identifies a batch of writes: [`Effect::Write`](super::Effect::Write) carries it out,
/// [`Input::Synced`] reports it back. Tickets rise by one.
pub type WriteTicket = u64;

/// What the driver passes to [`Node::step`](super::Node::step).
pub enum Input {
    /// Time went by.
    Tick,
    /// A message from another node arrived.
    Received(Message),
    /// The write with this ticket, and all before it, are on disk.
    Synced(WriteTicket),
    /// The disk failed; nothing more will be synced.
    DiskFailed,
    /// Creates a cluster with this identity, whose only voter is the member.
    Bootstrap(Member, ClusterId),
    /// Proposes a command. Answered by `Apply` with the token once it is committed (Raft
    /// thesis §3.5).
    Propose(Token, Vec<u8>),
    /// Adds a learner, or updates the description of a known member (Raft thesis §4.2.1).
    AddLearner(Token, Member),
    /// Removes a member and retires its identity (Raft thesis §4.1).
    RemoveMember(Token, NodeId),
    /// This member is about to stop. Answered by `ReadReady` once it may stop without a
    /// loss, by [`MembershipChangeError::NotReplaced`] while it must wait and ask again.
    Leave(Token, NodeId),
    /// Asks for a read index. Answered by `ReadReady` (Raft thesis §6.4).
    ReadIndex(Token),
    /// Transfers leadership to another voter, if this node is the leader (Raft thesis
    /// §3.10).
    TransferLeadership,
    /// The state machine's snapshot as of an applied index (Raft thesis §5.1).
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
    /// The identity was removed before and is never admitted again; the node needs an
    /// empty data directory, and with it a new identity.
    #[error("this identity was removed from the cluster; the node may join with an empty data directory")]
    RetiredIdentity,
    /// Another member has this name and is alive.
    #[error("a node named {0} is alive")]
    NameInUse(String),
    /// No member has this identity.
    #[error("there is no such member")]
    UnknownMember,
    /// A leader does not remove itself.
    #[error("the leader cannot be removed before it has transferred leadership")]
    RemovesLeader,
    /// A leader must transfer leadership before it stops.
    #[error("the leader cannot stop before it has transferred leadership")]
    LeaderLeaves,
    /// The member must wait before it stops, and ask again.
    #[error(
        "not yet: it is being replaced, or a majority of the other voters lacks committed entries"
    )]
    NotReplaced,
}
