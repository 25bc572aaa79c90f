//! The retry budget: in each window a share of the requests, and some more, over all routers
//! together.

use std::collections::{HashMap, VecDeque};

/// The bound over the whole fleet: in each window, for each service, the retries are at most
/// `ratio` of the service's requests in that window, and `extra_retries`.
#[derive(Clone, Copy)]
pub struct RetryLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
    /// Retries beyond the ratio, of all routers together.
    pub extra_retries: f64,
}

/// The share of the bound that is used. The rest covers routers that join or leave, and what
/// a router spent before a restart, which it does not remember.
const USED_SHARE: f64 = 0.7;
/// The share of `extra_retries` that is used by a process younger than a window. Together
/// with what all processes may have spent before they were restarted at once it is the whole.
const YOUNG_EXTRA_SHARE: f64 = 1.0 - USED_SHARE;
/// Events within this time are counted as one entry, to bound the memory.
const GRAIN_MS: u64 = 250;

/// Events that happened at about the same time.
struct CountedEvents {
    at_ms: u64,
    count: u32,
}

/// Events of one kind in the last window.
#[derive(Default)]
struct WindowCounter(VecDeque<CountedEvents>);

impl WindowCounter {
    fn record(&mut self, now: u64) {
        match self.0.back_mut() {
            Some(last) if now < last.at_ms + GRAIN_MS => last.count += 1,
            _ => self.0.push_back(CountedEvents {
                at_ms: now,
                count: 1,
            }),
        }
    }

    /// Drops what is older than the window.
    fn expire(&mut self, now: u64, window_ms: u64) {
        while self
            .0
            .front()
            .is_some_and(|first| first.at_ms + window_ms + GRAIN_MS < now)
        {
            self.0.pop_front();
        }
    }

    /// Events in the last `span_ms`.
    fn count_within(&self, now: u64, span_ms: u64) -> u32 {
        let recent = self.0.iter().filter(|entry| now < entry.at_ms + span_ms);
        recent.map(|entry| entry.count).sum()
    }

    /// All events that are kept.
    fn total(&self) -> u32 {
        self.0.iter().map(|entry| entry.count).sum()
    }
}

/// The counts of one service. Invariant: neither holds anything older than the window.
#[derive(Default)]
struct ServiceCounts {
    requests: WindowCounter,
    retries: WindowCounter,
}

/// One router's part of the bound.
///
/// Bound: in any window its own retries are at most its own share of both terms of
/// `RetryLimit`, so that all routers together keep the limit without communication, also
/// where all of them are restarted once within a window.
pub struct RetryBudget {
    limit: RetryLimit,
    started_ms: u64,
    services: HashMap<String, ServiceCounts>,
}

impl RetryBudget {
    /// The empty budget of a process that starts now: nothing may be retried before the first
    /// request.
    pub fn new(limit: RetryLimit, now: u64) -> RetryBudget {
        RetryBudget {
            limit,
            started_ms: now,
            services: HashMap::new(),
        }
    }

    /// A request for a service was received.
    pub fn deposit(&mut self, now: u64, service: &str) {
        if !self.services.contains_key(service) {
            let counts = ServiceCounts::default();
            self.services.insert(service.to_string(), counts);
        }
        if let Some(counts) = self.services.get_mut(service) {
            counts.requests.record(now);
            counts.requests.expire(now, self.limit.window_ms);
        }
    }

    /// Spends one retry of a service; `false` if the budget does not allow it. `routers` is
    /// the number of routers that share `extra_retries`; 0 stands for not known, and then
    /// there are none.
    pub fn try_withdraw(&mut self, now: u64, service: &str, routers: usize) -> bool {
        let extra_share = self.extra_share(now);
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        let RetryLimit {
            ratio,
            window_ms,
            extra_retries,
        } = self.limit;
        // Only the requests of the younger half of the window count: a window that begins
        // later than this one may hold no more.
        let requests = counts.requests.count_within(now, window_ms / 2);
        let extra = if routers == 0 {
            0.0
        } else {
            extra_retries / routers as f64
        };
        let allowed = USED_SHARE * ratio * f64::from(requests) + extra_share * extra;
        counts.retries.expire(now, window_ms);
        if f64::from(counts.retries.total() + 1) > allowed {
            return false;
        }
        counts.retries.record(now);
        true
    }

    /// The share of `extra_retries` that this process may use.
    fn extra_share(&self, now: u64) -> f64 {
        let is_young = now < self.started_ms + self.limit.window_ms + GRAIN_MS;
        match is_young {
            true => YOUNG_EXTRA_SHARE,
            false => USED_SHARE,
        }
    }
}
