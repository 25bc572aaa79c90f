//! Tenants' quotas with leases over whole fleets in virtual time, from fixed seeds.

#[path = "../common/mod.rs"]
mod common;
mod plan;
mod simulation;

use placement::{LeaseRateLimiter, QuotaLeaseAllocator, STARTUP_RESERVE_RATIO};
use plan::{quota, Decider, DisabledGuard, Faults, Plan, Traffic, HEARTBEAT_MS, TOLERANCE};
use protocol::{RouterDemand, LEASE_MS};
use simulation::run;

/// The most that was admitted in a window that begins at `from` or later, as a
/// part of what may be.
fn worst(admitted: &[u64], from: u64, rate: u64) -> f64 {
    let refill = (rate * TOLERANCE.window_ms) as f64 / 1_000.0;
    let most = (refill + rate as f64) * TOLERANCE.overrun_factor + TOLERANCE.extra_requests;
    let mut first = 0;
    let inside = admitted
        .iter()
        .enumerate()
        .filter(|(_, at)| **at >= from)
        .map(|(n, at)| {
            while admitted[first] + TOLERANCE.window_ms <= *at || admitted[first] < from {
                first += 1;
            }
            n + 1 - first
        });
    inside.max().unwrap_or(0) as f64 / most
}

fn plan(routers: usize, rate: u64, traffic: Traffic, faults: Faults, seed: u64) -> Plan {
    let (lowered_at_ms, disabled, heartbeat_ms) = (None, DisabledGuard::None, HEARTBEAT_MS);
    Plan {
        routers,
        decider: Decider::Receiver,
        rate,
        traffic,
        faults,
        lowered_at_ms,
        disabled,
        heartbeat_ms,
        seed,
    }
}

const TRAFFIC: [Traffic; 4] = [
    Traffic::Within,
    Traffic::Clustered,
    Traffic::Threefold,
    Traffic::Bursts,
];
const FAULTS: [Faults; 7] = [
    Faults::None,
    Faults::Pauses,
    Faults::Partitions,
    Faults::Restarts,
    Faults::LeaderChanges,
    Faults::TotalLoss,
    Faults::All,
];

/// The reserve for starting processes, in whole requests for each, is never used by
/// others.
fn bound(plan: &Plan) -> f64 {
    match plan.faults {
        Faults::Restarts | Faults::TotalLoss | Faults::All => 1.0,
        _ => {
            let all = ((plan.rate * 6) as f64 * TOLERANCE.overrun_factor
                + TOLERANCE.extra_requests)
                .floor();
            let routers = plan.routers as f64;
            1.0 - (all * STARTUP_RESERVE_RATIO / routers).floor() * routers / all
        }
    }
}

/// The most that was admitted in a window, as a part of what may be, and the rejected
/// requests in a thousand.
fn sweep(plans: impl Iterator<Item = Plan>) -> (f64, f64) {
    let (mut most, mut rejected, mut admitted) = (0.0, 0, 0);
    for plan in plans {
        let result = run(plan);
        let ratio = worst(&result.admitted, 0, plan.rate);
        assert!(
            ratio <= bound(&plan) + 1e-9,
            "{plan:?}: {ratio:.3} of what may be"
        );
        most = ratio.max(most);
        (rejected, admitted) = (rejected + result.rejected, admitted + result.admitted.len());
    }
    (
        most,
        rejected as f64 * 1_000.0 / (rejected + admitted as u64).max(1) as f64,
    )
}

/// Guards: no window exceeds the tolerance, whatever happens to a fleet of nine.
#[test]
fn nine_routers_stay_within_the_tolerance() {
    for (traffic, faults) in TRAFFIC.iter().flat_map(|t| FAULTS.map(|f| (*t, f))) {
        for rate in [2, 10, 100] {
            sweep((0..4).map(|seed| plan(9, rate, traffic, faults, seed)));
        }
    }
}

/// Guards: nor where parts move several times within half a window, and all
/// processes are lost.
#[test]
fn frequent_heartbeats_stay_within_the_tolerance() {
    for (traffic, faults) in [
        (Traffic::Bursts, Faults::TotalLoss),
        (Traffic::Threefold, Faults::TotalLoss),
        (Traffic::Bursts, Faults::All),
    ] {
        let fast = |seed| Plan {
            heartbeat_ms: 100,
            ..plan(9, 100, traffic, faults, seed)
        };
        sweep((0..8).map(fast));
    }
}

/// Guards: nor does it in a fleet of 74.
#[test]
fn many_routers_stay_within_the_tolerance() {
    for traffic in [Traffic::Threefold, Traffic::Bursts] {
        for faults in [
            Faults::Partitions,
            Faults::Restarts,
            Faults::LeaderChanges,
            Faults::All,
        ] {
            for rate in [2, 10, 100] {
                sweep((0..2).map(|seed| plan(74, rate, traffic, faults, seed)));
            }
        }
    }
}

