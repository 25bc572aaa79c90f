//! Tenants' quotas over all routers.

mod lease_limiter;
mod queueing_limiter;

pub use lease_limiter::{
    LeaseRateLimiter, QuotaLeaseAllocator, QuotaTolerance, QUOTA_LEASE_MS, STARTUP_RESERVE_RATIO,
};
pub use queueing_limiter::{AdmissionDecision, QueueingRateLimiter, TokenAllocator};
