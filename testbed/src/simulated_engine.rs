//! A stand-in engine, or plain web service: it speaks the engines' published
//! protocol, takes its time, and writes down every job it gets and runs.
//!
//! An answer names the engine, the run and the digest of the body that it is
//! an answer to, in numbered pieces, so that a caller can tell an answer that
//! is whole and its own from any other.

use crate::journal::Journal;
use bytes::Bytes;
use dispatch::ChannelBody;
use dropshot::Body;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use simd_json::json;
use simd_json::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use transport::http_server::{self, Request, Response};
use transport::rejection;

pub struct Settings {
    pub name: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Pieces in an answer, and the time between two.
    pub pieces: u32,
    pub piece_ms: u64,
    /// What a prompt costs whose prefix is not warm.
    pub prefill_ms: u64,
    pub is_cold: bool,
    pub journal: std::path::PathBuf,
}

/// Invariant: a run's number is its own, over the engine's life.
struct Engine {
    settings: Settings,
    journal: Journal,
    running: AtomicU32,
    waiting: AtomicU32,
    runs: AtomicU64,
    began: std::time::Instant,
    served: AtomicU32,
    is_draining: AtomicBool,
    slots: Arc<Semaphore>,
    warm: Mutex<VecDeque<String>>,
}

const WARM_KEPT: usize = 64;

pub fn serve(settings: Settings) -> anyhow::Result<dropshot::HttpServer<http_server::Handler>> {
    let engine = Arc::new(Engine {
        journal: Journal::open(&settings.journal)?,
        running: AtomicU32::new(0),
        waiting: AtomicU32::new(0),
        runs: AtomicU64::new(crate::journal::wall_clock_us()),
        began: std::time::Instant::now(),
        served: AtomicU32::new(if settings.is_cold { 0 } else { 1000 }),
        is_draining: AtomicBool::new(false),
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        warm: Mutex::default(),
        settings,
    });
    let address = engine.settings.address;
    engine.journal.note(json!({
        "engine": engine.settings.name.clone(), "job": "", "event": "started",
        "cold": engine.settings.is_cold, "slots": engine.settings.slots, "run": 0,
    }));
    let handler: http_server::Handler = Arc::new(move |request| {
        let engine = Arc::clone(&engine);
        Box::pin(async move {
            match request.uri().path() {
                "/vitals" => vitals(&engine),
                _ => job(&engine, request).await,
            }
        })
    });
    http_server::serve(address, 64 << 20, handler)
}

