//! Hollow routers: many share a process, each with an address, a session and a
//! state of its own, by the frames and the state machines of a real one. They
//! have no doors and carry no jobs; the jobs whose quota they ask for are theirs
//! alone.

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

const BEAT_MS: u64 = 350;
/// Without a lease from a node for this long, the next one is tried.
const PATIENCE_MS: u64 = 900;
/// Jobs in a beat, of one tenant after the other: 34 a second, as many as 350
/// routers share of 12,000.
const JOBS: usize = 12;

pub struct Settings {
    /// The number of the first of them, and how many they are.
    pub first: usize,
    pub count: usize,
    /// The second octet of all their addresses.
    pub octet: u8,
    pub desk: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Zones with their regions; routers stand in one after the other.
    pub places: Vec<(String, String)>,
    /// Of how many tenants each speaks.
    pub spoken: usize,
    pub margin: QuotaTolerance,
}

/// How many routers one octet has addresses for.
pub const ADDRESSES: usize = 192 * 200;

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

struct Hollow {
    name: String,
    number: usize,
    source: SocketAddr,
    place: (String, String),
    following: ReplicaView,
    quota: QuotaLimiter,
    beats: u64,
    /// Each epoch that came into force here, with when.
    epochs: Vec<(u64, f64)>,
    company: RouterMembership,
    /// When the lease that is held here came, on the shared clock.
    lease_valid: f64,
    leases: u64,
    sessions: u64,
    /// Jobs so far.
    asked: usize,
}

impl Hollow {
    fn new(settings: &Settings, number: usize) -> Hollow {
        Hollow {
            name: format!("hollow-{number:05}"),
            number,
            source: SocketAddr::from((address(settings.octet, number), 7362)),
            place: settings.places[number % settings.places.len()].clone(),
            following: ReplicaView::default(),
            quota: QuotaLimiter::without_queue(settings.margin),
            beats: 0,
            epochs: Vec::new(),
            company: RouterMembership::default(),
            lease_valid: 0.0,
            leases: 0,
            sessions: 0,
            asked: 0,
        }
    }

    fn front(&self) -> RouterStatus {
        RouterStatus {
            name: self.name.clone(),
            region: self.place.1.clone(),
            zone: self.place.0.clone(),
            client_address: SocketAddr::new(self.source.ip(), 8680).to_string(),
            peer_address: self.source.to_string(),
            epoch: self.following.view().epoch,
            age_ms: 0,
            is_draining: 0,
        }
    }

    /// Where to find a directory node, the nearest first, as a router has it.
    fn ways(&self, settings: &Settings) -> Vec<SocketAddr> {
        let mut ways: Vec<(u8, u32, SocketAddr)> = Vec::new();
        for member in self.company.directory_nodes() {
            let far = match () {
                _ if member.zone == self.place.0 => 0,
                _ if member.region == self.place.1 => 1,
                _ => 2,
            };
            ways.extend(
                member
                    .address
                    .parse()
                    .ok()
                    .map(|at| (far, rand::random(), at)),
            );
        }
        ways.extend(settings.seeds.iter().map(|seed| (3, rand::random(), *seed)));
        ways.sort();
        ways.into_iter().map(|(_, _, at)| at).collect()
    }

    fn note(&mut self) {
        let epoch = self.following.view().epoch;
        if self.epochs.last().is_none_or(|(last, _)| *last < epoch) {
            self.epochs.push((epoch, clock()));
        }
    }

    fn take(&mut self, frame: Frame) -> anyhow::Result<()> {
        match frame {
            Frame::Lease {
                heartbeat: number,
                epoch,
                grants: shares,
            } => {
                if let Some(until) = self.following.renew_lease(number, epoch) {
                    self.lease_valid = clock();
                    self.leases += 1;
                    self.quota.apply_shares(number, until, &shares);
                }
            }
            Frame::Snapshot { epoch, events } => {
                self.following
                    .apply_snapshot(epoch, &events)
                    .map_err(anyhow::Error::msg)?;
                self.note();
            }
            Frame::Change {
                base_epoch: prior,
                epoch,
                events,
            } => {
                self.following
                    .apply_events(prior, epoch, &events)
                    .map_err(anyhow::Error::msg)?;
                self.note();
            }
            Frame::RegistryUpdate(news) => self.company.apply(&news),
            Frame::Refused { text } => bail!("it refuses: {text}"),
            other => bail!("an unexpected frame: {other:?}"),
        }
        Ok(())
    }
}

/// Jobs of the tenants that a router speaks of, another part of all at each
/// router: at first one of each, so that it speaks of all from then on.
fn ask(hollow: &mut Hollow, spoken: usize) {
    let view = Arc::clone(hollow.following.view());
    let (all, spoken) = (view.tenants.len(), spoken.min(view.tenants.len()));
    if view.router_count == 0 || spoken == 0 {
        return;
    }
    let routers = hollow
        .company
        .routers()
        .count()
        .max(view.router_count as usize);
    let jobs = if hollow.asked == 0 {
        spoken
    } else {
        JOBS.min(spoken)
    };
    let terms: Vec<&residency::TenantLimits> = view.tenants.values().collect();
    for _ in 0..jobs {
        let at = (hollow.number * 37 + hollow.asked % spoken) % all;
        hollow.asked += 1;
        let of = (terms[at].requests_per_s, terms[at].burst);
        let admitted = hollow
            .quota
            .admit(&terms[at].tenant, of, routers, Duration::ZERO);
        // With taps it is answered at once; what the answer is does not matter.
        drop(at_once(admitted));
    }
}

