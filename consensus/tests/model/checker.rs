//! An explicit-state model checker: breadth-first over every order of actions
//! to a bounded depth, and seeded random walks beyond it.
//!
//! A breadth-first run finds a shortest counterexample. States are told apart
//! by a 64-bit fingerprint; a counterexample is replayed from its actions.

use std::collections::HashMap;
use std::fmt::{self, Debug, Display};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a model breaks, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub property: &'static str,
    pub detail: String,
}

/// A transition system. Properties are checked while a transition is taken.
pub trait Model: Sync {
    type State: Clone + Send + Sync;
    type Action: Clone + Debug + Send;

    fn initial(&self) -> Self::State;
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    fn next(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, Violation>;
    fn fingerprint(&self, state: &Self::State) -> u64;
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most actions in a row.
    pub depth: usize,
    /// No further level is begun once this many states are known.
    pub states: usize,
    pub threads: usize,
}

/// A run of actions that breaks a property.
#[derive(Debug)]
pub struct Counterexample {
    pub violation: Violation,
    pub trace: Vec<String>,
}

#[derive(Debug)]
pub struct Report {
    pub states: usize,
    pub transitions: usize,
    /// The deepest level that was explored in full.
    pub depth: usize,
    /// Nothing is left to explore: the model has no further states.
    pub is_exhausted: bool,
    pub elapsed: Duration,
    pub counterexample: Option<Counterexample>,
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let end = if self.is_exhausted { ", exhausted" } else { "" };
        write!(
            f,
            "depth {}{end}, {} states, {} transitions, {:.1} s",
            self.depth,
            self.states,
            self.transitions,
            self.elapsed.as_secs_f64()
        )?;
        if let Some(found) = &self.counterexample {
            let Violation { property, detail } = &found.violation;
            write!(
                f,
                "\nFOUND after {} actions: {property}: {detail}",
                found.trace.len()
            )?;
            for (at, action) in found.trace.iter().enumerate() {
                write!(f, "\n  {:2}. {action}", at + 1)?;
            }
        }
        Ok(())
    }
}

/// How a state was first reached: its parent and the number of the action.
type Origin = (u64, u32);

const SHARDS: u64 = 64;

/// The fingerprints seen so far, shared among threads.
struct Visited(Vec<Mutex<HashMap<u64, Origin>>>);

