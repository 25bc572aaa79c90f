//! One process of a fleet: its addresses, and the program that it runs.

use super::deployment_spec::EngineSpec;
use super::error::FleetError;
use simd_json::{json, OwnedValue};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Child;

pub(super) const PEER_PORT: u16 = 7100;
pub(super) const OPERATOR_PORT: u16 = 7101;
const CLIENT_PORT: u16 = 7102;
/// Second octets that fleets share.
const FIRST_OCTET: u8 = 20;
const OCTET_COUNT: usize = 200;

/// What a process does.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ProcessKind {
    /// A node of the control plane.
    Directory,
    /// A node of the data plane.
    Router,
    /// A simulated engine.
    Engine,
}

/// One process of the fleet, running or not.
pub struct Process {
    /// What it does.
    pub kind: ProcessKind,
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens, and connects from.
    pub ip: IpAddr,
    /// Where the others find it.
    pub(super) advertised_ip: IpAddr,
    /// Further arguments of a router or a directory node.
    pub args: Vec<String>,
    /// How it behaves, if it is an engine.
    pub engine: Option<EngineSpec>,
    pub(super) child: Option<Child>,
    /// It ran before: an engine that returns is cold.
    pub(super) has_run: bool,
    /// It was asked to stop, and is not waited for yet.
    pub(super) is_stopping: bool,
}

impl Process {
    /// Where the other processes reach it.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.advertised_ip, PEER_PORT)
    }

    /// Its operator API.
    pub fn operator_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// Where clients reach it, if it is a router.
    pub fn client_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CLIENT_PORT)
    }

    /// The change that adds this engine to the topology.
    ///
    /// # Panics
    ///
    /// Where the process is no engine.
    pub fn engine_proposal(&self, state: &str) -> OwnedValue {
        let engine = self.engine.as_ref().expect("the process is an engine");
        json!({
            "do": "engine", "name": self.name.clone(), "address": self.address().to_string(),
            "cell": engine.cell.clone(), "services": engine.services.clone(),
            "slots": engine.slots, "state": state,
        })
    }
}

/// The path of one of this build's programs.
///
/// # Errors
///
/// Where it was not built.
pub fn program(name: &str) -> Result<PathBuf, FleetError> {
    let own = std::env::current_exe()?;
    // Tests run in a directory below that of the programs.
    let mut directory = own.parent().unwrap_or(&own);
    if directory.ends_with("deps") {
        directory = directory.parent().unwrap_or(directory);
    }
    let path = directory.join(name);
    match path.exists() {
        true => Ok(path),
        false => Err(FleetError::ProgramMissing { path }),
    }
}

/// A second octet that is this fleet's alone, for as long as the listener that marks it as
/// taken is kept.
///
/// # Errors
///
/// Where all are taken.
pub fn free_octet() -> Result<(u8, TcpListener), FleetError> {
    let start = std::process::id() as usize;
    for step in 0..OCTET_COUNT {
        let octet = FIRST_OCTET + ((start + step) % OCTET_COUNT) as u8;
        if let Ok(mark) = TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), PEER_PORT)) {
            return Ok((octet, mark));
        }
    }
    Err(FleetError::NoFreeAddresses)
}

/// Whether every thread of a process is stopped.
pub(super) fn is_frozen(process: u32) -> std::io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        // One that has ended meanwhile runs no more.
        let Ok(text) = std::fs::read_to_string(thread?.path().join("stat")) else {
            continue;
        };
        let state = text.rsplit(')').next().unwrap_or("").trim_start();
        if !state.starts_with(['T', 't', 'Z', 'X']) {
            return Ok(false);
        }
    }
    Ok(true)
}
