//! Admitting requests by their tenant's quota.
//!
//! Two ways: with a queue, a request waits for the leader's grant (`placement`'s
//! [`QueueingRateLimiter`]); without one, it is admitted at once or not at all, by grants
//! that were leased before it came ([`LeaseRateLimiter`]).

use parking_lot::Mutex;
use placement::{
    AdmissionDecision, LeaseRateLimiter, QueueTicket, QueueingRateLimiter, QuotaTolerance,
    RateLimit,
};
use protocol::{QuotaDecision, QuotaGrant, RouterDemand};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::Notify;
use transport::now;
use transport::rejection::Rejection;

/// How often a queued request looks at its time, if no grant comes in.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

enum Limiter {
    Queueing(Mutex<QueueingRateLimiter>),
    Leased(Mutex<LeaseRateLimiter>),
}

/// The tenants' quotas at a process that admits requests.
pub struct QuotaLimiter {
    limiter: Limiter,
    /// Notified when a request waits: the leader should be asked at once.
    pub urgent: Notify,
    grants_changed: Notify,
}

impl Default for QuotaLimiter {
    /// A limiter with a queue.
    fn default() -> QuotaLimiter {
        let limiter = QueueingRateLimiter::new(now(), rand::random());
        QuotaLimiter::new(Limiter::Queueing(Mutex::new(limiter)))
    }
}

impl QuotaLimiter {
    /// A limiter under which no request waits. The tolerance is the fleet's, the same at
    /// every process.
    pub fn without_queue(tolerance: QuotaTolerance) -> QuotaLimiter {
        let limiter = LeaseRateLimiter::new(now(), rand::random(), tolerance);
        QuotaLimiter::new(Limiter::Leased(Mutex::new(limiter)))
    }

    fn new(limiter: Limiter) -> QuotaLimiter {
        QuotaLimiter {
            limiter,
            urgent: Notify::new(),
            grants_changed: Notify::new(),
        }
    }

    /// What this process asks of the leader for its tenants, for the heartbeat of this
    /// number.
    pub fn lease_demands(&self, router: &str, number: u64) -> RouterDemand {
        match &self.limiter {
            Limiter::Queueing(limiter) => limiter.lock().demand(now(), router, number),
            Limiter::Leased(limiter) => limiter.lock().demand(now(), router, number),
        }
    }

    /// Takes in the leader's grants, which answer the heartbeat of this number and are
    /// valid until `until_ms` of this process's clock.
    pub fn apply_grants(&self, number: u64, until_ms: u64, grants: &[QuotaGrant]) {
        match &self.limiter {
            Limiter::Queueing(limiter) => {
                limiter.lock().apply_grants(now(), number, until_ms, grants)
            }
            Limiter::Leased(limiter) => {
                limiter.lock().apply_grants(now(), number, until_ms, grants)
            }
        }
        self.grants_changed.notify_waiters();
    }

    /// Admits nothing any more, and gives back what was leased. Returns once the leader knows
    /// of it; the caller bounds the wait. With a queue grants lapse by themselves, and nothing
    /// changes.
    pub async fn close(&self) {
        let Limiter::Leased(limiter) = &self.limiter else {
            return;
        };
        limiter.lock().close();
        self.urgent.notify_one();
        loop {
            // Registered before the look, so that no answer is missed between.
            let grants_changed = self.grants_changed.notified();
            tokio::pin!(grants_changed);
            grants_changed.as_mut().enable();
            if limiter.lock().is_return_acknowledged() {
                return;
            }
            grants_changed.await;
        }
    }

    /// Whether requests wait for a grant.
    pub fn has_waiters(&self) -> bool {
        match &self.limiter {
            Limiter::Queueing(limiter) => limiter.lock().has_queued_requests(),
            Limiter::Leased(_) => false,
        }
    }

