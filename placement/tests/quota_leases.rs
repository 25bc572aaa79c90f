//! Tenants' quotas over whole fleets in virtual time, from fixed seeds.

use placement::{
    LeaseRateLimiter, QuotaLeaseAllocator, QuotaTolerance, RateLimit, STARTUP_RESERVE_RATIO,
};
use protocol::{RouterDemand, RouterGrants, LEASE_MS};

const MARGIN: QuotaTolerance = QuotaTolerance {
    overrun_factor: 1.1,
    extra_requests: 20.0,
    window_ms: 5_000,
};
/// A quota whose burst is a second's rate.
fn quota(requests_per_s: u64) -> RateLimit {
    RateLimit {
        requests_per_s,
        burst: requests_per_s,
    }
}

const STEP_MS: u64 = 5;
const BEAT_MS: u64 = 350;
/// Traffic begins once a fleet that was started all at once has settled.
const BEGIN_MS: u64 = 30_000;
const END_MS: u64 = 90_000;

fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |below| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        (seed >> 11) % below.max(1)
    }
}

/// What callers do: parts of the rate, or nothing and then ten times the rate.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Within,
    /// The same, and a clump's jobs come to one router.
    Lumps,
    Threefold,
    Floods,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Faults {
    /// Delays and losses only.
    None,
    /// One kind only, every six seconds or so.
    Freezes,
    CutOffs,
    Restarts,
    Leaders,
    /// All routers and the leader at once.
    Wholesale,
    /// Anything at any time, several at once too.
    All,
}

/// Which of the guards is disabled, to see that the bound is then passed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    Kept,
    /// Answers to a former life's beats are taken.
    Connections,
    /// Floors are open from a process's start.
    YoungFloors,
    /// A new leader is not told what parts the routers have.
    Parts,
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    routers: usize,
    rate: u64,
    traffic: Traffic,
    faults: Faults,
    /// Lowered to a fifth at this time.
    lowered: Option<u64>,
    guard: Guard,
    beat_ms: u64,
    seed: u64,
}

#[derive(Default)]
struct Seen {
    admitted: Vec<u64>,
    refused: u64,
    /// In the first ten seconds, while the tenant is new everywhere.
    cold: u64,
}

