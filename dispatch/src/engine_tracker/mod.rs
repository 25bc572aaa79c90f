//! The engines that the view lists: their health, their load, and the requests that
//! this process has there.
//!
//! The decisions are `placement`'s; this module gives them time, health reports and
//! the outcomes of requests.

mod engines;
mod health_stream;
mod slot;

pub use slot::EngineSlot;

use engines::{LoadSource, TrackedEngines};
use parking_lot::Mutex;
use placement::{
    EngineHealthStatus, EngineListChange, EngineLoadStatus, EngineSelection, LoadUpdate,
    SelectedEngine, SelectionRequest,
};
use residency::{Mapping, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{watch, Notify};
use transport::{jitter, link, now, AbortOnDrop};

/// How often engines that failed are probed.
const PROBE_INTERVAL_MS: u64 = 500;

/// The processes that may begin work at engines that are warming up, as hashes, this
/// process first; empty where this process may not.
pub type Peers = Box<dyn Fn() -> Vec<u64> + Send + Sync>;

/// What came of selecting an engine.
pub enum Selection {
    /// A slot is reserved at this engine.
    Engine(EngineSlot),
    /// All engines that could take the request are at their limit.
    AtCapacity,
    /// No engine that may take the request is known.
    NoneAvailable,
}

/// The engines that the view lists, and the requests that this process has there.
pub struct EngineTracker {
    source: SocketAddr,
    engines: Arc<TrackedEngines>,
    health_streams: Mutex<BTreeMap<String, AbortOnDrop>>,
    peers: Peers,
}

impl EngineTracker {
    /// A tracker of engines that stream health reports. Connections to them are made
    /// from `source`.
    pub fn by_health(source: SocketAddr, peers: Peers) -> Arc<EngineTracker> {
        let load = LoadSource::HealthReports(Mutex::default());
        EngineTracker::new(source, peers, load)
    }

    /// A tracker of engines that are known by their responses alone.
    pub fn by_responses(source: SocketAddr, peers: Peers) -> Arc<EngineTracker> {
        let load = LoadSource::Responses(Mutex::default());
        EngineTracker::new(source, peers, load)
    }

    fn new(source: SocketAddr, peers: Peers, load: LoadSource) -> Arc<EngineTracker> {
        Arc::new(EngineTracker {
            source,
            engines: Arc::new(TrackedEngines::new(load)),
            health_streams: Mutex::default(),
            peers,
        })
    }

    /// Follows the engines that the view lists, until the view has no sender any more.
    pub async fn run(self: Arc<EngineTracker>, mut view: watch::Receiver<Arc<View>>) {
        loop {
            let current = view.borrow_and_update().clone();
            self.apply_view(&current);
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply_view(&self, view: &View) {
        let EngineListChange { added, removed } = match &self.engines.load {
            LoadSource::HealthReports(health) => health.lock().apply_view(now(), view),
            LoadSource::Responses(estimator) => EngineListChange {
                added: Vec::new(),
                removed: estimator.lock().apply_view(now(), view),
            },
        };
        let mut streams = self.health_streams.lock();
        for name in &removed {
            streams.remove(name);
        }
        for engine in added {
            // Addresses are checked where engines are listed.
            let Ok(address) = engine.address.parse() else {
                continue;
            };
            let stream = health_stream::follow(
                Arc::clone(&self.engines),
                self.source,
                engine.name.clone(),
                address,
            );
            let stream = tokio::spawn(stream);
            streams.insert(engine.name, AbortOnDrop(stream.abort_handle()));
        }
        drop(streams);
        self.engines.capacity_changed.notify_waiters();
    }

    /// Selects an engine for a request among those that view and mapping allow, and
    /// reserves a slot there.
    pub fn select_engine(
        &self,
        view: &View,
        mapping: &Mapping,
        request: &SelectionRequest,
    ) -> Selection {
        let peers = (self.peers)();
        let local = peers.first().copied().unwrap_or(0);
        let selection = match &self.engines.load {
            LoadSource::HealthReports(health) => {
                health
                    .lock()
                    .select(now(), view, mapping, request.prefix, local, &peers)
            }
            LoadSource::Responses(estimator) => {
                estimator
                    .lock()
                    .select(now(), view, mapping, request, local, &peers)
            }
        };
        match selection {
            EngineSelection::Selected(engine) => Selection::Engine(self.slot(engine)),
            EngineSelection::AllFull => Selection::AtCapacity,
            EngineSelection::NoneEligible => Selection::NoneAvailable,
        }
    }

    fn slot(&self, engine: SelectedEngine) -> EngineSlot {
        EngineSlot {
            engines: Arc::clone(&self.engines),
            address: engine
                .address
                .parse()
                .expect("addresses are checked where engines are listed"),
            name: engine.name,
            send_by_ms: engine.send_by_ms,
            interruptions: engine.interruptions,
            prefill: None,
        }
    }

    /// Notified when a slot may have become free.
    pub fn capacity_changed(&self) -> &Notify {
        &self.engines.capacity_changed
    }

    /// Notified when other processes should get a load update.
    pub fn load_changed(&self) -> &Notify {
        &self.engines.load_changed
    }

    /// What other processes should be told of the engines' load now.
    pub fn take_load_update(&self) -> LoadUpdate {
        match &self.engines.load {
            LoadSource::HealthReports(_) => LoadUpdate::default(),
            LoadSource::Responses(estimator) => estimator.lock().take_load_update(now()),
        }
    }

    /// Takes in what the process `from` said of the engines' load.
    pub fn apply_load_update(&self, from: &str, update: &LoadUpdate) {
        if let LoadSource::Responses(estimator) = &self.engines.load {
            estimator.lock().apply_load_update(now(), from, update);
        }
    }

    /// Probes engines that failed, until each can be reached again. Ends at once for
    /// engines that send health reports.
    pub async fn probe_suspects(self: Arc<EngineTracker>) {
        let LoadSource::Responses(estimator) = &self.engines.load else {
            return;
        };
        loop {
            tokio::time::sleep(jitter(PROBE_INTERVAL_MS)).await;
            let due = estimator.lock().due_probes(now());
            for target in due {
                let Ok(address) = target.address.parse() else {
                    continue;
                };
                let (engines, source) = (Arc::clone(&self.engines), self.source);
                tokio::spawn(async move { probe(&engines, source, &target.engine, address).await });
            }
        }
    }

    /// Whether an engine is listed.
    pub fn is_listed(&self, name: &str) -> bool {
        match &self.engines.load {
            LoadSource::HealthReports(health) => health.lock().contains(name),
            LoadSource::Responses(estimator) => estimator.lock().contains(name),
        }
    }

    /// The engines for operators: name, requests of this process, and either the last
    /// health report with the limit that follows from it at this target utilization,
    /// or what the estimator holds.
    pub fn to_json(&self, target_utilization: f64) -> simd_json::OwnedValue {
        let list: Vec<simd_json::OwnedValue> = match &self.engines.load {
            LoadSource::HealthReports(health) => {
                let health = health.lock();
                let statuses = health.statuses(target_utilization);
                statuses.map(health_status_json).collect()
            }
            LoadSource::Responses(estimator) => {
                let estimator = estimator.lock();
                estimator.statuses(now()).map(load_status_json).collect()
            }
        };
        simd_json::OwnedValue::from(list)
    }
}

fn health_status_json(status: EngineHealthStatus) -> simd_json::OwnedValue {
    let report = status.report;
    simd_json::json!({
        "name": status.name,
        "own": status.own_requests,
        "running": report.map(|report| report.running),
        "slots": report.map(|report| report.slots),
        "limit": status.limit,
        "cold": report.map(|report| report.is_warming_up()),
        "silent_ms": report.map(|report| now() - report.received_at_ms),
    })
}

fn load_status_json(status: EngineLoadStatus) -> simd_json::OwnedValue {
    simd_json::json!({
        "name": status.name,
        "own": status.own_requests,
        "suspect": status.is_suspect,
        "cold": status.is_warming_up,
        "waits_ms": status.excess_wait_ms,
    })
}

/// Connects to an engine that failed; one that accepts gets requests again.
async fn probe(engines: &TrackedEngines, source: SocketAddr, name: &str, address: SocketAddr) {
    let connected = link::connect(source, address).await;
    if let (Ok(_), LoadSource::Responses(estimator)) = (connected, &engines.load) {
        estimator.lock().record_probe_success(name);
        engines.capacity_changed.notify_waiters();
    }
}
