//! Routers that leave a fleet for good, in virtual time: those that stay get what the others
//! were lent, and no window passes the tolerance.

mod common;

use common::draws;
use placement::{LeaseRateLimiter, QuotaLeaseAllocator, QuotaTolerance, RateLimit, QUOTA_LEASE_MS};
use protocol::LEASE_MS;

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    overrun_factor: 1.1,
    extra_requests: 20.0,
    window_ms: 5_000,
};
const LIMIT: RateLimit = RateLimit {
    requests_per_s: 40,
    burst: 40,
};
/// Requests a second, of those that the limit allows.
const WITHIN_LIMIT: u64 = 25;
const FAR_PAST_LIMIT: u64 = 120;
const TENANT: &str = "t";
const ROUTERS: usize = 6;
const HEARTBEAT_MS: u64 = 350;
/// Heartbeats of the routers are this far apart.
const HEARTBEAT_OFFSET_MS: u64 = 50;
const CLUMP: u64 = 3;
const TRAFFIC_FROM_MS: u64 = 10_000;
/// When each router ends; the first one stays.
const ENDS_MS: [u64; ROUTERS] = [u64::MAX, 40_000, 40_200, 42_000, 70_000, 72_000];
const END_MS: u64 = 160_000;
/// How long after a departure the log still counts the router.
const COUNTED_MS: u64 = QUOTA_LEASE_MS + 1_000;
const SEEDS: std::ops::Range<u64> = 1..11;

#[derive(Default)]
struct Outcome {
    /// When requests were admitted.
    admitted: Vec<u64>,
    /// When requests were refused.
    refused: Vec<u64>,
}

struct Fleet {
    allocator: QuotaLeaseAllocator,
    routers: Vec<LeaseRateLimiter>,
    heartbeats: [u64; ROUTERS],
}

impl Fleet {
    fn new() -> Fleet {
        let router = |at| LeaseRateLimiter::new(0, at as u64 + 1, TOLERANCE);
        Fleet {
            allocator: QuotaLeaseAllocator::new(0, TOLERANCE),
            routers: (0..ROUTERS).map(router).collect(),
            heartbeats: [0; ROUTERS],
        }
    }

    fn send_heartbeat(&mut self, now: u64, at: usize) {
        self.heartbeats[at] += 1;
        let number = self.heartbeats[at];
        let router = &mut self.routers[at];
        let demand = router.demand(now, &format!("router-{at}"), number);
        let counted = count_routers(now, COUNTED_MS);
        let answer = self
            .allocator
            .allocate(now, &demand, counted, |_| Some(LIMIT));
        router.apply_grants(now, number, now + LEASE_MS, &answer.grants);
    }

    /// The last thing that a router does.
    fn leave(&mut self, now: u64, at: usize) {
        self.routers[at].close();
        self.send_heartbeat(now, at);
    }
}

/// Routers that run, or ended less than that ago.
fn count_routers(now: u64, counted_ms: u64) -> usize {
    ENDS_MS
        .iter()
        .filter(|end_ms| now < end_ms.saturating_add(counted_ms))
        .count()
}

/// One tenant whose requests come in clumps, each to one router.
fn run(seed: u64, requests_per_s: u64) -> Outcome {
    let mut draw = draws(seed);
    let mut fleet = Fleet::new();
    let mut outcome = Outcome::default();
    let mut next_clump_ms = TRAFFIC_FROM_MS;
    for now in 0..END_MS {
        let running: Vec<usize> = (0..ROUTERS).filter(|at| now < ENDS_MS[*at]).collect();
        if now >= next_clump_ms {
            next_clump_ms = now + 1 + draw(2 * CLUMP * 1_000 / requests_per_s);
            let at = running[draw(running.len() as u64) as usize];
            for _ in 0..CLUMP {
                let counted = count_routers(now, COUNTED_MS);
                let is_admitted = fleet.routers[at].admit(now, TENANT, LIMIT, counted);
                let times = match is_admitted {
                    true => &mut outcome.admitted,
                    false => &mut outcome.refused,
                };
                times.push(now);
            }
        }
        for (at, end_ms) in ENDS_MS.into_iter().enumerate() {
            if now == end_ms {
                fleet.leave(now, at);
            } else if now < end_ms && now % HEARTBEAT_MS == at as u64 * HEARTBEAT_OFFSET_MS {
                fleet.send_heartbeat(now, at);
            }
        }
    }
    outcome
}

fn most_in_a_window(admitted: &[u64]) -> usize {
    let in_window = |(first, from): (usize, &u64)| {
        let until = admitted.partition_point(|at| *at < from + TOLERANCE.window_ms);
        until - first
    };
    admitted
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or(0)
}

/// While departed routers are still counted nobody has their floors, and the router that is
/// left has seven twelfths of the whole for five eighths of the rate: it refuses some of the
/// clumps, but not what the pool covers.
#[test]
fn what_departed_routers_were_lent_passes_to_those_that_stay() {
    for seed in SEEDS {
        let outcome = run(seed, WITHIN_LIMIT);
        let after_departures = |times: &[u64]| times.iter().filter(|at| **at >= ENDS_MS[1]).count();
        let refused = after_departures(&outcome.refused);
        let all = refused + after_departures(&outcome.admitted);
        assert!(
            refused * 10 < all,
            "seed {seed}: {refused} of {all} refused after five of six routers left"
        );
    }
}

#[test]
fn departures_keep_every_window_within_the_tolerance() {
    let refill = LIMIT.requests_per_s * TOLERANCE.window_ms / 1_000;
    let most = (refill + LIMIT.burst) as f64 * TOLERANCE.overrun_factor + TOLERANCE.extra_requests;
    for seed in SEEDS {
        let admitted = most_in_a_window(&run(seed, FAR_PAST_LIMIT).admitted);
        assert!(
            admitted as f64 <= most,
            "seed {seed}: {admitted} of {most} in a window"
        );
    }
}

#[test]
fn a_closed_router_admits_nothing_and_waits_for_the_answer_to_its_return() {
    let mut fleet = Fleet::new();
    let admit = |fleet: &mut Fleet, now| fleet.routers[0].admit(now, TENANT, LIMIT, ROUTERS);
    assert!(admit(&mut fleet, TRAFFIC_FROM_MS));
    let number = 1;
    fleet.routers[0].demand(TRAFFIC_FROM_MS, "router-0", number);
    fleet.routers[0].close();
    assert!(!admit(&mut fleet, TRAFFIC_FROM_MS));
    // The answer to a heartbeat from before it closed says nothing of the return.
    fleet.routers[0].apply_grants(TRAFFIC_FROM_MS, number, TRAFFIC_FROM_MS + LEASE_MS, &[]);
    assert!(!fleet.routers[0].is_return_acknowledged());
    let demand = fleet.routers[0].demand(TRAFFIC_FROM_MS, "router-0", number + 1);
    let returned = &demand.demands[0];
    assert!(returned.limit <= returned.admitted);
    assert_eq!((returned.queued, returned.wanted), (0, 0));
    fleet.routers[0].apply_grants(TRAFFIC_FROM_MS, number + 1, TRAFFIC_FROM_MS + LEASE_MS, &[]);
    assert!(fleet.routers[0].is_return_acknowledged());
    assert!(!admit(&mut fleet, TRAFFIC_FROM_MS + 1));
}
