//! The engines as they are now: one loop holds a vitals stream open to each
//! engine that the view lists, and to no other, around `placement`'s counts.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use placement::{
    EngineHealthStatus, EngineHealthTracker, EngineListChange, EngineLoadEstimator,
    EngineLoadStatus, EngineSelection, HealthReport, LoadUpdate, PrefillEstimate, SelectedEngine,
    SelectionRequest, HEALTH_REPORT_TIMEOUT_MS,
};
use policy::Prompt;
use residency::{Mapping, View};
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use transport::{jitter, link, now, AbortOnDrop};

const LINE_CAP: usize = 4096;
/// How often engines that failed are looked at.
const PROBE_MS: u64 = 500;

/// The marks of the processes that may begin work at cold engines, this one's
/// first; none where this one may not.
pub type Peers = Box<dyn Fn() -> Vec<u64> + Send + Sync>;

/// What an election gave.
pub enum Selection {
    Engine(EngineSlot),
    /// All that could take the job are at their limit.
    AtCapacity,
    /// No engine that may take it is in sight.
    NoneAvailable,
}

/// How engines are known: by their own vitals, or by their answers alone.
enum Sight {
    Vitals(Mutex<EngineHealthTracker>),
    Answers(Mutex<EngineLoadEstimator>),
}

pub struct EngineTracker {
    source: SocketAddr,
    sight: Sight,
    readers: Mutex<BTreeMap<String, AbortOnDrop>>,
    peers: Peers,
    /// Told when room may have come up.
    pub capacity_changed: Notify,
    /// Told when there may be news for others.
    pub load_changed: Notify,
}

/// A job's place at an engine, given back when dropped.
pub struct EngineSlot {
    engine_tracker: Arc<EngineTracker>,
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Until when the job's first byte may go to an engine that is cold.
    until: Option<u64>,
    losses: u64,
    /// When the request was sent and what is expected of it, until its response begins.
    reading: Option<(u64, PrefillEstimate)>,
}

impl Drop for EngineSlot {
    fn drop(&mut self) {
        match &self.engine_tracker.sight {
            Sight::Vitals(engines) => engines.lock().release(&self.name),
            Sight::Answers(estimates) => {
                let mut estimates = estimates.lock();
                estimates.release(&self.name);
                if let Some((_, estimate)) = self.reading {
                    estimates.finish_prefill(&self.name, estimate.tokens);
                }
                self.engine_tracker.load_changed.notify_one();
            }
        }
        self.engine_tracker.capacity_changed.notify_waiters();
    }
}

