//! The network between the machines: cuts, loss, duplicates, delay.

use crate::machine::MachineIndex;
use crate::simulation::{Event, Simulation};
use consensus::codec::{from_bytes, to_bytes};
use consensus::Message;

/// Connections are given up after so long.
const MAX_HELD_BACK_MS: u64 = 4_000;

impl Simulation {
    /// How long a question or an answer takes from one machine to another; `None`
    /// where it is lost. What meets a cut or a loss may be held back in a socket and
    /// arrive long after.
    pub(crate) fn draw_transit_ms(&mut self, from: MachineIndex, to: MachineIndex) -> Option<u64> {
        if self.cut_links.contains(&(from, to)) || self.chance(self.profile.loss) {
            return self.chance(500).then(|| 200 + self.draw(MAX_HELD_BACK_MS));
        }
        Some(1 + self.draw(self.profile.delay))
    }

    pub(crate) fn send(&mut self, from: MachineIndex, message: Message) {
        let Some(to) = self.machine_of(message.to) else {
            return;
        };
        if self.cut_links.contains(&(from, to)) || self.chance(self.profile.loss) {
            return;
        }
        let copies = if self.chance(self.profile.duplicates) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = 1 + self.draw(self.profile.delay);
            // Messages pass each other, and all go through bytes.
            let message = from_bytes(&to_bytes(&message)).expect("a message reads back");
            self.schedule(delay, Event::Deliver(message));
        }
    }
}
