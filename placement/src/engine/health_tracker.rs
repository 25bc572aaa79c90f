//! The health and load table of engines that report their health.

use super::health_report::HealthReport;
use super::listing::remove_unlisted;
use super::selection::{may_serve, select_engine, Candidate, EngineSelection, SelectedEngine};
use super::warm_up_slots::WarmUpSlots;
use residency::{Engine, Mapping, View};
use std::collections::BTreeMap;

/// An engine that sent no health report for this long gets no new requests.
pub const HEALTH_REPORT_TIMEOUT_MS: u64 = 1_500;
/// An engine that sent no health report for this long is taken for lost: its requests in
/// flight are failed, and their clients are notified.
pub const ENGINE_LOST_AFTER_MS: u64 = 3 * HEALTH_REPORT_TIMEOUT_MS;

/// One engine. Invariants: `own_requests` counts the requests that this process has there
/// now, `unreported_requests` those of them started since the last health report.
struct TrackedEngine {
    engine: Engine,
    hash: u64,
    /// The last report, while it is trusted.
    report: Option<HealthReport>,
    /// When the last report was received, also where it is not trusted any more.
    reported_at_ms: u64,
    own_requests: u32,
    unreported_requests: u32,
    warm_up_slots: WarmUpSlots,
    /// Counts the times that its reports were interrupted. The engine may have restarted in
    /// between and be cold again.
    interruptions: u64,
}

impl TrackedEngine {
    fn new(now: u64, engine: &Engine) -> TrackedEngine {
        TrackedEngine {
            engine: engine.clone(),
            hash: policy::stable_hash(engine.name.as_bytes()),
            report: None,
            reported_at_ms: now,
            own_requests: 0,
            unreported_requests: 0,
            warm_up_slots: WarmUpSlots::default(),
            interruptions: 0,
        }
    }

    /// Its concurrency limit at a target utilization of its slots.
    fn limit(&self, target_utilization: f64) -> u32 {
        let slots = self
            .report
            .map_or(0, |report| self.engine.slots.min(report.slots));
        let target = (f64::from(slots) * target_utilization).ceil() as u32;
        self.report
            .map_or(0, |report| report.slow_start().limit(target.min(slots)))
    }

    /// Its requests by the last report and by what this process sent since.
    fn running(&self, report: &HealthReport) -> u32 {
        self.own_requests
            .max(report.running + report.queued + self.unreported_requests)
    }

    /// The report of an engine that takes new requests.
    fn healthy_report(&self, now: u64) -> Option<HealthReport> {
        self.report.filter(|report| {
            now < report.received_at_ms + HEALTH_REPORT_TIMEOUT_MS && !report.is_draining
        })
    }
}

/// What a view changed in the list of engines.
#[derive(Debug, Default, PartialEq)]
pub struct EngineListChange {
    /// Engines that are new, or listed at another address than before.
    pub added: Vec<Engine>,
    /// Names of the engines that are no longer listed, or at another address.
    pub removed: Vec<String>,
}

/// One engine's state, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineHealthStatus<'a> {
    /// Its name.
    pub name: &'a str,
    /// Requests that this process has there.
    pub own_requests: u32,
    /// Its last health report, while it is trusted.
    pub report: Option<HealthReport>,
    /// Its concurrency limit.
    pub limit: u32,
}

/// A candidate's name, and its free position if it is warming up.
struct Eligible<'a> {
    name: &'a str,
    warm_up_position: Option<u32>,
}

/// The engines as one process knows them: their configuration from the view, their health
/// and load from their reports, and the requests that this process has there.
#[derive(Default)]
pub struct EngineHealthTracker {
    engines: BTreeMap<String, TrackedEngine>,
}

impl EngineHealthTracker {
    /// Takes over the engines of a view.
    pub fn apply_view(&mut self, now: u64, view: &View) -> EngineListChange {
        let removed = remove_unlisted(&mut self.engines, view, |tracked| &tracked.engine);
        let mut added = Vec::new();
        for (name, engine) in &view.engines {
            if let Some(tracked) = self.engines.get_mut(name) {
                tracked.engine = engine.clone();
                continue;
            }
            added.push(engine.clone());
            let tracked = TrackedEngine::new(now, engine);
            self.engines.insert(name.clone(), tracked);
        }
        EngineListChange { added, removed }
    }

