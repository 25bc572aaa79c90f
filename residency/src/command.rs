//! Commands: the changes of the state, as they lie in the log.

use crate::{Engine, EngineState, Name, TenantKey};
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};

/// How an update of the topology file joins the file in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateMode {
    /// The update is merged member by member (RFC 7396).
    Patch,
    /// The update takes the place of the file in force.
    Replace,
}

/// One byte in the log: 0 is a patch, anything else replaces.
impl From<u8> for UpdateMode {
    fn from(byte: u8) -> UpdateMode {
        match byte {
            0 => UpdateMode::Patch,
            _ => UpdateMode::Replace,
        }
    }
}

impl From<UpdateMode> for u8 {
    fn from(mode: UpdateMode) -> u8 {
        u8::from(mode == UpdateMode::Replace)
    }
}

/// A change of the state. [`crate::CommandError`] lists why one is rejected.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Changes the topology file. Only where no configuration document is in force.
    #[brw(magic = 0u8)]
    UpdateTopology {
        /// Whether `text` is merged into the file in force or replaces it.
        #[br(map = |byte: u8| UpdateMode::from(byte))]
        #[bw(map = |mode: &UpdateMode| u8::from(*mode))]
        mode: UpdateMode,
        /// JSON.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },
    /// Makes a tenant key valid.
    #[brw(magic = 1u8)]
    AddKey(TenantKey),
    /// Makes the tenant key of this digest invalid.
    #[brw(magic = 2u8)]
    RemoveKey(Name),
    /// Adds an engine, or replaces the one of the same name.
    #[brw(magic = 3u8)]
    AddEngine(Engine),
    /// Removes the engine of this name.
    #[brw(magic = 4u8)]
    RemoveEngine(Name),
    /// Changes whether an engine gets work.
    #[brw(magic = 10u8)]
    SetEngineState {
        /// The engine.
        name: Name,
        /// Its new state.
        state: EngineState,
    },
    /// Stops requests to a zone. Applied without effect where it is evacuated already.
    #[brw(magic = 5u8)]
    EvacuateZone(Name),
    /// Lets requests go to a zone again. Applied without effect where it is open.
    #[brw(magic = 6u8)]
    ReinstateZone(Name),
    /// Sends the requests of a routing key to a cell of the operators' choice. Its
    /// mapping is never fresh until the move is completed.
    #[brw(magic = 7u8)]
    MoveKey {
        /// The tenant.
        tenant: Name,
        /// The service.
        service: Name,
        /// The cell that it moves to.
        cell: Name,
    },
    /// Ends the time in which a moved key's mapping is never fresh.
    #[brw(magic = 8u8)]
    CompleteMove {
        /// The tenant.
        tenant: Name,
        /// The service.
        service: Name,
    },
    /// Gives up the choice of a cell for a routing key.
    #[brw(magic = 9u8)]
    UndoMove {
        /// The tenant.
        tenant: Name,
        /// The service.
        service: Name,
    },
    /// The maintenance windows to come, in place of those that have not begun.
    #[brw(magic = 11u8)]
    ScheduleMaintenance(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<MaintenanceWindow>,
    ),
    /// The window of this id begins: what it drains gets no more requests.
    #[brw(magic = 12u8)]
    BeginMaintenance(Name),
    /// The window of this id, which has begun, ends.
    #[brw(magic = 13u8)]
    EndMaintenance(Name),
    /// Replaces the topology file by the translation of a configuration document, and
    /// keeps the document beside it.
    #[brw(magic = 14u8)]
    AdoptDocument {
        /// The document that operators wrote.
        config_document: ConfigDocument,
        /// Its translation: the topology file as JSON.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },
    /// What changed in the platform's list of engines.
    #[brw(magic = 15u8)]
    UpdateEngines {
        /// Engines that came or changed.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        engines: Vec<Engine>,
        /// Names of engines that left.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        gone: Vec<Name>,
    },
    /// How many routers there are, for those that start while no other is known.
    #[brw(magic = 16u8)]
    SetRouterCount(u32),
}

/// A configuration document in the operators' own format. Invariant: the topology is
/// what its translation reads as, under the same epoch.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ConfigDocument {
    /// The operators' own number; it only rises. 0 stands for no document.
    pub revision: u64,
    /// The revision that it was built on.
    pub base_revision: u64,
    /// The document as it was written.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub text: String,
}

/// What a maintenance window drains.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum DrainTarget {
    /// The zone of this name.
    #[brw(magic = 0u8)]
    Zone(Name),
    /// The engine of this name.
    #[brw(magic = 1u8)]
    Engine(Name),
}

impl std::fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            DrainTarget::Zone(name) => write!(f, "zone {name}"),
            DrainTarget::Engine(name) => write!(f, "engine {name}"),
        }
    }
}

/// A time in which a zone or an engine gets no requests. Invariant: it starts before it
/// ends.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceWindow {
    /// The operators' name for it.
    pub id: Name,
    /// What it drains.
    pub target: DrainTarget,
    /// Seconds since 1970.
    pub starts_at_s: u64,
    /// Seconds since 1970.
    pub ends_at_s: u64,
}
