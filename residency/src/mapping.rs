//! What a directory node answers to a lookup: where the requests of one routing key
//! may go.

use crate::{Epoch, Name};
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};

/// Where the requests of one routing key may go. Invariants: `cells` all lie in
/// `regions`, the serving one first; `regions` never holds one outside the tenant's
/// home regions.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Mapping {
    /// The tenant; empty for a public route.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// The service that was asked for.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub service: String,
    /// The permitted regions, the preferred one first.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub regions: Vec<Name>,
    /// The cells that have an engine for the service, the preferred one first.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub cells: Vec<Name>,
    /// For how long a cache may use it without asking again; 0 stands for never.
    pub fresh_ms: u64,
    /// For how long a cache may use it while no directory node answers.
    pub expire_ms: u64,
    /// The epoch of the state that it was resolved from.
    pub epoch: Epoch,
}

impl Mapping {
    /// The key under which caches keep this mapping.
    pub fn routing_key(&self) -> String {
        routing_key(&self.tenant, &self.service)
    }
}

/// The key under which caches keep a mapping: `TENANT/SERVICE`.
pub fn routing_key(tenant: &str, service: &str) -> String {
    format!("{tenant}/{service}")
}