fn run(plan: Plan) -> Seen {
    let Plan { routers, rate, .. } = plan;
    let mut draw = draws(plan.seed + 1);
    let mut lives = routers as u64;
    let mut fleet: Vec<LeaseRateLimiter> = (0..routers)
        .map(|at| LeaseRateLimiter::new(0, at as u64 + 1, MARGIN))
        .collect();
    let mut numbers = vec![0; routers];
    let mut next: Vec<u64> = (0..routers).map(|_| draw(plan.beat_ms)).collect();
    let mut frozen = vec![0; routers];
    let mut cut = vec![0; routers];
    let mut waiting = vec![0u64; routers];
    let mut pools = Some(QuotaLeaseAllocator::new(0, MARGIN));
    let mut leader_at = 0;
    let mut up: Vec<(u64, usize, u64, RouterDemand)> = Vec::new();
    let mut down: Vec<(u64, usize, u64, RouterGrants)> = Vec::new();
    // Between a sixth and a twelfth each, for nine: one part to two.
    let weights: Vec<u64> = (0..routers).map(|_| 100 + draw(101)).collect();
    let weights: Vec<u64> = if routers == 9 {
        vec![166, 84, 84, 166, 84, 84, 110, 84, 138]
    } else {
        weights
    };
    let sum: u64 = weights.iter().sum();
    let (mut due, mut fault) = (BEGIN_MS as f64, BEGIN_MS + 2_000);
    let mut seen = Seen::default();
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        let lowered = plan.lowered.is_some_and(|at| now >= at);
        let rate_now = if lowered { rate / 5 } else { rate };
        // Whoever admits knows of it within three seconds, one after the other.
        let rate_at = |router: usize| match plan.lowered {
            Some(at) if now >= at + 3_000 * (router as u64 + 1) / (routers as u64 + 1) => rate / 5,
            _ => rate,
        };
        if now >= fault && plan.faults != Faults::None {
            fault = now
                + if plan.faults == Faults::All {
                    500 + draw(5_000)
                } else {
                    6_500
                };
            let kind = match plan.faults {
                Faults::None => continue,
                Faults::Freezes => 0,
                Faults::CutOffs => 1,
                Faults::Restarts => 2,
                Faults::Leaders => 3,
                Faults::Wholesale => 5,
                Faults::All => draw(5),
            };
            let first = draw(routers as u64) as usize;
            let third = (0..routers.div_ceil(3)).map(|at| (first + at) % routers);
            match kind {
                0 => {
                    let until = now + 500 + draw(6_000);
                    third
                        .take(1 + draw(routers as u64) as usize)
                        .for_each(|at| frozen[at] = until);
                }
                1 => third.for_each(|at| cut[at] = now + 6_000),
                2 => {
                    for at in third.take(1 + draw(2) as usize) {
                        lives += 1;
                        let began = if plan.guard == Guard::YoungFloors {
                            0
                        } else {
                            now
                        };
                        fleet[at] = LeaseRateLimiter::new(began, lives, MARGIN);
                        (numbers[at], waiting[at], frozen[at]) = (0, 0, 0);
                        if plan.guard == Guard::Connections {
                            continue;
                        }
                        // Its connections end with it.
                        up.retain(|(_, router, ..)| *router != at);
                        down.retain(|(_, router, ..)| *router != at);
                    }
                }
                3 => (pools, leader_at) = (None, now + 1_000 + draw(3_000)),
                5 => {
                    for at in 0..routers {
                        lives += 1;
                        let began = if plan.guard == Guard::YoungFloors {
                            0
                        } else {
                            now
                        };
                        fleet[at] = LeaseRateLimiter::new(began, lives, MARGIN);
                        (numbers[at], waiting[at], frozen[at]) = (0, 0, 0);
                    }
                    up.clear();
                    down.clear();
                    (pools, leader_at) = (None, now + 500 + draw(1_000));
                }
                _ => (0..routers).for_each(|at| frozen[at] = now + 1_000 + draw(2_000)),
            }
        }
        if pools.is_none() && now >= leader_at {
            pools = Some(QuotaLeaseAllocator::new(now, MARGIN));
        }
        for at in 0..routers {
            if now < next[at] || now < frozen[at] {
                continue;
            }
            numbers[at] += 1;
            next[at] = now + plan.beat_ms;
            let demand = fleet[at].demand(now, &format!("router-{at}"), numbers[at]);
            if now >= cut[at] && draw(20) > 0 {
                up.push((now + 20 + draw(131), at, now, demand.clone()));
                if draw(20) == 0 {
                    up.push((now + 20 + draw(800), at, now, demand));
                }
            }
        }
        let (come, later): (Vec<_>, Vec<_>) = up.into_iter().partition(|(at, ..)| *at <= now);
        up = later;
        for (_, at, asked, mut demand) in come {
            let Some(pools) = &mut pools else { continue };
            if now < cut[at] {
                continue;
            }
            if plan.guard == Guard::Parts {
                demand
                    .demands
                    .iter_mut()
                    .for_each(|demand| demand.queued = 0);
            }
            let answer = pools.allocate(now, &demand, routers, |_| Some(quota(rate_now)));
            if draw(20) > 0 {
                down.push((now + 20 + draw(131), at, asked, answer));
            }
        }
        let (come, later): (Vec<_>, Vec<_>) = down
            .into_iter()
            .partition(|(at, router, ..)| *at <= now && now >= frozen[*router]);
        down = later;
        for (_, at, asked, answer) in come {
            if now >= cut[at] {
                fleet[at].apply_grants(now, answer.heartbeat, asked + LEASE_MS, &answer.grants);
            }
        }
        // Callers know nothing of a rate that was lowered.
        let wanted = rate as f64
            * match plan.traffic {
                Traffic::Within | Traffic::Lumps => 1.0 / 1.6,
                Traffic::Threefold => 3.0,
                Traffic::Floods if now % 14_000 < 8_000 => 0.01,
                Traffic::Floods => 10.0,
            };
        while due <= now as f64 {
            let chance = (draw(1 << 30) + 1) as f64 / (1u64 << 30) as f64;
            due += -chance.ln() * 3.0 * 1_000.0 / wanted;
            if plan.traffic == Traffic::Floods {
                due = due.min(now as f64 + 500.0);
            }
            let mut pick = || {
                let mut drawn = draw(sum);
                weights
                    .iter()
                    .position(|weight| match drawn.checked_sub(*weight) {
                        Some(left) => {
                            drawn = left;
                            false
                        }
                        None => true,
                    })
            };
            let mut at = pick().expect("below the sum");
            for n in 0..3 {
                if n > 0 && plan.traffic != Traffic::Lumps {
                    at = pick().expect("below the sum");
                }
                waiting[at] += 1;
            }
        }
        for at in (0..routers).filter(|at| now >= frozen[*at]) {
            for _ in 0..std::mem::take(&mut waiting[at]) {
                let rate = rate_at(at);
                match fleet[at].admit(now, "t", quota(rate), routers) {
                    true => seen.admitted.push(now),
                    false if now < BEGIN_MS + 10_000 => seen.cold += 1,
                    false => seen.refused += 1,
                }
            }
        }
    }
    seen
}

