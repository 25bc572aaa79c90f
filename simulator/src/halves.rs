//! Cuts all machines into two halves for some seconds, whatever else is lost meanwhile.
//! Operators go on reaching the machines of both halves.

use crate::machine::MachineIndex;
use crate::simulation::{Event, Simulation};

const SHORTEST_CUT_MS: u64 = 1_000;
/// Drawn beside the shortest.
const CUT_RANGE_MS: u64 = 6_000;
/// An even number of voters is rare: they are cut so many times as often.
const EVEN_VOTERS_FACTOR: u64 = 40;

impl Simulation {
    /// Draws whether the machines are cut into two halves in this round.
    pub(crate) fn inject_halving(&mut self, thousandths_per_s: u64) {
        // Nothing is drawn in other profiles, so that their seeds stay what they are.
        if thousandths_per_s == 0 || !self.cut_links.is_empty() {
            return;
        }
        let voters = self.voters();
        let is_even = !voters.is_empty() && voters.len().is_multiple_of(2);
        let factor = if is_even { EVEN_VOTERS_FACTOR } else { 1 };
        if self.draw_target(thousandths_per_s * factor).is_none() {
            return;
        }
        self.report.halvings += 1;
        self.report.even_halvings += usize::from(is_even);
        let half = self.draw_half(&voters);
        self.cut_off(&half);
        let wait_ms = SHORTEST_CUT_MS + self.draw(CUT_RANGE_MS);
        self.schedule(wait_ms, Event::Heal);
    }

    /// The machines that the leader takes for voters.
    fn voters(&self) -> Vec<MachineIndex> {
        let leader = self.leader();
        let live = leader.and_then(|leader| self.machines[leader].live.as_ref());
        live.map_or(Vec::new(), |live| {
            let voters = live.node.members().voters.iter();
            voters
                .filter_map(|voter| self.machine_of(voter.identity))
                .collect()
        })
    }

    /// Half of the voters, or the smaller part of an odd number, and some of all others.
    fn draw_half(&mut self, voters: &[MachineIndex]) -> Vec<MachineIndex> {
        let mut shuffled = voters.to_vec();
        for place in 1..shuffled.len() {
            let other = self.draw(place as u64 + 1) as usize;
            shuffled.swap(place, other);
        }
        shuffled.truncate(voters.len() / 2);
        for machine in 0..self.machines.len() {
            if !voters.contains(&machine) && self.chance(500) {
                shuffled.push(machine);
            }
        }
        shuffled
    }

    /// Cuts these machines off all others, in both directions.
    fn cut_off(&mut self, inside: &[MachineIndex]) {
        let outside = (0..self.machines.len()).filter(|machine| !inside.contains(machine));
        let outside: Vec<MachineIndex> = outside.collect();
        for inside in inside {
            for outside in &outside {
                self.cut_links.insert((*inside, *outside));
                self.cut_links.insert((*outside, *inside));
            }
        }
    }
}
