//! Changes of the state as they stand in the log, and what became of them.

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

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Changes the topology file; `text` is JSON.
    #[brw(magic = 0u8)]
    UpdateTopology {
        #[br(map = |byte: u8| UpdateMode::from(byte))]
        #[bw(map = |mode: &UpdateMode| u8::from(*mode))]
        mode: UpdateMode,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },
    #[brw(magic = 1u8)]
    AddKey(TenantKey),
    #[brw(magic = 2u8)]
    RemoveKey(Name),
    #[brw(magic = 3u8)]
    AddEngine(Engine),
    #[brw(magic = 4u8)]
    RemoveEngine(Name),
    #[brw(magic = 10u8)]
    SetEngineState { name: Name, state: EngineState },
    #[brw(magic = 5u8)]
    EvacuateZone(Name),
    #[brw(magic = 6u8)]
    ReinstateZone(Name),
    /// A key's jobs go to another cell; never fresh until settled.
    #[brw(magic = 7u8)]
    MoveKey {
        tenant: Name,
        service: Name,
        cell: Name,
    },
    #[brw(magic = 8u8)]
    CompleteMove { tenant: Name, service: Name },
    #[brw(magic = 9u8)]
    UndoMove { tenant: Name, service: Name },
    /// The maintenance windows to come, in place of those that have not begun.
    #[brw(magic = 11u8)]
    ScheduleMaintenance(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<MaintenanceWindow>,
    ),
    /// A window begins.
    #[brw(magic = 12u8)]
    BeginMaintenance(Name),
    /// A window that has begun ends.
    #[brw(magic = 13u8)]
    EndMaintenance(Name),
    /// A whole revision that was written as somebody's own document: what it
    /// reads as, and the document itself, kept beside the book.
    #[brw(magic = 14u8)]
    AdoptDocument {
        config_document: ConfigDocument,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },
    /// What the platform's list of engines says anew.
    #[brw(magic = 15u8)]
    UpdateEngines {
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        engines: Vec<Engine>,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        gone: Vec<Name>,
    },
    /// How many routers there are, for those that begin when all were lost.
    #[brw(magic = 16u8)]
    SetRouterCount(u32),
}

/// A document that operators wrote in words of their own. Invariant: the book is
/// what its translation reads as, under the same epoch.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ConfigDocument {
    /// The operators' own number; it only rises.
    pub revision: u64,
    /// The number that it was built on.
    pub base_revision: u64,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub text: String,
}

/// What a maintenance window empties.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum DrainTarget {
    #[brw(magic = 0u8)]
    Zone(Name),
    #[brw(magic = 1u8)]
    Engine(Name),
}

/// Invariant: it begins before it ends; both in seconds since 1970.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceWindow {
    pub id: Name,
    pub target: DrainTarget,
    pub starts_at_s: u64,
    pub ends_at_s: u64,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Drawn by who submits; a repeat carries the same.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub id: String,
    /// The epoch that the change was based on: it is a conflict if its subject
    /// was changed past it. 0 stands for any. Index 1 founds the cluster, so a
    /// change that is based on nothing has 1.
    pub base_epoch: u64,
    pub command: Command,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    #[brw(magic = 0u8)]
    Applied { epoch: u64 },
    #[brw(magic = 1u8)]
    Duplicate { epoch: u64 },
    /// Its subject changed at this epoch, past the base.
    #[brw(magic = 2u8)]
    Conflict { epoch: u64 },
    #[brw(magic = 3u8)]
    Rejected(
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        String,
    ),
}
