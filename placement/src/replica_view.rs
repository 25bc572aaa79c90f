//! The view that a router keeps by its session with a directory node, and until when the
//! router may act on it.

use consensus::ClusterId;
use protocol::LEASE_MS;
use residency::{Epoch, Event, View};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A directory node sent something that does not follow from the view. The session must be
/// closed; another session, with any node, begins with a snapshot and is safe.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ReplicaViewError {
    /// The node is behind what this router knows.
    #[error("the snapshot has epoch {snapshot_epoch}, epoch {current_epoch} is in force")]
    StaleSnapshot {
        /// The snapshot's epoch.
        snapshot_epoch: u64,
        /// The view's epoch.
        current_epoch: u64,
    },
    /// A change is missing in between, or was sent twice.
    #[error("a change builds on epoch {prior_epoch}, epoch {current_epoch} is in force")]
    Gap {
        /// The epoch that the change builds on.
        prior_epoch: u64,
        /// The view's epoch.
        current_epoch: u64,
    },
}

/// What a frame of the session changed in the view.
#[derive(Debug, PartialEq)]
pub enum ReplicaUpdate {
    /// Nothing.
    Unchanged,
    /// The whole view was replaced; which cached mappings it invalidates is not known.
    Snapshot,
    /// The events of one log entry were applied.
    Events,
}

/// Which state a view is of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaPosition {
    /// The cluster whose log made the view; 0 while it is empty.
    pub cluster: ClusterId,
    /// The index of the last log entry that changed it.
    pub epoch: Epoch,
}

/// A router's copy of the replicated state and its lease.
///
/// Invariants: the view's epoch only rises, whichever node sends and however late; a lease is
/// counted from the time at which the heartbeat was sent, and is accepted only if the view
/// holds everything that was committed when the lease was granted; `cluster` is the one
/// whose log made the view.
#[derive(Default)]
pub struct ReplicaView {
    view: Arc<View>,
    /// 0 while the view is empty.
    cluster: ClusterId,
    /// The cluster of the session's node; 0 before it is known.
    session_cluster: ClusterId,
    /// When the heartbeats of this session were sent that no lease has answered, by number.
    unanswered_heartbeats: BTreeMap<u64, u64>,
    lease_expires_at_ms: u64,
}

impl ReplicaView {
    /// The view that is in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Which state the view is of.
    pub fn position(&self) -> ReplicaPosition {
        ReplicaPosition {
            cluster: self.cluster,
            epoch: self.view.epoch,
        }
    }

    /// The time before which new requests may be dispatched.
    pub fn lease_expires_at(&self) -> u64 {
        self.lease_expires_at_ms
    }

    /// A new session begins: the heartbeats of the one before renew nothing any more.
    pub fn begin_session(&mut self) {
        self.unanswered_heartbeats.clear();
        self.session_cluster = 0;
    }

    /// The session's node is of this cluster.
    pub fn record_cluster(&mut self, cluster: ClusterId) {
        self.session_cluster = cluster;
    }

    /// A heartbeat with this number is sent now.
    pub fn record_heartbeat(&mut self, now: u64, number: u64) {
        self.unanswered_heartbeats.insert(number, now);
    }

    /// Replaces the view.
    ///
    /// # Errors
    /// The snapshot is older than the view.
    pub fn apply_snapshot(
        &mut self,
        epoch: u64,
        events: &[Event],
    ) -> Result<ReplicaUpdate, ReplicaViewError> {
        let current_epoch = self.view.epoch;
        if epoch < current_epoch {
            return Err(ReplicaViewError::StaleSnapshot {
                snapshot_epoch: epoch,
                current_epoch,
            });
        }
        self.replace_view(View::default(), epoch, events);
        self.cluster = self.session_cluster;
        Ok(if epoch > current_epoch {
            ReplicaUpdate::Snapshot
        } else {
            ReplicaUpdate::Unchanged
        })
    }

    /// Applies the events of the log entry `epoch`, which builds on the entry `prior_epoch`.
    ///
    /// # Errors
    /// The view is not the one that the events build on.
    pub fn apply_events(
        &mut self,
        prior_epoch: u64,
        epoch: u64,
        events: &[Event],
    ) -> Result<ReplicaUpdate, ReplicaViewError> {
        let current_epoch = self.view.epoch;
        if prior_epoch != current_epoch {
            return Err(ReplicaViewError::Gap {
                prior_epoch,
                current_epoch,
            });
        }
        self.replace_view((*self.view).clone(), epoch, events);
        Ok(ReplicaUpdate::Events)
    }

    fn replace_view(&mut self, mut view: View, epoch: u64, events: &[Event]) {
        events.iter().for_each(|event| view.apply(event));
        view.epoch = epoch;
        self.view = Arc::new(view);
    }

    /// Takes the lease that answers a heartbeat and covers all entries up to `epoch`. Returns
    /// when it expires; `None` if the heartbeat is not known, or the view lacks an entry.
    pub fn renew_lease(&mut self, heartbeat: u64, epoch: u64) -> Option<u64> {
        let sent_at_ms = self.unanswered_heartbeats.remove(&heartbeat);
        // Answers to older heartbeats would expire earlier: they are not needed any more.
        self.unanswered_heartbeats = self.unanswered_heartbeats.split_off(&heartbeat);
        let expires_at_ms = sent_at_ms.filter(|_| self.view.epoch >= epoch)? + LEASE_MS;
        self.lease_expires_at_ms = self.lease_expires_at_ms.max(expires_at_ms);
        Some(expires_at_ms)
    }
}
