//! A router: a front door. It takes callers' jobs, reads the routing key,
//! looks it up in its own cache and the region's, and streams to an engine; a
//! miss goes to a directory node.

mod company;
mod door;
mod forward;
mod layers;
mod session;

use anyhow::Context;
use parking_lot::{Mutex, RwLock};
use placement::Retries;
use residency::View;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use yard::boot::{setting, Boot, Setting};
use yard::counters::Counters;
use yard::dispatch::Dispatcher;
use yard::now;
use yard::quota::Quota;
use yard::roster::Roster;
use yard::web::{self, Refusal};

const SETTINGS: &[Setting] = &[
    setting("name", "NAME", "this router's name, unique in the cluster", None),
    setting("region", "NAME", "the region it stands in", None),
    setting("zone", "NAME", "the zone it stands in", None),
    setting("door", "IP:PORT", "where callers reach it", None),
    setting("address", "IP:PORT", "where the routers of its region reach it", None),
    setting("listen", "IP:PORT", "where it listens for them, if not there", Some("")),
    setting("desk", "IP:PORT", "where operators reach it", None),
    setting("seeds", "IP:PORT,...", "addresses of directory nodes", None),
    setting("own-cache", "COUNT", "mappings in its own cache, at the most", Some("512")),
    setting("share", "COUNT", "mappings in its share of the region's cache", Some("16384")),
    setting("body", "BYTES", "the longest body that is taken", Some("16777216")),
    setting("jobs", "COUNT", "jobs under way at a time, at the most", Some("4096")),
    setting(
        "leave-ms",
        "MS",
        "how long it still takes jobs after it is told to stop",
        Some("1500"),
    ),
    setting("stop-ms", "MS", "how long streams may finish in when it stops", Some("20000")),
    setting("head-ms", "MS", "how long the part of a body with the key may take", Some("10000")),
    setting(
        "quota-ms",
        "MS",
        "how long a job waits for the leader's word on its quota",
        Some("2500"),
    ),
    setting("level", "LEVEL", "log level: error, warn, info, debug", Some("info")),
];

/// How long a job may wait for room at an engine, at the most.
const ROOM_WAIT_MS: u64 = 3_000;

pub struct Settings {
    pub name: String,
    pub region: String,
    pub zone: String,
    pub door: SocketAddr,
    pub address: SocketAddr,
    /// Where it listens for its neighbours, and dials from.
    pub listen: SocketAddr,
    pub head: Duration,
    pub quota: Duration,
    pub jobs: usize,
    pub seeds: Vec<SocketAddr>,
    pub body: usize,
}

/// What every part of the router holds on to. Invariants: the view's epoch
/// only rises; `licence` is the time, on this process's clock, until which it
/// may dispatch.
pub struct Router {
    pub boot: Settings,
    pub view: watch::Sender<Arc<View>>,
    pub licence: AtomicU64,
    /// It is going, and says so; callers are sent elsewhere.
    pub is_leaving: AtomicBool,
    /// It takes no new jobs.
    pub is_shut: AtomicBool,
    pub company: Arc<RwLock<company::Company>>,
    pub layers: layers::Layers,
    pub questions: session::Questions,
    pub quota: Quota,
    /// The number of the last beat, over all sessions.
    pub beats: AtomicU64,
    pub dispatcher: Dispatcher,
    /// Every job that comes in earns, and every further round of any costs.
    pub retries: Arc<Mutex<Retries>>,
    pub counters: Arc<Counters>,
    /// Held by every job that is under way.
    pub under_way: Arc<()>,
    /// The ids that are under way, each with the digest of its tenant key.
    pub claims: Mutex<HashSet<(String, String)>>,
}

impl Router {
    /// Whether new work may be taken and dispatched now.
    pub fn leave(&self) -> Result<(), Refusal> {
        if now() >= self.licence.load(Ordering::Relaxed) {
            let text = "this router has no recent licence; ask another";
            return Err(Refusal::not_run(503, "no-licence", text));
        }
        Ok(())
    }
}

fn main() {
    let mut boot = Boot::read(
        "router",
        "A rushport router: takes callers' jobs and streams them to engines.",
        SETTINGS,
    );
    let address = boot.address("address");
    let settings = Settings {
        name: boot.name("name"),
        region: boot.name("region"),
        zone: boot.name("zone"),
        door: boot.address("door"),
        address,
        listen: boot.address_or("listen", address),
        head: Duration::from_millis(boot.count("head-ms", 1, 600_000)),
        quota: Duration::from_millis(boot.count("quota-ms", 0, 60_000)),
        jobs: boot.count("jobs", 1, 1 << 20) as usize,
        seeds: boot.addresses("seeds"),
        body: boot.count("body", 1 << 10, 1 << 30) as usize,
    };
    let desk = boot.address("desk");
    let own = boot.count("own-cache", 1, 1 << 20) as usize;
    let share = boot.count("share", 1, 1 << 24) as usize;
    let stop = Duration::from_millis(boot.count("stop-ms", 0, 600_000));
    let leave = Duration::from_millis(boot.count("leave-ms", 0, 600_000));
    let level = boot.text("level");
    if settings.seeds.is_empty() {
        boot.complain("seeds", "a router needs the address of a directory node at least");
    }
    if settings.door == settings.address || settings.door == desk || settings.address == desk {
        boot.complain("door", "door, address and desk can't be the same");
    }
    boot.finish();
    let run = || -> anyhow::Result<()> {
        yard::logs::start("router", &settings.name, &level)?;
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        runtime.block_on(serve(settings, desk, own, share, (leave, stop)))?;
        runtime.shutdown_timeout(Duration::from_millis(200));
        Ok(())
    };
    if let Err(error) = run() {
        eprintln!("router: {error:#}");
        std::process::exit(1);
    }
}