fn vitals(engine: &Arc<Engine>) -> Response {
    let (sender, receiver) = mpsc::channel(2);
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        loop {
            let line = json!({
                "running": engine.running.load(Ordering::Relaxed),
                "queue": engine.waiting.load(Ordering::Relaxed),
                "slots": engine.settings.slots,
                "warm": engine.served.load(Ordering::Relaxed) >= 24,
                "draining": engine.is_draining.load(Ordering::Relaxed),
                "completed": engine.served.load(Ordering::Relaxed),
                "uptime_ms": engine.began.elapsed().as_millis() as u64,
            });
            if sender
                .send(Ok(Bytes::from(line.encode() + "\n")))
                .await
                .is_err()
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    hyper::Response::new(Body::wrap(ChannelBody(receiver)))
}

/// Counts a job while it waits or runs, however it ends.
struct Counted(Arc<Engine>, fn(&Engine) -> &AtomicU32);

impl Counted {
    fn new(engine: &Arc<Engine>, counter: fn(&Engine) -> &AtomicU32) -> Counted {
        counter(engine).fetch_add(1, Ordering::Relaxed);
        Counted(Arc::clone(engine), counter)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.1(&self.0).fetch_sub(1, Ordering::Relaxed);
    }
}

async fn job(engine: &Arc<Engine>, request: Request) -> Response {
    let id = header(&request, rejection::REQUEST_ID_HEADER);
    let note = |event: &str, run: u64| {
        engine.journal.note(json!({
            "engine": engine.settings.name.clone(), "job": id.clone(), "event": event, "run": run,
        }));
    };
    note("received", 0);
    // It is always counted as one or the other, also while its body comes.
    let (slot, running) = {
        let _waiting = Counted::new(engine, |engine| &engine.waiting);
        let is_full = engine.waiting.load(Ordering::Relaxed) > engine.settings.slots * 2;
        if is_full || engine.is_draining.load(Ordering::Relaxed) {
            note("declined", 0);
            return hyper::Response::builder()
                .status(503)
                .header(dispatch::ENGINE_OUTCOME_HEADER, "not-run")
                .body(Body::empty())
                .expect("fixed headers make an answer");
        }
        let Ok(slot) = Arc::clone(&engine.slots).acquire_owned().await else {
            unreachable!("the slots are never closed")
        };
        (slot, Counted::new(engine, |engine| &engine.running))
    };
    let Ok(body) = request.into_body().collect().await else {
        note("broken-body", 0);
        return hyper::Response::builder()
            .status(400)
            .body(Body::empty())
            .expect("an answer");
    };
    let body = body.to_bytes();
    let run = engine.runs.fetch_add(1, Ordering::Relaxed) + 1;
    let is_warm = warm_up(engine, &body);
    note(if is_warm { "begun-warm" } else { "begun-cold" }, run);
    let sum = policy::sha256_hex(&String::from_utf8_lossy(&body));
    let (sender, receiver) = mpsc::channel(4);
    let (engine, job) = (Arc::clone(engine), id.clone());
    let settings_name = engine.settings.name.clone();
    tokio::spawn(async move {
        let _slot = slot;
        let _running = running;
        let event = match answer(&engine, &job, run, &sum, is_warm, &sender).await {
            true => "ended",
            false => "cancelled",
        };
        engine.served.fetch_add(1, Ordering::Relaxed);
        engine.journal.note(json!({
            "engine": engine.settings.name.clone(), "job": job, "event": event, "run": run,
        }));
    });
    hyper::Response::builder()
        .header("content-type", "application/x-ndjson")
        .header("x-engine", settings_name)
        .header("x-prefix", if is_warm { "warm" } else { "cold" })
        .body(Body::wrap(ChannelBody(receiver)))
        .expect("fixed headers make an answer")
}

fn header(request: &Request, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .into()
}

/// Whether the prompt's beginning was seen lately; from now on it was.
fn warm_up(engine: &Engine, body: &[u8]) -> bool {
    let prefix = match policy::find_field(body, &["prompt".into()], true) {
        policy::FieldSearch::Found { raw, .. } => {
            String::from_utf8_lossy(&raw[..raw.len().min(256)]).into_owned()
        }
        _ => return true,
    };
    let mut warm = engine.warm.lock();
    let known = warm.iter().position(|seen| *seen == prefix);
    if let Some(at) = known {
        warm.remove(at);
    }
    warm.push_back(prefix);
    if warm.len() > WARM_KEPT {
        warm.pop_front();
    }
    known.is_some()
}

/// Streams the answer. False: the caller went away.
async fn answer(
    engine: &Engine,
    job: &str,
    run: u64,
    sum: &str,
    is_warm: bool,
    sender: &mpsc::Sender<anyhow::Result<Bytes>>,
) -> bool {
    let settings = &engine.settings;
    let prefill = if is_warm {
        settings.prefill_ms / 8
    } else {
        settings.prefill_ms
    };
    let mut wait = prefill;
    for piece in 0..settings.pieces {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait)) => {}
            () = sender.closed() => return false,
        }
        wait = settings.piece_ms;
        let line = json!({
            "piece": piece, "of": settings.pieces, "engine": settings.name.clone(), "run": run,
            "job": job, "sum": sum,
        });
        if sender
            .send(Ok(Bytes::from(line.encode() + "\n")))
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}
