//! A leader that is behind sheds work for quotas, in virtual time.

use placement::quota_work_limit::{
    DemandTiming, QuotaWorkLimit, MAX_DEMAND_AGE_MS, MAX_QUEUE_WAIT_MS, MAX_WORK_MS, WORK_SHARE,
};
use protocol::{QuotaDemand, RouterDemand};

const NOW_MS: u64 = 100_000;
const HEARTBEAT: u64 = 7;

/// A router's demand for one tenant, which rejects answers up to `grant_floor`.
fn demand(grant_floor: u64) -> RouterDemand {
    RouterDemand {
        router: "r1".into(),
        incarnation: 1,
        heartbeat: HEARTBEAT,
        incarnation_age_ms: 90_000,
        demands: vec![QuotaDemand {
            tenant: "ana".into(),
            admitted: 10,
            limit: 12,
            grant_floor,
            queued: 2,
            wanted: 4,
            recently_admitted: Default::default(),
        }],
    }
}

fn timing(asked_ago_ms: u64, queued_ago_ms: u64) -> DemandTiming {
    DemandTiming {
        asked_at_ms: Some(NOW_MS - asked_ago_ms),
        queued_at_ms: NOW_MS - queued_ago_ms,
    }
}

fn is_weighed(timing: DemandTiming, demand: &RouterDemand) -> bool {
    QuotaWorkLimit::default().is_weighed(NOW_MS, timing, demand)
}

/// Guards: leases that come too late because an overloaded leader weighs demands whose asker
/// has waited long, or gave up.
#[test]
fn demands_that_waited_long_are_not_weighed() {
    let demand = demand(HEARTBEAT - 1);
    assert!(is_weighed(
        timing(MAX_DEMAND_AGE_MS, MAX_QUEUE_WAIT_MS),
        &demand
    ));
    assert!(!is_weighed(
        timing(MAX_DEMAND_AGE_MS, MAX_QUEUE_WAIT_MS + 1),
        &demand
    ));
    assert!(!is_weighed(timing(MAX_DEMAND_AGE_MS + 1, 0), &demand));
    let of_unknown_clock = DemandTiming {
        asked_at_ms: None,
        queued_at_ms: NOW_MS,
    };
    assert!(is_weighed(of_unknown_clock, &demand));
}

/// Guards: leases that a router gave back and that stay reserved, since it took an answer
/// without weighing for the leader's knowledge of it.
#[test]
fn leases_that_are_given_back_are_always_taken() {
    assert!(is_weighed(timing(5_000, 5_000), &demand(HEARTBEAT)));
}

/// Guards: one request with many routers' demands that holds up all leases behind it.
#[test]
fn a_stretch_of_weighing_ends_and_goes_on_later() {
    let mut limit = QuotaWorkLimit::default();
    let demand = demand(HEARTBEAT - 1);
    let mut now_ms = NOW_MS;
    let mut weigh = |now_ms: u64| {
        let timing = DemandTiming {
            asked_at_ms: None,
            queued_at_ms: now_ms,
        };
        limit
            .is_weighed(now_ms, timing, &demand)
            .then(|| limit.record_work(now_ms, now_ms + 5))
    };
    while now_ms < NOW_MS + 10 * MAX_WORK_MS && weigh(now_ms).is_some() {
        now_ms += 5;
    }
    // Half of the time of the stretch is made up for meanwhile.
    let stretch_ms = (MAX_WORK_MS as f64 / WORK_SHARE) as u64;
    assert!(
        (NOW_MS + MAX_WORK_MS..=NOW_MS + stretch_ms + 5).contains(&now_ms),
        "{now_ms}"
    );
    assert!(weigh(now_ms + 20).is_some());
}

/// Guards: quotas that take all of the leader's time while demands never end.
#[test]
fn endless_demands_take_their_share_of_the_time() {
    const SPAN_MS: u64 = 60_000;
    let mut limit = QuotaWorkLimit::default();
    let demand = demand(HEARTBEAT - 1);
    let (mut now_ms, mut worked_ms) = (NOW_MS, 0);
    while now_ms < NOW_MS + SPAN_MS {
        let timing = DemandTiming {
            asked_at_ms: None,
            queued_at_ms: now_ms,
        };
        match limit.is_weighed(now_ms, timing, &demand) {
            true => {
                limit.record_work(now_ms, now_ms + 7);
                (now_ms, worked_ms) = (now_ms + 7, worked_ms + 7);
            }
            false => now_ms += 1,
        }
    }
    let most_ms = (SPAN_MS as f64 * WORK_SHARE) as u64 + MAX_WORK_MS + 7;
    assert!(worked_ms <= most_ms, "{worked_ms}");
    assert!(
        worked_ms + MAX_WORK_MS >= (SPAN_MS as f64 * WORK_SHARE) as u64,
        "{worked_ms}"
    );
}
