//! A router: a front door. It takes callers' jobs, reads the routing key,
//! looks it up in its own cache and the region's, and streams to an engine; a
//! miss goes to a directory node.

mod cache_tiers;
mod extensions;
mod forward;
mod ingress;
mod load_gossip;
mod membership;
mod session;

pub use extensions::{AdditionalServer, ClientAdapter, Extensions, RetryPolicy};
pub use ingress::lookup_routers;

use anyhow::Context;
use dispatch::connection_pool::ConnectionPool;
use dispatch::engine_tracker::EngineTracker;
use dispatch::quota::QuotaLimiter;
use dispatch::Dispatcher;
use parking_lot::{Mutex, RwLock};
use residency::View;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use telemetry::metrics::Metrics;
use tokio::sync::watch;
use transport::http_server;
use transport::now;
use transport::rejection::Rejection;

/// How long a job may wait for room at an engine, at the most.
pub const ENGINE_SLOT_WAIT_MS: u64 = 3_000;

/// What a router is told at its start, checked. Times are in milliseconds where
/// they are numbers.
pub struct Settings {
    pub name: String,
    pub region: String,
    pub zone: String,
    pub ingress_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// Where it listens for its neighbours, and dials from.
    pub peer_listen_address: SocketAddr,
    pub body_head_timeout: Duration,
    pub quota_wait: Duration,
    pub max_requests: usize,
    pub seeds: Vec<SocketAddr>,
    pub max_body_bytes: usize,
    pub operator_address: SocketAddr,
    pub local_cache_entries: usize,
    pub regional_cache_entries: usize,
    /// How long it still takes jobs after it is told to stop.
    pub drain_period: Duration,
    /// How long streams may finish in after that.
    pub shutdown_grace: Duration,
    pub slot_wait_ms: u64,
    /// Bytes of a body that are held back for a further round; 0 holds only what
    /// the key needs.
    pub buffered_body_bytes: usize,
    /// Misses go to a directory node by the key alone, never with the body.
    pub resolves_by_key_only: bool,
    /// How long it goes on after its lease with what it knows, while no directory
    /// node confirms one; by time alone, whatever the cause.
    pub lease_grace_ms: u64,
    /// How often it heartbeats.
    pub heartbeat_interval_ms: u64,
}

/// What every part of the router holds on to. Invariants: the view's epoch
/// only rises; `lease` is the time, on this process's clock, until which it
/// may dispatch.
pub struct Router {
    pub settings: Settings,
    pub view: watch::Sender<Arc<View>>,
    pub lease: AtomicU64,
    /// It is going, and says so; callers are sent elsewhere.
    pub is_draining: AtomicBool,
    /// It takes no new jobs.
    pub is_stopped: AtomicBool,
    pub membership: Arc<RwLock<membership::Membership>>,
    pub cache_tiers: cache_tiers::CacheTiers,
    pub pending_lookups: session::PendingLookups,
    pub quota: QuotaLimiter,
    /// The number of the last beat, over all sessions.
    pub heartbeats: AtomicU64,
    pub dispatcher: Dispatcher,
    pub extensions: Extensions,
    pub metrics: Arc<Metrics>,
    /// Held by every job that is under way.
    pub in_flight: Arc<()>,
    /// The ids that are under way, each with the digest of its tenant key.
    pub claims: Mutex<HashSet<(String, String)>>,
}

impl Router {
    /// Whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        self.view.borrow().epoch > 0
            && !self.is_draining.load(Ordering::Relaxed)
            && self.check_lease().is_ok()
    }

    /// Whether new work may be taken and dispatched now.
    pub fn check_lease(&self) -> Result<(), Rejection> {
        let lease = self.lease.load(Ordering::Relaxed);
        // One that never had a lease knows nothing that was in force.
        let lease_grace = if lease > 0 {
            self.settings.lease_grace_ms
        } else {
            0
        };
        if now() >= lease + lease_grace {
            if lease == 0 {
                let text = "this router has just begun, and waits for its first lease";
                return Err(Rejection::not_run(503, "starting", text).retry(1_000));
            }
            let text = "this router has no recent lease; ask another";
            return Err(Rejection::not_run(503, "no-lease", text));
        }
        Ok(())
    }
}

