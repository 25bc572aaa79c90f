//! Changes of the state as they stand in the log, and what became of them.

use crate::{Engine, EngineState, Name, Place};
use binrw::binrw;
use consensus::pack::{read_list, read_text, write_list, write_text};

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A revision of the home book, whole or partial, as JSON.
    #[brw(magic = 0u8)]
    Revise {
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        whole: bool,
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        text: String,
    },
    #[brw(magic = 1u8)]
    Key(Place),
    #[brw(magic = 2u8)]
    KeyGone(Name),
    #[brw(magic = 3u8)]
    Engine(Engine),
    #[brw(magic = 4u8)]
    EngineGone(Name),
    #[brw(magic = 10u8)]
    EngineState { name: Name, state: EngineState },
    #[brw(magic = 5u8)]
    Evacuate(Name),
    #[brw(magic = 6u8)]
    GiveBack(Name),
    /// A key's jobs go to another cell; never fresh until settled.
    #[brw(magic = 7u8)]
    Move {
        tenant: Name,
        service: Name,
        cell: Name,
    },
    #[brw(magic = 8u8)]
    Settle { tenant: Name, service: Name },
    #[brw(magic = 9u8)]
    Unpin { tenant: Name, service: Name },
    /// The maintenance windows to come, in place of those that have not begun.
    #[brw(magic = 11u8)]
    Schedule(
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        Vec<Window>,
    ),
    /// A window begins.
    #[brw(magic = 12u8)]
    Begin(Name),
    /// A window that has begun ends.
    #[brw(magic = 13u8)]
    End(Name),
    /// A whole revision that was written as somebody's own document: what it
    /// reads as, and the document itself, kept beside the book.
    #[brw(magic = 14u8)]
    Adopt {
        config_document: ConfigDocument,
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        text: String,
    },
    /// What the platform's list of engines says anew.
    #[brw(magic = 15u8)]
    Listed {
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        engines: Vec<Engine>,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        gone: Vec<Name>,
    },
    /// How many routers there are, for those that begin when all were lost.
    #[brw(magic = 16u8)]
    Fleet(u32),
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
    pub based: u64,
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
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
pub struct Window {
    pub id: Name,
    pub what: DrainTarget,
    pub from: u64,
    pub until: u64,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Drawn by who submits; a repeat carries the same.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub id: String,
    /// The epoch that the change was based on: it is a conflict if its subject
    /// was changed past it. 0 stands for any. Index 1 founds the cluster, so a
    /// change that is based on nothing has 1.
    pub base: u64,
    pub command: Command,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    #[brw(magic = 0u8)]
    Applied { epoch: u64 },
    #[brw(magic = 1u8)]
    Repeated { epoch: u64 },
    /// Its subject changed at this epoch, past the base.
    #[brw(magic = 2u8)]
    Conflict { epoch: u64 },
    #[brw(magic = 3u8)]
    Refused(
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        String,
    ),
}
