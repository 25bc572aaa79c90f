//! Tenants' quotas, kept over all routers together, in one of two ways.
//!
//! With leases (`lease_limiter` at the routers, `lease_allocator` at the leader) a request is
//! admitted or rejected at once, by what the leader lent to the router before. With queueing
//! (`queueing_limiter`, `token_allocator`) a request that has no token yet waits until the
//! leader has given one.
//!
//! In a small fleet each router leases for the requests that it receives. In a larger one a
//! tenant's requests are spread over so many routers that none could be lent a whole one: there
//! one router of each region owns the tenant's lease, and the others ask it (`ownership`).
//!
//! In both ways, router and leader exchange counts since the router's process started, never
//! differences, so that a heartbeat or an answer that is lost, late or repeated changes
//! nothing.

mod admission_history;
mod lease_account;
mod lease_allocator;
mod lease_limiter;
mod lease_pool;
mod ownership;
mod queueing_limiter;
mod rate_limit;
mod tenant_lease;
mod tenant_queue;
mod token_account;
mod token_allocator;
mod token_bucket;
mod tolerance;

pub use lease_allocator::QuotaLeaseAllocator;
pub use lease_limiter::LeaseRateLimiter;
pub use ownership::{QuotaOwner, QuotaOwners};
pub use queueing_limiter::QueueingRateLimiter;
pub use rate_limit::RateLimit;
pub use tenant_lease::QUOTA_LEASE_MS;
pub use tenant_queue::{AdmissionDecision, QueueTicket};
pub use token_allocator::TokenAllocator;
pub use tolerance::{has_quota_owners, QuotaTolerance, STARTUP_RESERVE_RATIO};
