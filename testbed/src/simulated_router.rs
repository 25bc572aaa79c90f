//! Simulated routers: many share a process, each with an address, a session and a state of
//! its own, by the frames and the state machines of a real one. They have no clients and
//! forward nothing; the requests whose quota they ask for are made up.

use anyhow::{bail, ensure};
use dispatch::quota::QuotaLimiter;
use nix::time::{clock_gettime, ClockId};
use parking_lot::Mutex;
use placement::{QuotaTolerance, ReplicaView, RouterMembership};
use protocol::{ConnectionKind, Frame, RouterStatus};
use simd_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use transport::http_server;
use transport::{link, now};

const HEARTBEAT_MS: u64 = 350;
/// Without a lease from a node for this long, the next one is tried.
const LEASE_TIMEOUT_MS: u64 = 900;
/// Requests in a heartbeat, of one tenant after the other: 34 a second, as many as 350
/// routers share of 12,000.
const REQUESTS_PER_HEARTBEAT: usize = 12;

/// Which simulated routers a process runs.
pub struct Settings {
    /// The number of the first of them.
    pub first: usize,
    /// How many they are.
    pub count: usize,
    /// The second octet of all their addresses.
    pub octet: u8,
    /// Where they serve their figures.
    pub operator_address: SocketAddr,
    /// Directory nodes.
    pub seeds: Vec<SocketAddr>,
    /// Zones with their regions; routers are in one after the other.
    pub zones: Vec<(String, String)>,
    /// How many tenants' quotas each asks for.
    pub tenants_per_router: usize,
    /// How far quotas may be overrun.
    pub quota_tolerance: QuotaTolerance,
}

/// How many routers one octet has addresses for.
pub const MAX_ADDRESSES: usize = 192 * 200;

/// The address of a simulated router.
pub fn address(octet: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        octet,
        64 + (number / 200) as u8,
        1 + (number % 200) as u8,
    )
}

/// Milliseconds on a clock that all processes of the machine share.
pub fn clock() -> f64 {
    let clock = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("the kernel has this clock");
    Duration::from(clock).as_secs_f64() * 1_000.0
}

struct SimulatedRouter {
    name: String,
    number: usize,
    source: SocketAddr,
    zone_and_region: (String, String),
    replica: ReplicaView,
    quota: QuotaLimiter,
    heartbeats: u64,
    /// Each epoch that came into force here, with when.
    epochs: Vec<(u64, f64)>,
    membership: RouterMembership,
    /// When the lease that is held here came, on the shared clock.
    lease_valid: f64,
    leases: u64,
    sessions: u64,
    /// Requests so far.
    requests: usize,
}

impl SimulatedRouter {
    fn new(settings: &Settings, number: usize) -> SimulatedRouter {
        SimulatedRouter {
            name: format!("hollow-{number:05}"),
            number,
            source: SocketAddr::from((address(settings.octet, number), 7362)),
            zone_and_region: settings.zones[number % settings.zones.len()].clone(),
            replica: ReplicaView::default(),
            quota: QuotaLimiter::without_queue(settings.quota_tolerance),
            heartbeats: 0,
            epochs: Vec::new(),
            membership: RouterMembership::default(),
            lease_valid: 0.0,
            leases: 0,
            sessions: 0,
            requests: 0,
        }
    }

    fn status(&self) -> RouterStatus {
        RouterStatus {
            name: self.name.clone(),
            region: self.zone_and_region.1.clone(),
            zone: self.zone_and_region.0.clone(),
            client_address: SocketAddr::new(self.source.ip(), 8680).to_string(),
            peer_address: self.source.to_string(),
            epoch: self.replica.view().epoch,
            age_ms: 0,
            is_draining: false,
        }
    }

    /// Directory nodes' addresses, the nearest first, as a real router sorts them.
    fn directory_addresses(&self, settings: &Settings) -> Vec<SocketAddr> {
        let mut addresses: Vec<(u8, u32, SocketAddr)> = Vec::new();
        for member in self.membership.directory_nodes() {
            let far = match () {
                _ if member.zone == self.zone_and_region.0 => 0,
                _ if member.region == self.zone_and_region.1 => 1,
                _ => 2,
            };
            addresses.extend(
                member
                    .address
                    .parse()
                    .ok()
                    .map(|at| (far, rand::random(), at)),
            );
        }
        addresses.extend(settings.seeds.iter().map(|seed| (3, rand::random(), *seed)));
        addresses.sort();
        addresses.into_iter().map(|(_, _, at)| at).collect()
    }