/// Runs a router until it is told to stop.
///
/// # Errors
/// An address that can't be listened at.
pub async fn run(settings: Settings, mut extensions: Extensions) -> anyhow::Result<()> {
    let metrics = Arc::new(Metrics::default());
    let (view, view_out) = watch::channel(Arc::new(View::default()));
    let membership = Arc::new(RwLock::new(membership::Membership::default()));
    let known = Arc::clone(&membership);
    let peers = Box::new(move || known.read().peers());
    let engine_tracker = match extensions.uses_passive_health_checks {
        true => EngineTracker::by_responses(settings.peer_listen_address, peers),
        false => EngineTracker::by_health(settings.peer_listen_address, peers),
    };
    tokio::spawn(Arc::clone(&engine_tracker).run(view_out.clone()));
    let options = std::mem::take(&mut extensions.dispatch);
    let servers = std::mem::take(&mut extensions.servers);
    let connections: Arc<ConnectionPool> = Arc::default();
    if options.idle_timeout_ms > 0 {
        let (connections, engine_tracker) = (Arc::clone(&connections), Arc::clone(&engine_tracker));
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(700)).await;
                connections.evict_expired(|engine| engine_tracker.is_listed(engine));
            }
        });
    }
    let spend = Arc::clone(&extensions.retries.withdraw);
    let (sharers, fleet) = (Arc::clone(&membership), view_out.clone());
    let router = Arc::new_cyclic(|router: &std::sync::Weak<Router>| {
        let router = router.clone();
        let dispatcher = Dispatcher {
            source: settings.peer_listen_address,
            slot_wait_ms: settings.slot_wait_ms,
            engine_tracker,
            view: view_out,
            metrics: Arc::clone(&metrics),
            retry_budget: Box::new(move |service| {
                // A part of the fleet that sees no other is not the whole of it.
                let known = sharers
                    .read()
                    .count()
                    .max(fleet.borrow().router_count as usize);
                spend(now(), service, known)
            }),
            permit: Arc::new(move |mapping| match router.upgrade() {
                Some(router) if router.cache_tiers.is_void(mapping) => {
                    let text = "the mapping changed meanwhile";
                    Err(Rejection::not_run(503, "mapping-void", text))
                }
                Some(router) => router.check_lease(),
                None => Err(Rejection::not_run(
                    503,
                    "leaving",
                    "this router is stopping",
                )),
            }),
            options,
            connections,
        };
        Router {
            view,
            lease: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            membership,
            cache_tiers: cache_tiers::CacheTiers::new(
                settings.local_cache_entries,
                settings.regional_cache_entries,
            ),
            pending_lookups: Default::default(),
            quota: extensions
                .quota_margin
                .map_or_else(QuotaLimiter::default, QuotaLimiter::without_queue),
            heartbeats: AtomicU64::new(0),
            dispatcher,
            extensions,
            metrics,
            in_flight: Arc::new(()),
            claims: Mutex::default(),
            settings,
        }
    });
    let listener = tokio::net::TcpListener::bind(router.settings.peer_listen_address)
        .await
        .with_context(|| format!("listening at {}", router.settings.peer_listen_address))?;
    tokio::spawn(membership::accept(Arc::clone(&router), listener));
    tokio::spawn(session::run(Arc::clone(&router)));
    if router.extensions.uses_passive_health_checks {
        tokio::spawn(Arc::clone(&router.dispatcher.engine_tracker).probe_suspects());
        tokio::spawn(load_gossip::run(Arc::clone(&router)));
    }
    let ingress = ingress::serve(Arc::clone(&router)).await?;
    let mut running = Vec::new();
    for server in servers {
        running.push(http_server::serve(
            server.address,
            1 << 16,
            (server.handler)(Arc::clone(&router)),
        )?);
    }
    let operator_api = {
        let (router, address) = (Arc::clone(&router), router.settings.operator_address);
        let handler: http_server::Handler = Arc::new(move |request| {
            let response = operator_response(&router, &request);
            Box::pin(async move { response })
        });
        http_server::serve(address, 1 << 16, handler)?
    };
    log::info!("router is up at {}", router.settings.ingress_address);
    transport::shutdown_signal().await?;
    // Callers that were told of this router before still come for a while;
    // those who ask from now on are told of others.
    log::info!("leaving");
    router.is_draining.store(true, Ordering::Relaxed);
    router.quota.urgent.notify_one();
    ingress.start_draining();
    tokio::time::sleep(router.settings.drain_period).await;
    log::info!("stopping: no new jobs are taken");
    router.is_stopped.store(true, Ordering::Relaxed);
    let until = tokio::time::Instant::now() + router.settings.shutdown_grace;
    while Arc::strong_count(&router.in_flight) > 1 && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let left = Arc::strong_count(&router.in_flight) - 1;
    log::info!(left = left as u64; "stopped");
    // Streams past the bound are cut off, visibly.
    ingress.shut_down();
    drop(tokio::time::timeout(Duration::from_millis(100), operator_api.close()).await);
    Ok(())
}

fn operator_response(router: &Router, request: &http_server::Request) -> http_server::Response {
    let view = router.view.borrow().clone();
    let is_well = router.check_lease().is_ok();
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/vitals") => {
            let lease = router.lease.load(Ordering::Relaxed).saturating_sub(now());
            let value = simd_json::json!({
                "name": router.settings.name.clone(),
                "well": is_well,
                "lease_ms": lease,
                "epoch": view.epoch,
                "leaving": router.is_draining.load(Ordering::Relaxed),
                "under_way": Arc::strong_count(&router.in_flight) - 1,
                "session": router.pending_lookups.node(),
                "neighbours": membership::neighbours(router),
                "cached": router.cache_tiers.sizes().0,
                "cached_share": router.cache_tiers.sizes().1,
                "engines": router.dispatcher.engine_tracker.to_json(view.program.set_points.target_utilization),
            });
            http_server::json(if is_well { 200 } else { 503 }, &value)
        }
        ("GET", "/counters") => http_server::json(200, &router.metrics.to_json()),
        ("GET", "/traffic") => http_server::json(200, &telemetry::traffic::to_json()),
        (_, path) => {
            let text = format!("there is no {path} for this method");
            http_server::json(
                404,
                &simd_json::json!({ "code": "no-such-page", "text": text }),
            )
        }
    }
}
