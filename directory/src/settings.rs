//! The settings of a directory node, as its program checked them.

use consensus::node::Timing;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Which runtime the node's tasks run on.
#[derive(Clone, Copy, PartialEq)]
pub enum RuntimeFlavor {
    /// All tasks on one thread, beside the two of the consensus driver.
    CurrentThread,
    /// A thread for each processor.
    MultiThread,
}

/// Settings that were checked.
pub struct Settings {
    /// Unique in the cluster.
    pub name: String,
    /// The region that it stands in.
    pub region: String,
    /// The zone that it stands in.
    pub zone: String,
    /// Where other directory nodes and the routers reach it.
    pub address: SocketAddr,
    /// Where it listens for them.
    pub listen: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Its folder on disk, its own alone.
    pub data_path: PathBuf,
    /// Addresses of directory nodes, in an order that is the same everywhere at
    /// the first start of all.
    pub seeds: Vec<SocketAddr>,
    /// Timing of the consensus.
    pub timing: Timing,
    /// Forwarded requests at a time, at the most; with 0, mappings alone.
    pub max_forwarded_requests: usize,
    /// Bytes of forwarded bodies in memory at a time, at the most.
    pub max_forwarded_bytes: usize,
    /// What clients and operators may take of the process's memory and descriptors.
    pub client_limits: placement::ClientLimits,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    /// This is the first start of all nodes on empty disks: the first seed founds the
    /// cluster. Where it is false, only an operator founds one.
    pub is_first_start: bool,
    /// No change is acknowledged before the cluster has so many voters.
    pub min_voters: usize,
    /// How long a node that is asked to stop waits for the others to do without it.
    pub leave_timeout: Duration,
    /// How far past its quota a tenant may get over all routers, where no request is to
    /// wait for the leader's grant; `None`: requests wait.
    pub quota_margin: Option<placement::QuotaTolerance>,
    /// Which runtime the node's tasks run on.
    pub runtime: RuntimeFlavor,
}
