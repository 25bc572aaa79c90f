//! What a run reports, and the rules that are checked after every step and at
//! the end.

use super::machine::Machine;
use super::Simulation;
use consensus::node::Role;
use consensus::Member;
use std::collections::BTreeSet;

/// What is wrong, and when, with the seed that brings it back.
pub type Verdict = Result<Report, String>;

#[derive(Debug, Default, Clone)]
pub struct Report {
    pub acknowledged: usize,
    pub confirmed: usize,
    pub elections: usize,
    pub crashes: usize,
    pub disks_lost: usize,
    pub losses: usize,
    pub machines_replaced: usize,
    /// The longest time without an acknowledged change, while machines were lost.
    pub longest_silence_ms: u64,
    pub operations_answered: usize,
    pub operations_unanswered: usize,
    pub snapshots_installed: usize,
    /// The longest time between two acknowledgements.
    pub gap_ms: u64,
}

impl Simulation {
    /// One line for each machine that is still in use, for whoever reads a failure.
    pub(super) fn describe_machines(&self) -> Vec<String> {
        let in_use = self.machines.iter().filter(|machine| !machine.is_gone);
        in_use.map(describe).collect()
    }

    pub(super) fn fail<T>(&self, text: impl std::fmt::Display) -> Result<T, String> {
        Err(format!("at {} ms: {text}", self.now - 1_000_000))
    }

    pub(super) fn check(&mut self, at: usize) -> Result<(), String> {
        let identity = self.machines[at].identity;
        let Some(live) = self.machines[at].live.as_mut() else {
            return Ok(());
        };
        let (role, term) = (live.node.role(), live.node.term());
        let was_leader = std::mem::replace(&mut live.was_leader, role == Role::Leader);
        if role == Role::Leader {
            if !was_leader {
                self.report.elections += 1;
            }
            let known = *self.leaders.entry(term).or_insert(identity);
            if known != identity {
                return self.fail(format!("term {term} has two leaders"));
            }
        }
        Ok(())
    }

    pub(super) fn agree(&self) -> Result<(), String> {
        let mut states = BTreeSet::new();
        for (at, machine) in self.machines.iter().enumerate() {
            let Some(live) = &machine.live else { continue };
            if live.node.applied_index() < self.acknowledged {
                let leader = self.leader().and_then(|at| self.machines[at].live.as_ref());
                return self.fail(format!(
                    "node-{at} has applied {} of {} acknowledged; last {}, role {:?}, term {}, \
                     unsynced writes {}, leader's members {:?}, progress {:?}",
                    live.node.applied_index(),
                    self.acknowledged,
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
                ));
            }
            states.insert(format!(
                "{:?} {}",
                live.state.view.evacuated,
                live.state.epoch()
            ));
        }
        match states.len() {
            1 => Ok(()),
            _ => self.fail(format!("the nodes differ: {states:?}")),
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
