//! Engines, the servers of the model, as the platform lists them.

use crate::Name;
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};

/// Whether an engine gets work, as operators and the platform have said.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineState {
    /// Listed by the platform; gets no requests yet.
    Announced = 0,
    /// Gets requests.
    Serving = 1,
    /// Finishes its pending requests and gets no more.
    Draining = 2,
}

impl std::fmt::Display for EngineState {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            // The name in the operator API.
            EngineState::Announced => "coming",
            EngineState::Serving => "serving",
            EngineState::Draining => "draining",
        })
    }
}

/// One incarnation of an engine.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine's identity. Invariant: no two engines share a name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// IP address and port. Invariant: no two engines share an address.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub address: String,
    /// The cell that it stands in.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub cell: String,
    /// The services that it can run.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub services: Vec<Name>,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Whether it gets work.
    pub state: EngineState,
    /// How long it is still warming up, from when it was listed; 0 stands for warm.
    pub warm_up_ms: u32,
}
