//! Starts the two threads of the consensus driver from what the disk holds.

use super::command::{DriverSettings, COMMAND_QUEUE_LEN};
use super::command_queue::CommandQueue;
use super::disk;
use super::handle::ConsensusDriver;
use super::pause_detector::PauseDetector;
use super::status::ClusterStatus;
use super::thread::{DriverThread, Published};
use crate::peer_connections::PeerConnections;
use consensus::node::{Node, PersistedState};
use consensus::wal::{DiskStorage, WriteAheadLog};
use parking_lot::RwLock;
use residency::State;
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use telemetry::exit;
use telemetry::metrics::Metrics;
use tokio::sync::watch;
use transport::now;

/// Why the driver did not start. Neither is mended by a retry.
#[derive(Debug, thiserror::Error)]
pub enum DriverStartError {
    /// The snapshot on disk is damaged, or of another build.
    #[error("the snapshot can't be read: {text}")]
    Snapshot {
        /// What is wrong with it.
        text: String,
    },
    /// The system gives no more threads.
    #[error("starting the {name} thread")]
    Thread {
        /// Which of the driver's threads.
        name: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Starts the driver's threads. They run until the process ends.
///
/// # Errors
/// The state can't be read, or a thread can't be started.
pub(crate) fn start(
    settings: DriverSettings,
    wal: WriteAheadLog<DiskStorage>,
    persisted: PersistedState,
    peers: Arc<PeerConnections>,
    metrics: Arc<Metrics>,
) -> Result<Arc<ConsensusDriver>, DriverStartError> {
    let identity = settings.local_member.identity;
    let node = Node::new(identity, settings.timing, rand::random(), now(), persisted);
    let state =
        State::restore(&node.snapshot().state).map_err(|error| DriverStartError::Snapshot {
            text: error.to_string(),
        })?;
    let commands = CommandQueue::new();
    let (disk_sender, batches) = sync_channel(COMMAND_QUEUE_LEN);
    let (view_sender, view) = watch::channel(Arc::new(state.view.clone()));
    let (status_sender, cluster_status) = watch::channel(ClusterStatus::default());
    let driver = Arc::new(ConsensusDriver {
        commands: commands.clone(),
        state: Arc::new(RwLock::new(state)),
        view,
        cluster_status,
        lease: Arc::default(),
        router_count: Arc::default(),
        pause_detector: Arc::new(PauseDetector::new()),
    });
    let disk_commands = commands.clone();
    spawn("disk", move || disk::run(wal, batches, &disk_commands))?;
    let published = Published {
        state: Arc::clone(&driver.state),
        view: view_sender,
        cluster_status: status_sender,
        lease: Arc::clone(&driver.lease),
        router_count: Arc::clone(&driver.router_count),
        pause_detector: Arc::clone(&driver.pause_detector),
    };
    let mut thread = DriverThread::new(settings, node, disk_sender, peers, metrics, published);
    thread.publish_status();
    spawn("consensus", move || thread.run(&commands))?;
    Ok(driver)
}

fn spawn(name: &'static str, work: impl FnOnce() + Send + 'static) -> Result<(), DriverStartError> {
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || exit::run_vital("directory", name, work))
        .map_err(|source| DriverStartError::Thread { name, source })?;
    Ok(())
}
