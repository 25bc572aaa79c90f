//! Draws the faults of a fault profile and injects them.

use crate::machine::MachineIndex;
use crate::memory_files::MemoryFiles;
use crate::simulation::{Event, Simulation};
use crate::violation::Failure;
use consensus::node::Input;
use consensus::NodeId;

/// How often faults are drawn: [`Simulation::run`] does so every 50 ms.
const ROUNDS_PER_S: u64 = 20;

impl Simulation {
    /// Draws this round's faults; called twenty times a second.
    pub(crate) fn inject_faults(&mut self) -> Result<(), Failure> {
        let profile = self.profile;
        self.inject_crashes(profile.crashes, profile.all_down);
        self.inject_partitions(profile.cuts, profile.one_way);
        self.inject_halving(profile.halves);
        self.inject_disk_faults(profile.slow_disks, profile.full_disks);
        self.inject_freeze(profile.freezes);
        if self.draw_target(profile.leadership_transfers).is_some() {
            if let Some(leader) = self.leader().filter(|leader| self.is_up(*leader)) {
                self.step(leader, Input::TransferLeadership)?;
            }
        }
        if let Some(machine) = self.draw_target(profile.lost_disks) {
            self.maybe_lose_disk(machine);
        }
        Ok(())
    }

    /// The machine that a fault of this rate hits in this round, if it comes at all.
    pub(crate) fn draw_target(&mut self, thousandths_per_s: u64) -> Option<MachineIndex> {
        let count = self.machines.len() as u64;
        let is_drawn = self.draw(1_000 * ROUNDS_PER_S) < thousandths_per_s;
        is_drawn.then(|| self.draw(count) as MachineIndex)
    }

    /// The leader every second time, whose disk and clock matter most.
    fn prefer_leader(&self, drawn: MachineIndex) -> MachineIndex {
        self.leader()
            .filter(|_| self.last_token.is_multiple_of(2))
            .unwrap_or(drawn)
    }

    fn inject_crashes(&mut self, one: u64, all: u64) {
        if let Some(machine) = self.draw_target(one) {
            self.crash(machine);
            let wait_ms = 100 + self.draw(2_500);
            self.schedule(wait_ms, Event::Restart(machine));
        }
        if self.draw_target(all).is_some() {
            self.report.power_losses_while_cut += usize::from(!self.cut_links.is_empty());
            for machine in 0..self.machines.len() {
                self.crash(machine);
                let wait_ms = 200 + self.draw(1_500);
                self.schedule(wait_ms, Event::Restart(machine));
            }
        }
    }

    fn inject_partitions(&mut self, both_ways: u64, one_way: u64) {
        if let Some(machine) = self.draw_target(both_ways) {
            self.partition_machine_or_zone(machine);
            let wait_ms = 200 + self.draw(3_000);
            self.schedule(wait_ms, Event::Heal);
        }
        if let Some(from) = self.draw_target(one_way) {
            let to = self.draw(self.machines.len() as u64) as MachineIndex;
            self.cut_links.insert((from, to));
            let wait_ms = 200 + self.draw(3_000);
            self.schedule(wait_ms, Event::Heal);
        }
    }

    fn partition_machine_or_zone(&mut self, machine: MachineIndex) {
        let zone = self.machines[machine].zone.clone();
        let is_zone_cut = self.chance(400);
        let count = self.machines.len();
        let is_in_zone = |other: MachineIndex| is_zone_cut && self.machines[other].zone == zone;
        let inside = (0..count).filter(|other| *other == machine || is_in_zone(*other));
        for inside in inside {
            for outside in (0..count).filter(|other| !is_in_zone(*other)) {
                self.cut_links.insert((inside, outside));
                self.cut_links.insert((outside, inside));
            }
        }
    }

    fn inject_disk_faults(&mut self, slow: u64, full: u64) {
        if let Some(machine) = self.draw_target(slow) {
            let machine = self.prefer_leader(machine);
            self.machines[machine].slow_disk_until_ms = self.now_ms + 500 + self.draw(3_000);
        }
        if let Some(machine) = self.draw_target(full) {
            if self.machines[machine].live.is_some() {
                self.machines[machine].files.set_full(true);
                let wait_ms = 1_000 + self.draw(3_000);
                let incarnation = self.machines[machine].incarnation;
                self.schedule(wait_ms, Event::DiskFreed(machine, incarnation));
            }
        }
    }

