//! Which process may start requests at an engine that is warming up.

use super::health_report::HealthReport;
use crate::rendezvous::rank;
use std::collections::BTreeSet;

/// An engine's own clock is divided into intervals of this length while it warms up.
const INTERVAL_MS: u64 = 500;
/// Requests are started only in the first part of an interval. The rest covers the way of
/// a request to the engine, so that the count at the next interval's start includes it.
const START_WINDOW_MS: u64 = 250;

/// The concurrency limit of an engine that is warming up, divided over all processes
/// without communication: in each interval of the engine's clock, each position below the
/// limit belongs to one process by rendezvous hashing and may be used once.
///
/// Invariants: requests of earlier intervals occupy the lowest positions, by the engine's
/// own count at the start of the interval; nothing is started in the last part of an
/// interval, so that the next count includes everything that was started.
#[derive(Default)]
pub(super) struct WarmUpSlots {
    interval: u64,
    /// Requests that ran or were queued when the interval began.
    occupied: u32,
    used: BTreeSet<u32>,
    /// Requests may be started before this time of this process's clock.
    start_by_ms: u64,
}

impl WarmUpSlots {
    /// Begins a new interval if the engine's clock has reached one.
    pub(super) fn record_report(&mut self, now: u64, report: &HealthReport) {
        let interval = report.uptime_ms / INTERVAL_MS;
        if interval != self.interval {
            *self = WarmUpSlots {
                interval,
                occupied: report.running + report.queued,
                used: BTreeSet::new(),
                start_by_ms: now + START_WINDOW_MS.saturating_sub(report.uptime_ms % INTERVAL_MS),
            };
        }
    }

    /// The lowest unused position below `limit` that belongs to this process. `own_hash` and
    /// `peers` are the hashes of the names of the processes that share the engine.
    pub(super) fn free_position(
        &self,
        now: u64,
        limit: u32,
        engine_hash: u64,
        own_hash: u64,
        peers: &[u64],
    ) -> Option<u32> {
        if now >= self.start_by_ms {
            return None;
        }
        let is_mine = |position: &u32| {
            let key = rank(engine_hash ^ self.interval, u64::from(*position));
            let owner = peers.iter().max_by_key(|peer| rank(key, **peer));
            owner == Some(&own_hash)
        };
        (self.occupied..limit)
            .filter(|position| !self.used.contains(position))
            .find(is_mine)
    }

    /// Uses a position and returns the time by which the first byte must be sent.
    pub(super) fn take(&mut self, position: u32) -> u64 {
        self.used.insert(position);
        self.start_by_ms
    }
}
