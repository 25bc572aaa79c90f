//! Injects the losses of a loss plan: machines replaced under another name and address,
//! planned replacements, lost disks, restarts, partitions, freezes. No more than `tolerate`
//! machines count as lost at any time; as long as that holds, changes must go on being
//! acknowledged.

use crate::fault_profile::Loss;
use crate::machine::MachineIndex;
use crate::simulation::{Event, OpenLoss, Simulation};
use crate::violation::{Failure, Violation};
use consensus::node::Input;

/// A machine that was asked to stop waits so long for permission to leave.
const LEAVE_PATIENCE_MS: u64 = 2_000;
const LEAVE_RETRY_MS: u64 = 100;

impl Simulation {
    /// Draws the next losses, as many as the plan allows.
    pub(crate) fn inject_losses(&mut self) -> Result<(), Failure> {
        let Some(plan) = self.profile.losses else {
            return Ok(());
        };
        let now_ms = self.now_ms;
        let open_before = self.open_losses.len();
        self.open_losses.retain(|loss| loss.ends_at_ms > now_ms);
        if self.open_losses.len() < open_before {
            self.next_loss_at_ms = now_ms + self.draw(plan.pause_ms + 1);
        }
        let room = plan.tolerate.saturating_sub(self.open_losses.len());
        if room == 0 || now_ms < self.next_loss_at_ms {
            return Ok(());
        }
        let count = 1 + self.draw(room as u64);
        for _ in 0..count {
            let kind = plan.kinds[self.draw(plan.kinds.len() as u64) as usize];
            self.inject_loss(kind, plan.catch_up_ms)?;
        }
        Ok(())
    }

    fn inject_loss(&mut self, kind: Loss, catch_up_ms: u64) -> Result<(), Failure> {
        let Some(machine) = self.draw_victim() else {
            return Ok(());
        };
        let back_at_ms = match kind {
            Loss::Replaced => self.replace_machine(machine),
            Loss::PlannedReplacement => self.replace_as_planned(machine, catch_up_ms)?,
            Loss::DiskLost => self.replace_disk(machine),
            Loss::Restarted => self.restart(machine),
            Loss::CutInbound => self.partition(machine, true, false),
            Loss::CutOutbound => self.partition(machine, false, true),
            Loss::Cut => self.partition(machine, true, true),
            Loss::Frozen => self.freeze(machine),
        };
        self.report.losses += 1;
        self.open_losses.push(OpenLoss {
            machine,
            kind,
            ends_at_ms: back_at_ms + catch_up_ms,
        });
        Ok(())
    }

    /// Every third time the leader; else any machine that is not lost already.
    fn draw_victim(&mut self) -> Option<MachineIndex> {
        let is_lost =
            |machine: &usize| self.open_losses.iter().any(|loss| loss.machine == *machine);
        let healthy: Vec<MachineIndex> = (0..self.machines.len())
            .filter(|machine| !self.machines[*machine].is_gone && !is_lost(machine))
            .collect();
        let leader = self.leader().filter(|leader| healthy.contains(leader));
        match leader {
            Some(leader) if self.chance(333) => Some(leader),
            _ if healthy.is_empty() => None,
            _ => Some(healthy[self.draw(healthy.len() as u64) as usize]),
        }
    }

    /// Returns when its successor starts, as all of these return when the loss
    /// ends.
    fn replace_machine(&mut self, machine: MachineIndex) -> u64 {
        self.crash(machine);
        self.machines[machine].is_gone = true;
        self.report.machines_replaced += 1;
        let wait = 300 + self.draw(8_000);
        self.schedule(wait, Event::Successor(machine));
        self.now_ms + wait
    }

    fn replace_as_planned(
        &mut self,
        machine: MachineIndex,
        catch_up_ms: u64,
    ) -> Result<u64, Failure> {
        self.report.machines_replaced += 1;
        self.start_successor(machine)?;
        let notice = self.draw(4_000);
        let until_ms = self.now_ms + notice + LEAVE_PATIENCE_MS;
        self.schedule(notice, Event::DrainMachine { machine, until_ms });
        // It counts until it is gone, and its successor has had time to catch up.
        Ok(self.now_ms + (notice + LEAVE_PATIENCE_MS).saturating_sub(catch_up_ms))
    }