impl EngineSlot {
    /// A closure that says whether the place is still to be had: the engine was
    /// heard without a break, and a cold one's slot has not lapsed.
    pub fn hold(&self) -> impl Fn() -> bool + Send + Sync + 'static {
        let (engine_tracker, name) = (Arc::clone(&self.engine_tracker), self.name.clone());
        let (until, losses) = (self.until, self.losses);
        move || {
            until.is_none_or(|until| now() < until)
                && match &engine_tracker.sight {
                    Sight::Vitals(engines) => engines.lock().is_uninterrupted(&name, losses),
                    Sight::Answers(estimates) => estimates.lock().contains(&name),
                }
        }
    }

    /// Ends when the engine has been silent for so long that no answer is to be
    /// expected. One that says nothing of itself is never silent by that.
    pub async fn gone(&self) {
        let Sight::Vitals(engines) = &self.engine_tracker.sight else {
            return std::future::pending().await;
        };
        while !engines.lock().is_lost(now(), &self.name) {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// The engine could not be reached, or broke off.
    pub fn suspect(&self) {
        match &self.engine_tracker.sight {
            Sight::Vitals(engines) => engines.lock().mark_unhealthy(&self.name),
            Sight::Answers(estimates) => estimates.lock().record_failure(now(), &self.name),
        }
    }

    /// It turned the job away.
    pub fn declined(&self) {
        if let Sight::Answers(estimates) = &self.engine_tracker.sight {
            estimates.lock().record_not_run(now(), &self.name);
        }
    }

    /// Another engine answered at its address.
    pub fn ended(&self) {
        if let Sight::Answers(estimates) = &self.engine_tracker.sight {
            estimates.lock().record_replaced(now(), &self.name);
        }
    }

    /// The job's bytes leave.
    pub fn sent(&mut self, prompt: &Prompt) {
        if let Sight::Answers(estimates) = &self.engine_tracker.sight {
            let estimate = estimates.lock().record_send(now(), &self.name, prompt);
            self.reading = Some((now(), estimate));
            self.engine_tracker.load_changed.notify_one();
        }
    }

    /// How long its first event is expected to take.
    pub fn expected_ms(&self) -> f64 {
        self.reading
            .map_or(0.0, |(_, estimate)| estimate.expected_ms)
    }

    /// The answer begins.
    pub fn began(&mut self) {
        if let (Sight::Answers(estimates), Some((at, estimate))) =
            (&self.engine_tracker.sight, self.reading.take())
        {
            let mut estimates = estimates.lock();
            estimates.finish_prefill(&self.name, estimate.tokens);
            estimates.record_first_event(now(), &self.name, estimate.expected_ms, now() - at);
            self.engine_tracker.load_changed.notify_one();
        }
    }
}

impl EngineTracker {
    pub fn by_health(source: SocketAddr, peers: Peers) -> Arc<EngineTracker> {
        Arc::new(EngineTracker {
            source,
            sight: Sight::Vitals(Mutex::default()),
            readers: Mutex::default(),
            peers,
            capacity_changed: Notify::new(),
            load_changed: Notify::new(),
        })
    }

    /// One of engines that say nothing of themselves.
    pub fn by_responses(source: SocketAddr, peers: Peers) -> Arc<EngineTracker> {
        Arc::new(EngineTracker {
            source,
            sight: Sight::Answers(Mutex::default()),
            readers: Mutex::default(),
            peers,
            capacity_changed: Notify::new(),
            load_changed: Notify::new(),
        })
    }

    /// The loop: what the view wants, against what is followed.
    pub async fn run(self: Arc<EngineTracker>, mut view: watch::Receiver<Arc<View>>) {
        loop {
            let wanted = view.borrow_and_update().clone();
            self.reconcile(&wanted);
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    fn reconcile(self: &Arc<EngineTracker>, view: &View) {
        let change = match &self.sight {
            Sight::Vitals(engines) => engines.lock().apply_view(now(), view),
            Sight::Answers(estimates) => EngineListChange {
                added: Vec::new(),
                removed: estimates.lock().apply_view(now(), view),
            },
        };
        let mut readers = self.readers.lock();
        change
            .removed
            .iter()
            .for_each(|name| drop(readers.remove(name)));
        for engine in change.added {
            // Addresses are checked where engines are listed.
            let Ok(address) = engine.address.parse() else {
                continue;
            };
            let reader = tokio::spawn(Arc::clone(self).follow(engine.name.clone(), address));
            readers.insert(engine.name, AbortOnDrop(reader.abort_handle()));
        }
        drop(readers);
        self.capacity_changed.notify_waiters();
    }

    /// Keeps one engine's vitals stream open.
    async fn follow(self: Arc<EngineTracker>, name: String, address: SocketAddr) {
        loop {
            if let Err(error) = self.stream(&name, address).await {
                log::debug!(engine = name.as_str(); "vitals: {error:#}");
            }
            // Whatever comes next may be another start of it.
            if let Sight::Vitals(engines) = &self.sight {
                engines.lock().mark_unhealthy(&name);
            }
            tokio::time::sleep(jitter(250)).await;
        }
    }

    async fn stream(&self, name: &str, address: SocketAddr) -> anyhow::Result<()> {
        let stream = link::connect(self.source, address).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
        let driver = AbortOnDrop(tokio::spawn(connection).abort_handle());
        let request = hyper::Request::get("/vitals")
            .header("host", address.to_string())
            .body(Empty::new())?;
        let silence = Duration::from_millis(HEALTH_REPORT_TIMEOUT_MS);
        let answer = tokio::time::timeout(silence, sender.send_request(request)).await??;
        anyhow::ensure!(answer.status() == 200, "status {}", answer.status());
        let mut body = answer.into_body();
        let mut line = Vec::new();
        while let Some(frame) = tokio::time::timeout(silence, body.frame()).await? {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            for byte in data {
                match byte {
                    b'\n' => {
                        self.heard(name, &mut line)?;
                        line.clear();
                    }
                    _ if line.len() == LINE_CAP => anyhow::bail!("a line without end"),
                    _ => line.push(byte),
                }
            }
        }
        drop(driver);
        anyhow::bail!("the stream ended")
    }

    fn heard(&self, name: &str, line: &mut [u8]) -> anyhow::Result<()> {
        let value = simd_json::to_owned_value(line)?;
        let given = |field: &str| value.get(field).and_then(|v| v.as_u64());
        let count = |field: &str| {
            let count = given(field).and_then(|count| u32::try_from(count).ok());
            count.ok_or(anyhow::anyhow!("{field} is missing"))
        };
        let vitals = HealthReport {
            running: count("running")?,
            queued: count("queue")?,
            slots: count("slots")?,
            is_warm: value.get("warm").and_then(|v| v.as_bool()).unwrap_or(true),
            is_draining: value
                .get("draining")
                .and_then(|v| v.as_bool())
                .unwrap_or(false),
            completed: count("completed").unwrap_or(0),
            // Without its clock the routers' own cut its slots, each a little
            // differently; it is not left without work.
            uptime_ms: given("uptime_ms").unwrap_or(now()),
            received_at_ms: now(),
        };
        if let Sight::Vitals(engines) = &self.sight {
            engines.lock().record_report(now(), name, vitals);
        }
        self.capacity_changed.notify_waiters();
        Ok(())
    }

    /// Elects an engine for a job among those that view and mapping allow.
    pub fn select_engine(
        self: &Arc<EngineTracker>,
        view: &View,
        mapping: &Mapping,
        wanted: &SelectionRequest,
    ) -> Selection {
        let peers = (self.peers)();
        let me = peers.first().copied().unwrap_or(0);
        let chosen = match &self.sight {
            Sight::Vitals(engines) => {
                engines
                    .lock()
                    .select(now(), view, mapping, wanted.prefix, me, &peers)
            }
            Sight::Answers(estimates) => {
                estimates
                    .lock()
                    .select(now(), view, mapping, wanted, me, &peers)
            }
        };
        match chosen {
            EngineSelection::Selected(SelectedEngine {
                name,
                address,
                zone,
                send_by_ms,
                interruptions,
            }) => Selection::Engine(EngineSlot {
                engine_tracker: Arc::clone(self),
                address: address.parse().expect("checked when it was followed"),
                name,
                zone,
                until: send_by_ms,
                losses: interruptions,
                reading: None,
            }),
            EngineSelection::AllFull => Selection::AtCapacity,
            EngineSelection::NoneEligible => Selection::NoneAvailable,
        }
    }

    /// What is to be told to other processes now.
    pub fn take_load_update(&self) -> LoadUpdate {
        match &self.sight {
            Sight::Vitals(_) => LoadUpdate::default(),
            Sight::Answers(estimates) => estimates.lock().take_load_update(now()),
        }
    }

    pub fn apply_load_update(&self, from: &str, news: &LoadUpdate) {
        if let Sight::Answers(estimates) = &self.sight {
            estimates.lock().apply_load_update(now(), from, news);
        }
    }

    /// Looks at engines that failed, until each can be reached again.
    pub async fn probe_suspects(self: Arc<EngineTracker>) {
        let Sight::Answers(estimates) = &self.sight else {
            return;
        };
        loop {
            tokio::time::sleep(jitter(PROBE_MS)).await;
            let due = estimates.lock().due_probes(now());
            for target in due {
                let (engine_tracker, source) = (Arc::clone(&self), self.source);
                let Ok(address) = target.address.parse() else {
                    continue;
                };
                tokio::spawn(async move {
                    let reached = link::connect(source, address).await;
                    if let (Ok(_), Sight::Answers(estimates)) = (reached, &engine_tracker.sight) {
                        estimates.lock().record_probe_success(&target.engine);
                        engine_tracker.capacity_changed.notify_waiters();
                    }
                });
            }
        }
    }

    /// Whether an engine is listed.
    pub fn is_listed(&self, name: &str) -> bool {
        match &self.sight {
            Sight::Vitals(engines) => engines.lock().contains(name),
            Sight::Answers(estimates) => estimates.lock().contains(name),
        }
    }

    /// For operators: name, running here, limit as of now, heard how long ago.
    pub fn to_json(&self, fill: f64) -> simd_json::OwnedValue {
        let list: Vec<simd_json::OwnedValue> = match &self.sight {
            Sight::Vitals(engines) => {
                let engines = engines.lock();
                let line = |status: EngineHealthStatus| {
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
                };
                engines.statuses(fill).map(line).collect()
            }
            Sight::Answers(estimates) => {
                let estimates = estimates.lock();
                let line = |status: EngineLoadStatus| {
                    simd_json::json!({
                        "name": status.name,
                        "own": status.own_requests,
                        "suspect": status.is_suspect,
                        "cold": status.is_warming_up,
                        "waits_ms": status.excess_wait_ms,
                    })
                };
                estimates.statuses(now()).map(line).collect()
            }
        };
        simd_json::OwnedValue::from(list)
    }
}
