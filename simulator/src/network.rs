//! The network between the machines: cuts, loss, duplicates, delay.

use super::{Due, Simulation};
use consensus::codec::{from_bytes, to_bytes};
use consensus::Message;

/// Connections are given up after so long.
const LONGEST_HELD_BACK_MS: u64 = 4_000;

impl Simulation {
    /// How long a question or an answer takes from one machine to another; `None`
    /// where it is lost. What meets a cut or a loss may be held back in a socket and
    /// arrive long after.
    pub(super) fn transit(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cuts.contains(&(from, to)) || self.chance(self.weather.loss) {
            return self
                .chance(500)
                .then(|| 200 + self.draw(LONGEST_HELD_BACK_MS));
        }
        Some(1 + self.draw(self.weather.delay))
    }

    pub(super) fn send(&mut self, from: usize, message: Message) {
        let Some(to) = self.place(message.to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || self.chance(self.weather.loss) {
            return;
        }
        let copies = if self.chance(self.weather.duplicates) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = 1 + self.draw(self.weather.delay);
            // Messages pass each other, and all go through bytes.
            let message = from_bytes(&to_bytes(&message)).expect("a message reads back");
            self.due(delay, Due::Deliver(message));
        }
    }
}
