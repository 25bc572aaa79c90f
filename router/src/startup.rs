//! Puts a router together, runs it, and stops it gracefully.

use crate::cache_tiers::CacheTiers;
use crate::extensions::{AdditionalServer, Extensions};
use crate::in_flight::InFlight;
use crate::ingress::Ingress;
use crate::lease::Lease;
use crate::load_gossip::LoadAggregation;
use crate::membership::Membership;
use crate::peer_links::PeerLinks;
use crate::pending_lookups::PendingLookups;
use crate::rejection::RouterRejection;
use crate::router::Router;
use crate::settings::Settings;
use crate::{directory_watch, load_gossip, operator_api, peer_server, session};
use anyhow::Context;
use dispatch::connection_pool::ConnectionPool;
use dispatch::engine_tracker::EngineTracker;
use dispatch::quota::QuotaLimiter;
use dispatch::{Dispatcher, ReadAheadBudget};
use parking_lot::{Mutex, RwLock};
use placement::Drain;
use residency::View;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;
use telemetry::invariants::{self, Invariant};
use telemetry::metrics::Metrics;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use transport::http_listener::HttpListener;
use transport::http_server::{self, HttpServer};
use transport::now;
use transport::uploads::BodyBudget;

/// How often pooled connections of engines that left are looked for.
const POOL_SWEEP: Duration = Duration::from_millis(700);
/// How often a stopping router looks whether requests are still in flight.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long the leader may take to answer that quota leases were given back. Without an
/// answer they stay reserved until they lapse.
const QUOTA_RETURN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the operators' server may take to close.
const OPERATOR_API_CLOSE: Duration = Duration::from_millis(100);

/// Runs a router until the process is told to stop.
///
/// # Errors
/// An address that can't be listened at.
pub async fn run(settings: Settings, extensions: Extensions) -> anyhow::Result<()> {
    let Extensions {
        clients,
        dispatch: options,
        retries,
        servers,
        quota_margin,
        uses_passive_health_checks,
    } = extensions;
    let metrics = Arc::new(Metrics::default());
    let (view, view_out) = watch::channel(Arc::new(View::default()));
    let membership = Arc::new(RwLock::new(Membership::new(
        &settings.name,
        &settings.region,
    )));
    let known = Arc::clone(&membership);
    let peers = Box::new(move || known.read().settled_router_ranks());
    let engine_tracker = match uses_passive_health_checks {
        true => EngineTracker::by_responses(settings.peer_listen_address, peers),
        false => EngineTracker::by_health(settings.peer_listen_address, peers),
    };
    tokio::spawn(Arc::clone(&engine_tracker).run(view_out.clone()));
    let connections = Arc::new(ConnectionPool::new(options.reuse_mode));
    if options.idle_timeout_ms > 0 {
        tokio::spawn(sweep_pool(
            Arc::clone(&connections),
            Arc::clone(&engine_tracker),
        ));
    }
    let bodies = BodyBudget::new(settings.client_limits.body_bytes);
    let uploads = bodies.clone();
    let withdraw = Arc::clone(&retries.withdraw);
    let (members, fleet) = (Arc::clone(&membership), view_out.clone());
    let router = Arc::new_cyclic(|router: &Weak<Router>| {
        let router = router.clone();
        let dispatcher = Dispatcher {
            source: settings.peer_listen_address,
            slot_wait_ms: settings.slot_wait_ms,
            engine_tracker,
            view: view_out,
            metrics: Arc::clone(&metrics),
            retry_budget: Box::new(move |service| {
                // A router that sees no other one still shares the fleet's budget.
                let routers = members
                    .read()
                    .router_count()
                    .max(fleet.borrow().router_count as usize);
                withdraw(now(), service, routers)
            }),
            permit: Arc::new(move |mapping| Ok(check_dispatch(&router, mapping)?)),
            end_stalled_uploads: Box::new(move || uploads.end_stalled()),
            options,
            connections,
        };
        Router {
            view,
            view_position: Mutex::default(),
            lease: Lease::new(settings.lease_grace),
            drain: OnceLock::new(),
            is_stopped: AtomicBool::new(false),
            is_exiting: watch::Sender::new(false),
            membership,
            peer_links: PeerLinks::new(&settings.name, settings.peer_listen_address),
            load_aggregation: LoadAggregation::new(&settings.name),
            cache_tiers: CacheTiers::new(
                settings.local_cache_entries,
                settings.regional_cache_entries,
            ),
            pending_lookups: PendingLookups::default(),
            quota: quota_margin.map_or_else(QuotaLimiter::default, QuotaLimiter::without_queue),
            ownership_basis: Mutex::default(),
            dispatcher,
            bodies,
            read_ahead: ReadAheadBudget::new(settings.client_limits.read_ahead_bytes),
            metrics,
            in_flight: InFlight::default(),
            settings,
        }
    });
    let listener = listen(router.settings.peer_listen_address).await?;
    tokio::spawn(peer_server::accept(Arc::clone(&router), listener));
    tokio::spawn(session::run(Arc::clone(&router)));
    if router.settings.lease_grace.partition_ms > 0 {
        tokio::spawn(directory_watch::run(Arc::clone(&router)));
    }
    if uses_passive_health_checks {
        tokio::spawn(Arc::clone(&router.dispatcher.engine_tracker).probe_suspects());
        tokio::spawn(load_gossip::run(Arc::clone(&router)));
        tokio::spawn(load_gossip::run_aggregator(Arc::clone(&router)));
    }
    let listener = listen(router.settings.ingress_address).await?;
    let ingress = Arc::new(Ingress::new(Arc::clone(&router), clients, retries)).serve(listener);
    let _additional = serve_additional(&router, servers)?;
    let operator_api = operator_api::serve(Arc::clone(&router), router.settings.operator_address)?;
    log::info!(address = router.settings.ingress_address.to_string(); "the router is up");
    transport::shutdown_signal().await?;
    stop(&router, &ingress).await;
    drop(tokio::time::timeout(OPERATOR_API_CLOSE, operator_api.close()).await);
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listening at {address}"))
}

