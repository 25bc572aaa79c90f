//! Why a fleet can't do what it was asked for.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// An error in a deployment file.
#[derive(Debug, Error)]
pub enum DeploymentError {
    /// The file can't be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The file is not valid.
    #[error("{}: {error}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        error: Box<DeploymentError>,
    },
    /// The text is no JSON.
    #[error(transparent)]
    Json(#[from] residency::JsonError),
    /// A field is missing or has another type.
    #[error("{field}: {expected}")]
    Field {
        /// The field.
        field: String,
        /// What is missing, or should stand there.
        expected: &'static str,
    },
    /// The topology is not valid.
    #[error("book:\n{problems}")]
    Topology {
        /// All problems, one a line.
        problems: String,
    },
    /// Routers or directory nodes are in a zone that the topology lacks.
    #[error("routers, directories: there is no zone {zone}")]
    UnknownZone {
        /// The zone.
        zone: String,
    },
    /// Engines are in a cell that the topology lacks.
    #[error("engines: there is no cell {cell}")]
    UnknownCell {
        /// The cell.
        cell: String,
    },
}

/// Why a fleet can't do what it was asked for. None of these is safe to retry but
/// [`FleetError::Unreachable`], [`FleetError::Response`] and [`FleetError::NoLeader`].
#[derive(Debug, Error)]
pub enum FleetError {
    /// The deployment file is not valid.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A file, a socket or a process can't be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A signal can't be sent.
    #[error("signal: {0}")]
    Signal(#[from] nix::errno::Errno),
    /// A name that no process and no zone has.
    #[error("the fleet has no {name}")]
    UnknownName {
        /// The name.
        name: String,
    },
    /// The process does not run.
    #[error("{name} does not run")]
    NotRunning {
        /// The process.
        name: String,
    },
    /// The process runs already.
    #[error("{name} runs already")]
    AlreadyRunning {
        /// The process.
        name: String,
    },
    /// The process got `SIGSTOP`, and its threads did not stop in time.
    #[error("{name} did not freeze")]
    NotFrozen {
        /// The process.
        name: String,
    },
    /// The program was not built.
    #[error("{} is not there; build the workspace first", path.display())]
    ProgramMissing {
        /// Where it would be.
        path: PathBuf,
    },
    /// All second octets are taken by other fleets.
    #[error("no free loopback addresses")]
    NoFreeAddresses,
    /// The fleet has no relays, so that its network can't be partitioned.
    #[error("this fleet has no relays")]
    NoRelays,
    /// The deployment has no directory node.
    #[error("there is no directory node")]
    NoDirectoryNode,
    /// No running node leads.
    #[error("nobody leads")]
    NoLeader,
    /// An operator API can't be reached.
    #[error("asking {address}: {reason}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// What the HTTP client says.
        reason: String,
    },
    /// An operator API responded with an error, or with what is no JSON.
    #[error("{address}{target} answered {status}: {body}")]
    Response {
        /// Its address.
        address: SocketAddr,
        /// The request's path and query.
        target: String,
        /// The response's status.
        status: u16,
        /// The response's body.
        body: String,
    },
    /// A condition did not come to hold in time.
    #[error("{what} did not come in {timeout:?}: {last:#}")]
    Timeout {
        /// The condition.
        what: String,
        /// How long it was waited for.
        timeout: Duration,
        /// What it lacked at last.
        last: anyhow::Error,
    },
}
