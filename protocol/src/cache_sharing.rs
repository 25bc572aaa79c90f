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
