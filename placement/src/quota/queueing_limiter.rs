//! The rate limiter of a router that admits by tokens of the leader: a request without a token
//! waits for one.

use super::tenant_queue::{AdmissionDecision, Arrival, QueueTicket, TenantQueue};
use protocol::{QuotaGrant, RouterDemand};
use std::collections::{BTreeMap, VecDeque};

/// An answer that has not come after this long is taken for lost. A process that called
/// nothing for this long was paused.
const LOST_MS: u64 = 1_000;
/// The least and the most time between two heartbeats that arrival rates are computed with.
const MIN_INTERVAL_MS: u64 = 20;
const MAX_INTERVAL_MS: u64 = 1_000;

/// A heartbeat that was sent lately.
struct SentHeartbeat {
    number: u64,
    at_ms: u64,
}

/// The tenants' queues at one router.
///
/// Bound: a tenant is admitted as many requests as the leader gave tokens for. A tenant within
/// its quota is not rejected while there is a leader.
///
/// Invariants: `incarnation` differs for each start of a process; no tenant is ever dropped,
/// since its counts go on.
pub struct QueueingRateLimiter {
    incarnation: u64,
    tenants: BTreeMap<String, TenantQueue>,
    /// Heartbeats of the last `LOST_MS`.
    sent: VecDeque<SentHeartbeat>,
    last_sent_at_ms: u64,
    started_at_ms: u64,
    /// When the first heartbeat was sent that no answer has followed yet.
    unanswered_since_ms: Option<u64>,
    /// When this limiter was called last, as it is several times a second.
    last_called_at_ms: u64,
}

impl QueueingRateLimiter {
    /// The limiter of a process that starts now; `incarnation` is drawn at random.
    pub fn new(now: u64, incarnation: u64) -> QueueingRateLimiter {
        QueueingRateLimiter {
            incarnation,
            tenants: BTreeMap::new(),
            sent: VecDeque::new(),
            last_sent_at_ms: 0,
            started_at_ms: now,
            unanswered_since_ms: None,
            last_called_at_ms: now,
        }
    }

    /// Decides on a request that was received at `arrived_at_ms`; `ticket` is what an earlier
    /// call gave it. Without an answer of a leader it waits for `patience_ms` at most.
    pub fn admit(
        &mut self,
        now: u64,
        tenant: &str,
        arrived_at_ms: u64,
        ticket: Option<QueueTicket>,
        patience_ms: u64,
    ) -> AdmissionDecision {
        self.record_call(now);
        let arrival = Arrival {
            at_ms: arrived_at_ms,
            ticket,
            patience_ms,
        };
        self.tenants.entry(tenant.to_string()).or_default().admit(
            now,
            &arrival,
            self.unanswered_since_ms,
        )
    }

    /// After a pause of the process, heartbeats that were sent before it say nothing of the
    /// leader.
    fn record_call(&mut self, now: u64) {
        if now > self.last_called_at_ms + LOST_MS {
            self.unanswered_since_ms = None;
        }
        self.last_called_at_ms = now;
    }

    /// A request stopped waiting by itself.
    pub fn cancel(&mut self, tenant: &str, ticket: QueueTicket) {
        if let Some(queue) = self.tenants.get_mut(tenant) {
            queue.cancel(Some(ticket));
        }
    }

    /// Whether any request waits, so that the next heartbeat is urgent.
    pub fn has_queued_requests(&self) -> bool {
        self.tenants.values().any(TenantQueue::has_queued_requests)
    }

    /// What to report to the leader with the heartbeat of this number.
    pub fn demand(&mut self, now: u64, router: &str, heartbeat: u64) -> RouterDemand {
        self.record_call(now);
        let elapsed_ms = now
            .saturating_sub(self.last_sent_at_ms)
            .clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS) as f64;
        let lost_before = self.record_heartbeat(now, heartbeat);
        let reported = self
            .tenants
            .iter_mut()
            .filter(|(_, queue)| queue.is_reported(now));
        RouterDemand {
            router: router.into(),
            incarnation: self.incarnation,
            heartbeat,
            incarnation_age_ms: now - self.started_at_ms,
            demands: reported
                .map(|(tenant, queue)| {
                    queue.demand(now, tenant, heartbeat, elapsed_ms, lost_before)
                })
                .collect(),
        }
    }

    /// Records a heartbeat that is sent now, and returns the first one whose answer may still
    /// come.
    fn record_heartbeat(&mut self, now: u64, number: u64) -> u64 {
        self.last_sent_at_ms = now;
        self.unanswered_since_ms.get_or_insert(now);
        self.sent.push_back(SentHeartbeat { number, at_ms: now });
        while self
            .sent
            .front()
            .is_some_and(|sent| sent.at_ms + LOST_MS < now)
        {
            self.sent.pop_front();
        }
        self.sent.front().map_or(number, |sent| sent.number)
    }

    /// Takes the leader's answer to the heartbeat of this number; its tokens lapse at
    /// `until_ms`.
    pub fn apply_grants(&mut self, now: u64, heartbeat: u64, until_ms: u64, grants: &[QuotaGrant]) {
        self.unanswered_since_ms = None;
        for grant in grants {
            if let Some(queue) = self.tenants.get_mut(&grant.tenant) {
                queue.apply_grant(now, heartbeat, until_ms, grant);
            }
        }
    }
}