    /// Admits a request under its tenant's limit. With a queue it waits up to `patience` for a grant that is likely to
    /// come, also over a change of leader. `routers` is how many are known.
    ///
    /// # Errors
    /// `quota` (429) where the tenant is over its quota, `no-leader` (503) where no leader
    /// grants anything. The request was not run.
    pub async fn admit(
        &self,
        tenant: &str,
        limit: RateLimit,
        routers: usize,
        patience: Duration,
    ) -> Result<(), Rejection> {
        if limit.requests_per_s == 0 {
            return Ok(());
        }
        match &self.limiter {
            Limiter::Queueing(limiter) => {
                self.wait_for_grant(limiter, tenant, limit, patience).await
            }
            Limiter::Leased(limiter) => match limiter.lock().admit(now(), tenant, limit, routers) {
                true => Ok(()),
                false => Err(over_quota(tenant, limit)),
            },
        }
    }

    /// Whether quotas are leased from pools, so that no request waits.
    pub fn leases_from_pools(&self) -> bool {
        matches!(self.limiter, Limiter::Leased(_))
    }

    /// Decides on a request of any router, as the owner of the tenant's lease. `routers` is
    /// how many are known.
    pub fn admit_as_owner(&self, tenant: &str, limit: RateLimit, routers: usize) -> QuotaDecision {
        if limit.requests_per_s == 0 {
            return QuotaDecision::Admitted;
        }
        let Limiter::Leased(limiter) = &self.limiter else {
            return QuotaDecision::NoLease;
        };
        let decision = limiter.lock().admit_as_owner(now(), tenant, limit, routers);
        if decision == QuotaDecision::NoLease {
            self.urgent.notify_one();
        }
        decision
    }

    /// Sets which tenants' leases this process owns, and asks for them with the next
    /// heartbeat. Changes nothing where requests wait for grants.
    pub fn set_owned_tenants(
        &self,
        owned: &BTreeSet<String>,
        routers: usize,
        limit_of: impl Fn(&str) -> RateLimit,
    ) {
        if let Limiter::Leased(limiter) = &self.limiter {
            let mut limiter = limiter.lock();
            limiter.set_owned_tenants(now(), owned, routers, limit_of);
        }
    }

    /// This process leases for the requests that it receives itself.
    pub fn lease_for_own_requests(&self) {
        if let Limiter::Leased(limiter) = &self.limiter {
            limiter.lock().lease_for_own_requests();
        }
    }

    async fn wait_for_grant(
        &self,
        limiter: &Mutex<QueueingRateLimiter>,
        tenant: &str,
        limit: RateLimit,
        patience: Duration,
    ) -> Result<(), Rejection> {
        let arrived_ms = now();
        let mut queued = QueuedRequest {
            limiter,
            tenant,
            ticket: None,
        };
        loop {
            // Registered before the decision, so that no grant is missed between.
            let grants_changed = self.grants_changed.notified();
            tokio::pin!(grants_changed);
            grants_changed.as_mut().enable();
            let patience_ms = patience.as_millis() as u64;
            let decision =
                limiter
                    .lock()
                    .admit(now(), tenant, arrived_ms, queued.ticket, patience_ms);
            match decision {
                AdmissionDecision::Admitted => return Ok(()),
                AdmissionDecision::Queued(ticket) => queued.ticket = Some(ticket),
                AdmissionDecision::OverQuota => return Err(over_quota(tenant, limit)),
                AdmissionDecision::NoLeader => {
                    let text = "no directory node grants this tenant's quota now";
                    return Err(Rejection::not_run(503, "no-leader", text));
                }
            }
            self.urgent.notify_one();
            let _ = tokio::time::timeout(QUEUE_CHECK_INTERVAL, grants_changed).await;
        }
    }
}

/// A request in a tenant's queue; leaves it however its waiting ends.
struct QueuedRequest<'q> {
    limiter: &'q Mutex<QueueingRateLimiter>,
    tenant: &'q str,
    ticket: Option<QueueTicket>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.limiter.lock().cancel(self.tenant, ticket);
        }
    }
}

/// The rejection of a request whose tenant is past its quota.
pub fn over_quota(tenant: &str, limit: RateLimit) -> Rejection {
    let rate = limit.requests_per_s;
    let text = format!("{tenant} is past its quota of {rate} requests a second");
    Rejection::not_run(429, "quota", text)
}
