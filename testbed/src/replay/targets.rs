//! What simulated clients and operators know of a fleet, and where a run is recorded.

use crate::fleet::{Fleet, ProcessKind};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The file of the clients' journal, in the output directory.
pub const CLIENT_JOURNAL: &str = "clients.jsonl";
/// The file of the operators' journal.
pub const OPERATOR_JOURNAL: &str = "operators.jsonl";
/// The file of the journal of injected faults.
pub const MACHINE_JOURNAL: &str = "machines.jsonl";

/// What clients and operators know of the fleet.
pub struct Targets {
    /// Routers' client addresses with their zones; an empty zone is unknown.
    pub routers: Vec<(SocketAddr, String)>,
    /// The directory nodes' operator APIs.
    pub operator_addresses: Vec<SocketAddr>,
    /// The routers' operator APIs, which say what is in force.
    pub router_operator_addresses: Vec<SocketAddr>,
    /// Tenant to key.
    pub keys: BTreeMap<String, String>,
}

impl Targets {
    /// All processes of a fleet.
    pub fn of_fleet(fleet: &Fleet) -> Targets {
        let routers = fleet.of(ProcessKind::Router);
        Targets {
            routers: routers
                .iter()
                .map(|router| (router.client_address(), router.zone.clone()))
                .collect(),
            operator_addresses: fleet.operator_addresses(),
            router_operator_addresses: routers
                .iter()
                .map(|router| router.operator_address())
                .collect(),
            keys: fleet.spec.keys.clone(),
        }
    }
}
