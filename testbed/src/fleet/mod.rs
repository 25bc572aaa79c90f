//! A whole fleet on one machine: real processes, each with a loopback address
//! of its own, from which it also dials.

mod cluster;
mod control;
mod deployment_spec;
mod operator_request;
mod process;

pub use deployment_spec::DeploymentSpec;
pub use operator_request::{operator_request, wait_until};
pub use process::{free_octet, program, Process, ProcessKind};

use crate::relay::Network;
use anyhow::{anyhow, bail};
use process::PEER_PORT;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Invariant: every child that was started and not ended is in `processes`,
/// and ends with the fleet, or with this process however that ends.
pub struct Fleet {
    pub spec: DeploymentSpec,
    pub folder: PathBuf,
    pub processes: BTreeMap<String, Process>,
    pub network: Option<Arc<Network>>,
    _mark: std::net::TcpListener,
}

impl Fleet {
    /// Lays a fleet out, starting nothing.
    pub fn new(spec: DeploymentSpec, folder: &Path) -> anyhow::Result<Fleet> {
        let (octet, mark) = free_octet()?;
        let topology = residency::Topology::from_json(&spec.topology)?;
        let mut fleet = Fleet {
            spec,
            folder: folder.to_path_buf(),
            processes: BTreeMap::new(),
            network: None,
            _mark: mark,
        };
        std::fs::create_dir_all(folder.join("logs"))?;
        let mut next = 0u8;
        let mut ip = |row: u8| {
            next += 1;
            IpAddr::V4(Ipv4Addr::new(127, octet, row, next))
        };
        let mut add = |kind, name: String, zone: &str, ip: IpAddr, args: Vec<String>| {
            let region = topology.zones.get(zone).cloned().unwrap_or_default();
            let process = Process {
                kind,
                name: name.clone(),
                region,
                zone: zone.into(),
                ip,
                advertised_ip: ip,
                args,
                child: None,
                has_run: false,
                is_stopping: false,
            };
            fleet.processes.insert(name, process);
        };
        for (kind, row, word, zones) in [
            (
                ProcessKind::Directory,
                1,
                "directory",
                &fleet.spec.directories,
            ),
            (ProcessKind::Router, 2, "router", &fleet.spec.routers),
        ] {
            let mut number = 0;
            for (zone, count) in zones {
                for _ in 0..*count {
                    number += 1;
                    add(kind, format!("{word}-{number}"), zone, ip(row), Vec::new());
                }
            }
        }
        let mut number = 0;
        for (cell, engine) in &fleet.spec.engines {
            let field = |name: &str, default: u64| {
                engine
                    .get(name)
                    .and_then(|v| v.as_u64())
                    .unwrap_or(default)
                    .to_string()
            };
            let zone = topology
                .cells
                .get(cell)
                .ok_or(anyhow!("engines: there is no cell {cell}"))?;
            let services: Vec<&str> = engine
                .get("services")
                .and_then(|v| v.as_array())
                .map(|list| list.iter().filter_map(|item| item.as_str()).collect())
                .unwrap_or_default();
            for _ in 0..engine.get("count").and_then(|v| v.as_u64()).unwrap_or(1) {
                number += 1;
                let args = vec![
                    cell.clone(),
                    services.join(","),
                    field("slots", 8),
                    field("pieces", 8),
                    field("piece_ms", 15),
                    field("prefill_ms", 80),
                ];
                add(
                    ProcessKind::Engine,
                    format!("engine-{number}"),
                    zone,
                    ip(3),
                    args,
                );
            }
        }
        Ok(fleet)
    }

    /// Puts a relay before every process, so that the network can be cut. To
    /// be done before anything is started.
    pub async fn relay(&mut self) -> anyhow::Result<()> {
        let network = Network::new();
        for process in self.processes.values_mut() {
            let IpAddr::V4(ip) = process.ip else {
                bail!("the fleet has addresses of version 4")
            };
            let [first, second, row, last] = ip.octets();
            process.advertised_ip = IpAddr::V4(Ipv4Addr::new(first, second, row + 100, last));
            let real = SocketAddr::new(process.ip, PEER_PORT);
            network.relay(process.address(), real).await?;
        }
        self.network = Some(network);
        Ok(())
    }

    /// The processes that a word stands for: one by its name, those of a zone,
    /// `core` the directory nodes, `fronts` the routers, `nodes` both.
    pub fn resolve(&self, word: &str) -> anyhow::Result<Vec<String>> {
        let fits = |process: &&Process| match word {
            "core" => process.kind == ProcessKind::Directory,
            "fronts" => process.kind == ProcessKind::Router,
            "nodes" => process.kind != ProcessKind::Engine,
            "all" => true,
            word => process.name == word || process.zone == word,
        };
        let names: Vec<String> = self
            .processes
            .values()
            .filter(fits)
            .map(|process| process.name.clone())
            .collect();
        anyhow::ensure!(!names.is_empty(), "the fleet has no {word}");
        Ok(names)
    }

    /// Cuts some processes off from all others, by what they send, by what
    /// they are sent, or both.
    pub fn partition(&self, names: &[String], outward: bool, inward: bool) -> anyhow::Result<()> {
        let network = self
            .network
            .as_ref()
            .ok_or(anyhow!("this fleet has no relays"))?;
        let is_inside = |process: &Process| names.contains(&process.name);
        for inside in self.processes.values().filter(|process| is_inside(process)) {
            for outside in self
                .processes
                .values()
                .filter(|process| !is_inside(process))
            {
                network.cut(outward.then_some((inside.ip, outside.ip)));
                network.cut(inward.then_some((outside.ip, inside.ip)));
            }
        }
        Ok(())
    }

    /// Whether a process was started and not ended from here.
    pub fn is_running(&self, name: &str) -> bool {
        let process = self.get(name);
        process.child.is_some() && !process.is_stopping
    }

    pub fn get(&self, name: &str) -> &Process {
        self.processes
            .get(name)
            .unwrap_or_else(|| panic!("the fleet has no {name}"))
    }

    pub fn of(&self, kind: ProcessKind) -> Vec<&Process> {
        self.processes
            .values()
            .filter(|process| process.kind == kind)
            .collect()
    }

    pub fn journals(&self) -> PathBuf {
        self.folder.join("journals")
    }
}
