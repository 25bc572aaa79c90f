//! The engines as they are now: one loop holds a vitals stream open to each
//! engine that the view lists, and to no other.

use crate::{jitter, now};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use placement::{Candidate, Vitals, Warmth};
use residency::{Engine, Mapping, View};
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// Silence of an engine's vitals for this long makes it suspect.
pub const SILENCE_MS: u64 = 1_500;
/// Past this much silence an engine that has a job is taken for lost: it gets no
/// more, and the job's caller is told.
const GONE_MS: u64 = 3 * SILENCE_MS;
const LINE_CAP: usize = 4096;

/// One engine. Invariants: `own` counts the jobs that this process has there
/// now; `since` those of them begun since the last vitals.
struct Live {
    engine: Engine,
    mark: u64,
    vitals: Option<Vitals>,
    /// When it was last heard, also where its vitals are not trusted now.
    heard: u64,
    warmth: Warmth,
    own: u32,
    since: u32,
    reader: tokio::task::AbortHandle,
}

/// What an election gave.
pub enum Elected {
    Engine(Seat),
    /// All that could take the job are at their limit.
    Full,
    /// No engine that may take it is in sight.
    Nobody,
}

pub struct Roster {
    source: SocketAddr,
    live: Mutex<BTreeMap<String, Live>>,
    /// Told when room may have come up.
    pub room: Notify,
}

/// A job's place at an engine, given back when dropped.
pub struct Seat {
    roster: Arc<Roster>,
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
}

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(live) = self.roster.live.lock().get_mut(&self.name) {
            live.own = live.own.saturating_sub(1);
            live.since = live.since.saturating_sub(1);
        }
        self.roster.room.notify_waiters();
    }
}

impl Seat {
    /// The engine completed an answer, which warms it.
    pub fn complete(&self) {
        if let Some(live) = self.roster.live.lock().get_mut(&self.name) {
            live.warmth.complete();
        }
    }

    /// Ends when the engine has been silent for so long that no answer is to be
    /// expected. One that was only taken off the list may finish.
    pub async fn gone(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let heard = self.roster.live.lock().get(&self.name).map(|live| live.heard);
            if heard.is_some_and(|heard| now() > heard + GONE_MS) {
                return;
            }
        }
    }

    /// The engine could not be reached: suspect until it is heard again.
    pub fn suspect(&self) {
        if let Some(live) = self.roster.live.lock().get_mut(&self.name) {
            live.vitals = None;
        }
    }
}

impl Roster {
    pub fn new(source: SocketAddr) -> Arc<Roster> {
        Arc::new(Roster { source, live: Mutex::new(BTreeMap::new()), room: Notify::new() })
    }

