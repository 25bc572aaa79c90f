//! One process of a fleet, where it is, and which program it runs.

use anyhow::{anyhow, bail};
use simd_json::{json, OwnedValue};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Child;

pub(super) const PEER_PORT: u16 = 7100;
pub(super) const OPERATOR_PORT: u16 = 7101;
const CLIENT_PORT: u16 = 7102;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ProcessKind {
    Directory,
    Router,
    Engine,
}

/// One process of the fleet, running or not.
pub struct Process {
    pub kind: ProcessKind,
    pub name: String,
    pub region: String,
    pub zone: String,
    /// Where it really is, and dials from.
    pub ip: IpAddr,
    /// Where the others find it.
    pub(super) advertised_ip: IpAddr,
    pub args: Vec<String>,
    pub(super) child: Option<Child>,
    /// It ran before: an engine that returns is cold.
    pub(super) has_run: bool,
    /// It was asked to stop, and is not waited for yet.
    pub(super) is_stopping: bool,
}

impl Process {
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.advertised_ip, PEER_PORT)
    }

    pub fn operator_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    pub fn client_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CLIENT_PORT)
    }

    /// The proposal that lists this engine.
    pub fn engine_proposal(&self, state: &str) -> OwnedValue {
        let services: Vec<String> = self.args[1].split(',').map(String::from).collect();
        json!({
            "do": "engine", "name": self.name.clone(), "address": self.address().to_string(),
            "cell": self.args[0].clone(), "services": services,
            "slots": self.args[2].parse::<u64>().unwrap_or(1), "state": state,
        })
    }
}

/// The folder of this build's programs.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent().ok_or(anyhow!("no folder"))?;
    if folder.ends_with("deps") {
        folder = folder.parent().ok_or(anyhow!("no folder"))?;
    }
    let path = folder.join(name);
    anyhow::ensure!(
        path.exists(),
        "{} is not there; build the workspace first",
        path.display()
    );
    Ok(path)
}

/// A second octet that is this fleet's alone, for as long as the listener
/// that marks it as taken is kept.
pub fn free_octet() -> anyhow::Result<(u8, std::net::TcpListener)> {
    let start = std::process::id() as usize;
    for step in 0..200 {
        let octet = 20 + ((start + step) % 200) as u8;
        if let Ok(mark) = std::net::TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), PEER_PORT))
        {
            return Ok((octet, mark));
        }
    }
    bail!("no free loopback addresses")
}

/// Whether every thread of a process is stopped.
pub(super) fn is_stopped(process: u32) -> anyhow::Result<bool> {
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
