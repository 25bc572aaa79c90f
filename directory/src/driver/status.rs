//! The status of this node and its cluster, as the driver's thread publishes it.

use consensus::{Membership, NodeId, Term};

/// The status of this node, for all parts of it to read.
#[derive(Clone, Default)]
pub struct ClusterStatus {
    /// Whether this node leads.
    pub is_leader: bool,
    /// Who leads, as far as this node knows.
    pub leader: Option<NodeId>,
    /// The term that this node is in.
    pub term: Term,
    /// The cluster's identity; 0 where this node belongs to none.
    pub cluster: u64,
    /// Voters and learners.
    pub members: Membership,
    /// The last log index that is committed.
    pub commit_index: u64,
    /// The last log index that is applied here.
    pub applied_index: u64,
    /// The last log index that is in the log here.
    pub last_index: u64,
    /// Whether the disk keeps this node from acknowledging anything.
    pub is_disk_stalled: bool,
    /// The log index that each member has synced, as the leader knows it.
    pub progress: Vec<(NodeId, u64)>,
}

/// How the leader sees the members. Nothing but defaults where another node leads.
#[derive(Clone, Default)]
pub(crate) struct MembershipReport {
    /// Milliseconds since the last message of each other member.
    pub(crate) silent_ms: Vec<(NodeId, u64)>,
    /// A change of membership is proposed and not yet committed.
    pub(crate) is_changing: bool,
    /// What the repair of the membership does next, or why it does nothing.
    pub(crate) repair: String,
}