/// What a future gives that is ready as soon as it is asked.
fn at_once<F: std::future::Future>(future: F) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match future.as_mut().poll(&mut context) {
        std::task::Poll::Ready(output) => Some(output),
        std::task::Poll::Pending => None,
    }
}

async fn hold(
    hollow: &Mutex<Hollow>,
    settings: &Settings,
    way: SocketAddr,
    again: &mut watch::Receiver<u64>,
) -> anyhow::Result<()> {
    let (source, name) = {
        let mut hollow = hollow.lock();
        hollow.following.begin_session();
        hollow.sessions += 1;
        (hollow.source, hollow.name.clone())
    };
    let stream = link::dial(source, way, ConnectionKind::RouterSession, &name).await?;
    let (mut reader, mut writer) = stream.into_split();
    let beating = async {
        let mut beat = tokio::time::interval(Duration::from_millis(BEAT_MS));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let begun = clock();
        loop {
            beat.tick().await;
            let frame = {
                let mut hollow = hollow.lock();
                let heard = hollow.lease_valid.max(begun);
                ensure!(
                    clock() < heard + PATIENCE_MS as f64,
                    "no lease comes from it"
                );
                hollow.beats += 1;
                let number = hollow.beats;
                hollow.following.record_heartbeat(now(), number);
                let demand = hollow.quota.lease_demands(&name, number);
                Frame::Heartbeat {
                    router: hollow.front(),
                    demand,
                }
            };
            tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut writer, &frame))
                .await??;
            ask(&mut hollow.lock(), settings.spoken);
        }
        #[allow(unreachable_code)]
        anyhow::Ok(())
    };
    let reading = async {
        while let Some(frame) = link::receive(&mut reader, protocol::MAX_FRAME_BYTES).await? {
            hollow.lock().take(frame)?;
        }
        bail!("it closed")
    };
    tokio::select! {
        done = beating => done,
        done = reading => done,
        _ = again.changed() => Ok(()),
    }
}

async fn live(
    hollow: Arc<Mutex<Hollow>>,
    settings: Arc<Settings>,
    mut again: watch::Receiver<u64>,
) {
    // Not all at the same moment of the beat.
    tokio::time::sleep(Duration::from_millis(rand::random_range(0..BEAT_MS))).await;
    loop {
        let ways = hollow.lock().ways(&settings);
        for way in ways {
            let before = hollow.lock().leases;
            // Why it ended is of no use here: the next way is tried in any case.
            drop(hold(&hollow, &settings, way, &mut again).await);
            // A session that served begins the search anew, the nearest first.
            if hollow.lock().leases > before {
                break;
            }
        }
        tokio::time::sleep(transport::jitter(100)).await;
    }
}

/// Runs them until the process is asked to stop, or whoever started it is gone.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    let (again, told) = watch::channel(0u64);
    let range = settings.first..settings.first + settings.count;
    let all: Vec<Arc<Mutex<Hollow>>> = range
        .map(|number| Arc::new(Mutex::new(Hollow::new(&settings, number))))
        .collect();
    for hollow in &all {
        tokio::spawn(live(
            Arc::clone(hollow),
            Arc::clone(&settings),
            told.clone(),
        ));
    }
    let known = all.clone();
    let handler: http_server::Handler = Arc::new(move |request| {
        let response = answer(&known, &again, &request);
        Box::pin(async move { response })
    });
    let _desk = http_server::serve(settings.desk, 1 << 16, handler)?;
    let parent = std::thread::spawn(|| {
        // Nothing is ever written there: it ends with whoever started this.
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
    all: &[Arc<Mutex<Hollow>>],
    again: &watch::Sender<u64>,
    request: &http_server::Request,
) -> http_server::Response {
    let number = |name: &str| {
        http_server::query_parameter(request.uri(), name).and_then(|text| text.parse().ok())
    };
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/traffic") => http_server::json(200, &telemetry::traffic::to_json()),
        ("GET", "/figures") => {
            let (mut lease_valid, mut sessions, mut leases, mut beats) = (0u64, 0u64, 0u64, 0u64);
            let (mut lowest, mut known, mut engines) = (u64::MAX, u64::MAX, u64::MAX);
            for hollow in all {
                let hollow = hollow.lock();
                lease_valid += u64::from(now() < hollow.following.lease_expires_at());
                sessions += hollow.sessions;
                leases += hollow.leases;
                beats += hollow.beats;
                let view = hollow.following.view();
                lowest = lowest.min(view.epoch);
                known = known.min(hollow.company.routers().count() as u64);
                engines = engines.min(view.engines.len() as u64);
            }
            let value = json!({
                "routers": all.len() as u64, "lease_valid": lease_valid, "sessions": sessions,
                "leases": leases, "beats": beats, "lowest_epoch": lowest,
                "fewest_known": known, "fewest_engines": engines,
            });
            http_server::json(200, &value)
        }
        // How many have this epoch, and since when the last of them.
        ("GET", "/since") => {
            let epoch: u64 = number("epoch").unwrap_or(0);
            let since = |hollow: &Arc<Mutex<Hollow>>| {
                let hollow = hollow.lock();
                let at = hollow.epochs.partition_point(|(known, _)| *known < epoch);
                hollow.epochs.get(at).map(|(_, at)| *at)
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
            let times: Vec<f64> = all.iter().map(|hollow| hollow.lock().lease_valid).collect();
            let there = times.iter().filter(|at| **at > after).count() as u64;
            http_server::json(200, &json!({ "there": there }))
        }
        // All sessions end at once, and begin again.
        ("POST", "/again") => {
            again.send_modify(|count| *count += 1);
            http_server::json(200, &json!({}))
        }
        (_, path) => http_server::json(404, &json!({ "text": format!("there is no {path}") })),
    }
}