/// Whether a request may still be dispatched by this mapping: asked in the last
/// moment before its first byte goes to an engine.
fn check_dispatch(
    router: &Weak<Router>,
    mapping: &residency::Mapping,
) -> Result<(), RouterRejection> {
    let router = router.upgrade().ok_or(RouterRejection::ShuttingDown)?;
    if router.cache_tiers.is_invalidated(mapping) {
        return Err(RouterRejection::MappingInvalidated);
    }
    router.lease.check()
}

async fn sweep_pool(connections: Arc<ConnectionPool>, engine_tracker: Arc<EngineTracker>) {
    loop {
        tokio::time::sleep(POOL_SWEEP).await;
        connections.evict_expired(|engine| engine_tracker.is_listed(engine));
    }
}

fn serve_additional(
    router: &Arc<Router>,
    servers: Vec<AdditionalServer>,
) -> anyhow::Result<Vec<HttpServer>> {
    let max_connections = router.settings.client_limits.side_connections();
    let mut serving = Vec::new();
    for server in servers {
        let handler = (server.handler)(Arc::clone(router));
        serving.push(http_server::serve(
            server.address,
            max_connections,
            &router.bodies,
            handler,
        )?);
    }
    Ok(serving)
}

/// Shuts down gracefully in two steps. While draining it still accepts requests, since
/// clients may use a router list that was fetched before; new lists leave it out. Then
/// it accepts no more, and streams may finish. What was leased of the tenants' quotas is
/// given back last, when no request can be admitted any more.
async fn stop(router: &Router, ingress: &HttpListener) {
    log::info!("draining: requests are still accepted, new clients are sent elsewhere");
    let drain = Drain::start(router.settings.drain_plan, now());
    router.drain.get_or_init(|| drain);
    router.quota.urgent.notify_one();
    ingress.start_draining();
    tokio::time::sleep(router.settings.drain_period).await;
    log::info!("stopping: no new requests are accepted");
    router.is_stopped.store(true, Ordering::Relaxed);
    let until = Instant::now() + router.settings.shutdown_grace;
    while router.in_flight.count() > 0 && Instant::now() < until {
        tokio::time::sleep(STOP_POLL).await;
    }
    log::info!(in_flight = router.in_flight.count() as u64; "stopped");
    check_late_requests(router);
    return_quota_leases(router, until).await;
    // Requests that have no answer yet get one; streams past the bound are broken off, visibly.
    router.is_exiting.send_replace(true);
    ingress.shut_down().await;
}

/// Waits a short while, at most until then, for the leader's answer.
async fn return_quota_leases(router: &Router, until: Instant) {
    let until = until.min(Instant::now() + QUOTA_RETURN_TIMEOUT);
    let closing = tokio::time::timeout_at(until, router.quota.close());
    if closing.await.is_err() {
        log::info!("no answer that quota leases were given back: they lapse");
    }
}

/// What was accepted after the first part of the draining has ended when the router does.
fn check_late_requests(router: &Router) {
    let late = router.in_flight.late_requests();
    for request in late {
        invariants::check(Invariant::AcceptedRequestOutlastsDrain, false, || request);
    }
}