    fn inject_freeze(&mut self, freezes: u64) {
        if let Some(machine) = self.draw_target(freezes) {
            let machine = self.prefer_leader(machine);
            let duration_ms = 200 + self.draw(4_000);
            self.machines[machine].frozen_until_ms = self.now_ms + duration_ms;
            let incarnation = self.machines[machine].incarnation;
            self.schedule(duration_ms, Event::ReadAfterFreeze(machine, incarnation));
        }
    }

    /// Any number of machines loses power at the moment of an acknowledgement, the one that
    /// gave it among them; a minority of the voters may lose its disks as well.
    pub(crate) fn crash_after_acknowledgement(&mut self, machine: MachineIndex) {
        let count = self.machines.len();
        let mut crashing: Vec<MachineIndex> = vec![machine];
        crashing.extend((0..count).filter(|other| *other != machine));
        let crash_count = 1 + self.draw(count as u64) as usize;
        // The first is the one that acknowledged; the others follow in a drawn order.
        for place in 1..count {
            let other = place + self.draw((count - place) as u64) as usize;
            crashing.swap(place, other);
        }
        let most = match self.healthy_voters() {
            Some(voters) => (voters - 1) / 2,
            None => 0,
        };
        let mut lost = match self.chance(self.profile.disks_lost_after_ack) {
            true => self.draw(most as u64 + 1) as usize,
            false => 0,
        };
        let identities: Vec<NodeId> = self
            .leader()
            .and_then(|leader| self.machines[leader].live.as_ref())
            .map(|live| {
                live.node
                    .members()
                    .voters
                    .iter()
                    .map(|v| v.identity)
                    .collect()
            })
            .unwrap_or_default();
        for machine in crashing.into_iter().take(crash_count) {
            if lost > 0 && identities.contains(&self.machines[machine].identity) {
                lost -= 1;
                self.replace_disk(machine);
                continue;
            }
            self.crash(machine);
            let wait = 100 + self.draw(1_500);
            self.schedule(wait, Event::Restart(machine));
        }
    }

    /// How many voters there are, if each of them is up and has its disk, no learner is
    /// being added, and the membership is settled: while a voter is being added, two of
    /// five are two of four to those who have not applied the change.
    pub(crate) fn healthy_voters(&self) -> Option<MachineIndex> {
        let leader = self.leader()?;
        let node = &self.machines[leader].live.as_ref()?.node;
        if !node.can_change_membership() {
            return None;
        }
        let members = node.members();
        let is_healthy = |identity| {
            let machine = self.machine_of(identity)?;
            (self.is_up(machine) && !self.machines[machine].is_blank).then_some(())
        };
        let all_healthy = members.voters.len() >= 3
            && members.learners.is_empty()
            && members
                .voters
                .iter()
                .all(|voter| is_healthy(voter.identity).is_some());
        all_healthy.then_some(members.voters.len())
    }

    /// Loses a voter's disk, but only while every voter has its own: no majority survives
    /// the loss of more than a minority.
    pub(crate) fn maybe_lose_disk(&mut self, machine: MachineIndex) {
        let Some(leader) = self.leader().filter(|leader| *leader != machine) else {
            return;
        };
        let Some(live) = self.machines[leader].live.as_ref() else {
            return;
        };
        let is_voter = live
            .node
            .members()
            .is_voter(self.machines[machine].identity);
        if is_voter && self.healthy_voters().is_some() {
            self.replace_disk(machine);
        }
    }

    /// Returns when it starts again, with an empty disk.
    pub(crate) fn replace_disk(&mut self, machine: MachineIndex) -> u64 {
        self.crash(machine);
        self.report.disks_lost += 1;
        self.report.disks_lost_while_cut += usize::from(!self.cut_links.is_empty());
        self.machines[machine].files = MemoryFiles::default();
        self.machines[machine].identity = self.draw(u64::MAX) | 1;
        let wait = 300 + self.draw(1_500);
        self.schedule(wait, Event::Restart(machine));
        self.now_ms + wait
    }
}
