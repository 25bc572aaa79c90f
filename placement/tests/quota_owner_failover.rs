//! Quota leases of a large fleet with owners, after the loss of the leader or of all processes
//! while one router is missing, in virtual time.

use placement::{LeaseRateLimiter, QuotaLeaseAllocator, QuotaTolerance, RateLimit};
use protocol::{QuotaDecision, LEASE_MS};
use std::collections::BTreeSet;

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    overrun_factor: 1.1,
    extra_requests: 20.0,
    window_ms: 5_000,
};
const QUOTA: RateLimit = RateLimit {
    requests_per_s: 100,
    burst: 100,
};
const TENANT: &str = "clinic";
const ROUTERS: usize = 60;
const OWNERS: usize = 3;
const HEARTBEAT_MS: u64 = 350;
/// Well within the quota.
const REQUESTS_PER_S: u64 = 60;
const SLICE_MS: u64 = 1_000;
/// After a loss at least one request in so many has to be served.
const MIN_SERVED_IN: u64 = 4;

/// A fleet whose first routers own the tenant, one in each region. The last router is missing.
struct Fleet {
    limiters: Vec<LeaseRateLimiter>,
    allocator: QuotaLeaseAllocator,
    heartbeat: u64,
}

impl Fleet {
    fn start(now: u64) -> Fleet {
        let limiter = |at| LeaseRateLimiter::new(now, now + at as u64 + 1, TOLERANCE);
        Fleet {
            limiters: (0..ROUTERS).map(limiter).collect(),
            allocator: QuotaLeaseAllocator::new(now, TOLERANCE),
            heartbeat: 0,
        }
    }

    /// Another leader, which knows nothing.
    fn change_leader(&mut self, now: u64) {
        self.allocator = QuotaLeaseAllocator::new(now, TOLERANCE);
    }

    fn send_heartbeats(&mut self, now: u64, senders: usize) {
        self.heartbeat += 1;
        for (at, limiter) in self.limiters.iter_mut().take(senders).enumerate() {
            let owned = (at < OWNERS).then(|| TENANT.to_string());
            let owned: BTreeSet<String> = owned.into_iter().collect();
            limiter.set_owned_tenants(now, &owned, ROUTERS, |_| QUOTA);
            let demand = limiter.demand(now, &format!("router-{at}"), self.heartbeat);
            let answer = self
                .allocator
                .allocate(now, &demand, ROUTERS, |_| Some(QUOTA));
            limiter.apply_grants(now, self.heartbeat, now + LEASE_MS, &answer.grants);
        }
    }

    /// How many requests are admitted in each slice of the time, while so many routers send
    /// heartbeats.
    fn admitted(&mut self, from_ms: u64, until_ms: u64, senders: usize) -> Vec<u64> {
        let mut slices = vec![0; ((until_ms - from_ms) / SLICE_MS) as usize];
        let mut requests = 0;
        for now in from_ms..until_ms {
            if now % HEARTBEAT_MS == 0 {
                self.send_heartbeats(now, senders);
            }
            if now % (1_000 / REQUESTS_PER_S) != 0 {
                continue;
            }
            requests += 1;
            let owner = &mut self.limiters[requests % OWNERS];
            let decision = owner.admit_as_owner(now, TENANT, QUOTA, ROUTERS);
            if decision == QuotaDecision::Admitted {
                slices[((now - from_ms) / SLICE_MS) as usize] += 1;
            }
        }
        slices
    }
}

/// Guards: a new leader lends nothing before it has heard all routers. While one was missing,
/// the owners' leases lapsed, and every request was refused.
#[test]
fn a_change_of_leader_while_a_router_is_missing_ends_no_lease() {
    let mut fleet = Fleet::start(0);
    fleet.admitted(0, 30_000, ROUTERS);
    fleet.change_leader(30_000);
    let asked = SLICE_MS / (1_000 / REQUESTS_PER_S);
    for slice in fleet.admitted(30_000, 120_000, ROUTERS - 1) {
        assert!(slice * MIN_SERVED_IN >= asked, "{slice} of {asked}");
    }
}

/// Guards: after the loss of all processes, while one router is missing, nothing was admitted
/// for 65 s. Whoever is missing goes on for a much shorter time.
#[test]
fn a_loss_of_all_processes_while_a_router_is_missing_is_over_within_half_a_minute() {
    let mut fleet = Fleet::start(0);
    let slices = fleet.admitted(0, 60_000, ROUTERS - 1);
    let asked = SLICE_MS / (1_000 / REQUESTS_PER_S);
    for slice in &slices[25..] {
        assert!(slice * MIN_SERVED_IN >= asked, "{slices:?} of {asked}");
    }
}

/// Guards: a fleet grows past the size up to which routers have floors. Routers that do not know
/// it yet use theirs, while an owner was lent the whole quota: more than the tolerance.
#[test]
fn a_fleet_that_grows_stays_within_the_tolerance() {
    const SMALL_FLEET: usize = 16;
    const SETTLED_MS: u64 = 30_000;
    let quota = RateLimit {
        requests_per_s: 10,
        burst: 10,
    };
    let allowed = (60.0 * TOLERANCE.overrun_factor + TOLERANCE.extra_requests) as usize;
    let mut allocator = QuotaLeaseAllocator::new(0, TOLERANCE);
    let new_limiter = |at| LeaseRateLimiter::new(0, at as u64 + 1, TOLERANCE);
    let mut limiters: Vec<LeaseRateLimiter> = (0..SMALL_FLEET).map(new_limiter).collect();
    let mut heartbeats = |limiters: &mut [LeaseRateLimiter], now, number, routers| {
        for (at, limiter) in limiters.iter_mut().enumerate() {
            let demand = limiter.demand(now, &format!("router-{at}"), number);
            let answer = allocator.allocate(now, &demand, routers, |_| Some(quota));
            limiter.apply_grants(now, number, now + LEASE_MS, &answer.grants);
        }
    };
    heartbeats(&mut limiters, SETTLED_MS - 1_000, 1, SMALL_FLEET);
    // One more router comes. The first one knows it, and owns the tenant; the others don't.
    let grown = SMALL_FLEET + 1;
    limiters.push(new_limiter(SMALL_FLEET));
    let mut admitted = 0;
    for number in 2..12 {
        let now = SETTLED_MS + number * HEARTBEAT_MS;
        limiters[0].set_owned_tenants(now, &BTreeSet::from([TENANT.to_string()]), grown, |_| quota);
        heartbeats(&mut limiters, now, number, grown);
        let owner = &mut limiters[0];
        admitted += (0..allowed)
            .filter(|_| owner.admit(now, TENANT, quota, grown))
            .count();
    }
    let now = SETTLED_MS + 12 * HEARTBEAT_MS;
    for limiter in &mut limiters[1..SMALL_FLEET] {
        admitted += (0..allowed)
            .filter(|_| limiter.admit(now, TENANT, quota, SMALL_FLEET))
            .count();
    }
    assert!(admitted <= allowed, "{admitted} of {allowed}");
}
