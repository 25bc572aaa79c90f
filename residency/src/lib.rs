//! The replicated state: home book, routes, tenant keys, engines, evacuations
//! and moves. It applies one log entry at a time and yields events; the
//! routers' view is built from the same events.
//!
//! No clock, no socket and no task lives here.

mod command;
mod fence;
mod state;
mod topology;
mod view;

pub use command::{
    Command, ConfigDocument, DrainTarget, MaintenanceWindow, Outcome, Proposal, UpdateMode,
};
pub use state::{State, RECENT_PROPOSALS};
pub use topology::{merge, parse_json, Service, Tenant, Topology};
pub use view::{
    Cell, CellLocation, Engine, EngineState, Event, InvalidationScope, RequestLimits,
    ServiceLimits, TenantKey, TenantLimits, View, Zone,
};

use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};

/// Where the jobs of one key may go, as a directory node resolved it.
/// Invariants: `cells` all lie in `regions`, the serving one first; `regions`
/// never holds one outside the tenant's homes.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Mapping {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub service: String,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub regions: Vec<Name>,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub cells: Vec<Name>,
    /// Remaining time; 0 stands for never fresh.
    pub fresh_ms: u64,
    pub expire_ms: u64,
    pub epoch: u64,
}

impl Mapping {
    pub fn routing_key(&self) -> String {
        routing_key(&self.tenant, &self.service)
    }
}

/// The routing key: what the caches are asked by.
pub fn routing_key(tenant: &str, service: &str) -> String {
    format!("{tenant}/{service}")
}

/// A name on the wire.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub String,
);

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name(text.into())
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
