//! Retries over a fleet, against the limit on every window.

use placement::{RetryBudget, RetryLimit};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    window_ms: 10_000,
    extra_retries: 58.0,
};

/// Guards: retries do not grow beyond the bound, over all routers together, in any
/// window, while routers restart and traffic swings; every request is to be retried.
#[test]
fn retries_stay_within_the_budget_in_every_window() {
    for seed in 1..12u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = |below: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 11) % below
        };
        let fleet = 9;
        let mut routers: Vec<RetryBudget> =
            (0..fleet).map(|_| RetryBudget::new(LIMIT, 0)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = 1_000;
        while now < 60_000 {
            now += draw(if now % 15_000 < 4_000 { 6 } else { 60 });
            let at = draw(fleet) as usize;
            if draw(2_000) == 0 {
                routers[at] = RetryBudget::new(LIMIT, now);
            }
            routers[at].deposit(now, "s");
            requests.push(now);
            for _ in 0..3 {
                if routers[at].try_withdraw(now, "s", fleet as usize) {
                    retries.push(now);
                }
            }
        }
        assert!(retries.len() > 100, "there are some: {}", retries.len());
        assert_within_limit(&requests, &retries, &format!("seed {seed}"));
    }
}

/// The retries hold the limit in every window of a minute.
fn assert_within_limit(requests: &[u64], retries: &[u64], what: &str) {
    let count = |list: &[u64], from: u64, until: u64| {
        list.partition_point(|at| *at < until) - list.partition_point(|at| *at < from)
    };
    for from in (0..60_000u64).step_by(100) {
        let until = from + LIMIT.window_ms;
        let most = LIMIT.ratio * count(requests, from, until) as f64 + LIMIT.extra_retries;
        let had = count(retries, from, until);
        assert!(had as f64 <= most, "{what}, from {from}: {had} for {most}");
    }
}

/// Guards: routers that are all killed at once forget what they spent, and spent as much
/// again within the same window.
#[test]
fn a_restart_of_all_routers_does_not_double_the_budget() {
    for fleet in [3, 9, 74] {
        for gap_ms in [10, 40, 160, 640] {
            let new_fleet = |now| -> Vec<RetryBudget> {
                let start = |_| RetryBudget::new(LIMIT, now);
                (0..fleet).map(start).collect()
            };
            let mut routers = new_fleet(0);
            let (mut requests, mut retries) = (Vec::new(), Vec::new());
            for now in (1_000..60_000u64).step_by(gap_ms) {
                // Every 15 s, so that the fleet spends all that it may in between.
                let was_killed = now / 15_000 > (now - gap_ms as u64) / 15_000;
                if was_killed {
                    routers = new_fleet(now);
                }
                let at = requests.len() % fleet;
                routers[at].deposit(now, "s");
                requests.push(now);
                for _ in 0..3 {
                    if routers[at].try_withdraw(now, "s", fleet) {
                        retries.push(now);
                    }
                }
            }
            let what = format!("{fleet} routers, a request each {gap_ms} ms");
            assert_within_limit(&requests, &retries, &what);
        }
    }
}

#[test]
fn no_retry_for_an_unknown_service_or_fleet_size() {
    let mut budget = RetryBudget::new(LIMIT, 0);
    assert!(!budget.try_withdraw(1, "s", 3), "no request came for it");
    budget.deposit(1, "s");
    assert!(
        !budget.try_withdraw(2, "s", 0),
        "the number of routers that share the extra is not known"
    );
    assert!(budget.try_withdraw(2, "s", 3));
    assert!(!budget.try_withdraw(2, "other", 3));
}
