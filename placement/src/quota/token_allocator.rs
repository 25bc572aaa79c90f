//! The leader's side of quotas with queueing: tokens are given out ahead of use, and counted
//! by the routers that admit with them.

use super::rate_limit::RateLimit;
use super::token_bucket::TenantTokenBucket;
use protocol::{RouterDemand, RouterGrants, LEASE_MS};
use std::collections::BTreeMap;

/// Until a new leader has led for this long, routers that it has not heard may have tokens,
/// and it gives only half of what it could.
const HEARING_MS: u64 = LEASE_MS;

/// The tenants' token buckets at the leader. A new leader does not know what the one before
/// gave, and computes each bucket's level from what routers report as admitted lately.
///
/// Bound: over any span of time a tenant gets its rate and its burst; over a change of leader
/// or the loss of routers up to a tenth more, as measured by `tests/queueing_quota.rs`.
pub struct TokenAllocator {
    buckets: BTreeMap<String, TenantTokenBucket>,
    since_ms: u64,
}

impl TokenAllocator {
    /// The allocator of a leader whose term begins now.
    pub fn new(now: u64) -> TokenAllocator {
        TokenAllocator {
            buckets: BTreeMap::new(),
            since_ms: now,
        }
    }

    /// Answers the demands of one heartbeat; `limit_of` gives a tenant's quota.
    pub fn allocate(
        &mut self,
        now: u64,
        from: &RouterDemand,
        limit_of: impl Fn(&str) -> Option<RateLimit>,
    ) -> RouterGrants {
        let is_hearing = now < self.since_ms + HEARING_MS;
        let grants = from.demands.iter().filter_map(|demand| {
            let limit = limit_of(&demand.tenant).filter(|limit| limit.requests_per_s > 0)?;
            let bucket = self
                .buckets
                .entry(demand.tenant.clone())
                .or_insert_with(|| TenantTokenBucket::new(now, limit));
            Some(bucket.allocate(now, from, demand, limit, is_hearing))
        });
        RouterGrants {
            router: from.router.clone(),
            heartbeat: from.heartbeat,
            grants: grants.collect(),
        }
    }
}
