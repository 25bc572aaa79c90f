//! Routers of a region among themselves: each owns a shard of the region's lookup
//! cache, which the others ask and fill; and all tell each other how loaded the engines
//! are.

use binrw::binrw;
use consensus::codec::{read_string, write_string};

/// What one router has running at an engine.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub engine: String,
    /// Requests in flight.
    pub requests: u32,
    /// Tokens of those whose prefill is not done.
    pub prefill_tokens: u32,
}

/// A prefix of prompts that an engine has in its prefix cache.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// The engine's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub engine: String,
    /// Hash of the prefix.
    pub prefix_hash: u64,
}

/// Whose load a frame of load gossip holds, and whom it is for. The first two are of small
/// fleets, the others of large ones, where reports are merged on their way.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadScope {
    /// That of the sender, for all routers of the receiver's region.
    Router = 0,
    /// As `Router`, of a router of another region, and passed on no further.
    RelayedRouter = 1,
    /// That of the sender: a report to its aggregator.
    Report = 2,
    /// That of all who report to the sender: one aggregator to another.
    Group = 3,
    /// As `Group`, of an aggregator of another region, and passed on no further.
    RelayedGroup = 4,
    /// That of all routers but the receiver: an aggregator to one that reports to it.
    Fleet = 5,
}