/// The most that was admitted in a window that begins at `from` or later, as a
/// part of what may be.
fn worst(admitted: &[u64], from: u64, rate: u64) -> f64 {
    let refill = (rate * MARGIN.window_ms) as f64 / 1_000.0;
    let most = (refill + rate as f64) * MARGIN.overrun_factor + MARGIN.extra_requests;
    let mut first = 0;
    let inside = admitted
        .iter()
        .enumerate()
        .filter(|(_, at)| **at >= from)
        .map(|(n, at)| {
            while admitted[first] + MARGIN.window_ms <= *at || admitted[first] < from {
                first += 1;
            }
            n + 1 - first
        });
    inside.max().unwrap_or(0) as f64 / most
}

fn plan(routers: usize, rate: u64, traffic: Traffic, faults: Faults, seed: u64) -> Plan {
    let (lowered, guard, beat_ms) = (None, Guard::Kept, BEAT_MS);
    Plan {
        routers,
        rate,
        traffic,
        faults,
        lowered,
        guard,
        beat_ms,
        seed,
    }
}

const TRAFFIC: [Traffic; 4] = [
    Traffic::Within,
    Traffic::Lumps,
    Traffic::Threefold,
    Traffic::Floods,
];
const FAULTS: [Faults; 7] = [
    Faults::None,
    Faults::Freezes,
    Faults::CutOffs,
    Faults::Restarts,
    Faults::Leaders,
    Faults::Wholesale,
    Faults::All,
];

/// What is kept for young processes, in whole jobs for each, is never used by
/// others.
fn bound(plan: &Plan) -> f64 {
    match plan.faults {
        Faults::Restarts | Faults::Wholesale | Faults::All => 1.0,
        _ => {
            let all =
                ((plan.rate * 6) as f64 * MARGIN.overrun_factor + MARGIN.extra_requests).floor();
            let routers = plan.routers as f64;
            1.0 - (all * STARTUP_RESERVE_RATIO / routers).floor() * routers / all
        }
    }
}

/// The worst part of what may be admitted, and the refused in a thousand.
fn sweep(plans: impl Iterator<Item = Plan>) -> (f64, f64) {
    let (mut most, mut refused, mut admitted) = (0.0, 0, 0);
    for plan in plans {
        let seen = run(plan);
        let part = worst(&seen.admitted, 0, plan.rate);
        assert!(
            part <= bound(&plan) + 1e-9,
            "{plan:?}: {part:.3} of what may be"
        );
        most = part.max(most);
        (refused, admitted) = (refused + seen.refused, admitted + seen.admitted.len());
    }
    (
        most,
        refused as f64 * 1_000.0 / (refused + admitted as u64).max(1) as f64,
    )
}

/// Guards: no window passes the margin, whatever befalls a fleet of nine.
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
        (Traffic::Floods, Faults::Wholesale),
        (Traffic::Threefold, Faults::Wholesale),
        (Traffic::Floods, Faults::All),
    ] {
        let fast = |seed| Plan {
            beat_ms: 100,
            ..plan(9, 100, traffic, faults, seed)
        };
        sweep((0..8).map(fast));
    }
}