    fn record_epoch(&mut self) {
        let epoch = self.replica.view().epoch;
        if self.epochs.last().is_none_or(|(last, _)| *last < epoch) {
            self.epochs.push((epoch, clock()));
        }
    }

    fn handle_frame(&mut self, frame: Frame) -> anyhow::Result<()> {
        match frame {
            Frame::Lease {
                heartbeat: number,
                epoch,
                grants: shares,
            } => {
                if let Some(until) = self.replica.renew_lease(number, epoch) {
                    self.lease_valid = clock();
                    self.leases += 1;
                    self.quota.apply_shares(number, until, &shares);
                }
            }
            Frame::Snapshot { epoch, events } => {
                self.replica
                    .apply_snapshot(epoch, &events)
                    .map_err(anyhow::Error::msg)?;
                self.record_epoch();
            }
            Frame::Change {
                base_epoch: prior,
                epoch,
                events,
            } => {
                self.replica
                    .apply_events(prior, epoch, &events)
                    .map_err(anyhow::Error::msg)?;
                self.record_epoch();
            }
            Frame::RegistryUpdate(news) => self.membership.apply(&news),
            Frame::Refused { text } => bail!("it refuses: {text}"),
            other => bail!("an unexpected frame: {other:?}"),
        }
        Ok(())
    }
}

/// Asks for the quotas of a router's tenants, which are others at each router: at first for
/// one request of each, so that all have demand from then on.
fn admit_requests(router: &mut SimulatedRouter, tenants_per_router: usize) {
    let view = Arc::clone(router.replica.view());
    let (all, tenants_per_router) = (
        view.tenants.len(),
        tenants_per_router.min(view.tenants.len()),
    );
    if view.router_count == 0 || tenants_per_router == 0 {
        return;
    }
    let routers = router
        .membership
        .routers()
        .count()
        .max(view.router_count as usize);
    let jobs = if router.requests == 0 {
        tenants_per_router
    } else {
        REQUESTS_PER_HEARTBEAT.min(tenants_per_router)
    };
    let terms: Vec<&residency::TenantLimits> = view.tenants.values().collect();
    for _ in 0..jobs {
        let at = (router.number * 37 + router.requests % tenants_per_router) % all;
        router.requests += 1;
        let of = (terms[at].requests_per_s, terms[at].burst);
        let admitted = router
            .quota
            .admit(&terms[at].tenant, of, routers, Duration::ZERO);
        // With a lease it is answered at once; whether it is admitted does not matter.
        drop(poll_once(admitted));
    }
}

/// The output of a future that is ready when it is first polled.
fn poll_once<F: std::future::Future>(future: F) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match future.as_mut().poll(&mut context) {
        std::task::Poll::Ready(output) => Some(output),
        std::task::Poll::Pending => None,
    }
}

async fn run_session(
    router: &Mutex<SimulatedRouter>,
    settings: &Settings,
    address: SocketAddr,
    reconnect: &mut watch::Receiver<u64>,
) -> anyhow::Result<()> {
    let (source, name) = {
        let mut router = router.lock();
        router.replica.begin_session();
        router.sessions += 1;
        (router.source, router.name.clone())
    };
    let stream = link::dial(source, address, ConnectionKind::RouterSession, &name).await?;
    let (mut reader, mut writer) = stream.into_split();
    let beating = async {
        let mut beat = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let begun = clock();
        loop {
            beat.tick().await;
            let frame = {
                let mut router = router.lock();
                let heard = router.lease_valid.max(begun);
                ensure!(
                    clock() < heard + LEASE_TIMEOUT_MS as f64,
                    "no lease comes from it"
                );
                router.heartbeats += 1;
                let number = router.heartbeats;
                router.replica.record_heartbeat(now(), number);
                let demand = router.quota.lease_demands(&name, number);
                Frame::Heartbeat {
                    router: router.status(),
                    demand,
                }
            };
            tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut writer, &frame))
                .await??;
            admit_requests(&mut router.lock(), settings.tenants_per_router);
        }
        #[allow(unreachable_code)]
        anyhow::Ok(())
    };
    let reading = async {
        while let Some(frame) = link::receive(&mut reader, protocol::MAX_FRAME_BYTES).await? {
            router.lock().handle_frame(frame)?;
        }
        bail!("it closed")
    };
    tokio::select! {
        done = beating => done,
        done = reading => done,
        _ = reconnect.changed() => Ok(()),
    }
}

