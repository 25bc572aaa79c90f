//! A whole fleet on one machine: real processes, each with a loopback address
//! of its own, from which it also dials.

mod client;
mod cluster;
mod control;
mod process;
mod shape;

pub use client::{ask, wait};
pub use process::{free_octet, program, Kind, Process};
pub use shape::Shape;

use crate::relay::Network;
use anyhow::{anyhow, bail};
use process::ADDRESS;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Invariant: every child that was started and not ended is in `processes`,
/// and ends with the fleet, or with this process however that ends.
pub struct Fleet {
    pub shape: Shape,
    pub folder: PathBuf,
    pub processes: BTreeMap<String, Process>,
    pub network: Option<Arc<Network>>,
    _mark: std::net::TcpListener,
}

impl Fleet {
    /// Lays a fleet out, starting nothing.
    pub fn lay(shape: Shape, folder: &Path) -> anyhow::Result<Fleet> {
        let (octet, mark) = free_octet()?;
        let book = residency::Topology::from_json(&shape.book)?;
        let mut fleet = Fleet {
            shape,
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
            let region = book.zones.get(zone).cloned().unwrap_or_default();
            let process = Process {
                kind,
                name: name.clone(),
                region,
                zone: zone.into(),
                ip,
                known: ip,
                args,
                child: None,
                has_run: false,
                is_stopping: false,
            };
            fleet.processes.insert(name, process);
        };
        for (kind, row, word, zones) in [
            (Kind::Directory, 1, "directory", &fleet.shape.directories),
            (Kind::Router, 2, "router", &fleet.shape.routers),
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
        for (cell, engine) in &fleet.shape.engines {
            let field = |name: &str, default: u64| {
                engine
                    .get(name)
                    .and_then(|v| v.as_u64())
                    .unwrap_or(default)
                    .to_string()
            };
            let zone = book
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
                add(Kind::Engine, format!("engine-{number}"), zone, ip(3), args);
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
            process.known = IpAddr::V4(Ipv4Addr::new(first, second, row + 100, last));
            let real = SocketAddr::new(process.ip, ADDRESS);
            network.relay(process.address(), real).await?;
        }
        self.network = Some(network);
        Ok(())
    }

    /// The processes that a word stands for: one by its name, those of a zone,
    /// `core` the directory nodes, `fronts` the routers, `nodes` both.
    pub fn named(&self, word: &str) -> anyhow::Result<Vec<String>> {
        let fits = |process: &&Process| match word {
            "core" => process.kind == Kind::Directory,
            "fronts" => process.kind == Kind::Router,
            "nodes" => process.kind != Kind::Engine,
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
    pub fn cut(&self, names: &[String], outward: bool, inward: bool) -> anyhow::Result<()> {
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

    pub fn of(&self, kind: Kind) -> Vec<&Process> {
        self.processes
            .values()
            .filter(|process| process.kind == kind)
            .collect()
    }

    pub fn journals(&self) -> PathBuf {
        self.folder.join("journals")
    }
}
