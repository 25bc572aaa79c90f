//! Injects a workload's faults into the machines of a fleet.

use super::targets::MACHINE_JOURNAL;
use crate::fleet::{Fleet, FleetError, ProcessKind};
use crate::journal::Journal;
use crate::workload::MachineOperation;
use nix::sys::signal::Signal;
use simd_json::json;
use std::collections::BTreeSet;
use std::path::Path;

/// What was done to machines so far.
pub(super) struct MachineDriver {
    /// Those killed or stopped last; `killed` stands for them.
    killed: Vec<String>,
    frozen: BTreeSet<String>,
    is_partitioned: bool,
    journal: Journal,
}

impl MachineDriver {
    pub(super) fn new(output_dir: &Path) -> anyhow::Result<MachineDriver> {
        Ok(MachineDriver {
            killed: Vec::new(),
            frozen: BTreeSet::new(),
            is_partitioned: false,
            journal: Journal::open(&output_dir.join(MACHINE_JOURNAL))?,
        })
    }

    /// Carries an operation out. `leader` stands for the node that leads, `killed` for
    /// those killed last; the other names are those of [`Fleet::resolve`].
    pub(super) async fn apply(
        &mut self,
        fleet: &mut Fleet,
        operation: MachineOperation,
        name: &str,
    ) -> anyhow::Result<()> {
        let names = match name {
            // With no leader it stands for no machine.
            "leader" => fleet.leader().await.into_iter().collect(),
            "killed" => self.killed.clone(),
            name => fleet.resolve(name)?,
        };
        self.apply_to_network(fleet, operation, &names)?;
        if matches!(operation, MachineOperation::Kill | MachineOperation::Stop) {
            self.killed = names.clone();
        }
        for name in &names {
            self.apply_to_machine(fleet, operation, name)?;
        }
        let is_down = fleet.processes.keys().any(|name| !fleet.is_running(name));
        let all_well = !is_down && self.frozen.is_empty() && !self.is_partitioned;
        self.journal
            .append(json!({ "action": operation.as_str(), "names": names, "all_well": all_well }));
        Ok(())
    }

    fn apply_to_network(
        &mut self,
        fleet: &Fleet,
        operation: MachineOperation,
        names: &[String],
    ) -> anyhow::Result<()> {
        let (is_outbound, is_inbound) = match operation {
            MachineOperation::Cut => (true, true),
            MachineOperation::CutOut => (true, false),
            MachineOperation::CutIn => (false, true),
            MachineOperation::Heal | MachineOperation::Restore => {
                self.is_partitioned = false;
                let network = fleet.network.as_ref();
                network.ok_or(FleetError::NoRelays)?.heal();
                return Ok(());
            }
            _ => return Ok(()),
        };
        self.is_partitioned = true;
        Ok(fleet.partition(names, is_outbound, is_inbound)?)
    }

    fn apply_to_machine(
        &mut self,
        fleet: &mut Fleet,
        operation: MachineOperation,
        name: &str,
    ) -> anyhow::Result<()> {
        let is_running = fleet.is_running(name);
        let is_directory = fleet.get(name).kind == ProcessKind::Directory;
        match operation {
            MachineOperation::Kill => {
                fleet.kill(name);
                self.frozen.remove(name);
            }
            MachineOperation::Start if !is_running => fleet.start(name)?,
            MachineOperation::Freeze if is_running => {
                fleet.signal(name, Signal::SIGSTOP)?;
                self.frozen.insert(name.to_string());
            }
            MachineOperation::Thaw | MachineOperation::Restore if is_running => {
                fleet.signal(name, Signal::SIGCONT)?;
                self.frozen.remove(name);
            }
            MachineOperation::Restore => fleet.start(name)?,
            // Not waited for here, so that the workload goes on.
            MachineOperation::Stop if is_running => fleet.request_stop(name)?,
            MachineOperation::Wipe if is_directory && !is_running => fleet.delete_data(name)?,
            _ => {}
        }
        Ok(())
    }
}
