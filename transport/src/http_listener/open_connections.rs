//! The open connections of a listener, and which of them makes room for another one.

use super::connection::{ConnectionState, Phase};
use crate::now;
use std::collections::HashMap;
use std::sync::Arc;

/// The share of the most connections by which they may be exceeded while others end, as a divisor.
const ENDING_DIVISOR: usize = 8;
/// A client that has read nothing of the end of its response for so long may be given up, if its
/// connection's room is needed.
const MIN_FLUSH_STALL_MS: u64 = 1_000;

/// What becomes of a connection that comes when there are as many as there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// There is room for it, or there soon is.
    Admitted,
    /// Every other one is in use, but for requests that may stand still.
    InUse,
    /// So many are about to end that it has to wait for them.
    Refused,
}

/// One of the connections of a listener, to be removed by its number.
pub(super) struct OpenConnection {
    pub number: u64,
    pub state: Arc<ConnectionState>,
}

/// The connections of a listener. Invariant: those that aren't about to end are `max` at most,
/// not counting those admitted in the place of a body that was ended.
pub(super) struct OpenConnections {
    max: usize,
    by_number: HashMap<u64, Arc<ConnectionState>>,
    next: u64,
    /// Those that were ended to make room.
    ending: usize,
}

impl OpenConnections {
    pub fn new(max: usize) -> OpenConnections {
        OpenConnections {
            max,
            by_number: HashMap::new(),
            next: 0,
            ending: 0,
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<ConnectionState>> {
        self.by_number.values()
    }

    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// One more connection, which is idle.
    pub fn open(&mut self) -> OpenConnection {
        let number = self.next;
        self.next += 1;
        let state = Arc::new(ConnectionState::default());
        state.enter(Phase::Idle);
        self.by_number.insert(number, Arc::clone(&state));
        OpenConnection { number, state }
    }

    pub fn remove(&mut self, number: u64) {
        if let Some(state) = self.by_number.remove(&number) {
            self.ending -= usize::from(state.makes_room());
        }
    }

    /// Whether there is room for one more. If need be, the connection that has been of no use
    /// for the longest time is ended.
    pub fn make_room(&mut self) -> Admission {
        if self.by_number.len() - self.ending < self.max {
            return Admission::Admitted;
        }
        if self.ending > self.max / ENDING_DIVISOR {
            return Admission::Refused;
        }
        match self.least_useful() {
            Some(state) => {
                state.end_to_make_room();
                self.ending += 1;
                Admission::Admitted
            }
            None => Admission::InUse,
        }
    }

    /// Between requests or within a head, else at the end of a response that isn't read; of each
    /// the one that has been so for the longest time. One that has just come is the last of all:
    /// its request may be here and not read yet.
    fn least_useful(&self) -> Option<Arc<ConnectionState>> {
        let now_ms = now();
        let candidates = self.by_number.iter().filter_map(|(number, state)| {
            let since_ms = state.since_ms();
            let rank = match state.phase() {
                _ if state.makes_room() => return None,
                Phase::Idle | Phase::ReadingHead => 0,
                Phase::Flushing if now_ms >= since_ms + MIN_FLUSH_STALL_MS => 1,
                Phase::Flushing | Phase::Handling => return None,
            };
            Some(((rank, since_ms, number), state))
        });
        let (_, least_useful) = candidates.min_by_key(|(key, _)| *key)?;
        Some(Arc::clone(least_useful))
    }
}