    /// Records a health report.
    pub fn record_report(&mut self, now: u64, name: &str, report: HealthReport) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.warm_up_slots.record_report(now, &report);
            tracked.report = Some(report);
            tracked.reported_at_ms = now;
            tracked.unreported_requests = 0;
        }
    }

    /// An engine could not be reached, or its stream of reports ended: it gets no new
    /// requests until the next report.
    pub fn mark_unhealthy(&mut self, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.report = None;
            tracked.interruptions += 1;
            tracked.warm_up_slots = WarmUpSlots::default();
        }
    }

    /// Whether an engine's reports were not interrupted since it was selected;
    /// `interruptions` is what `SelectedEngine` gave.
    pub fn is_uninterrupted(&self, name: &str, interruptions: u64) -> bool {
        self.engines
            .get(name)
            .is_some_and(|tracked| tracked.interruptions == interruptions)
    }

    /// Whether an engine is listed.
    pub fn contains(&self, name: &str) -> bool {
        self.engines.contains_key(name)
    }

    /// Gives back the slot that `select` took: a request of this process has ended there.
    pub fn release(&mut self, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.own_requests = tracked.own_requests.saturating_sub(1);
            tracked.unreported_requests = tracked.unreported_requests.saturating_sub(1);
        }
    }

    /// Whether an engine has been silent for so long that no response is to be expected. One
    /// that is no longer listed may finish its requests.
    pub fn is_lost(&self, now: u64, name: &str) -> bool {
        self.engines
            .get(name)
            .is_some_and(|tracked| now > tracked.reported_at_ms + ENGINE_LOST_AFTER_MS)
    }

    /// Selects an engine among those that view and mapping allow, and takes a slot there.
    /// `own_hash` and `peers` are the hashes of the names of the processes that may start
    /// requests at engines that are warming up.
    pub fn select(
        &mut self,
        now: u64,
        view: &View,
        mapping: &Mapping,
        prefix: u64,
        own_hash: u64,
        peers: &[u64],
    ) -> EngineSelection {
        let (candidates, eligible) = self.eligible(now, view, mapping, own_hash, peers);
        if candidates.is_empty() {
            return EngineSelection::NoneEligible;
        }
        let Some(index) = select_engine(prefix, &candidates) else {
            return EngineSelection::AllFull;
        };
        let position = eligible[index].warm_up_position;
        let name = eligible[index].name.to_string();
        self.take_slot(view, &name, position)
    }

    /// The healthy engines that view and mapping allow, as the selection sees them.
    fn eligible(
        &self,
        now: u64,
        view: &View,
        mapping: &Mapping,
        own_hash: u64,
        peers: &[u64],
    ) -> (Vec<Candidate>, Vec<Eligible<'_>>) {
        let target_utilization = view.program.set_points.target_utilization;
        let (mut candidates, mut eligible) = (Vec::new(), Vec::new());
        for (name, tracked) in &self.engines {
            let engine = &tracked.engine;
            let Some(tier) = mapping.cells.iter().position(|cell| cell.0 == engine.cell) else {
                continue;
            };
            let Some(report) = tracked.healthy_report(now) else {
                continue;
            };
            if !may_serve(view, mapping, name, &engine.address) {
                continue;
            }
            let limit = tracked.limit(target_utilization);
            let position = report.is_warming_up().then(|| {
                let slots = &tracked.warm_up_slots;
                slots.free_position(now, limit, tracked.hash, own_hash, peers)
            });
            candidates.push(Candidate {
                index: eligible.len(),
                hash: tracked.hash,
                running: tracked.running(&report),
                // Without a free position of this process the engine counts as full.
                limit: if position == Some(None) { 0 } else { limit },
                tier,
            });
            eligible.push(Eligible {
                name,
                warm_up_position: position.flatten(),
            });
        }
        (candidates, eligible)
    }

    fn take_slot(
        &mut self,
        view: &View,
        name: &str,
        warm_up_position: Option<u32>,
    ) -> EngineSelection {
        let tracked = self
            .engines
            .get_mut(name)
            .expect("a candidate is an entry of the table");
        tracked.own_requests += 1;
        tracked.unreported_requests += 1;
        let send_by_ms = warm_up_position.map(|position| tracked.warm_up_slots.take(position));
        EngineSelection::Selected(SelectedEngine::new(
            view,
            &tracked.engine,
            send_by_ms,
            tracked.interruptions,
        ))
    }

    /// The state of each engine, by name, for operators.
    pub fn statuses(
        &self,
        target_utilization: f64,
    ) -> impl Iterator<Item = EngineHealthStatus<'_>> {
        self.engines
            .iter()
            .map(move |(name, tracked)| EngineHealthStatus {
                name,
                own_requests: tracked.own_requests,
                report: tracked.report,
                limit: tracked.limit(target_utilization),
            })
    }
}
