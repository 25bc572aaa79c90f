//! Reads what a run left behind, and has it judged.

use super::targets::{CLIENT_JOURNAL, MACHINE_JOURNAL, OPERATOR_JOURNAL};
use crate::fleet::{Fleet, Process, ProcessKind};
use crate::journal;
use checker::{check, Deployment, Finding, Journals, Role};
use simd_json::prelude::*;
use std::path::Path;

/// Reads the journals of a fleet's run and judges them by the rules.
///
/// # Errors
///
/// Where a journal or a log can't be read, or has a line that is no JSON.
pub fn check_rules(fleet: &Fleet, output_dir: &Path) -> anyhow::Result<(Journals, Vec<Finding>)> {
    let mut journals = Journals {
        clients: journal::read(&output_dir.join(CLIENT_JOURNAL))?,
        operators: journal::read(&output_dir.join(OPERATOR_JOURNAL))?,
        machines: journal::read(&output_dir.join(MACHINE_JOURNAL))?,
        ..Journals::default()
    };
    for process in fleet.processes.values() {
        read_process(fleet, process, &mut journals)?;
    }
    journals
        .nodes
        .sort_by_key(|line| line.get("at").and_then(|v| v.as_u64()));
    let topology = residency::Topology::from_json(&fleet.spec.topology)?;
    let processes = fleet.processes.values().map(checked_process);
    let deployment = Deployment::new(&topology, processes);
    let findings = check(&deployment, &journals);
    Ok((journals, findings))
}

/// Adds an engine's journal, or a node's log. A process that never ran has none.
fn read_process(fleet: &Fleet, process: &Process, journals: &mut Journals) -> anyhow::Result<()> {
    if process.kind == ProcessKind::Engine {
        let path = fleet.journals().join(format!("{}.jsonl", process.name));
        if path.exists() {
            journals.engines.extend(journal::read(&path)?);
        }
        return Ok(());
    }
    let path = fleet.log_path(&process.name);
    if path.exists() {
        let lines = journal::read_log(&process.name, &path)?;
        journals.nodes.extend(lines);
    }
    Ok(())
}

fn checked_process(process: &Process) -> checker::Process<'_> {
    checker::Process {
        name: &process.name,
        role: match &process.engine {
            Some(engine) => Role::Engine {
                slots: engine.slots,
            },
            None => Role::Node,
        },
        region: &process.region,
        zone: &process.zone,
    }
}
