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

/// In a larger fleet no router has a floor: it would be no whole request, or a large part of
/// the quota would lie at routers that don't use it. All is leased from the pool then, to the
/// tenant's owners (`ownership`).
pub(super) const MAX_ROUTERS_WITH_FLOORS: usize = 16;

/// Whether tenants have owners in a fleet of so many routers; else each router leases for
/// itself.
pub fn has_quota_owners(routers: usize) -> bool {
    routers > MAX_ROUTERS_WITH_FLOORS
}

/// The inverse of `QuotaSplit::half_window_limit`, rounded down.
pub(super) fn window_limit_of_half(requests: u64) -> u64 {
    (requests as f64 / HALF_WINDOW_SHARE) as u64
}

/// How many of a window's requests may be admitted within half a window. Rounded down where
/// all is pooled: rounding up for each router of a large fleet would be more than the quota.
fn half_window_limit(requests: u64, is_pooled: bool) -> u64 {
    let limit = requests as f64 * HALF_WINDOW_SHARE;
    match is_pooled {
        true => limit.floor() as u64,
        false => limit.ceil() as u64,
    }
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
    /// No router has a floor.
    pub(super) is_pooled: bool,
}

/// By how many requests the half windows of so many routers exceed the half of all together:
/// each is rounded up, by less than one request, unless all is pooled.
fn half_window_rounding(routers: u64, is_pooled: bool) -> u64 {
    match is_pooled {
        true => 0,
        false => routers,
    }
}

impl QuotaTolerance {
    /// Half of the requests are the routers' own, as far as that is a whole request for each
    /// and tenants have no owners.
    pub(super) fn split(&self, limit: RateLimit, routers: usize) -> QuotaSplit {
        let refill = (limit.requests_per_s * self.window_ms) as f64 / 1_000.0;
        let allowed = ((refill + limit.burst as f64) * self.overrun_factor + self.extra_requests)
            .max(0.0) as u64;
        let is_pooled = has_quota_owners(routers);
        let routers = routers.max(1) as u64;
        let startup_floor = (allowed as f64 * STARTUP_RESERVE_RATIO) as u64 / routers;
        let total = allowed - startup_floor * routers;
        let floor = match is_pooled {
            true => 0,
            false => total / 2 / routers,
        };
        let admitted_in_half =
            half_window_limit(total, is_pooled) + half_window_rounding(routers, is_pooled);
        QuotaSplit {
            floor,
            startup_floor,
            pool: total - floor * routers,
            restart_pool: allowed.saturating_sub(admitted_in_half + startup_floor * routers),
            total,
            is_pooled,
        }
    }
}

impl QuotaSplit {
    /// How many of a window's requests may be admitted within half a window.
    pub(super) fn half_window_limit(&self, requests: u64) -> u64 {
        half_window_limit(requests, self.is_pooled)
    }

    /// What the half windows of so many accounts may be together.
    pub(super) fn half_window_total(&self, accounts: u64) -> u64 {
        self.half_window_limit(self.total) + half_window_rounding(accounts, self.is_pooled)
    }

    /// How much of the rate may be saved up, in requests.
    pub(super) fn capacity(&self) -> f64 {
        self.total as f64
    }
}

/// Requests that a rate allows in a time.
pub(super) fn refill(elapsed_ms: u64, requests_per_s: u64) -> f64 {
    (elapsed_ms * requests_per_s) as f64 / 1_000.0
}
