//! What the consensus driver's thread can be sent, and the length of its queues.

use super::status::MembershipReport;
use crate::session_queue::SessionSender;
use consensus::node::{PersistedState, Write};
use consensus::quorum_read::LogReport;
use consensus::{ClusterId, Member, Message, NodeId, Term};
use protocol::{PeerRequest, PeerResponse, Validity};
use residency::Epoch;
use std::sync::mpsc::SyncSender;
use tokio::sync::oneshot;

/// Commands of one priority that wait for the driver's thread, and write batches that wait
/// for the disk thread, at the most. A sender that finds the queue full fails at once.
pub(super) const COMMAND_QUEUE_LEN: usize = 4096;

/// Writes of one step of the node, in their order.
pub(crate) struct WriteBatch {
    /// The node's number of these writes; `WritesSynced` names the newest one.
    pub(super) ticket: u64,
    pub(super) writes: Vec<Write>,
}

/// One message to the consensus driver's thread.
pub(crate) enum DriverCommand {
    /// A consensus message of a peer.
    Received(Message),
    /// All writes up to this ticket are synced.
    WritesSynced(u64),
    /// The disk failed; what it holds is not known.
    DiskFailed,
    /// The disk takes writes again: what it holds, and the queue to it.
    DiskRecovered(PersistedState, SyncSender<WriteBatch>),
    /// A request of this process.
    Request(LocalRequest, oneshot::Sender<PeerResponse>),
    /// A request that another node forwarded to this one as the leader.
    PeerRequest(RequestFromPeer),
    /// The answer to a request that this node forwarded.
    PeerResponse {
        /// This node's id of the request.
        request_id: u64,
        /// The sender's clock, in milliseconds.
        clock_ms: u64,
        response: PeerResponse,
    },
    /// Found a cluster with this node as its only voter.
    Bootstrap(oneshot::Sender<Result<(), BootstrapError>>),
    /// Send this router what its view lacks, then each change.
    Subscribe(Subscription),
    /// Hand leadership to another voter, if it is here.
    TransferLeadership,
    /// What this node's log holds when the command is handled.
    LogReport(oneshot::Sender<LogReport>),
    /// The health of the members, as their leader knows it.
    MembershipReport(oneshot::Sender<MembershipReport>),
}

/// A router that is to get the changes of the state.
pub(crate) struct Subscription {
    /// The frames of its session.
    pub(crate) sender: SessionSender,
    /// The cluster that its view is of; 0 where it holds none.
    pub(crate) cluster: ClusterId,
    /// The epoch of its view.
    pub(crate) epoch: Epoch,
}

/// A request from this process to the leader.
pub(crate) struct LocalRequest {
    pub(super) request: PeerRequest,
    /// Nothing is proposed for it past this time, by this process's clock.
    pub(super) deadline_ms: u64,
    /// Set where it is of use only while this node leads in this term.
    pub(super) only_term: Option<Term>,
}

/// A request that another node forwarded, to be answered there.
pub(crate) struct RequestFromPeer {
    /// Who asks.
    pub(crate) from: NodeId,
    /// The asker's own id of the request.
    pub(crate) request_id: u64,
    /// Until when it may be acted on.
    pub(crate) validity: Validity,
    pub(crate) request: PeerRequest,
}

/// Why this node did not found a cluster.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BootstrapError {
    /// The driver is overloaded; a retry is safe.
    #[error("the driver's ring is full")]
    QueueFull,
    /// The driver's thread is gone; this process has to be restarted.
    #[error("the driver ended")]
    DriverEnded,
    /// There is a cluster already; a retry never helps.
    #[error("this node belongs to cluster {cluster:016x} already")]
    AlreadyInCluster { cluster: u64 },
}

/// What the driver needs to know of the node that it drives.
pub(crate) struct DriverSettings {
    pub(crate) local_member: Member,
    pub(crate) timing: consensus::node::Timing,
    /// Entries between two snapshots.
    pub(crate) snapshot_every: u64,
    /// No change is proposed for operators before the cluster has so many voters.
    pub(crate) min_voters: usize,
    /// How far past its quota a tenant may get; `None`: quotas are granted as rates.
    pub(crate) quota_margin: Option<placement::QuotaTolerance>,
}
