//! Engines that are warming up, shared by many routers in virtual time.

mod common;

use common::{draws, topology};
use placement::{
    rank, EngineHealthTracker, EngineSelection, HealthReport, SelectedEngine, SlowStart,
};
use residency::{Engine, EngineState, Event, Mapping, Name, View};

fn view(engines: usize) -> View {
    let mut view = topology(&[("north-a", "north")], &[("north-1", "north-a")]);
    for at in 0..engines {
        view.apply(&Event::EngineUpdated(Engine {
            name: format!("engine-{at}"),
            address: format!("127.0.0.1:{at}"),
            cell: "north-1".into(),
            services: vec![Name("writer".into())],
            slots: 8,
            state: EngineState::Serving,
            warm_up_ms: 0,
        }));
    }
    view
}

fn mapping() -> Mapping {
    Mapping {
        tenant: "ana".into(),
        service: "writer".into(),
        regions: vec![Name("north".into())],
        cells: vec![Name("north-1".into())],
        fresh_ms: 1,
        expire_ms: 1,
        epoch: 1,
    }
}

/// An engine that is warming up, as it really is: when its requests end.
struct WarmingEngine {
    started_at_ms: u64,
    requests: Vec<u64>,
    completed: u32,
}

struct CrowdResult {
    max_excess: i64,
    rejected: u32,
    started: u32,
    warmed_up_after_ms: Option<u64>,
}

/// Many clients send to `routers`, each of which knows the engines by reports that it
/// receives at its own times, late; requests reach the engine late, too.
fn run_crowd(routers: usize, engines: usize, seed: u64) -> CrowdResult {
    let mut draw = draws(seed);
    let (view, mapping) = (view(engines), mapping());
    let peers: Vec<u64> = (0..routers as u64).map(|at| rank(7, at)).collect();
    let mut fleet: Vec<EngineHealthTracker> = (0..routers)
        .map(|_| EngineHealthTracker::default())
        .collect();
    fleet
        .iter_mut()
        .for_each(|known| drop(known.apply_view(0, &view)));
    let mut engines_now: Vec<WarmingEngine> = (0..engines)
        .map(|_| WarmingEngine {
            started_at_ms: draw(5_000),
            requests: Vec::new(),
            completed: 0,
        })
        .collect();
    let mut reports: Vec<(u64, usize, usize, HealthReport)> = Vec::new();
    let mut under_way: Vec<(u64, usize, u64)> = Vec::new();
    let mut in_flight: Vec<(u64, usize, usize)> = Vec::new();
    let mut result = CrowdResult {
        max_excess: i64::MIN,
        rejected: 0,
        started: 0,
        warmed_up_after_ms: None,
    };
    let phases: Vec<u64> = (0..routers * engines).map(|_| draw(100)).collect();
    for now in 10_000..30_000u64 {
        for (at, engine) in engines_now.iter_mut().enumerate() {
            let before = engine.requests.len();
            engine.requests.retain(|end| *end > now);
            engine.completed += (before - engine.requests.len()) as u32;
            let (come, later): (Vec<_>, Vec<_>) = under_way
                .drain(..)
                .partition(|(due, to, _)| *due <= now && *to == at);
            under_way = later;
            engine
                .requests
                .extend(come.into_iter().map(|(_, _, takes)| now + takes));
            let limit = SlowStart::after_responses(engine.completed).limit(7);
            if limit < 7 {
                result.max_excess = result
                    .max_excess
                    .max(engine.requests.len() as i64 - i64::from(limit));
            }
            for router in 0..routers {
                if (now + phases[router * engines + at]).is_multiple_of(100) {
                    let report = HealthReport {
                        running: engine.requests.len() as u32,
                        queued: 0,
                        slots: 8,
                        is_warm: engine.completed >= 24,
                        is_draining: false,
                        completed: engine.completed,
                        uptime_ms: now - engine.started_at_ms,
                        received_at_ms: 0,
                    };
                    reports.push((now + 1 + draw(40), router, at, report));
                }
            }
        }
        let (come, later): (Vec<_>, Vec<_>) = reports.into_iter().partition(|line| line.0 <= now);
        reports = later;
        for (_, router, at, report) in come {
            fleet[router].record_report(
                now,
                &format!("engine-{at}"),
                HealthReport {
                    received_at_ms: now,
                    ..report
                },
            );
        }
        in_flight.retain(|(until, router, at)| {
            if *until <= now {
                fleet[*router].release(&format!("engine-{at}"));
            }
            *until > now
        });
        // Three requests arrive every millisecond.
        for _ in 0..3 {
            let router = draw(routers as u64) as usize;
            let prefix = draw(u64::MAX);
            match fleet[router].select(now, &view, &mapping, prefix, peers[router], &peers) {
                EngineSelection::Selected(SelectedEngine { name, .. }) => {
                    let at = name["engine-".len()..].parse().expect("its number");
                    let (way, takes) = (1 + draw(60), 50 + draw(900));
                    under_way.push((now + way, at, takes));
                    in_flight.push((now + way + takes, router, at));
                    result.started += 1;
                }
                _ => result.rejected += 1,
            }
        }
        if result.warmed_up_after_ms.is_none()
            && engines_now.iter().all(|engine| engine.completed >= 24)
        {
            result.warmed_up_after_ms = Some(now - 10_000);
        }
    }
    result
}

/// Guards: an engine that restarted gets no more than its slow-start limit until it has
/// warmed up, however many routers there are, with one engine warming up or all.
#[test]
fn engines_keep_their_slow_start_limit_over_a_fleet() {
    for (routers, engines) in [(1, 1), (9, 1), (9, 4), (14, 9)] {
        for seed in 0..6 {
            let result = run_crowd(routers, engines, seed);
            let what = format!("{routers} routers, {engines} engines, seed {seed}");
            assert!(
                result.max_excess <= 0,
                "{what}: {} too many",
                result.max_excess
            );
            assert!(
                result.warmed_up_after_ms.is_some_and(|at| at < 16_000),
                "{what}: {:?}",
                result.warmed_up_after_ms
            );
        }
    }
}
