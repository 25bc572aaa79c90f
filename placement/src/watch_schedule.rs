//! When a router looks what the directory nodes say of its lease, and how often it asks them.

/// How often it is looked what the nodes said, while that is of use.
const CHECK_INTERVAL_MS: u64 = 100;
/// How often it is looked at the least whether it is of use.
const CALM_CHECK_INTERVAL_MS: u64 = 900;
/// Nodes are asked from this long before the lease ends, so that one whose machine does not
/// acknowledge it is found out of reach by the time that the grace is over.
const BEFORE_END_MS: u64 = 1_300;
/// How often nodes are asked while no lease comes.
const QUERY_INTERVAL_MS: u64 = 300;
/// How often nodes are asked while leases come: a connection that was lost unnoticed is
/// then made anew.
const CALM_QUERY_INTERVAL_MS: u64 = 5_000;

/// The schedule by one lease.
#[derive(Clone, Copy, Debug)]
pub struct WatchSchedule {
    /// Until when the lease is valid; 0 if there was none.
    pub lease_until_ms: u64,
    /// How long past its end it may be extended.
    pub extension_ms: u64,
}

impl WatchSchedule {
    /// Whether nothing that the nodes say is of use: the lease is renewed in time, or there
    /// was none, or it ended too long ago to be extended.
    pub fn is_calm(&self, now: u64) -> bool {
        let is_extensible = now < self.lease_until_ms + self.extension_ms;
        self.lease_until_ms == 0 || now < self.needed_at_ms() || !is_extensible
    }

    /// When to look again.
    pub fn next_check_ms(&self, now: u64) -> u64 {
        let latest_ms = now + CALM_CHECK_INTERVAL_MS;
        match (self.is_calm(now), now < self.needed_at_ms()) {
            (false, _) => now + CHECK_INTERVAL_MS,
            (true, true) => self.needed_at_ms().min(latest_ms),
            // There was no lease, or it ended too long ago.
            (true, false) => latest_ms,
        }
    }

    /// How often nodes are asked.
    pub fn query_interval_ms(&self, now: u64) -> u64 {
        match self.is_calm(now) {
            true => CALM_QUERY_INTERVAL_MS,
            false => QUERY_INTERVAL_MS,
        }
    }

    /// From when on the lease needs to be extended unless it is renewed.
    fn needed_at_ms(&self) -> u64 {
        self.lease_until_ms.saturating_sub(BEFORE_END_MS)
    }
}
