//! A whole fleet on one machine: real processes, each with a loopback address of its own,
//! from which it also connects.

mod cluster;
mod control;
mod deployment_spec;
mod error;
mod network;
mod operator_request;
mod process;

pub use deployment_spec::{DeploymentSpec, EngineSpec};
pub use error::{DeploymentError, FleetError};
pub use operator_request::{operator_request, wait_until};
pub use process::{free_octet, program, Process, ProcessKind};

use crate::relay::Network;
use residency::Topology;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The processes of a deployment. Invariant: every child that was started and not ended is
/// in `processes`, and ends with the fleet, or with this process however that ends.
pub struct Fleet {
    /// The deployment file.
    pub spec: DeploymentSpec,
    /// Where data, logs and journals go.
    pub output_dir: PathBuf,
    /// By name.
    pub processes: BTreeMap<String, Process>,
    /// The relays between the processes, if there are any.
    pub network: Option<Arc<Network>>,
    /// Holds the fleet's octet.
    _octet_mark: TcpListener,
}

impl Fleet {
    /// The processes of a deployment, none started.
    ///
    /// # Errors
    ///
    /// Where the deployment has engines in an unknown cell, the output directory can't be
    /// made, or no addresses are free.
    pub fn new(spec: DeploymentSpec, output_dir: &Path) -> Result<Fleet, FleetError> {
        let (octet, octet_mark) = free_octet()?;
        std::fs::create_dir_all(output_dir.join("logs"))?;
        let processes = lay_out(&spec, octet)?;
        Ok(Fleet {
            spec,
            output_dir: output_dir.to_path_buf(),
            processes,
            network: None,
            _octet_mark: octet_mark,
        })
    }

    /// The names that a word stands for: a process, those of a zone, `core` the directory
    /// nodes, `fronts` the routers, `nodes` both, `all`.
    ///
    /// # Errors
    ///
    /// Where it stands for none.
    pub fn resolve(&self, word: &str) -> Result<Vec<String>, FleetError> {
        let is_meant = |process: &&Process| match word {
            "core" => process.kind == ProcessKind::Directory,
            "fronts" => process.kind == ProcessKind::Router,
            "nodes" => process.kind != ProcessKind::Engine,
            "all" => true,
            word => process.name == word || process.zone == word,
        };
        let processes = self.processes.values().filter(is_meant);
        let names: Vec<String> = processes.map(|process| process.name.clone()).collect();
        match names.is_empty() {
            true => Err(FleetError::UnknownName {
                name: word.to_string(),
            }),
            false => Ok(names),
        }
    }

    /// Whether a process was started, and neither ended nor asked to stop.
    pub fn is_running(&self, name: &str) -> bool {
        let process = self.get(name);
        process.child.is_some() && !process.is_stopping
    }

    /// A process.
    ///
    /// # Panics
    ///
    /// Where the fleet has none of that name.
    pub fn get(&self, name: &str) -> &Process {
        self.processes
            .get(name)
            .unwrap_or_else(|| panic!("the fleet has no {name}"))
    }

    /// The processes of a kind, by name.
    pub fn of(&self, kind: ProcessKind) -> Vec<&Process> {
        let processes = self.processes.values();
        processes.filter(|process| process.kind == kind).collect()
    }

    /// The directory of the engines' journals.
    pub fn journals(&self) -> PathBuf {
        self.output_dir.join("journals")
    }

    /// The file of a process's log.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.output_dir.join("logs").join(format!("{name}.log"))
    }
}

/// Gives every process of a deployment its name and its address.
fn lay_out(spec: &DeploymentSpec, octet: u8) -> Result<BTreeMap<String, Process>, FleetError> {
    let topology =
        Topology::from_json(&spec.topology).map_err(|problems| DeploymentError::Topology {
            problems: problems.to_string(),
        })?;
    let mut processes = BTreeMap::new();
    let mut last_ip_octet = 0u8;
    let mut add = |kind, name: String, zone: &str, engine: Option<EngineSpec>| {
        last_ip_octet += 1;
        let row = match kind {
            ProcessKind::Directory => 1,
            ProcessKind::Router => 2,
            ProcessKind::Engine => 3,
        };
        let ip = IpAddr::V4(Ipv4Addr::new(127, octet, row, last_ip_octet));
        let process = Process {
            kind,
            name: name.clone(),
            region: topology.zones.get(zone).cloned().unwrap_or_default(),
            zone: zone.into(),
            ip,
            advertised_ip: ip,
            args: Vec::new(),
            engine,
            child: None,
            has_run: false,
            is_stopping: false,
        };
        processes.insert(name, process);
    };
    for (kind, word, zones) in [
        (ProcessKind::Directory, "directory", &spec.directories),
        (ProcessKind::Router, "router", &spec.routers),
    ] {
        let zones = zones.iter();
        let each = zones.flat_map(|(zone, count)| (0..*count).map(move |_| zone));
        for (index, zone) in each.enumerate() {
            add(kind, format!("{word}-{}", index + 1), zone, None);
        }
    }
    let mut number = 0;
    for group in &spec.engines {
        let zone = topology.cells.get(&group.cell);
        let zone = zone.ok_or_else(|| DeploymentError::UnknownCell {
            cell: group.cell.clone(),
        })?;
        for _ in 0..group.count {
            number += 1;
            let engine = Some(group.engine.clone());
            add(
                ProcessKind::Engine,
                format!("engine-{number}"),
                zone,
                engine,
            );
        }
    }
    Ok(processes)
}
