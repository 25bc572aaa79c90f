//! Checks histories of concurrent calls for linearizability, by the search of Wing and Gong
//! with Lowe's memory of visited positions: is there one order of the calls, each taking
//! effect at one moment between its start and its end, in which a sequential object gives
//! the same responses?

use std::collections::HashSet;
use std::hash::Hash;

/// An object that is called by one caller at a time.
pub trait SequentialObject: Clone + Eq + Hash {
    /// The operations.
    type Operation;
    /// Their responses.
    type Response;

    /// The object after the operation, if the operation may give this response.
    /// `None` for a response stands for one that nobody saw.
    fn step(&self, operation: &Self::Operation, response: Option<&Self::Response>) -> Option<Self>;
}

/// One call. Times only order the calls' starts and ends; no two are the same.
#[derive(Clone, Debug)]
pub struct Call<O, R> {
    /// What was called.
    pub operation: O,
    /// When the call began.
    pub invoked: u64,
    /// The response, and when it came. `None`: the call may have taken effect, or may yet,
    /// or never will.
    pub returned: Option<(R, u64)>,
    /// A call without a response takes effect before this moment, or never.
    pub expires: u64,
}

/// Whether the calls are linearizable over an object that begins as `initial`.
pub fn is_linearizable<S: SequentialObject>(
    initial: S,
    calls: &[Call<S::Operation, S::Response>],
) -> bool {
    let mut search = Search {
        calls,
        seen: HashSet::new(),
    };
    let start = Position {
        taken: vec![0; calls.len().div_ceil(64)],
        newest_start: 0,
        object: initial,
    };
    search.run(start)
}

/// Which calls have taken effect, and what they made of the object.
#[derive(Clone)]
struct Position<S> {
    taken: Vec<u64>,
    /// The latest start among them.
    newest_start: u64,
    object: S,
}

impl<S> Position<S> {
    fn has_taken(&self, call: usize) -> bool {
        self.taken[call / 64] & (1 << (call % 64)) != 0
    }
}

struct Search<'a, S: SequentialObject> {
    calls: &'a [Call<S::Operation, S::Response>],
    seen: HashSet<(Vec<u64>, S)>,
}

impl<S: SequentialObject> Search<'_, S> {
    fn run(&mut self, start: Position<S>) -> bool {
        let mut open = vec![start];
        while let Some(position) = open.pop() {
            let Some(first_end) = self.first_end(&position) else {
                return true;
            };
            if !self
                .seen
                .insert((position.taken.clone(), position.object.clone()))
            {
                continue;
            }
            for call in 0..self.calls.len() {
                open.extend(self.next(&position, call, first_end));
            }
        }
        false
    }

    /// The first end among answered calls that have not taken effect; `None` when
    /// all have.
    fn first_end(&self, position: &Position<S>) -> Option<u64> {
        let open = self
            .calls
            .iter()
            .enumerate()
            .filter(|(at, _)| !position.has_taken(*at));
        open.filter_map(|(_, call)| call.returned.as_ref().map(|(_, end)| *end))
            .min()
    }

    /// Lets one call take effect next, if it may.
    fn next(&self, position: &Position<S>, at: usize, first_end: u64) -> Option<Position<S>> {
        let call = &self.calls[at];
        let is_late = position.newest_start > call.expires;
        if position.has_taken(at) || call.invoked > first_end || is_late {
            return None;
        }
        let response = call.returned.as_ref().map(|(response, _)| response);
        let object = position.object.step(&call.operation, response)?;
        // A call without a response that changes nothing need not be placed.
        if response.is_none() && object == position.object {
            return None;
        }
        let mut taken = position.taken.clone();
        taken[at / 64] |= 1 << (at % 64);
        let newest_start = position.newest_start.max(call.invoked);
        Some(Position {
            taken,
            newest_start,
            object,
        })
    }
}
