//! What all parts of a node share.
//!
//! Everything here is in memory. The replicated state is rebuilt from the data folder
//! when the node starts, seeds come from the settings, routers from their heartbeats.

use crate::driver::ConsensusDriver;
use crate::peer_connections::PeerConnections;
use crate::router_registry::RouterRegistry;
use consensus::Member;
use dispatch::quota::QuotaLimiter;
use dispatch::Dispatcher;
use parking_lot::RwLock;
use placement::ObservedRouter;
use protocol::{PeerRequest, PeerResponse, RouterStatus};
use residency::{ConfigDocument, Epoch, State, View};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use telemetry::metrics::Metrics;
use telemetry::queues::{self, Queue};
use tokio::sync::Semaphore;
use transport::now;

/// Between two attempts at a read barrier, in milliseconds, plus jitter.
const READ_BARRIER_RETRY_MS: u64 = 60;

/// A node of the control plane, as its operator API, its extensions and its tasks use it.
pub struct ControlPlane {
    /// This node as a member of the cluster.
    pub member: Member,
    pub(crate) seeds: RwLock<Vec<SocketAddr>>,
    /// Connections go out from this address.
    pub(crate) source: SocketAddr,
    pub(crate) driver: Arc<ConsensusDriver>,
    pub(crate) peers: Arc<PeerConnections>,
    /// Metrics of what this node did since it started.
    pub metrics: Arc<Metrics>,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) routers: RouterRegistry,
    /// For forwarded requests whose key no router could read.
    pub(crate) quota: QuotaLimiter,
    /// Quotas are leased from pools, with a margin.
    pub(crate) has_quota_margin: bool,
    /// Bounds the forwarded requests that are dispatched at a time.
    pub(crate) forwarding_slots: Arc<Semaphore>,
    /// Bounds the bytes of their bodies in memory.
    pub(crate) forwarding_bytes: Arc<Semaphore>,
}

impl ControlPlane {
    /// Has a majority confirm how far the log is committed (ReadIndex). True only once
    /// all that was committed when this was asked is applied at this node.
    pub async fn read_barrier(&self) -> bool {
        self.confirmed_epoch().await.is_some()
    }

    /// The epoch of this node's state once all that was committed when this was asked is
    /// applied; `None` where no majority confirms it.
    async fn confirmed_epoch(&self) -> Option<Epoch> {
        let request = PeerRequest::ReadIndex {
            demands: Vec::new(),
        };
        match self.driver.request(request).await {
            PeerResponse::ReadIndex { index, .. } => Some(index),
            _ => None,
        }
    }

    /// Reads the state as it is in force: nothing that was acknowledged before this was
    /// asked is missing. `None` where no majority confirms that within the time-out.
    pub async fn read_in_force<T>(
        &self,
        timeout: Duration,
        read: impl Fn(&State) -> T,
    ) -> Option<T> {
        let attempts = async {
            loop {
                let confirmed = self.confirmed_epoch().await;
                let value = confirmed
                    .and_then(|epoch| self.with_state(|state| state.read_confirmed(epoch, &read)));
                if let Some(value) = value {
                    return value;
                }
                tokio::time::sleep(transport::jitter(READ_BARRIER_RETRY_MS)).await;
            }
        };
        let began_at_ms = now();
        let value = tokio::time::timeout(timeout, attempts).await.ok();
        queues::record_wait(Queue::ConfirmedReads, now().saturating_sub(began_at_ms));
        value
    }

    /// The same, repeated until it succeeds or the time-out ends; false then.
    pub async fn read_barrier_within(&self, timeout: Duration) -> bool {
        let attempts = async {
            while !self.read_barrier().await {
                tokio::time::sleep(transport::jitter(READ_BARRIER_RETRY_MS)).await;
            }
        };
        tokio::time::timeout(timeout, attempts).await.is_ok()
    }

    /// Reads the replicated state as it is applied here. Applying waits meanwhile.
    pub fn with_state<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.driver.state.read())
    }

    /// What of the state the request path needs.
    pub fn view(&self) -> Arc<View> {
        self.driver.view.borrow().clone()
    }

    /// The document that operators wrote, as it is in force here.
    pub fn config_document(&self) -> ConfigDocument {
        self.with_state(|state| state.config_document().clone())
    }

    /// The routers heard of lately, here or at another node, each with its age.
    pub fn routers(&self) -> Vec<RouterStatus> {
        self.routers.list()
    }

    /// The same, with how long each has been draining.
    pub fn observed_routers(&self) -> Vec<ObservedRouter> {
        self.routers.list_observed()
    }

    /// Whether a majority confirmed this node's state within the length of a lease.
    pub fn lease_valid(&self) -> bool {
        self.driver.lease_valid()
    }

    /// Whether this node leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.driver.cluster_status.borrow().is_leader
    }

    /// Addresses of directory nodes to join by.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.read().clone()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.write() = seeds;
    }
}