async fn serve(
    settings: Settings,
    desk: SocketAddr,
    own: usize,
    share: usize,
    (leave, stop): (Duration, Duration),
) -> anyhow::Result<()> {
    let counters = Arc::new(Counters::default());
    let (view, view_out) = watch::channel(Arc::new(View::default()));
    let company = Arc::new(RwLock::new(company::Company::default()));
    let known = Arc::clone(&company);
    let roster = Roster::new(settings.listen, Box::new(move || known.read().peers()));
    tokio::spawn(Arc::clone(&roster).run(view_out.clone()));
    let retries = Arc::new(Mutex::new(Retries::default()));
    let router = Arc::new_cyclic(|router: &std::sync::Weak<Router>| {
        let router = router.clone();
        let dispatcher = Dispatcher {
            source: settings.listen,
            room_wait: ROOM_WAIT_MS,
            roster,
            view: view_out,
            counters: Arc::clone(&counters),
            budget: {
                let retries = Arc::clone(&retries);
                Box::new(move || retries.lock().spend(now()))
            },
            leave: Arc::new(move |mapping| match router.upgrade() {
                Some(router) if router.layers.is_void(mapping) => {
                    let text = "the mapping changed meanwhile";
                    Err(Refusal::not_run(503, "mapping-void", text))
                }
                Some(router) => router.leave(),
                None => Err(Refusal::not_run(503, "leaving", "this router is stopping")),
            }),
        };
        Router {
            view,
            licence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_shut: AtomicBool::new(false),
            company,
            layers: layers::Layers::new(own, share),
            questions: Default::default(),
            quota: Quota::default(),
            beats: AtomicU64::new(0),
            dispatcher,
            retries,
            counters,
            under_way: Arc::new(()),
            claims: Mutex::default(),
            boot: settings,
        }
    });
    let listener = tokio::net::TcpListener::bind(router.boot.listen)
        .await
        .with_context(|| format!("listening at {}", router.boot.listen))?;
    tokio::spawn(company::accept(Arc::clone(&router), listener));
    tokio::spawn(session::run(Arc::clone(&router)));
    let door = door::serve(Arc::clone(&router))?;
    let desk = {
        let router = Arc::clone(&router);
        let handler: web::Handler = Arc::new(move |request| {
            let response = desk_answer(&router, &request);
            Box::pin(async move { response })
        });
        web::serve(desk, 1 << 16, handler)?
    };
    log::info!("router is up at {}", router.boot.door);
    yard::wait_for_end().await?;
    // Callers that were told of this router before still come for a while;
    // those who ask from now on are told of others.
    log::info!("leaving");
    router.is_leaving.store(true, Ordering::Relaxed);
    router.quota.urgent.notify_one();
    tokio::time::sleep(leave).await;
    log::info!("stopping: no new jobs are taken");
    router.is_shut.store(true, Ordering::Relaxed);
    let until = tokio::time::Instant::now() + stop;
    while Arc::strong_count(&router.under_way) > 1 && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let left = Arc::strong_count(&router.under_way) - 1;
    log::info!(left = left as u64; "stopped");
    // Streams past the bound are cut off, visibly.
    drop(tokio::time::timeout(Duration::from_millis(500), door.close()).await);
    drop(tokio::time::timeout(Duration::from_millis(100), desk.close()).await);
    Ok(())
}

fn desk_answer(router: &Router, request: &web::Request) -> web::Response {
    let view = router.view.borrow().clone();
    let is_well = router.leave().is_ok();
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/vitals") => {
            let licence = router.licence.load(Ordering::Relaxed).saturating_sub(now());
            let value = simd_json::json!({
                "name": router.boot.name.clone(),
                "well": is_well,
                "licence_ms": licence,
                "epoch": view.epoch,
                "leaving": router.is_leaving.load(Ordering::Relaxed),
                "under_way": Arc::strong_count(&router.under_way) - 1,
                "session": router.questions.node(),
                "neighbours": company::neighbours(router),
                "cached": router.layers.sizes().0,
                "cached_share": router.layers.sizes().1,
                "engines": router.dispatcher.roster.value(view.program.points.fill),
            });
            web::json(if is_well { 200 } else { 503 }, &value)
        }
        ("GET", "/counters") => web::json(200, &router.counters.value()),
        (_, path) => {
            let text = format!("there is no {path} for this method");
            web::json(404, &simd_json::json!({ "code": "no-such-page", "text": text }))
        }
    }
}
