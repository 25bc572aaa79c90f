//! Engines that are warming up, shared by many routers in virtual time.

mod common;

use common::draws;
use placement::{
    rank, EngineHealthTracker, EngineSelection, HealthReport, SelectedEngine, SlowStart,
};
use residency::{Cell, Engine, EngineState, Event, Mapping, Name, View, Zone};

fn view(engines: usize) -> View {
    let zone = |name: &str, region: &str| Zone {
        name: name.into(),
        region: region.into(),
    };
    let cell = |name: &str, zone: &str| Cell {
        name: name.into(),
        zone: zone.into(),
    };
    let mut view = View::default();
    view.apply(&Event::Topology {
        zones: vec![zone("north-a", "north")],
        cells: vec![cell("north-1", "north-a")],
    });
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

/// A cold engine as it really is: jobs by when they end.
struct Cold {
    born: u64,
    jobs: Vec<u64>,
    completed: u32,
}

struct Flood {
    most_over: i64,
    refused: u32,
    begun: u32,
    warm_at: Option<u64>,
}

/// A crowd of callers at `routers`, each of which knows the engines by
/// vitals that come to it at its own moments, a while late; jobs reach the
/// engine a while late, too.
fn crowd(routers: usize, engines: usize, seed: u64) -> Flood {
    let mut draw = draws(seed);
    let (view, mapping) = (view(engines), mapping());
    let peers: Vec<u64> = (0..routers as u64).map(|at| rank(7, at)).collect();
    let mut fleet: Vec<EngineHealthTracker> = (0..routers)
        .map(|_| EngineHealthTracker::default())
        .collect();
    fleet
        .iter_mut()
        .for_each(|known| drop(known.apply_view(0, &view)));
    let mut cold: Vec<Cold> = (0..engines)
        .map(|_| Cold {
            born: draw(5_000),
            jobs: Vec::new(),
            completed: 0,
        })
        .collect();
    let mut lines: Vec<(u64, usize, usize, HealthReport)> = Vec::new();
    let mut sent: Vec<(u64, usize, u64)> = Vec::new();
    let mut held: Vec<(u64, usize, usize)> = Vec::new();
    let mut flood = Flood {
        most_over: i64::MIN,
        refused: 0,
        begun: 0,
        warm_at: None,
    };
    let phases: Vec<u64> = (0..routers * engines).map(|_| draw(100)).collect();
    for now in 10_000..30_000u64 {
        for (at, engine) in cold.iter_mut().enumerate() {
            let before = engine.jobs.len();
            engine.jobs.retain(|end| *end > now);
            engine.completed += (before - engine.jobs.len()) as u32;
            let (come, later): (Vec<_>, Vec<_>) = sent
                .drain(..)
                .partition(|(due, to, _)| *due <= now && *to == at);
            sent = later;
            engine
                .jobs
                .extend(come.into_iter().map(|(_, _, takes)| now + takes));
            let limit = SlowStart::after_responses(engine.completed).limit(7);
            if limit < 7 {
                flood.most_over = flood
                    .most_over
                    .max(engine.jobs.len() as i64 - i64::from(limit));
            }
            for router in 0..routers {
                if (now + phases[router * engines + at]).is_multiple_of(100) {
                    let vitals = HealthReport {
                        running: engine.jobs.len() as u32,
                        queued: 0,
                        slots: 8,
                        is_warm: engine.completed >= 24,
                        is_draining: false,
                        completed: engine.completed,
                        uptime_ms: now - engine.born,
                        received_at_ms: 0,
                    };
                    lines.push((now + 1 + draw(40), router, at, vitals));
                }
            }
        }
        let (come, later): (Vec<_>, Vec<_>) = lines.into_iter().partition(|line| line.0 <= now);
        lines = later;
        for (_, router, at, vitals) in come {
            fleet[router].record_report(
                now,
                &format!("engine-{at}"),
                HealthReport {
                    received_at_ms: now,
                    ..vitals
                },
            );
        }
        held.retain(|(until, router, at)| {
            if *until <= now {
                fleet[*router].release(&format!("engine-{at}"));
            }
            *until > now
        });
        // Three jobs every millisecond want an engine.
        for _ in 0..3 {
            let router = draw(routers as u64) as usize;
            let prefix = draw(u64::MAX);
            match fleet[router].select(now, &view, &mapping, prefix, peers[router], &peers) {
                EngineSelection::Selected(SelectedEngine { name, .. }) => {
                    let at = name["engine-".len()..].parse().expect("its number");
                    let (way, takes) = (1 + draw(60), 50 + draw(900));
                    sent.push((now + way, at, takes));
                    held.push((now + way + takes, router, at));
                    flood.begun += 1;
                }
                _ => flood.refused += 1,
            }
        }
        if flood.warm_at.is_none() && cold.iter().all(|engine| engine.completed >= 24) {
            flood.warm_at = Some(now - 10_000);
        }
    }
    flood
}

/// Guards: an engine coming back cold is not flooded before it has warmed
/// up, however many processes there are, with one engine cold or all.
#[test]
fn engines_keep_their_slow_start_limit_over_a_fleet() {
    for (routers, engines) in [(1, 1), (9, 1), (9, 4), (14, 9)] {
        for seed in 0..6 {
            let flood = crowd(routers, engines, seed);
            let what = format!("{routers} routers, {engines} engines, seed {seed}");
            assert!(flood.most_over <= 0, "{what}: {} too many", flood.most_over);
            assert!(
                flood.warm_at.is_some_and(|at| at < 16_000),
                "{what}: {:?}",
                flood.warm_at
            );
        }
    }
}