    /// The loop: what the view wants, against what is followed.
    pub async fn run(self: Arc<Roster>, mut view: watch::Receiver<Arc<View>>) {
        loop {
            let wanted = view.borrow_and_update().clone();
            self.reconcile(&wanted);
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    fn reconcile(self: &Arc<Roster>, view: &View) {
        let mut live = self.live.lock();
        live.retain(|name, known| {
            let is_same = view.engines.get(name).is_some_and(|e| e.address == known.engine.address);
            if !is_same {
                known.reader.abort();
            }
            is_same
        });
        for (name, engine) in &view.engines {
            if let Some(known) = live.get_mut(name) {
                known.engine = engine.clone();
                continue;
            }
            // Addresses are checked where engines are listed.
            let Ok(address) = engine.address.parse() else { continue };
            let reader = tokio::spawn(Arc::clone(self).follow(name.clone(), address));
            let fresh = Live {
                engine: engine.clone(),
                mark: language::mark(name.as_bytes()),
                vitals: None,
                heard: now(),
                warmth: Warmth::default(),
                own: 0,
                since: 0,
                reader: reader.abort_handle(),
            };
            live.insert(name.clone(), fresh);
        }
        drop(live);
        self.room.notify_waiters();
    }

    /// Keeps one engine's vitals stream open.
    async fn follow(self: Arc<Roster>, name: String, address: SocketAddr) {
        loop {
            if let Err(error) = self.stream(&name, address).await {
                log::debug!(engine = name.as_str(); "vitals: {error:#}");
            }
            tokio::time::sleep(jitter(250)).await;
        }
    }

    async fn stream(&self, name: &str, address: SocketAddr) -> anyhow::Result<()> {
        let stream = crate::link::connect(self.source, address).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
        let driver = Aborting(tokio::spawn(connection).abort_handle());
        let request =
            hyper::Request::get("/vitals").header("host", address.to_string()).body(Empty::new())?;
        let silence = Duration::from_millis(SILENCE_MS);
        let answer = tokio::time::timeout(silence, sender.send_request(request)).await??;
        anyhow::ensure!(answer.status() == 200, "status {}", answer.status());
        let mut body = answer.into_body();
        let mut line = Vec::new();
        let mut is_first = true;
        while let Some(frame) = tokio::time::timeout(silence, body.frame()).await? {
            let Ok(data) = frame?.into_data() else { continue };
            for byte in data {
                match byte {
                    b'\n' => {
                        self.heard(name, &mut line, is_first)?;
                        is_first = false;
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

    fn heard(&self, name: &str, line: &mut [u8], is_first: bool) -> anyhow::Result<()> {
        let value = simd_json::to_owned_value(line)?;
        let count = |field: &str| {
            value.get(field).and_then(|v| v.as_u32()).ok_or(anyhow::anyhow!("{field} is missing"))
        };
        let vitals = Vitals {
            running: count("running")?,
            queue: count("queue")?,
            slots: count("slots")?,
            is_warm: value.get("warm").and_then(|v| v.as_bool()).unwrap_or(true),
            is_draining: value.get("draining").and_then(|v| v.as_bool()).unwrap_or(false),
            heard: now(),
        };
        if let Some(live) = self.live.lock().get_mut(name) {
            // A new stream means a new start, or a network that came back; the
            // engine's own word says which.
            if is_first {
                live.warmth = match vitals.is_warm {
                    true => Warmth::warm(),
                    false => Warmth::default(),
                };
            }
            live.vitals = Some(vitals);
            live.heard = vitals.heard;
            live.since = 0;
        }
        self.room.notify_waiters();
        Ok(())
    }

    /// Elects an engine for a job among those that view and mapping allow.
    pub fn elect(self: &Arc<Roster>, view: &View, mapping: &Mapping, prefix: u64) -> Elected {
        let mut live = self.live.lock();
        let at = now();
        let mut candidates = Vec::new();
        let mut names = Vec::new();
        for (name, known) in live.iter() {
            // The view as it is now, not as the roster last saw it.
            let Some(engine) = view.engines.get(name) else { continue };
            let serves = engine.services.iter().any(|s| s.0 == mapping.service);
            let Some(tier) = mapping.cells.iter().position(|cell| cell.0 == engine.cell) else {
                continue;
            };
            // Homes bind whatever a cell's name has come to stand for.
            let is_home = view
                .cell(&engine.cell)
                .is_some_and(|cell| mapping.regions.iter().any(|r| r.0 == cell.region));
            let Some(vitals) = known.vitals else { continue };
            let is_heard = at - vitals.heard < SILENCE_MS && !vitals.is_draining;
            if !serves || !is_home || !is_heard || !view.is_open(engine) {
                continue;
            }
            let slots = engine.slots.min(vitals.slots);
            let point = (f64::from(slots) * view.program.points.fill).ceil() as u32;
            candidates.push(Candidate {
                index: names.len(),
                mark: known.mark,
                running: known.own.max(vitals.running + vitals.queue + known.since),
                limit: known.warmth.limit(point.min(slots)),
                tier,
            });
            names.push(name.as_str());
        }
        if candidates.is_empty() {
            return Elected::Nobody;
        }
        let Some(index) = placement::elect(prefix, &candidates) else { return Elected::Full };
        let name = names[index].to_string();
        let known = live.get_mut(&name).expect("it was listed a moment ago");
        known.own += 1;
        known.since += 1;
        Elected::Engine(Seat {
            roster: Arc::clone(self),
            address: known.engine.address.parse().expect("checked when it was followed"),
            zone: view.cells.get(&known.engine.cell).cloned().unwrap_or_default(),
            name,
        })
    }

    /// For operators: name, running here, limit as of now, heard how long ago.
    pub fn value(&self) -> simd_json::OwnedValue {
        let live = self.live.lock();
        let at = now();
        let mut list = Vec::new();
        for (name, known) in live.iter() {
            list.push(simd_json::json!({
                "name": name.clone(),
                "own": known.own,
                "running": known.vitals.map(|v| v.running),
                "slots": known.engine.slots,
                "warm_limit": known.warmth.limit(known.engine.slots),
                "silent_ms": known.vitals.map(|v| at - v.heard),
            }));
        }
        simd_json::OwnedValue::from(list)
    }
}

/// Ends a task when dropped.
pub struct Aborting(pub tokio::task::AbortHandle);

impl Drop for Aborting {
    fn drop(&mut self) {
        self.0.abort();
    }
}