impl Visited {
    fn new() -> Visited {
        Visited((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    fn shard(&self, fingerprint: u64) -> &Mutex<HashMap<u64, Origin>> {
        &self.0[(fingerprint % SHARDS) as usize]
    }

    /// Whether the state is new.
    fn insert(&self, fingerprint: u64, origin: Origin) -> bool {
        let mut shard = self
            .shard(fingerprint)
            .lock()
            .expect("no thread panics with it");
        match shard.entry(fingerprint) {
            std::collections::hash_map::Entry::Occupied(_) => false,
            std::collections::hash_map::Entry::Vacant(vacant) => {
                vacant.insert(origin);
                true
            }
        }
    }

    fn origin(&self, fingerprint: u64) -> Option<Origin> {
        let shard = self
            .shard(fingerprint)
            .lock()
            .expect("no thread panics with it");
        shard.get(&fingerprint).copied()
    }

    fn len(&self) -> usize {
        self.0
            .iter()
            .map(|shard| shard.lock().expect("no thread panics with it").len())
            .sum()
    }
}

/// What one thread found in one level.
struct Expansion<S> {
    next: Vec<(u64, S)>,
    transitions: usize,
    broken: Option<(u64, u32, Violation)>,
}

fn expand<M: Model>(
    model: &M,
    level: &[(u64, M::State)],
    cursor: &AtomicUsize,
    visited: &Visited,
) -> Expansion<M::State> {
    let mut found = Expansion {
        next: Vec::new(),
        transitions: 0,
        broken: None,
    };
    while let Some((parent, state)) = level.get(cursor.fetch_add(1, Ordering::Relaxed)) {
        for (number, action) in model.actions(state).iter().enumerate() {
            found.transitions += 1;
            match model.next(state, action) {
                Ok(next) => {
                    let fingerprint = model.fingerprint(&next);
                    if visited.insert(fingerprint, (*parent, number as u32)) {
                        found.next.push((fingerprint, next));
                    }
                }
                Err(violation) => {
                    found.broken = Some((*parent, number as u32, violation));
                    cursor.store(level.len(), Ordering::Relaxed);
                    return found;
                }
            }
        }
    }
    found
}

/// Explores level by level until a property breaks or a limit is reached.
pub fn check<M: Model>(model: &M, limits: Limits) -> Report {
    let begin = Instant::now();
    let visited = Visited::new();
    let root = model.initial();
    let root_fingerprint = model.fingerprint(&root);
    visited.insert(root_fingerprint, (0, 0));
    let mut level = vec![(root_fingerprint, root)];
    let (mut depth, mut transitions, mut broken) = (0, 0, None);
    while depth < limits.depth && !level.is_empty() && visited.len() < limits.states {
        let cursor = AtomicUsize::new(0);
        let expansions: Vec<_> = std::thread::scope(|scope| {
            let workers: Vec<_> = (0..limits.threads)
                .map(|_| scope.spawn(|| expand(model, &level, &cursor, &visited)))
                .collect();
            workers
                .into_iter()
                .map(|worker| worker.join().expect("a worker ends"))
                .collect()
        });
        level = Vec::new();
        for expansion in expansions {
            transitions += expansion.transitions;
            level.extend(expansion.next);
            broken = broken.or(expansion.broken);
        }
        if broken.is_some() {
            break;
        }
        depth += 1;
    }
    let counterexample = broken.map(|(parent, number, violation)| {
        let numbers = path(&visited, root_fingerprint, parent, number);
        Counterexample {
            violation,
            trace: replay(model, &numbers),
        }
    });
    Report {
        states: visited.len(),
        transitions,
        depth,
        is_exhausted: level.is_empty() && counterexample.is_none(),
        elapsed: begin.elapsed(),
        counterexample,
    }
}

fn path(visited: &Visited, root: u64, mut parent: u64, last: u32) -> Vec<u32> {
    let mut numbers = vec![last];
    while parent != root {
        let (before, number) = visited.origin(parent).expect("each state has an origin");
        numbers.push(number);
        parent = before;
    }
    numbers.reverse();
    numbers
}

fn replay<M: Model>(model: &M, numbers: &[u32]) -> Vec<String> {
    let mut state = model.initial();
    let mut trace = Vec::new();
    for number in numbers {
        let action = model.actions(&state)[*number as usize].clone();
        trace.push(format!("{action:?}"));
        match model.next(&state, &action) {
            Ok(next) => state = next,
            Err(_) => break,
        }
    }
    trace
}

/// Random walks from fixed seeds: deeper than breadth-first, and not complete.
pub fn walk<M: Model>(model: &M, seeds: std::ops::Range<u64>, length: usize) -> Report {
    let begin = Instant::now();
    let mut transitions = 0;
    let mut counterexample = None;
    for seed in seeds {
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut state = model.initial();
        let mut trace = Vec::new();
        while trace.len() < length && counterexample.is_none() {
            let actions = model.actions(&state);
            if actions.is_empty() {
                break;
            }
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            let action = &actions[(random >> 11) as usize % actions.len()];
            trace.push(format!("{action:?}"));
            transitions += 1;
            match model.next(&state, action) {
                Ok(next) => state = next,
                Err(violation) => {
                    let trace = std::mem::take(&mut trace);
                    counterexample = Some(Counterexample { violation, trace });
                }
            }
        }
        if counterexample.is_some() {
            break;
        }
    }
    let elapsed = begin.elapsed();
    Report {
        states: 0,
        transitions,
        depth: length,
        is_exhausted: false,
        elapsed,
        counterexample,
    }
}