fn owners_plan(routers: usize, rate: u64, traffic: Traffic, faults: Faults, seed: u64) -> Plan {
    Plan {
        decider: Decider::Owner,
        ..plan(routers, rate, traffic, faults, seed)
    }
}

/// Guards: nor where owners decide for a large fleet, while ownership passes on.
#[test]
fn owners_stay_within_the_tolerance() {
    for (traffic, faults) in TRAFFIC.iter().flat_map(|t| FAULTS.map(|f| (*t, f))) {
        for rate in [2, 10, 100] {
            sweep((0..2).map(|seed| owners_plan(60, rate, traffic, faults, seed)));
        }
    }
}

/// Run by hand, as `figures`.
#[test]
#[ignore = "a sweep, run by hand"]
fn figures_of_owners() {
    for (routers, seeds) in [(30, 4), (291, 2)] {
        for (traffic, faults) in TRAFFIC.iter().flat_map(|t| FAULTS.map(|f| (*t, f))) {
            let figures = [2, 5, 10, 40, 100].map(|rate| {
                let plans =
                    (0..seeds).map(|seed| owners_plan(routers, rate, traffic, faults, seed));
                let (most, rejected) = sweep(plans);
                format!("{rate}/s {most:.3} {rejected:.1}")
            });
            println!(
                "{routers} routers, {traffic:?} {faults:?}: {}",
                figures.join(" | ")
            );
        }
    }
}

/// Guards: a rate that is lowered is in force in the first window after three seconds.
#[test]
fn a_lowered_quota_is_in_force_after_three_seconds() {
    let mut most: f64 = 0.0;
    for (seed, faults) in (0..6).flat_map(|seed| FAULTS.map(|faults| (seed, faults))) {
        let plan = Plan {
            lowered_at_ms: Some(60_000),
            ..plan(9, 100, Traffic::Threefold, faults, seed)
        };
        let ratio = worst(&run(plan).admitted, 63_000, 20);
        assert!(ratio <= 1.0, "{plan:?}: {ratio:.3} of what may be");
        most = most.max(ratio);
    }
    // The reserve for starting processes is no part of it here.
    assert!(most > 0.6, "{most:.3}: clients want more than that");
}

/// Guards: a tenant at 1/1.6 of its rate is rejected no more than the page says.
#[test]
fn within_its_quota_little_is_rejected() {
    for (rate, most) in [
        (2, 25.0),
        (5, 40.0),
        (10, 36.0),
        (20, 15.0),
        (40, 5.0),
        (100, 1.0),
    ] {
        let plans = (0..20).map(|seed| plan(9, rate, Traffic::Within, Faults::None, seed));
        let (_, rejected) = sweep(plans);
        assert!(rejected <= most, "rate {rate}: {rejected:.1} of a thousand");
    }
}

/// The checker finds what is wrong: with any of these guards disabled, windows exceed
/// the tolerance.
#[test]
fn without_a_guard_the_tolerance_is_exceeded() {
    for (disabled, faults) in [
        (DisabledGuard::Connections, Faults::Restarts),
        (DisabledGuard::StartupFloors, Faults::TotalLoss),
        (DisabledGuard::ReportedParts, Faults::LeaderChanges),
    ] {
        let plan = |seed| Plan {
            disabled,
            ..plan(9, 40, Traffic::Bursts, faults, seed)
        };
        let ratio = |seed| worst(&run(plan(seed)).admitted, 0, 40);
        let most = (0..10).map(ratio).fold(0.0, f64::max);
        assert!(
            most > bound(&plan(0)) + 1e-9,
            "{disabled:?}: only {most:.3} of what may be"
        );
    }
}

/// Run by hand: `cargo test -p placement --test quota_leases -- --ignored --nocapture`.
#[test]
#[ignore = "a sweep, run by hand"]
fn figures() {
    for (routers, seeds, heartbeat_ms) in
        [(74, 4, HEARTBEAT_MS), (9, 20, HEARTBEAT_MS), (9, 20, 100)]
    {
        for (traffic, faults) in TRAFFIC.iter().flat_map(|t| FAULTS.map(|f| (*t, f))) {
            let figures = [2, 5, 10, 20, 40, 100].map(|rate| {
                let plans = (0..seeds).map(|seed| Plan {
                    heartbeat_ms,
                    ..plan(routers, rate, traffic, faults, seed)
                });
                let (most, rejected) = sweep(plans);
                format!("{rate}/s {most:.3} {rejected:.1}")
            });
            println!(
                "{routers} routers, heartbeat {heartbeat_ms} ms, {traffic:?} {faults:?}: {}",
                figures.join(" | ")
            );
        }
    }
}

