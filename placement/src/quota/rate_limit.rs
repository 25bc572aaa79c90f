//! A tenant's quota.

/// A tenant's quota over all routers: a rate, and a burst above it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second; 0 stands for no quota.
    pub requests_per_s: u64,
    /// Requests that may be admitted at once after a time without any.
    pub burst: u64,
}
