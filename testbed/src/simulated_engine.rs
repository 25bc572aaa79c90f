//! A simulated engine: it speaks the engines' published protocol, takes its time, and
//! records every request that it gets and runs.
//!
//! A response names the engine, the run and the digest of the request's body, in numbered
//! chunks, so that a client can tell a complete response to its own request from any other.

use crate::journal::Journal;
use crate::workload::SHARED_PREFIX_BYTES;
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
use transport::http_server::{self, HttpServer, Request, Response};
use transport::rejection;

/// How an engine behaves.
pub struct Settings {
    /// Its name in the journal and in responses.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Chunks of a response.
    pub chunks: u32,
    /// The time between two chunks.
    pub chunk_ms: u64,
    /// The time for a prompt whose prefix is not cached.
    pub prefill_ms: u64,
    /// It starts cold, and warms up by its first responses.
    pub is_cold: bool,
    /// The file of its journal.
    pub journal: std::path::PathBuf,
}

/// Invariant: no two runs have one number, also over the engine's restarts.
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

/// Prefixes that an engine keeps in its cache.
const CACHED_PREFIXES: usize = 64;
/// Responses after which an engine is warm.
const WARM_AFTER_RESPONSES: u32 = 24;
/// What a warm start counts as.
const RESPONSES_OF_WARM_START: u32 = 1000;
const VITALS_PERIOD: Duration = Duration::from_millis(100);

/// Serves an engine until the server is dropped.
///
/// # Errors
///
/// Where the journal can't be opened, or the address is taken.
pub fn serve(settings: Settings) -> anyhow::Result<HttpServer> {
    let engine = Arc::new(Engine {
        journal: Journal::open(&settings.journal)?,
        running: AtomicU32::new(0),
        waiting: AtomicU32::new(0),
        runs: AtomicU64::new(crate::journal::wall_clock_us()),
        began: std::time::Instant::now(),
        served: AtomicU32::new(match settings.is_cold {
            true => 0,
            false => RESPONSES_OF_WARM_START,
        }),
        is_draining: AtomicBool::new(false),
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        warm: Mutex::default(),
        settings,
    });
    let address = engine.settings.address;
    engine.journal.append(json!({
        "engine": engine.settings.name.clone(), "job": "", "event": "started",
        "cold": engine.settings.is_cold, "slots": engine.settings.slots, "run": 0,
    }));
    let handler: http_server::Handler = Arc::new(move |request| {
        let engine = Arc::clone(&engine);
        Box::pin(async move {
            match request.uri().path() {
                "/vitals" => vitals(&engine),
                _ => handle_request(&engine, request).await,
            }
        })
    });
    Ok(http_server::serve_by_default(address, handler)?)
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
                "warm": engine.served.load(Ordering::Relaxed) >= WARM_AFTER_RESPONSES,
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
            tokio::time::sleep(VITALS_PERIOD).await;
        }
    });
    hyper::Response::new(Body::wrap(ChannelBody(receiver)))
}

/// Counts a request while it waits or runs, however it ends.
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

async fn handle_request(engine: &Arc<Engine>, request: Request) -> Response {
    let id = header(&request, rejection::REQUEST_ID_HEADER);
    let note = |event: &str, run: u64| {
        engine.journal.append(json!({
            "engine": engine.settings.name.clone(), "job": id.clone(), "event": event, "run": run,
        }));
    };
    note("received", 0);
    // It is always counted as waiting or running, also while its body arrives.
    let (slot, running) = {
        let _waiting = Counted::new(engine, |engine| &engine.waiting);
        let is_full = engine.waiting.load(Ordering::Relaxed) > engine.settings.slots * 2;
        if is_full || engine.is_draining.load(Ordering::Relaxed) {
            note("declined", 0);
            return hyper::Response::builder()
                .status(503)
                .header(dispatch::ENGINE_OUTCOME_HEADER, "not-run")
                .body(Body::empty())
                .expect("fixed headers are valid");
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
            .expect("a status is valid");
    };
    let body = body.to_bytes();
    let run = engine.runs.fetch_add(1, Ordering::Relaxed) + 1;
    let is_warm = cache_prefix(engine, &body);
    note(if is_warm { "begun-warm" } else { "begun-cold" }, run);
    let sum = policy::sha256_hex(&String::from_utf8_lossy(&body));
    let (sender, receiver) = mpsc::channel(4);
    let (engine, job) = (Arc::clone(engine), id.clone());
    let settings_name = engine.settings.name.clone();
    tokio::spawn(async move {
        let _slot = slot;
        let _running = running;
        let event = match send_response(&engine, &job, run, &sum, is_warm, &sender).await {
            true => "ended",
            false => "cancelled",
        };
        engine.served.fetch_add(1, Ordering::Relaxed);
        engine.journal.append(json!({
            "engine": engine.settings.name.clone(), "job": job, "event": event, "run": run,
        }));
    });
    hyper::Response::builder()
        .header("content-type", "application/x-ndjson")
        .header("x-engine", settings_name)
        .header("x-prefix", if is_warm { "warm" } else { "cold" })
        .body(Body::wrap(ChannelBody(receiver)))
        .expect("fixed headers are valid")
}

fn header(request: &Request, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .into()
}

/// Whether the prompt's prefix is cached; from now on it is.
fn cache_prefix(engine: &Engine, body: &[u8]) -> bool {
    let prefix = match policy::find_field(body, &["prompt".into()], true) {
        policy::FieldSearch::Found { raw, .. } => {
            String::from_utf8_lossy(&raw[..raw.len().min(SHARED_PREFIX_BYTES)]).into_owned()
        }
        _ => return true,
    };
    let mut warm = engine.warm.lock();
    let known = warm.iter().position(|seen| *seen == prefix);
    if let Some(at) = known {
        warm.remove(at);
    }
    warm.push_back(prefix);
    if warm.len() > CACHED_PREFIXES {
        warm.pop_front();
    }
    known.is_some()
}

/// Streams the response. False: the client hung up.
async fn send_response(
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
    for chunk in 0..settings.chunks {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait)) => {}
            () = sender.closed() => return false,
        }
        wait = settings.chunk_ms;
        let line = json!({
            "piece": chunk, "of": settings.chunks, "engine": settings.name.clone(), "run": run,
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
