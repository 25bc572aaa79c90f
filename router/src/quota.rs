//! Tenants' paces at this router: jobs that the leader handed out with the
//! licence, which lapse with it.

use crate::Router;
use parking_lot::Mutex;
use residency::View;
use std::collections::HashMap;
use tokio::sync::Notify;
use wire::Demand;
use yard::now;
use yard::web::Refusal;

/// After the leader had none left, jobs are refused at once for this long.
const DRY_MS: u64 = 200;
/// After the leader had too few, none are kept ahead for this long.
const SCARCE_MS: u64 = 3_000;
/// A tenant that sends nothing for this long is no longer asked for.
const FORGET_MS: u64 = 5_000;
/// How far ahead jobs are asked for.
const AHEAD_MS: f64 = 700.0;

/// Invariant: `held` counts only while `until` lies ahead.
#[derive(Default)]
struct Meter {
    held: u64,
    until: u64,
    waiting: u64,
    /// Jobs a second, smoothed.
    rate: f64,
    arrived: u64,
    seen: u64,
    dry_until: u64,
    asked: u64,
    /// The leader had fewer than were asked for: until then none are kept ahead
    /// that another router may need.
    scarce_until: u64,
}

#[derive(Default)]
pub struct Quota {
    meters: Mutex<HashMap<String, Meter>>,
    /// A job waits: beat at once.
    pub urgent: Notify,
    told: Notify,
}

impl Quota {
    /// What to ask for and to give back, `last` being when it was done before.
    pub fn demands(&self, last: u64) -> Vec<Demand> {
        let at = now();
        let elapsed = at.saturating_sub(last).clamp(20, 1_000) as f64;
        let mut meters = self.meters.lock();
        meters.retain(|_, meter| at < meter.seen + FORGET_MS || meter.held > 0);
        meters
            .iter_mut()
            .map(|(tenant, meter)| {
                let rate = meter.arrived as f64 * 1_000.0 / elapsed;
                meter.rate += (rate - meter.rate) * (elapsed / 1_000.0).clamp(0.05, 1.0);
                meter.arrived = 0;
                if at >= meter.until {
                    meter.held = 0;
                }
                let ahead = meter.rate * AHEAD_MS / 1_000.0;
                let ahead = if at < meter.scarce_until { ahead.floor() } else { ahead.ceil() };
                let ahead = ahead as u64 + meter.waiting;
                let returned = meter.held.saturating_sub(ahead * 2);
                meter.held -= returned;
                let jobs = ahead.saturating_sub(meter.held);
                meter.asked = jobs;
                Demand { tenant: tenant.clone(), jobs, returned }
            })
            .filter(|demand| demand.jobs > 0 || demand.returned > 0)
            .collect()
    }

    pub fn take_shares(&self, shares: &[Demand], until: u64) {
        let at = now();
        let mut meters = self.meters.lock();
        // What is held from before is renewed along with the licence.
        for meter in meters.values_mut().filter(|meter| at < meter.until) {
            meter.until = meter.until.max(until);
        }
        for share in shares {
            let Some(meter) = meters.get_mut(&share.tenant) else { continue };
            if at >= meter.until {
                meter.held = 0;
            }
            meter.held += share.jobs;
            if share.jobs < meter.asked {
                meter.scarce_until = at + SCARCE_MS;
            }
            meter.until = meter.until.max(until);
            if share.jobs == 0 && meter.held == 0 {
                meter.dry_until = at + DRY_MS;
            }
        }
        drop(meters);
        self.told.notify_waiters();
    }

    /// Takes one job, or says whether to wait for more.
    fn take(&self, tenant: &str, is_first: bool) -> Taken {
        let at = now();
        let mut meters = self.meters.lock();
        let meter = meters.entry(tenant.to_string()).or_default();
        if is_first {
            meter.seen = at;
            meter.arrived += 1;
        }
        if meter.held > 0 && at < meter.until {
            meter.held -= 1;
            return Taken::Job;
        }
        match at < meter.dry_until {
            true => Taken::Dry,
            false => Taken::Wait,
        }
    }

    fn wait(&self, tenant: &str, by: i64) {
        if let Some(meter) = self.meters.lock().get_mut(tenant) {
            meter.waiting = meter.waiting.saturating_add_signed(by);
        }
    }
}

enum Taken {
    Job,
    Wait,
    Dry,
}

/// Counts a job among those that wait, however its waiting ends.
struct Waiting<'a>(&'a Quota, &'a str);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.wait(self.1, -1);
    }
}

/// Lets a job in under its tenant's pace. Where none is left here, asks the
/// leader, and waits for its word over a change of leader; where the leader says
/// that none is left, the job is refused at once.
pub async fn admit(router: &Router, view: &View, tenant: &str) -> Result<(), Refusal> {
    let Some(terms) = view.tenants.get(tenant).filter(|terms| terms.pace > 0) else {
        return Ok(());
    };
    let quota = &router.quota;
    let until = tokio::time::Instant::now() + router.boot.quota;
    let mut waiting = None;
    loop {
        let told = quota.told.notified();
        tokio::pin!(told);
        told.as_mut().enable();
        let is_over = match quota.take(tenant, waiting.is_none()) {
            Taken::Job => return Ok(()),
            Taken::Dry => true,
            Taken::Wait => tokio::time::Instant::now() >= until,
        };
        if is_over {
            router.counters.one("refused-quota");
            let text = format!("{tenant} is past its pace of {} jobs a second", terms.pace);
            return Err(Refusal::not_run(429, "quota", text));
        }
        if waiting.is_none() {
            quota.wait(tenant, 1);
            waiting = Some(Waiting(quota, tenant));
        }
        quota.urgent.notify_one();
        // The end of the wait is looked at above, with one more try.
        let _ = tokio::time::timeout_at(until, told).await;
    }
}
