//! Carries out the weather: draws faults and brings them about.

use super::disk::MemoryFiles;
use super::{Due, Simulation};
use consensus::node::Input;
use consensus::NodeId;

impl Simulation {
    pub(super) fn faults(&mut self) -> Result<(), String> {
        let weather = self.weather;
        let count = self.machines.len();
        // Called twenty times a second.
        let each = |simulation: &mut Simulation, thousandths: u64| {
            (simulation.draw(20_000) < thousandths).then(|| simulation.draw(count as u64) as usize)
        };
        if let Some(at) = each(self, weather.crashes) {
            self.crash(at);
            let wait = 100 + self.draw(2_500);
            self.due(wait, Due::Restart(at));
        }
        if each(self, weather.all_down).is_some() {
            for at in 0..count {
                self.crash(at);
                let wait = 200 + self.draw(1_500);
                self.due(wait, Due::Restart(at));
            }
        }
        if let Some(at) = each(self, weather.cuts) {
            // One node, or one zone, is cut off in both directions.
            let zone = self.machines[at].zone.clone();
            let whole_zone = self.chance(400);
            for a in 0..count {
                let is_inside = a == at || (whole_zone && self.machines[a].zone == zone);
                for b in (0..count).filter(|_| is_inside) {
                    if !(whole_zone && self.machines[b].zone == zone) {
                        self.cuts.insert((a, b));
                        self.cuts.insert((b, a));
                    }
                }
            }
            let wait = 200 + self.draw(3_000);
            self.due(wait, Due::Heal);
        }
        if let Some(at) = each(self, weather.one_way) {
            let to = self.draw(count as u64) as usize;
            self.cuts.insert((at, to));
            let wait = 200 + self.draw(3_000);
            self.due(wait, Due::Heal);
        }
        if let Some(at) = each(self, weather.slow_disks) {
            // As often as not the one whose disk matters most.
            let at = self
                .leader()
                .filter(|_| self.tokens.is_multiple_of(2))
                .unwrap_or(at);
            self.machines[at].slow_until = self.now + 500 + self.draw(3_000);
        }
        if let Some(at) = each(self, weather.full_disks) {
            if self.machines[at].live.is_some() {
                self.machines[at].files.set_full(true);
                let wait = 1_000 + self.draw(3_000);
                let life = self.machines[at].life;
                self.due(wait, Due::DiskFreed(at, life));
            }
        }
        if let Some(at) = each(self, weather.freezes) {
            let at = self
                .leader()
                .filter(|_| self.tokens.is_multiple_of(2))
                .unwrap_or(at);
            let time = 200 + self.draw(4_000);
            self.machines[at].frozen_until = self.now + time;
            let life = self.machines[at].life;
            self.due(time, Due::ReadAfterFreeze(at, life));
        }
        if each(self, weather.leadership_transfers).is_some() {
            if let Some(at) = self.leader().filter(|at| self.is_up(*at)) {
                self.step(at, Input::TransferLeadership)?;
            }
        }
        if let Some(at) = each(self, weather.lost_disks) {
            self.lose_disk(at);
        }
        Ok(())
    }

    /// Any number of machines dies in the moment of an acknowledgement, whoever
    /// gave it among them; a minority of the voters may lose its disks with it.
    pub(super) fn lose_power_after_ack(&mut self, at: usize) {
        let count = self.machines.len();
        let mut doomed: Vec<usize> = vec![at];
        doomed.extend((0..count).filter(|other| *other != at));
        let dying = 1 + self.draw(count as u64) as usize;
        // The first is whoever gave the word; the others in a drawn order.
        for place in 1..count {
            let other = place + self.draw((count - place) as u64) as usize;
            doomed.swap(place, other);
        }
        let most = match self.whole_voters() {
            Some(voters) => (voters - 1) / 2,
            None => 0,
        };
        let mut lost = match self.chance(self.weather.disks_lost_after_ack) {
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
        for at in doomed.into_iter().take(dying) {
            if lost > 0 && identities.contains(&self.machines[at].identity) {
                lost -= 1;
                self.replace_disk(at);
                continue;
            }
            self.crash(at);
            let wait = 100 + self.draw(1_500);
            self.due(wait, Due::Restart(at));
        }
    }

    /// How many voters there are, where each of them is up and has its disk,
    /// nobody is being let in, and the membership counts: while a voter is being
    /// added, two of five are two of four to those who have not heard of it.
    pub(super) fn whole_voters(&self) -> Option<usize> {
        let leader = self.leader()?;
        let node = &self.machines[leader].live.as_ref()?.node;
        if !node.can_change_membership() {
            return None;
        }
        let members = node.members();
        let is_whole = |identity| {
            let at = self.place(identity)?;
            (self.is_up(at) && !self.machines[at].is_blank).then_some(())
        };
        let all_whole = members.voters.len() >= 3
            && members.learners.is_empty()
            && members
                .voters
                .iter()
                .all(|voter| is_whole(voter.identity).is_some());
        all_whole.then_some(members.voters.len())
    }

    /// A disk is lost only while every voter has its own: more than a minority
    /// can't be asked of any majority.
    pub(super) fn lose_disk(&mut self, at: usize) {
        let Some(leader) = self.leader().filter(|leader| *leader != at) else {
            return;
        };
        let Some(live) = self.machines[leader].live.as_ref() else {
            return;
        };
        let is_voter = live.node.members().is_voter(self.machines[at].identity);
        if is_voter && self.whole_voters().is_some() {
            self.replace_disk(at);
        }
    }

    /// Returns when it starts again, with an empty disk.
    pub(super) fn replace_disk(&mut self, at: usize) -> u64 {
        self.crash(at);
        self.report.disks_lost += 1;
        self.machines[at].files = MemoryFiles::default();
        self.machines[at].identity = self.draw(u64::MAX) | 1;
        let wait = 300 + self.draw(1_500);
        self.due(wait, Due::Restart(at));
        self.now + wait
    }
}
