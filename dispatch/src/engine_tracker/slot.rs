//! A request's slot at an engine.

use super::engines::{LoadSource, TrackedEngines};
use placement::PrefillEstimate;
use policy::Prompt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use transport::now;

/// How often a waiting request looks whether its engine is lost.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A request's slot at an engine, released when dropped.
pub struct EngineSlot {
    pub(super) engines: Arc<TrackedEngines>,
    /// The engine's name.
    pub name: String,
    /// The engine's address.
    pub address: SocketAddr,
    /// Until when the request's first byte may be sent to an engine that is warming up.
    pub(super) send_by_ms: Option<u64>,
    /// How often the engine's health stream was interrupted before the slot was taken.
    pub(super) interruptions: u64,
    /// Set from the sending of the request until its response begins.
    pub(super) prefill: Option<Prefill>,
}

/// A prompt that the engine reads.
pub(super) struct Prefill {
    sent_ms: u64,
    estimate: PrefillEstimate,
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        match &self.engines.load {
            LoadSource::HealthReports(health) => health.lock().release(&self.name),
            LoadSource::Responses(estimator) => {
                let mut estimator = estimator.lock();
                estimator.release(&self.name);
                if let Some(prefill) = &self.prefill {
                    estimator.finish_prefill(&self.name, prefill.estimate.tokens);
                }
                self.engines.load_changed.notify_one();
            }
        }
        self.engines.capacity_changed.notify_waiters();
    }
}

impl EngineSlot {
    /// A check whether the slot is still valid: the engine was not lost since the slot
    /// was taken, and the time to send to an engine that is warming up has not passed.
    pub fn validity_check(&self) -> impl Fn() -> bool + Send + Sync + 'static {
        let (engines, name) = (Arc::clone(&self.engines), self.name.clone());
        let (send_by_ms, interruptions) = (self.send_by_ms, self.interruptions);
        move || {
            send_by_ms.is_none_or(|send_by_ms| now() < send_by_ms)
                && match &engines.load {
                    LoadSource::HealthReports(health) => {
                        health.lock().is_uninterrupted(&name, interruptions)
                    }
                    LoadSource::Responses(estimator) => estimator.lock().contains(&name),
                }
        }
    }

    /// Ends when the engine has been silent for so long that no response is expected any
    /// more. Never ends for engines that send no health reports.
    pub async fn wait_until_lost(&self) {
        let LoadSource::HealthReports(health) = &self.engines.load else {
            return std::future::pending().await;
        };
        while !health.lock().is_lost(now(), &self.name) {
            tokio::time::sleep(LOST_CHECK_INTERVAL).await;
        }
    }

    /// The engine could not be reached, or broke off.
    pub fn record_failure(&self) {
        match &self.engines.load {
            LoadSource::HealthReports(health) => health.lock().mark_unhealthy(&self.name),
            LoadSource::Responses(estimator) => estimator.lock().record_failure(now(), &self.name),
        }
    }

    /// The engine said that it did not run the request.
    pub fn record_not_run(&self) {
        if let LoadSource::Responses(estimator) = &self.engines.load {
            estimator.lock().record_not_run(now(), &self.name);
        }
    }

    /// Another engine responded at this engine's address.
    pub fn record_replaced(&self) {
        if let LoadSource::Responses(estimator) = &self.engines.load {
            estimator.lock().record_replaced(now(), &self.name);
        }
    }

    /// The request is sent.
    pub fn record_send(&mut self, prompt: &Prompt) {
        if let LoadSource::Responses(estimator) = &self.engines.load {
            let estimate = estimator.lock().record_send(now(), &self.name, prompt);
            self.prefill = Some(Prefill {
                sent_ms: now(),
                estimate,
            });
            self.engines.load_changed.notify_one();
        }
    }

    /// How long the first event of the response is expected to take; 0 where that is
    /// not known.
    pub fn expected_first_event_ms(&self) -> f64 {
        self.prefill
            .as_ref()
            .map_or(0.0, |prefill| prefill.estimate.expected_ms)
    }

    /// The response begins.
    pub fn record_first_event(&mut self) {
        if let (LoadSource::Responses(estimator), Some(prefill)) =
            (&self.engines.load, self.prefill.take())
        {
            let mut estimator = estimator.lock();
            estimator.finish_prefill(&self.name, prefill.estimate.tokens);
            let took_ms = now() - prefill.sent_ms;
            estimator.record_first_event(now(), &self.name, prefill.estimate.expected_ms, took_ms);
            self.engines.load_changed.notify_one();
        }
    }
}
