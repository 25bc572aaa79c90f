//! The rules on leaders, checked after every step, and the agreement of all nodes at the
//! end.

use crate::machine::{Machine, MachineIndex};
use crate::simulation::Simulation;
use crate::violation::{Failure, Violation};
use consensus::node::Role;
use consensus::Member;
use std::collections::BTreeSet;

impl Simulation {
    /// One line for each machine that is still in use.
    pub(crate) fn describe_machines(&self) -> Vec<String> {
        let in_use = self.machines.iter().filter(|machine| !machine.is_gone);
        in_use.map(describe).collect()
    }

    /// One leader a term.
    pub(crate) fn check_leadership(&mut self, machine: MachineIndex) -> Result<(), Failure> {
        let identity = self.machines[machine].identity;
        let Some(live) = self.machines[machine].live.as_mut() else {
            return Ok(());
        };
        let (role, term) = (live.node.role(), live.node.term());
        let was_leader = std::mem::replace(&mut live.was_leader, role == Role::Leader);
        if role == Role::Leader {
            if !was_leader {
                self.report.elections += 1;
            }
            let known = *self.leader_of_term.entry(term).or_insert(identity);
            if known != identity {
                return self.fail(Violation::TwoLeaders { term });
            }
        }
        Ok(())
    }

    /// Every node has applied all that was acknowledged, and all states are the same.
    pub(crate) fn check_convergence(&self) -> Result<(), Failure> {
        let mut states = BTreeSet::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let Some(live) = &machine.live else { continue };
            if live.node.applied_index() < self.acknowledged_index {
                let leader = self
                    .leader()
                    .and_then(|machine| self.machines[machine].live.as_ref());
                let description = format!(
                    "node-{index} has applied {} of {} acknowledged; last {}, role {:?}, term {}, \
                     unsynced writes {}, leader's members {:?}, progress {:?}",
                    live.node.applied_index(),
                    self.acknowledged_index,
                    live.node.last_index(),
                    live.node.role(),
                    live.node.term(),
                    live.writes.len(),
                    leader.map(|l| l
                        .node
                        .members()
                        .all()
                        .map(|m| m.name.clone())
                        .collect::<Vec<_>>()),
                    leader.map(|l| l.node.progress().collect::<Vec<_>>()),
                );
                return self.fail(Violation::AcknowledgedEntryMissing { description });
            }
            states.insert(format!(
                "{:?} {}",
                live.state.view.evacuated,
                live.state.epoch()
            ));
        }
        match states.len() {
            1 => Ok(()),
            _ => self.fail(Violation::StatesDiffer {
                states: states.into_iter().collect(),
            }),
        }
    }
}

fn describe(machine: &Machine) -> String {
    let Some(live) = &machine.live else {
        return format!("{} is down", machine.name);
    };
    let names = |members: &[Member]| -> Vec<String> {
        members.iter().map(|member| member.name.clone()).collect()
    };
    format!(
        "{}: {:?} in term {}, cluster {}, last {}, commit {}, voters {:?}, learners {:?}, stalled {}",
        machine.name,
        live.node.role(),
        live.node.term(),
        live.node.cluster(),
        live.node.last_index(),
        live.node.commit_index(),
        names(&live.node.members().voters),
        names(&live.node.members().learners),
        live.node.is_stalled(),
    )
}