/// Guards: nor does it in a fleet of 74.
#[test]
fn many_routers_stay_within_the_tolerance() {
    for traffic in [Traffic::Threefold, Traffic::Floods] {
        for faults in [
            Faults::CutOffs,
            Faults::Restarts,
            Faults::Leaders,
            Faults::All,
        ] {
            for rate in [2, 10, 100] {
                sweep((0..2).map(|seed| plan(74, rate, traffic, faults, seed)));
            }
        }
    }
}

/// Guards: a rate that is lowered binds the first window after three seconds.
#[test]
fn a_lowered_quota_is_in_force_after_three_seconds() {
    let mut most: f64 = 0.0;
    for (seed, faults) in (0..6).flat_map(|seed| FAULTS.map(|faults| (seed, faults))) {
        let plan = Plan {
            lowered: Some(60_000),
            ..plan(9, 100, Traffic::Threefold, faults, seed)
        };
        let part = worst(&run(plan).admitted, 63_000, 20);
        assert!(part <= 1.0, "{plan:?}: {part:.3} of what may be");
        most = most.max(part);
    }
    // What is kept for young processes is no part of it here.
    assert!(most > 0.6, "{most:.3}: callers want more than that");
}

/// Guards: a tenant at 1/1.6 of its rate is refused no more than the page says.
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
        let (_, refused) = sweep(plans);
        assert!(refused <= most, "rate {rate}: {refused:.1} of a thousand");
    }
}

/// The checker finds what is wrong: with any of these guards off, windows pass the
/// margin.
#[test]
fn without_a_guard_the_tolerance_is_exceeded() {
    for (guard, faults) in [
        (Guard::Connections, Faults::Restarts),
        (Guard::YoungFloors, Faults::Wholesale),
        (Guard::Parts, Faults::Leaders),
    ] {
        let plan = |seed| Plan {
            guard,
            ..plan(9, 40, Traffic::Floods, faults, seed)
        };
        let part = |seed| worst(&run(plan(seed)).admitted, 0, 40);
        let most = (0..10).map(part).fold(0.0, f64::max);
        assert!(
            most > bound(&plan(0)) + 1e-9,
            "{guard:?}: only {most:.3} of what may be"
        );
    }
}

/// Run by hand: `cargo test -p placement --test pools -- --ignored --nocapture`.
#[test]
#[ignore = "a sweep, for whoever has the time"]
fn figures() {
    for (routers, seeds, beat_ms) in [(74, 4, BEAT_MS), (9, 20, BEAT_MS), (9, 20, 100)] {
        for (traffic, faults) in TRAFFIC.iter().flat_map(|t| FAULTS.map(|f| (*t, f))) {
            let figures = [2, 5, 10, 20, 40, 100].map(|rate| {
                let plans = (0..seeds).map(|seed| Plan {
                    beat_ms,
                    ..plan(routers, rate, traffic, faults, seed)
                });
                let (most, refused) = sweep(plans);
                format!("{rate}/s {most:.3} {refused:.1}")
            });
            println!(
                "{routers} beat {beat_ms} {traffic:?} {faults:?}: {}",
                figures.join(" | ")
            );
        }
    }
}

