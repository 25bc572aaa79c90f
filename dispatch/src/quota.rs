//! Tenants' paces at a process that admits jobs: the waiting for the leader's
//! word around `placement`'s meters, or its taps, by which nobody waits.

use parking_lot::Mutex;
use placement::{
    AdmissionDecision, LeaseRateLimiter, QueueTicket, QueueingRateLimiter, QuotaTolerance,
    RateLimit,
};
use protocol::{QuotaGrant, RouterDemand};
use std::time::Duration;
use tokio::sync::Notify;
use transport::now;
use transport::rejection::Rejection;

/// Whose word a process admits by: asked for each job where it lies nowhere yet,
/// or lying here before the job comes.
enum Means {
    Queueing(Mutex<QueueingRateLimiter>),
    Leased(Mutex<LeaseRateLimiter>),
}

pub struct QuotaLimiter {
    means: Means,
    /// A job waits: speak to the leader at once.
    pub urgent: Notify,
    told: Notify,
}

impl Default for QuotaLimiter {
    fn default() -> QuotaLimiter {
        let means = Means::Queueing(Mutex::new(QueueingRateLimiter::new(now(), rand::random())));
        QuotaLimiter {
            means,
            urgent: Notify::new(),
            told: Notify::new(),
        }
    }
}

/// A job in a tenant's queue, out of it however its waiting ends.
struct Waiting<'q> {
    meters: &'q Mutex<QueueingRateLimiter>,
    tenant: &'q str,
    ticket: Option<QueueTicket>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.meters.lock().cancel(self.tenant, ticket);
        }
    }
}

impl QuotaLimiter {
    /// One under which no job waits; the margin is the fleet's.
    pub fn without_queue(margin: QuotaTolerance) -> QuotaLimiter {
        let means = Means::Leased(Mutex::new(LeaseRateLimiter::new(
            now(),
            rand::random(),
            margin,
        )));
        QuotaLimiter {
            means,
            urgent: Notify::new(),
            told: Notify::new(),
        }
    }

    pub fn lease_demands(&self, front: &str, number: u64) -> RouterDemand {
        match &self.means {
            Means::Queueing(meters) => meters.lock().demand(now(), front, number),
            Means::Leased(taps) => taps.lock().demand(now(), front, number),
        }
    }

    pub fn apply_shares(&self, number: u64, until: u64, shares: &[QuotaGrant]) {
        match &self.means {
            Means::Queueing(meters) => meters.lock().apply_grants(now(), number, until, shares),
            Means::Leased(taps) => taps.lock().apply_grants(now(), number, until, shares),
        }
        self.told.notify_waiters();
    }

    pub fn has_waiters(&self) -> bool {
        match &self.means {
            Means::Queueing(meters) => meters.lock().has_queued_requests(),
            Means::Leased(_) => false,
        }
    }

    /// Lets a job in under its tenant's terms. With meters it waits for a place
    /// that is likely to come up, and over a change of leader; where none can it is
    /// refused at once. `routers` is how many are known.
    pub async fn admit(
        &self,
        tenant: &str,
        (pace, burst): (u64, u64),
        routers: usize,
        patience: Duration,
    ) -> Result<(), Rejection> {
        if pace == 0 {
            return Ok(());
        }
        let past = || {
            let text = format!("{tenant} is past its pace of {pace} jobs a second");
            Rejection::not_run(429, "quota", text)
        };
        let limit = RateLimit {
            requests_per_s: pace,
            burst,
        };
        let meters = match &self.means {
            Means::Queueing(meters) => meters,
            Means::Leased(taps) => {
                return match taps.lock().admit(now(), tenant, limit, routers) {
                    true => Ok(()),
                    false => Err(past()),
                }
            }
        };
        let came = now();
        let mut waiting = Waiting {
            meters,
            tenant,
            ticket: None,
        };
        loop {
            let told = self.told.notified();
            tokio::pin!(told);
            told.as_mut().enable();
            let patience = patience.as_millis() as u64;
            let place = meters
                .lock()
                .admit(now(), tenant, came, waiting.ticket, patience);
            match place {
                AdmissionDecision::Admitted => return Ok(()),
                AdmissionDecision::Queued(ticket) => waiting.ticket = Some(ticket),
                AdmissionDecision::OverQuota => return Err(past()),
                AdmissionDecision::NoLeader => {
                    let text = "no directory node speaks for this tenant's pace now";
                    return Err(Rejection::not_run(503, "no-leader", text));
                }
            }
            self.urgent.notify_one();
            // Without a word the end of the wait is looked at every so often.
            let _ = tokio::time::timeout(Duration::from_millis(50), told).await;
        }
    }
}
