//! Tenants' paces at a process that admits jobs: the waiting for the leader's
//! word around `placement`'s meters.

use crate::now;
use crate::web::Refusal;
use parking_lot::Mutex;
use placement::{Meters, Place};
use std::time::Duration;
use tokio::sync::Notify;
use wire::{FrontDemand, Share};

pub struct Quota {
    meters: Mutex<Meters>,
    /// A job waits: speak to the leader at once.
    pub urgent: Notify,
    told: Notify,
}

impl Default for Quota {
    fn default() -> Quota {
        let meters = Mutex::new(Meters::new(now(), rand::random()));
        Quota { meters, urgent: Notify::new(), told: Notify::new() }
    }
}

/// A job in a tenant's queue, out of it however its waiting ends.
struct Waiting<'q> {
    quota: &'q Quota,
    tenant: &'q str,
    ticket: Option<u64>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.quota.meters.lock().leave(self.tenant, ticket);
        }
    }
}

impl Quota {
    pub fn demands(&self, front: &str, number: u64) -> FrontDemand {
        self.meters.lock().demands(now(), front, number)
    }

    pub fn take(&self, number: u64, until: u64, shares: &[Share]) {
        self.meters.lock().take(now(), number, until, shares);
        self.told.notify_waiters();
    }

    pub fn is_waited_for(&self) -> bool {
        self.meters.lock().is_waited_for()
    }

    /// Lets a job in under its tenant's pace, in jobs a second. It waits for a
    /// place that is likely to come up, and over a change of leader; where none
    /// can it is refused at once.
    pub async fn admit(&self, tenant: &str, pace: u64, patience: Duration) -> Result<(), Refusal> {
        if pace == 0 {
            return Ok(());
        }
        let came = now();
        let mut waiting = Waiting { quota: self, tenant, ticket: None };
        loop {
            let told = self.told.notified();
            tokio::pin!(told);
            told.as_mut().enable();
            let patience = patience.as_millis() as u64;
            let place = self.meters.lock().admit(now(), tenant, came, waiting.ticket, patience);
            match place {
                Place::Admitted => return Ok(()),
                Place::Queued(ticket) => waiting.ticket = Some(ticket),
                Place::Refused => {
                    let text = format!("{tenant} is past its pace of {pace} jobs a second");
                    return Err(Refusal::not_run(429, "quota", text));
                }
                Place::Unheard => {
                    let text = "no directory node speaks for this tenant's pace now";
                    return Err(Refusal::not_run(503, "no-leader", text));
                }
            }
            self.urgent.notify_one();
            // Without a word the end of the wait is looked at every so often.
            let _ = tokio::time::timeout(Duration::from_millis(50), told).await;
        }
    }
}