/// One router and its leader, step by step: what is admitted of four jobs asked
/// for at once, at a rate of 2 and a burst of 2, one router.
#[test]
fn basic_cases() {
    let terms = |_: &str| Some(quota(2));
    let burst = |taps: &mut LeaseRateLimiter, now: u64, jobs: u64| {
        (0..jobs)
            .filter(|_| taps.admit(now, "t", quota(2), 1))
            .count()
    };
    let number = |demand: &RouterDemand| demand.heartbeat;
    // Rate and burst allow 33 in a window; 8 of them are for the young, and half
    // of the rest is the floor; seven tenths of a part may go within half a window.
    let young = |now: u64, jobs: u64| burst(&mut LeaseRateLimiter::new(0, 7, MARGIN), now, jobs);
    assert_eq!(young(0, 50), 8, "its opening, at once");
    let mut taps = LeaseRateLimiter::new(0, 7, MARGIN);
    assert_eq!(
        burst(&mut taps, 4_500, 50) + burst(&mut taps, 4_999, 50),
        8,
        "no more"
    );
    let unknown = taps.admit(20_000, "other", quota(2), 1);
    assert!(unknown && !LeaseRateLimiter::new(0, 8, MARGIN).admit(20_000, "t", quota(2), 0));
    let cases: [(&str, u64, bool, bool, usize); 3] = [
        (
            "a router without a word has its floor",
            20_000,
            false,
            false,
            9,
        ),
        (
            "with a word it has all but the opening",
            20_000,
            true,
            false,
            18,
        ),
        ("a late word is none", 20_000, true, true, 9),
    ];
    for (what, now, is_answered, is_late, admitted) in cases {
        let (mut taps, mut pools) = (
            LeaseRateLimiter::new(0, 7, MARGIN),
            QuotaLeaseAllocator::new(0, MARGIN),
        );
        let mut before = 0;
        if is_answered {
            before = burst(&mut taps, now - 100, 1);
            let demand = taps.demand(now - 100, "a", 1);
            let answer = pools.allocate(now - 50, &demand, 1, terms);
            let until = if is_late { now } else { now - 100 + LEASE_MS };
            taps.apply_grants(now, number(&demand), until, &answer.grants);
        }
        assert_eq!(before + burst(&mut taps, now, 50), admitted, "{what}");
        assert_eq!(
            burst(&mut taps, now + 900, 50),
            0,
            "{what}: the window is full"
        );
    }

    let (mut taps, mut pools) = (
        LeaseRateLimiter::new(0, 7, MARGIN),
        QuotaLeaseAllocator::new(0, MARGIN),
    );
    assert!(
        taps.demand(9_000, "a", 1).demands.is_empty(),
        "nobody asked"
    );
    assert_eq!(burst(&mut taps, 10_000, 1), 1);
    let demand = taps.demand(10_000, "a", 2);
    let first = pools.allocate(10_050, &demand, 1, terms);
    assert_eq!(first.grants.len(), 1);
    assert!(
        pools.allocate(10_060, &demand, 1, terms).grants.is_empty(),
        "said twice"
    );
    taps.apply_grants(10_100, 2, 12_000, &first.grants);
    // It says so for a minute, gives its part back, and is silent once that is
    // known.
    assert_eq!(taps.demand(60_000, "a", 3).demands.len(), 1);
    let back = taps.demand(70_100, "a", 4);
    assert_eq!((back.demands[0].queued, back.demands[0].wanted), (0, 0));
    assert_eq!(
        taps.demand(70_450, "a", 5).demands.len(),
        1,
        "not yet known"
    );
    let answer = pools.allocate(70_500, &back, 1, terms);
    taps.apply_grants(70_550, 4, 72_100, &answer.grants);
    assert!(taps.demand(70_800, "a", 6).demands.is_empty());

    // A router that left leaves its part to others, a silent one does not.
    for (has_left, lent) in [(true, 24), (false, 0)] {
        let mut pools = QuotaLeaseAllocator::new(0, MARGIN);
        let mut fleet = [
            LeaseRateLimiter::new(0, 7, MARGIN),
            LeaseRateLimiter::new(0, 8, MARGIN),
        ];
        let ask = |taps: &mut LeaseRateLimiter,
                   pools: &mut QuotaLeaseAllocator,
                   now: u64,
                   front: &str,
                   number: u64| {
            taps.admit(now, "t", quota(2), 2);
            let demand = taps.demand(now, front, number);
            let answer = pools.allocate(now, &demand, 2, terms);
            taps.apply_grants(now, number, now + LEASE_MS, &answer.grants);
            answer
                .grants
                .first()
                .map_or(0, |share| share.limit - demand.demands[0].admitted)
        };
        let [one, other] = &mut fleet;
        other.admit(9_000, "t", quota(2), 2);
        ask(other, &mut pools, 10_000, "b", 1);
        ask(one, &mut pools, 10_000, "a", 1);
        ask(other, &mut pools, 10_350, "b", 2);
        let before = ask(one, &mut pools, 10_350, "a", 2);
        if has_left {
            pools.router_left(11_000, "b");
        }
        let after = ask(one, &mut pools, 30_000, "a", 3);
        assert_eq!(
            after > before + lent / 3,
            has_left,
            "{before}, then {after}"
        );
    }
}
