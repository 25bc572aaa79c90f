//! The phases of a run: bootstrap, faults, healing, and the last checks.

use crate::fault_profile::{FaultProfile, OperatorPlan, CALM};
use crate::simulation::{Report, Simulation};
use crate::violation::{Failure, Violation};
use consensus::node::Input;

const CLUSTER_ID: u64 = 77;
/// Faults, clients and operators are driven this often.
const ROUND_MS: u64 = 50;
const BOOTSTRAP_MS: u64 = 5_000;
const BOOTSTRAP_LIMIT_MS: u64 = 25_000;
const BOOTSTRAP_POLL_MS: u64 = 500;
const MAX_VOTERS: usize = 5;
/// Operators go on for so long after all faults ended.
const QUIET_MS: u64 = 8_000;
/// Delays that were drawn before may still be out; elections start anew.
const HEALED_PROGRESS_MS: u64 = 12_000;
const CONVERGENCE_MS: u64 = 2_000;

impl Simulation {
    /// Bootstraps a cluster, injects faults for `duration_ms`, then ends all faults and
    /// expects all nodes to agree and to serve.
    ///
    /// # Errors
    ///
    /// The first broken rule, with its time.
    pub fn run(mut self, duration_ms: u64) -> Result<Report, Failure> {
        self.bootstrap()?;
        self.run_under_faults(duration_ms)?;
        let operators = self.heal()?;
        if operators.is_some() {
            self.run_operators_to_end()?;
        }
        self.check_progress_after_healing()?;
        self.run_until(self.now_ms + CONVERGENCE_MS)?;
        self.check_convergence()?;
        Ok(self.report)
    }

    /// Faults are there from the first moment, so the bootstrap may take a while.
    fn bootstrap(&mut self) -> Result<(), Failure> {
        for machine in 0..self.machines.len() {
            self.start(machine)?;
        }
        let founder = self.member(0);
        self.step(0, Input::Bootstrap(founder, CLUSTER_ID))?;
        self.run_until(self.now_ms + BOOTSTRAP_MS)?;
        let limit_ms = self.now_ms + BOOTSTRAP_LIMIT_MS;
        loop {
            let leader = self
                .leader()
                .and_then(|machine| self.machines[machine].live.as_ref());
            let voters = leader.map(|live| live.node.members().voters.len());
            if voters == Some(self.machines.len().min(MAX_VOTERS)) {
                return Ok(());
            }
            if self.now_ms >= limit_ms {
                let machines = self.describe_machines();
                return self.fail(Violation::BootstrapIncomplete { voters, machines });
            }
            self.run_until(self.now_ms + BOOTSTRAP_POLL_MS)?;
        }
    }

    fn run_under_faults(&mut self, duration_ms: u64) -> Result<(), Failure> {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + duration_ms {
            self.run_until(self.now_ms + ROUND_MS)?;
            for _ in 0..self.profile.clients {
                self.drive_clients()?;
            }
            self.drive_operators();
            self.drive_quorum_readers()?;
            self.inject_faults()?;
            self.inject_losses()?;
            self.check_liveness(start_ms)?;
        }
        Ok(())
    }

    /// Ends all faults and starts every machine that is not gone. Operators go on, and
    /// their plan is returned.
    fn heal(&mut self) -> Result<Option<OperatorPlan>, Failure> {
        self.cut_links.clear();
        let operators = self.profile.operators;
        self.profile = FaultProfile { operators, ..CALM };
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            machine.frozen_until_ms = 0;
            machine.slow_disk_until_ms = 0;
            machine.files.set_full(false);
            if machine.live.as_ref().is_some_and(|live| live.is_disk_dead) {
                self.crash(index);
            }
            if self.machines[index].live.is_none() && !self.machines[index].is_gone {
                self.start(index)?;
            }
        }
        Ok(operators)
    }

    fn run_operators_to_end(&mut self) -> Result<(), Failure> {
        let end_ms = self.now_ms + QUIET_MS;
        while self.now_ms < end_ms {
            self.run_until(self.now_ms + ROUND_MS)?;
            self.drive_operators();
        }
        self.check_operator_history()?;
        self.profile.operators = None;
        Ok(())
    }

    fn check_progress_after_healing(&mut self) -> Result<(), Failure> {
        let acknowledged_before = self.acknowledged_index;
        let limit_ms = self.now_ms + HEALED_PROGRESS_MS;
        while self.now_ms < limit_ms {
            self.run_until(self.now_ms + ROUND_MS)?;
            self.drive_clients()?;
        }
        match self.acknowledged_index > acknowledged_before {
            true => Ok(()),
            false => self.fail(Violation::NoProgressAfterHealing),
        }
    }
}
