//! Further rounds where the bound is on a window: a share of the jobs in it, and
//! some more, over all routers together.

use std::collections::{HashMap, VecDeque};

/// The bound over the whole fleet: in each window, for each service, further rounds
/// are at most `ratio` of its jobs in that window and `extra`.
#[derive(Clone, Copy)]
pub struct RetryLimit {
    pub ratio: f64,
    pub window_ms: u64,
    pub extra_retries: f64,
}

/// What is left unused of the bound: routers come and go, and what one spent before
/// a restart it has forgotten.
const USED: f64 = 0.7;

/// Counts of one service. Invariant: nothing older than the window is in either.
#[derive(Default)]
struct Counts {
    jobs: VecDeque<(u64, u32)>,
    rounds: VecDeque<(u64, u32)>,
}

const GRAIN_MS: u64 = 250;

fn note(counts: &mut VecDeque<(u64, u32)>, now: u64) {
    match counts.back_mut() {
        Some((at, count)) if now < *at + GRAIN_MS => *count += 1,
        _ => counts.push_back((now, 1)),
    }
}

fn sum(counts: &mut VecDeque<(u64, u32)>, now: u64, window_ms: u64) -> u32 {
    while counts
        .front()
        .is_some_and(|(at, _)| at + window_ms + GRAIN_MS < now)
    {
        counts.pop_front();
    }
    counts.iter().map(|(_, count)| count).sum()
}

/// One router's part of the bound. Invariant: over any window its own further
/// rounds are at most its share of both terms, so that the routers together keep
/// the bound without a word between them.
pub struct RetryBudget {
    bound: RetryLimit,
    services: HashMap<String, Counts>,
}

impl RetryBudget {
    pub fn new(bound: RetryLimit) -> RetryBudget {
        RetryBudget {
            bound,
            services: HashMap::new(),
        }
    }

    /// A job for a service came in.
    pub fn deposit(&mut self, now: u64, service: &str) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_string(), Counts::default());
        }
        if let Some(counts) = self.services.get_mut(service) {
            note(&mut counts.jobs, now);
            sum(&mut counts.jobs, now, self.bound.window_ms);
        }
    }

    /// Asks for one further round. `sharers` routers share the extra; 0 stands for
    /// not known, and then there is none.
    pub fn try_withdraw(&mut self, now: u64, service: &str, sharers: usize) -> bool {
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        let RetryLimit {
            ratio,
            window_ms,
            extra_retries,
        } = self.bound;
        // The jobs of the youngest half alone: a window that begins later than
        // this one may hold no more.
        let jobs = counts
            .jobs
            .iter()
            .filter(|(at, _)| now < at + window_ms / 2);
        let jobs: u32 = jobs.map(|(_, count)| count).sum();
        let extra = if sharers == 0 {
            0.0
        } else {
            extra_retries / sharers as f64
        };
        let most = USED * (ratio * f64::from(jobs) + extra);
        if f64::from(sum(&mut counts.rounds, now, window_ms) + 1) > most {
            return false;
        }
        note(&mut counts.rounds, now);
        true
    }
}