/// One router and its leader, step by step: what is admitted of four requests asked
/// for at once, at a rate of 2 and a burst of 2, one router.
#[test]
fn basic_cases() {
    let limit_of = |_: &str| Some(quota(2));
    let burst = |limiter: &mut LeaseRateLimiter, now: u64, requests: u64| {
        (0..requests)
            .filter(|_| limiter.admit(now, "t", quota(2), 1))
            .count()
    };
    let number = |demand: &RouterDemand| demand.heartbeat;
    // Rate and burst allow 33 in a window; 8 of them are for starting routers, and half
    // of the rest is the floor; seven tenths of a part may go within half a window.
    let starting =
        |now: u64, requests: u64| burst(&mut LeaseRateLimiter::new(0, 7, TOLERANCE), now, requests);
    assert_eq!(starting(0, 50), 8, "its startup floor, at once");
    let mut limiter = LeaseRateLimiter::new(0, 7, TOLERANCE);
    assert_eq!(
        burst(&mut limiter, 4_500, 50) + burst(&mut limiter, 4_999, 50),
        8,
        "no more"
    );
    let unknown = limiter.admit(20_000, "other", quota(2), 1);
    assert!(unknown && !LeaseRateLimiter::new(0, 8, TOLERANCE).admit(20_000, "t", quota(2), 0));
    let cases: [(&str, u64, bool, bool, usize); 3] = [
        (
            "a router without an answer has its floor",
            20_000,
            false,
            false,
            9,
        ),
        (
            "with an answer it has all but the startup reserve",
            20_000,
            true,
            false,
            18,
        ),
        ("a late answer counts for nothing", 20_000, true, true, 9),
    ];
    for (what, now, is_answered, is_late, admitted) in cases {
        let (mut limiter, mut allocator) = (
            LeaseRateLimiter::new(0, 7, TOLERANCE),
            QuotaLeaseAllocator::new(0, TOLERANCE),
        );
        let mut before = 0;
        if is_answered {
            before = burst(&mut limiter, now - 100, 1);
            let demand = limiter.demand(now - 100, "a", 1);
            let answer = allocator.allocate(now - 50, &demand, 1, limit_of);
            let until = if is_late { now } else { now - 100 + LEASE_MS };
            limiter.apply_grants(now, number(&demand), until, &answer.grants);
        }
        assert_eq!(before + burst(&mut limiter, now, 50), admitted, "{what}");
        assert_eq!(
            burst(&mut limiter, now + 900, 50),
            0,
            "{what}: the window is full"
        );
    }

    let (mut limiter, mut allocator) = (
        LeaseRateLimiter::new(0, 7, TOLERANCE),
        QuotaLeaseAllocator::new(0, TOLERANCE),
    );
    assert!(
        limiter.demand(9_000, "a", 1).demands.is_empty(),
        "no request came"
    );
    assert_eq!(burst(&mut limiter, 10_000, 1), 1);
    let demand = limiter.demand(10_000, "a", 2);
    let first = allocator.allocate(10_050, &demand, 1, limit_of);
    assert_eq!(first.grants.len(), 1);
    assert!(
        allocator
            .allocate(10_060, &demand, 1, limit_of)
            .grants
            .is_empty(),
        "repeated"
    );
    limiter.apply_grants(10_100, 2, 12_000, &first.grants);
    // It reports the tenant for a minute, gives its part back, and is silent once that is
    // known.
    assert_eq!(limiter.demand(60_000, "a", 3).demands.len(), 1);
    let back = limiter.demand(70_100, "a", 4);
    assert_eq!((back.demands[0].queued, back.demands[0].wanted), (0, 0));
    assert_eq!(
        limiter.demand(70_450, "a", 5).demands.len(),
        1,
        "not yet known"
    );
    let answer = allocator.allocate(70_500, &back, 1, limit_of);
    limiter.apply_grants(70_550, 4, 72_100, &answer.grants);
    assert!(limiter.demand(70_800, "a", 6).demands.is_empty());

    // A router that left leaves its part to others, a silent one does not.
    for (has_left, lent) in [(true, 24), (false, 0)] {
        let mut allocator = QuotaLeaseAllocator::new(0, TOLERANCE);
        let mut fleet = [
            LeaseRateLimiter::new(0, 7, TOLERANCE),
            LeaseRateLimiter::new(0, 8, TOLERANCE),
        ];
        let ask = |limiter: &mut LeaseRateLimiter,
                   allocator: &mut QuotaLeaseAllocator,
                   now: u64,
                   router: &str,
                   number: u64| {
            limiter.admit(now, "t", quota(2), 2);
            let demand = limiter.demand(now, router, number);
            let answer = allocator.allocate(now, &demand, 2, limit_of);
            limiter.apply_grants(now, number, now + LEASE_MS, &answer.grants);
            answer
                .grants
                .first()
                .map_or(0, |share| share.limit - demand.demands[0].admitted)
        };
        let [one, other] = &mut fleet;
        other.admit(9_000, "t", quota(2), 2);
        ask(other, &mut allocator, 10_000, "b", 1);
        ask(one, &mut allocator, 10_000, "a", 1);
        ask(other, &mut allocator, 10_350, "b", 2);
        let before = ask(one, &mut allocator, 10_350, "a", 2);
        if has_left {
            allocator.router_left(11_000, "b");
        }
        let after = ask(one, &mut allocator, 30_000, "a", 3);
        assert_eq!(
            after > before + lent / 3,
            has_left,
            "{before}, then {after}"
        );
    }
}