    /// A machine that was asked to stop transfers leadership, and asks the leader for
    /// permission to leave, until it has that or its patience ends.
    pub(crate) fn drain_machine(
        &mut self,
        machine: MachineIndex,
        until_ms: u64,
    ) -> Result<(), Failure> {
        if self.machines[machine].is_gone {
            return Ok(());
        }
        if self.now_ms >= until_ms {
            self.remove_machine(machine);
            return Ok(());
        }
        self.schedule(LEAVE_RETRY_MS, Event::DrainMachine { machine, until_ms });
        self.step(machine, Input::TransferLeadership)?;
        let known = self.machines[machine]
            .live
            .as_ref()
            .and_then(|live| live.node.leader());
        let leader = known.and_then(|identity| self.machine_of(identity));
        let Some(leader) = leader.filter(|leader| *leader != machine && self.is_up(*leader)) else {
            return Ok(());
        };
        if self.draw_transit_ms(machine, leader).is_none() {
            return Ok(());
        }
        self.last_token += 1;
        self.leave_requests.insert(self.last_token, machine);
        self.step(
            leader,
            Input::Leave(self.last_token, self.machines[machine].identity),
        )
    }

    /// The leader gave a machine permission to leave.
    pub(crate) fn leave_granted(&mut self, token: u64) {
        if let Some(machine) = self.leave_requests.remove(&token) {
            self.schedule(1, Event::MachineRemoved(machine));
        }
    }

    /// An empty machine in the place of one that is gone.
    pub(crate) fn start_successor(&mut self, predecessor: MachineIndex) -> Result<(), Failure> {
        let zone = self.machines[predecessor].zone.clone();
        let machine = self.add_machine(zone);
        self.start(machine)
    }

    /// A machine ends for good.
    pub(crate) fn remove_machine(&mut self, machine: MachineIndex) {
        self.crash(machine);
        self.machines[machine].is_gone = true;
    }

    fn restart(&mut self, machine: MachineIndex) -> u64 {
        self.crash(machine);
        let wait = 100 + self.draw(12_000);
        self.schedule(wait, Event::Restart(machine));
        self.now_ms + wait
    }

    fn freeze(&mut self, machine: MachineIndex) -> u64 {
        let wait = 500 + self.draw(12_000);
        self.machines[machine].frozen_until_ms = self.now_ms + wait;
        let incarnation = self.machines[machine].incarnation;
        self.schedule(wait, Event::ReadAfterFreeze(machine, incarnation));
        self.now_ms + wait
    }

    /// Partitions a machine from all others for 2 to 22 seconds; sometimes it is restarted
    /// meanwhile.
    fn partition(&mut self, machine: MachineIndex, is_inbound: bool, is_outbound: bool) -> u64 {
        let wait = 2_000 + self.draw(20_000);
        let others: Vec<MachineIndex> = (0..self.machines.len())
            .filter(|other| *other != machine)
            .collect();
        for other in others {
            if is_inbound {
                self.cut_links.insert((other, machine));
            }
            if is_outbound {
                self.cut_links.insert((machine, other));
            }
        }
        if self.chance(200) {
            let down = 100 + self.draw(wait / 2);
            self.crash(machine);
            self.schedule(down, Event::Restart(machine));
        }
        self.schedule(wait, Event::HealMachine(machine));
        self.now_ms + wait
    }

    /// Whatever is lost within the plan, changes are acknowledged often enough.
    pub(crate) fn check_liveness(&mut self, start_ms: u64) -> Result<(), Failure> {
        let Some(plan) = self.profile.losses else {
            return Ok(());
        };
        let silent_ms = self.now_ms - self.last_acknowledgement_ms.max(start_ms);
        self.report.longest_silence_ms = self.report.longest_silence_ms.max(silent_ms);
        if silent_ms <= plan.acknowledged_within_ms {
            return Ok(());
        }
        let open: Vec<String> = self
            .open_losses
            .iter()
            .map(|loss| format!("{:?} of {}", loss.kind, self.machines[loss.machine].name))
            .collect();
        self.fail(Violation::NoProgressUnderLosses {
            silent_ms,
            losses: self.report.losses,
            replaced: self.report.machines_replaced,
            open,
            machines: self.describe_machines(),
        })
    }
}