async fn run_router(
    router: Arc<Mutex<SimulatedRouter>>,
    settings: Arc<Settings>,
    mut reconnect: watch::Receiver<u64>,
) {
    // Not all at the same moment of the heartbeat period.
    tokio::time::sleep(Duration::from_millis(rand::random_range(0..HEARTBEAT_MS))).await;
    loop {
        let addresses = router.lock().directory_addresses(&settings);
        for address in addresses {
            let before = router.lock().leases;
            // However it ended, the next address is tried.
            drop(run_session(&router, &settings, address, &mut reconnect).await);
            // A session that served begins the search anew, the nearest first.
            if router.lock().leases > before {
                break;
            }
        }
        tokio::time::sleep(transport::jitter(100)).await;
    }
}

/// Runs the routers until the process is asked to stop, or the one that started it ends.
///
/// # Errors
///
/// Where the figures can't be served.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    let (reconnect, told) = watch::channel(0u64);
    let range = settings.first..settings.first + settings.count;
    let all: Vec<Arc<Mutex<SimulatedRouter>>> = range
        .map(|number| Arc::new(Mutex::new(SimulatedRouter::new(&settings, number))))
        .collect();
    for router in &all {
        tokio::spawn(run_router(
            Arc::clone(router),
            Arc::clone(&settings),
            told.clone(),
        ));
    }
    let known = all.clone();
    let handler: http_server::Handler = Arc::new(move |request| {
        let response = answer(&known, &reconnect, &request);
        Box::pin(async move { response })
    });
    let _desk = http_server::serve(settings.operator_address, 1 << 16, handler)?;
    let parent = std::thread::spawn(|| {
        // Nothing is ever written there: it closes when the process that started this ends.
        drop(std::io::copy(&mut std::io::stdin(), &mut std::io::sink()));
    });
    let gone = async {
        while !parent.is_finished() {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::select! {
        ended = transport::shutdown_signal() => Ok(ended?),
        () = gone => Ok(()),
    }
}

fn answer(
    all: &[Arc<Mutex<SimulatedRouter>>],
    reconnect: &watch::Sender<u64>,
    request: &http_server::Request,
) -> http_server::Response {
    let number = |name: &str| {
        http_server::query_parameter(request.uri(), name).and_then(|text| text.parse().ok())
    };
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/traffic") => http_server::json(200, &telemetry::traffic::to_json()),
        ("GET", "/figures") => {
            let (mut lease_valid, mut sessions, mut leases, mut heartbeats) =
                (0u64, 0u64, 0u64, 0u64);
            let (mut lowest, mut known, mut engines) = (u64::MAX, u64::MAX, u64::MAX);
            for router in all {
                let router = router.lock();
                lease_valid += u64::from(now() < router.replica.lease_expires_at());
                sessions += router.sessions;
                leases += router.leases;
                heartbeats += router.heartbeats;
                let view = router.replica.view();
                lowest = lowest.min(view.epoch);
                known = known.min(router.membership.routers().count() as u64);
                engines = engines.min(view.engines.len() as u64);
            }
            let value = json!({
                "routers": all.len() as u64, "lease_valid": lease_valid, "sessions": sessions,
                "leases": leases, "beats": heartbeats, "lowest_epoch": lowest,
                "fewest_known": known, "fewest_engines": engines,
            });
            http_server::json(200, &value)
        }
        // How many have this epoch, and since when the last of them.
        ("GET", "/since") => {
            let epoch: u64 = number("epoch").unwrap_or(0);
            let since = |router: &Arc<Mutex<SimulatedRouter>>| {
                let router = router.lock();
                let at = router.epochs.partition_point(|(known, _)| *known < epoch);
                router.epochs.get(at).map(|(_, at)| *at)
            };
            let times: Vec<f64> = all.iter().filter_map(since).collect();
            let last = times.iter().copied().fold(0.0, f64::max);
            http_server::json(200, &json!({ "there": times.len() as u64, "last": last }))
        }
        // Who has a lease that came after this time, and when the last one came.
        ("GET", "/lease_valid") => {
            let after = http_server::query_parameter(request.uri(), "after")
                .and_then(|text| text.parse().ok());
            let after: f64 = after.unwrap_or(0.0);
            let times: Vec<f64> = all.iter().map(|router| router.lock().lease_valid).collect();
            let there = times.iter().filter(|at| **at > after).count() as u64;
            http_server::json(200, &json!({ "there": there }))
        }
        // All sessions end at once, and begin again.
        ("POST", "/again") => {
            reconnect.send_modify(|count| *count += 1);
            http_server::json(200, &json!({}))
        }
        (_, path) => http_server::json(404, &json!({ "text": format!("there is no {path}") })),
    }
}
