//! What the consensus thread owns.

use super::queue_watch::QueueWatch;
use super::quota_grants::QuotaGrants;
use super::request_table::RequestTable;
use crate::driver::change_history::ChangeHistory;
use crate::driver::command::{DriverSettings, WriteBatch};
use crate::driver::lease::{Lease, LeaseLog};
use crate::driver::pause_detector::PauseDetector;
use crate::driver::status::ClusterStatus;
use crate::leader_clock::LeaderClock;
use crate::peer_connections::PeerConnections;
use crate::session_queue::SessionSender;
use consensus::node::Node;
use parking_lot::RwLock;
use protocol::EncodedFrame;
use residency::{Epoch, State, View};
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use telemetry::metrics::Metrics;
use tokio::sync::watch;

/// What the thread publishes for the rest of the process; the other ends are in the
/// `ConsensusDriver`.
pub(in crate::driver) struct Published {
    pub(in crate::driver) state: Arc<RwLock<State>>,
    pub(in crate::driver) view: watch::Sender<Arc<View>>,
    pub(in crate::driver) cluster_status: watch::Sender<ClusterStatus>,
    pub(in crate::driver) lease: Arc<Lease>,
    /// Routers that are known to this node; written by the subscriptions.
    pub(in crate::driver) router_count: Arc<AtomicUsize>,
    pub(in crate::driver) pause_detector: Arc<PauseDetector>,
}

/// Invariants: only this thread steps the node and changes the state; events go to the
/// subscribers in the order of the log, before anything that rests on them.
pub(in crate::driver) struct DriverThread {
    pub(super) settings: DriverSettings,
    pub(super) node: Node,
    pub(super) disk: SyncSender<WriteBatch>,
    pub(super) peers: Arc<PeerConnections>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) published: Published,
    /// Routers that get each change. One whose queue is full is dropped, which ends its
    /// session; it connects again for a snapshot.
    pub(super) subscribers: Vec<SessionSender>,
    /// What a router gets whose session begins anew.
    pub(super) history: ChangeHistory,
    /// The snapshot that routers get which hold no view, of the epoch that it was made at;
    /// encoded for the first of them.
    pub(super) encoded_snapshot: Option<(Epoch, EncodedFrame)>,
    pub(super) requests: RequestTable,
    /// By which deadlines of forwarded requests are stated.
    pub(super) leader_clock: LeaderClock,
    pub(super) grants: QuotaGrants,
    pub(super) lease_log: LeaseLog,
    pub(super) queue_watch: QueueWatch,
}

impl DriverThread {
    pub(in crate::driver) fn new(
        settings: DriverSettings,
        node: Node,
        disk: SyncSender<WriteBatch>,
        peers: Arc<PeerConnections>,
        metrics: Arc<Metrics>,
        published: Published,
    ) -> DriverThread {
        let grants = QuotaGrants::new(settings.quota_margin);
        DriverThread {
            settings,
            node,
            disk,
            peers,
            metrics,
            published,
            subscribers: Vec::new(),
            history: ChangeHistory::default(),
            encoded_snapshot: None,
            requests: RequestTable::new(),
            leader_clock: LeaderClock::default(),
            grants,
            lease_log: LeaseLog::default(),
            queue_watch: QueueWatch::default(),
        }
    }
}
