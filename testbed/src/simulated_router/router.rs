//! One simulated router: its replica of the topology, its leases and its membership.

use anyhow::bail;
use dispatch::quota::QuotaLimiter;
use nix::time::{clock_gettime, ClockId};
use placement::{QuotaTolerance, ReplicaPosition, ReplicaView, RouterMembership};
use protocol::{Frame, RouterAvailability, RouterStatus};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

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

/// A router without clients.
pub(super) struct SimulatedRouter {
    pub(super) name: String,
    pub(super) number: usize,
    pub(super) source: SocketAddr,
    pub(super) zone_and_region: (String, String),
    pub(super) replica: ReplicaView,
    pub(super) quota: QuotaLimiter,
    pub(super) heartbeats: u64,
    /// Each epoch that came into force here, with when.
    pub(super) epochs: Vec<(u64, f64)>,
    pub(super) membership: RouterMembership,
    /// When the lease that is held here came, on the shared clock.
    pub(super) lease_valid: f64,
    pub(super) leases: u64,
    pub(super) sessions: u64,
    /// Requests so far.
    pub(super) requests: usize,
}

impl SimulatedRouter {
    pub(super) fn new(settings: &Settings, number: usize) -> SimulatedRouter {
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

    pub(super) fn status(&self) -> RouterStatus {
        RouterStatus {
            name: self.name.clone(),
            region: self.zone_and_region.1.clone(),
            zone: self.zone_and_region.0.clone(),
            client_address: SocketAddr::new(self.source.ip(), 8680).to_string(),
            peer_address: self.source.to_string(),
            epoch: self.replica.view().epoch,
            age_ms: 0,
            availability: RouterAvailability::Ready,
        }
    }

    /// Directory nodes' addresses, the nearest first, as a real router sorts them.
    pub(super) fn directory_addresses(&self, settings: &Settings) -> Vec<SocketAddr> {
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

    /// The first frame of a session.
    pub(super) fn subscribe_frame(&self) -> Frame {
        let ReplicaPosition { cluster, epoch } = self.replica.position();
        Frame::Subscribe { cluster, epoch }
    }

    pub(super) fn record_epoch(&mut self) {
        let epoch = self.replica.view().epoch;
        if self.epochs.last().is_none_or(|(last, _)| *last < epoch) {
            self.epochs.push((epoch, clock()));
        }
    }

    pub(super) fn handle_frame(&mut self, frame: Frame) -> anyhow::Result<()> {
        match frame {
            Frame::Lease {
                heartbeat: number,
                epoch,
                grants: shares,
            } => {
                if let Some(until) = self.replica.renew_lease(number, epoch) {
                    self.lease_valid = clock();
                    self.leases += 1;
                    self.quota.apply_grants(number, until, &shares);
                }
            }
            Frame::Subscribed { cluster } => self.replica.record_cluster(cluster),
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
pub(super) fn admit_requests(router: &mut SimulatedRouter, tenants_per_router: usize) {
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
        let limit = placement::RateLimit {
            requests_per_s: terms[at].requests_per_s,
            burst: terms[at].burst,
        };
        let admitted = router
            .quota
            .admit(&terms[at].tenant, limit, routers, Duration::ZERO);
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
