//! Why a command, a lookup or a snapshot is refused.

use crate::{DrainTarget, Epoch, Event, JsonError, Name, TopologyErrors};

/// The events that a command makes, or why it is rejected.
pub(super) type Planned = Result<Vec<Event>, CommandError>;

/// Why a command is rejected; nothing has changed. A retry of the same command is
/// rejected again until the state that the error names changes.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The proposal's id belongs to another command.
    #[error("proposal id {id} was used for another change, at epoch {epoch}")]
    ProposalIdReused {
        /// The id.
        id: String,
        /// The epoch of the other command.
        epoch: Epoch,
    },
    /// The topology file is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The topology file is JSON, but not valid.
    #[error(transparent)]
    Topology(#[from] TopologyErrors),
    /// The topology file leaves out the cell of an engine.
    #[error("cells: engine {engine} is listed in cell {cell}, which would be gone")]
    CellHasEngine {
        /// The engine.
        engine: String,
        /// The cell.
        cell: String,
    },
    /// The topology file leaves out the cell that a key was moved to.
    #[error("cells: {routing_key} is moved to cell {cell}, which would be gone")]
    CellHasMove {
        /// The routing key.
        routing_key: Name,
        /// The cell.
        cell: Name,
    },
    /// The topology file leaves out an evacuated zone.
    #[error("zones: {0} is evacuated and would be gone; reinstate it first")]
    ZoneIsEvacuated(String),
    /// The topology file lists a key of another tenant.
    #[error("tenants.{tenant}: a key belongs to tenant {owner}")]
    ListedKeyOfOtherTenant {
        /// The tenant that lists it.
        tenant: String,
        /// The tenant that it belongs to.
        owner: String,
    },
    /// A configuration document is in force, and the topology is its translation.
    #[error(
        "the topology file is the translation of configuration document {revision}; \
         change that document instead"
    )]
    DocumentInForce {
        /// The document's revision.
        revision: u64,
    },
    /// A configuration document's revision does not rise.
    #[error("revision {revision} is not above {in_force}, which is in force")]
    RevisionNotAbove {
        /// The revision of the new document.
        revision: u64,
        /// The revision in force.
        in_force: u64,
    },
    /// No such tenant.
    #[error("there is no tenant {0}")]
    UnknownTenant(String),
    /// No such service.
    #[error("there is no service {0}")]
    UnknownService(Name),
    /// No such cell.
    #[error("there is no cell {0}")]
    UnknownCell(String),
    /// No such zone.
    #[error("there is no zone {0}")]
    UnknownZone(Name),
    /// No such engine.
    #[error("there is no engine {0}")]
    UnknownEngine(Name),
    /// No such tenant key.
    #[error("there is no such key")]
    UnknownKey,
    /// A key that is not a digest. It isn't repeated here, since it may be the key itself.
    #[error("a key is stored as a digest of 64 hexadecimal digits")]
    InvalidDigest,
    /// The key belongs to another tenant.
    #[error("this key belongs to tenant {0}")]
    KeyOfOtherTenant(String),
    /// An engine's address does not read.
    #[error("expected an IP address and port, found {0}")]
    InvalidAddress(String),
    /// Another engine has the address.
    #[error("engine {0} has that address")]
    AddressInUse(String),
    /// An engine without services, or with too few or too many slots.
    #[error(
        "expected at least one service and 1 to {max_slots} slots, \
         found {services} services and {slots} slots"
    )]
    InvalidEngine {
        /// How many services it has.
        services: usize,
        /// How many slots it has.
        slots: u32,
        /// The most slots that it may have.
        max_slots: u32,
    },
    /// A key would be served outside the tenant's or the service's home regions.
    #[error("cell {cell} in {region} is outside the homes of {routing_key}")]
    CellOutsideHomes {
        /// The cell.
        cell: Name,
        /// The cell's region.
        region: String,
        /// The routing key.
        routing_key: String,
    },
    /// The key was not moved.
    #[error("{0} is not moved")]
    NotMoved(String),
    /// A schedule with too many windows.
    #[error("expected at most {max} windows, found {found}")]
    TooManyWindows {
        /// How many there are.
        found: usize,
        /// How many there may be.
        max: usize,
    },
    /// No such maintenance window.
    #[error("there is no window {0}")]
    UnknownWindow(Name),
    /// A window that is begun twice, or ended before it began.
    #[error("window {0} has begun already, or not yet")]
    WindowOutOfTurn(Name),
    /// A window drains something that is not there.
    #[error("window {id}: {target} is not known")]
    UnknownDrainTarget {
        /// The window.
        id: Name,
        /// What it drains.
        target: DrainTarget,
    },
    /// A window that ends before it begins.
    #[error("window {0}: it ends before it begins")]
    WindowEndsFirst(Name),
    /// Two windows of one id.
    #[error("window {0}: this id stands twice")]
    DuplicateWindow(Name),
}

/// Why a routing key has no mapping. A retry helps once the state changes.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ResolveError {
    /// No such tenant.
    #[error("no such tenant is known")]
    UnknownTenant,
    /// No such service.
    #[error("no service {0} is known")]
    UnknownService(String),
    /// The tenant may not use the service.
    #[error("{tenant} may not use {service}")]
    ServiceNotAllowed {
        /// The tenant.
        tenant: String,
        /// The service.
        service: String,
    },
    /// No permitted zone that is not evacuated has an engine for the service.
    #[error("no region that {tenant} may use has an engine for {service} now")]
    NoPlace {
        /// The tenant.
        tenant: String,
        /// The service.
        service: String,
    },
}

impl ResolveError {
    /// The code that clients get; an external format.
    pub fn code(&self) -> &'static str {
        match self {
            ResolveError::UnknownTenant => "unknown-tenant",
            ResolveError::UnknownService(_) => "unknown-service",
            ResolveError::ServiceNotAllowed { .. } => "service-not-allowed",
            ResolveError::NoPlace { .. } => "no-place",
        }
    }
}

/// Why a snapshot does not read. A retry does not help: it is damaged, or of another
/// version.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RestoreError {
    /// The bytes are not a snapshot's.
    #[error("the snapshot does not read: {0}")]
    Bytes(String),
    /// Its topology file is not JSON.
    #[error("the snapshot's topology file: {0}")]
    Json(#[from] JsonError),
    /// Its topology file is not valid.
    #[error("the snapshot's topology file: {}", .0.to_string().replace('\n', "; "))]
    Topology(#[from] TopologyErrors),
}
