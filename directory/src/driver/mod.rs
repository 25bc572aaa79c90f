//! The consensus driver: puts the sans-I/O consensus node on threads, disk and network.
//!
//! Two threads, both until the process ends, since nothing may be acknowledged without
//! them:
//!
//! * `consensus` (`thread/`) owns the consensus node and the replicated state, both in
//!   memory, and is the only one to change them. Its queue (`command_queue.rs`) holds
//!   `COMMAND_QUEUE_LEN` commands of each priority; senders never wait: a command that finds
//!   the queue full is dropped, and its sender retries.
//! * `disk` (`disk.rs`) owns the log, the hard state and the snapshots on disk. Its
//!   queue holds as many write batches; a full one counts as a failed disk.
//!
//! All other parts of the node hold a `ConsensusDriver` (`handle.rs`).

mod change_history;
mod command;
mod command_queue;
mod disk;
mod handle;
mod lease;
mod pause_detector;
mod start;
mod status;
mod thread;

pub(crate) use command::{DriverCommand, DriverSettings, RequestFromPeer, Subscription};
pub(crate) use handle::{no_lease_refusal, ConsensusDriver, ResolveError};
pub(crate) use pause_detector::MAX_SILENCE_MS;
pub(crate) use start::start;
pub use start::DriverStartError;
pub use status::ClusterStatus;
pub(crate) use status::MembershipReport;
