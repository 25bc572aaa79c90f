//! One tenant's token bucket at the leader, for all routers.

use super::rate_limit::RateLimit;
use super::token_account::TokenAccount;
use protocol::{QuotaDemand, QuotaGrant, RouterDemand, LEASE_MS, RECENT_SPANS_MS};
use std::collections::BTreeMap;

/// Levels are counted in thousandths of a request, so that a rate in requests per second is
/// one in thousandths per millisecond and no fractions are needed.
const MILLI: u64 = 1_000;

/// One tenant's bucket. Invariants: it never holds more than the burst; when tokens are given,
/// all that routers which are heard have outstanding is no more than the level.
pub(super) struct TenantTokenBucket {
    /// In thousandths of a request.
    level: i64,
    /// The levels if the bucket had been full as long as each of `RECENT_SPANS_MS` before this
    /// leader's term, by what routers report of that time; not capped.
    levels_if_full_before: [i64; 4],
    created_at_ms: u64,
    refilled_at_ms: u64,
    accounts: BTreeMap<String, TokenAccount>,
}

/// The bucket's capacity in thousandths of a request.
fn capacity(limit: RateLimit) -> i64 {
    (limit.burst.max(1) * MILLI) as i64
}

impl TenantTokenBucket {
    /// A full bucket.
    pub(super) fn new(now: u64, limit: RateLimit) -> TenantTokenBucket {
        let capacity = capacity(limit);
        TenantTokenBucket {
            level: capacity,
            levels_if_full_before: RECENT_SPANS_MS
                .map(|span_ms| capacity + (span_ms * limit.requests_per_s) as i64),
            created_at_ms: now,
            refilled_at_ms: now,
            accounts: BTreeMap::new(),
        }
    }

    /// Answers a router's demand. While the leader `is_hearing` the routers for the first time,
    /// it gives half of what it could.
    pub(super) fn allocate(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        limit: RateLimit,
        is_hearing: bool,
    ) -> QuotaGrant {
        self.refill(now, limit);
        let is_late = self.record_demand(now, from, demand, capacity(limit));
        let free = self.free_tokens(now);
        let free = if is_hearing { free.div_ceil(2) } else { free };
        let unmet_of_others = self.unmet_of_others(now, &from.router);
        let account = self
            .accounts
            .get_mut(&from.router)
            .expect("record_demand inserts it");
        let mut queue = unmet_of_others;
        let mut grant_limit = demand.limit;
        if !is_late {
            let wanted = account.unmet();
            let given = wanted.min(free);
            queue += wanted - given;
            // Tokens are given ahead of need only from what nobody waits for, and what half of
            // the burst does not cover.
            let reserved = unmet_of_others + capacity(limit) as u64 / (2 * MILLI);
            let spare = (free - given).saturating_sub(reserved);
            let ahead = demand
                .wanted
                .saturating_sub(account.prefetched())
                .min(spare);
            // All outstanding tokens are given again: an earlier answer may be lost.
            grant_limit = account.admitted() + account.outstanding() + given + ahead;
            if grant_limit > demand.limit {
                account.record_grant(from.heartbeat, grant_limit);
            }
        }
        QuotaGrant {
            tenant: demand.tenant.clone(),
            limit: grant_limit,
            queue_wait_ms: queue * 1_000 / limit.requests_per_s,
        }
    }

    fn refill(&mut self, now: u64, limit: RateLimit) {
        let elapsed_ms = now.saturating_sub(self.refilled_at_ms);
        let gained = (elapsed_ms * limit.requests_per_s) as i64;
        self.level = self.level.saturating_add(gained).min(capacity(limit));
        self.levels_if_full_before = self
            .levels_if_full_before
            .map(|level| level.saturating_add(gained));
        self.refilled_at_ms = now;
    }

    /// Takes over a report, charges what is new in it, and says whether it came late.
    fn record_demand(
        &mut self,
        now: u64,
        from: &RouterDemand,
        demand: &QuotaDemand,
        capacity: i64,
    ) -> bool {
        let account = self.accounts.entry(from.router.clone()).or_default();
        let mut charged = 0;
        if account.is_new() {
            let levels = self.levels_if_full_before.iter_mut();
            levels
                .zip(demand.recently_admitted)
                .for_each(|(level, count)| *level -= (count * MILLI) as i64);
            // Neither router nor leader knows what was admitted before both started.
            let is_young = from.incarnation_age_ms < RECENT_SPANS_MS[3];
            if is_young && now < self.created_at_ms + LEASE_MS {
                self.level = self.level.min(capacity / 2);
            }
        }
        if account.is_restart(from) {
            charged += account.restart(from.incarnation, demand.admitted);
        }
        let is_late = account.is_late(from);
        if !is_late {
            charged += account.record_demand(now, from, demand);
        }
        let charged = (charged * MILLI) as i64;
        self.level = (self.level - charged).max(-capacity);
        self.levels_if_full_before = self.levels_if_full_before.map(|level| level - charged);
        is_late
    }

    /// Whole tokens that are not outstanding at any router that is heard.
    fn free_tokens(&self, now: u64) -> u64 {
        let level = self
            .levels_if_full_before
            .iter()
            .fold(self.level, |level, before| level.min(*before));
        let outstanding: u64 = self
            .heard_accounts(now)
            .map(|(_, account)| account.outstanding())
            .sum();
        (level / MILLI as i64 - outstanding as i64).max(0) as u64
    }

    /// Requests that wait at other routers and have no token on the way.
    fn unmet_of_others(&self, now: u64, router: &str) -> u64 {
        self.heard_accounts(now)
            .filter(|(name, _)| *name != router)
            .map(|(_, account)| account.unmet())
            .sum()
    }

    fn heard_accounts(&self, now: u64) -> impl Iterator<Item = (&str, &TokenAccount)> {
        self.accounts
            .iter()
            .filter(move |(_, account)| account.is_heard(now, LEASE_MS))
            .map(|(name, account)| (name.as_str(), account))
    }
}
