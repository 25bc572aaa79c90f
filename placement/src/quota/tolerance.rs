//! How far a tenant may exceed its quota, and how that is divided over the routers.

use super::rate_limit::RateLimit;

/// How far past its quota a tenant may get over all routers: in any window of `window_ms`,
/// what rate and burst allow times `overrun_factor`, and `extra_requests`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Factor on what rate and burst allow.
    pub overrun_factor: f64,
    /// Requests beyond that.
    pub extra_requests: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// The share of a window's requests that is reserved for processes that started within the
/// window: where all were lost at once, nobody knows what they admitted before.
pub const STARTUP_RESERVE_RATIO: f64 = 0.25;
/// The share of its part of a window that a router may admit within half a window. It limits
/// how much of what was admitted before a loss of all processes may still count.
const HALF_WINDOW_SHARE: f64 = 0.7;

/// How many of a window's requests may be admitted within half a window.
pub(super) fn half_window_limit(requests: u64) -> u64 {
    (requests as f64 * HALF_WINDOW_SHARE).ceil() as u64
}

/// The inverse of `half_window_limit`, rounded down.
pub(super) fn window_limit_of_half(requests: u64) -> u64 {
    (requests as f64 / HALF_WINDOW_SHARE) as u64
}

/// How the requests that the tolerance allows in a window are divided. Invariant: the startup
/// floors and the floors of all routers and the pool together are no more than that.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct QuotaSplit {
    /// Each router's own part.
    pub(super) floor: u64,
    /// The own part of a router that started within the window, in place of the floor.
    pub(super) startup_floor: u64,
    /// What the leader lends.
    pub(super) pool: u64,
    /// What the leader lends if all processes started within the window, and the earlier half
    /// of it is over.
    pub(super) restart_pool: u64,
    /// Floors and pool together.
    pub(super) total: u64,
}

impl QuotaTolerance {
    /// Half of the requests are the routers' own, as far as that is a whole request for each.
    pub(super) fn split(&self, limit: RateLimit, routers: usize) -> QuotaSplit {
        let refill = (limit.requests_per_s * self.window_ms) as f64 / 1_000.0;
        let allowed = ((refill + limit.burst as f64) * self.overrun_factor + self.extra_requests)
            .max(0.0) as u64;
        let routers = routers.max(1) as u64;
        let startup_floor = (allowed as f64 * STARTUP_RESERVE_RATIO) as u64 / routers;
        let total = allowed - startup_floor * routers;
        let floor = total / 2 / routers;
        // Each router's half is rounded up, by less than one request.
        let admitted_in_half = half_window_limit(total) + routers;
        QuotaSplit {
            floor,
            startup_floor,
            pool: total - floor * routers,
            restart_pool: allowed.saturating_sub(admitted_in_half + startup_floor * routers),
            total,
        }
    }
}

impl QuotaSplit {
    /// How much of the rate may be saved up, in requests.
    pub(super) fn capacity(&self) -> f64 {
        self.total as f64
    }
}

/// Requests that a rate allows in a time.
pub(super) fn refill(elapsed_ms: u64, requests_per_s: u64) -> f64 {
    (elapsed_ms * requests_per_s) as f64 / 1_000.0
}
