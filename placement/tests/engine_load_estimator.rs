//! Electing by answers alone: where a job goes, and what cold engines get.

use placement::{
    EngineLoadEstimator, EngineSelection, LoadUpdate, PrefillEstimate, SelectedEngine,
    SelectionRequest,
};
use policy::{Prompt, PromptPart};
use protocol::{CachedPrefix, EngineLoad};
use residency::{Cell, Engine, EngineState, Event, Mapping, Name, ServiceLimits, View, Zone};

const SERVICE: &str = "writer";

fn engine(name: &str, cell: &str, warm_up_ms: u32) -> Engine {
    Engine {
        name: name.into(),
        address: format!(
            "127.0.0.1:{}",
            1000 + name.bytes().map(u32::from).sum::<u32>()
        ),
        cell: cell.into(),
        services: vec![SERVICE.into()],
        slots: 8,
        state: EngineState::Serving,
        warm_up_ms,
    }
}

fn view(engines: &[Engine]) -> View {
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
        zones: vec![zone("north-a", "north"), zone("south-a", "south")],
        cells: vec![cell("north-a", "north-a"), cell("south-a", "south-a")],
    });
    let traits = ServiceLimits {
        service: SERVICE.into(),
        max_connections: 0,
        warm_up_requests_per_s: 17,
        warm_up_ms: 3_000,
    };
    view.apply(&Event::Services(vec![traits]));
    engines
        .iter()
        .for_each(|engine| view.apply(&Event::EngineUpdated(engine.clone())));
    view
}

fn mapping() -> Mapping {
    Mapping {
        tenant: "t".into(),
        service: SERVICE.into(),
        regions: vec!["north".into(), "south".into()],
        cells: vec!["north-a".into(), "south-a".into()],
        fresh_ms: 1,
        expire_ms: 1,
        epoch: 1,
    }
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = vec![
        PromptPart {
            prefix_hash: shared,
            tokens: 5_000,
        },
        PromptPart {
            prefix_hash: shared ^ own,
            tokens: 6_000,
        },
    ];
    Prompt {
        parts,
        input_tokens: 11_000,
        max_output_tokens: 300,
    }
}

fn chosen(
    estimates: &mut EngineLoadEstimator,
    now: u64,
    view: &View,
    prompt: &Prompt,
    tried: &[String],
) -> Option<String> {
    let wanted = SelectionRequest {
        prompt,
        prefix: prompt.shared_prefix_hash(),
        tried,
    };
    match estimates.select(now, view, &mapping(), &wanted, 1, &[1]) {
        EngineSelection::Selected(SelectedEngine { name, .. }) => Some(name),
        _ => None,
    }
}

#[test]
fn a_request_goes_to_the_engine_that_caches_its_prefix_until_it_is_busy() {
    let view = view(&[
        engine("a", "north-a", 0),
        engine("b", "north-a", 0),
        engine("c", "north-a", 0),
        engine("far", "south-a", 0),
    ]);
    let mut estimates = EngineLoadEstimator::default();
    estimates.apply_view(1_000, &view);
    let first = chosen(&mut estimates, 1_000, &view, &prompt(7, 1), &[]).expect("all are free");
    assert_ne!(first, "far", "the own region goes first");
    let PrefillEstimate {
        expected_ms,
        tokens,
    } = estimates.record_send(1_000, &first, &prompt(7, 1));
    assert!(expected_ms > 50.0 && tokens == 11_000.0);
    estimates.finish_prefill(&first, tokens);
    estimates.record_first_event(1_100, &first, expected_ms, 100);
    estimates.release(&first);
    // Again with what it keeps, for as long as it is not busy.
    let second = chosen(&mut estimates, 1_200, &view, &prompt(7, 2), &[]).expect("one is free");
    assert_eq!(second, first);
    for own in 0..6 {
        estimates.record_send(1_200, &first, &prompt(9, 100 + own));
    }
    let third = chosen(&mut estimates, 1_200, &view, &prompt(7, 3), &[]).expect("two are free");
    assert_ne!(
        third, first,
        "a long queue of prompts outweighs what is kept"
    );
    assert_ne!(third, "far");
}

#[test]
fn engines_that_failed_or_were_full_are_selected_last() {
    let view = view(&[engine("a", "north-a", 0), engine("b", "north-a", 0)]);
    let mut estimates = EngineLoadEstimator::default();
    estimates.apply_view(1_000, &view);
    let (none, job) = (Vec::new(), prompt(3, 1));
    estimates.record_failure(1_000, "a");
    assert_eq!(
        chosen(&mut estimates, 1_001, &view, &job, &none).as_deref(),
        Some("b")
    );
    estimates.record_not_run(1_001, "b");
    let last = chosen(&mut estimates, 1_002, &view, &job, &none);
    assert!(
        last.is_some(),
        "one of the suspects is better than a refusal"
    );
    let been = vec!["a".to_string(), "b".to_string()];
    assert_eq!(chosen(&mut estimates, 1_002, &view, &job, &been), None);
    // When its time has come it is looked at, and gets work when it was reached.
    assert!(estimates.due_probes(1_100).is_empty(), "not yet");
    let due = estimates.due_probes(3_000);
    assert_eq!(
        due.len(),
        1,
        "the one that failed, not the one that was full"
    );
    estimates.record_probe_success("a");
    assert!(estimates.due_probes(3_001).is_empty());
    // A life that ended is another engine; nothing of it is carried over.
    let mut next = view.clone();
    next.apply(&Event::EngineRemoved(Name("a".into())));
    next.apply(&Event::EngineUpdated(engine("a2", "north-a", 0)));
    assert_eq!(estimates.apply_view(1_010, &next), vec!["a".to_string()]);
    assert_eq!(
        chosen(&mut estimates, 1_011, &next, &job, &none).as_deref(),
        Some("a2")
    );
}

/// Guards: a cold engine is not flooded, summed over all routers. Every router
/// wants to begin work there all the time; some see a few routers more or fewer.
#[test]
fn engines_keep_their_warm_up_rate_over_a_fleet() {
    for (fleet, differ) in [(1usize, 0usize), (9, 1), (74, 4)] {
        let cold = view(&[engine("a", "north-a", 3_000)]);
        let peers: Vec<u64> = (1..=fleet as u64)
            .map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .collect();
        let mut routers: Vec<EngineLoadEstimator> =
            (0..fleet).map(|_| EngineLoadEstimator::default()).collect();
        routers
            .iter_mut()
            .for_each(|router| drop(router.apply_view(10_000, &cold)));
        let mut begun: Vec<u64> = Vec::new();
        let job = prompt(5, 1);
        for now in 10_000..13_000u64 {
            for (at, router) in routers.iter_mut().enumerate() {
                // Not all have heard of the newest routers.
                let known = &peers[..fleet - if at % 2 == 0 { differ } else { 0 }];
                let wanted = SelectionRequest {
                    prompt: &job,
                    prefix: 5,
                    tried: &[],
                };
                let chosen = router.select(now, &cold, &mapping(), &wanted, peers[at], known);
                if matches!(chosen, EngineSelection::Selected(_)) {
                    router.release("a");
                    begun.push(now);
                }
            }
        }
        assert!(begun.len() >= 30, "{fleet}: it gets work: {}", begun.len());
        for (n, from) in begun.iter().enumerate() {
            let within = begun[n..]
                .iter()
                .take_while(|at| **at < from + 1_000)
                .count();
            assert!(within <= 30, "{fleet}: {within} within a second");
        }
    }
}

/// A zone that is given back may have gone cold; the list may not say so yet.
#[test]
fn engines_of_a_reinstated_zone_warm_up_again() {
    let mut seen = view(&[engine("a", "north-a", 0)]);
    let mut estimates = EngineLoadEstimator::default();
    estimates.apply_view(1_000, &seen);
    seen.apply(&Event::ZoneEvacuated("north-a".into()));
    estimates.apply_view(2_000, &seen);
    seen.apply(&Event::ZoneReinstated("north-a".into()));
    estimates.apply_view(9_000, &seen);
    let job = prompt(5, 1);
    let many = (0..100).filter(|_| {
        chosen(&mut estimates, 9_001, &seen, &job, &[])
            .map(|name| estimates.release(&name))
            .is_some()
    });
    assert_eq!(many.count(), 1, "one at a time");
    assert!(chosen(&mut estimates, 12_100, &seen, &job, &[]).is_some());
}

fn load(engine: &str, requests: u32, prefill_tokens: u32) -> EngineLoad {
    EngineLoad {
        engine: engine.into(),
        requests,
        prefill_tokens,
    }
}

fn cached(engine: &str, prefix_hash: u64) -> CachedPrefix {
    CachedPrefix {
        engine: engine.into(),
        prefix_hash,
    }
}

/// What routers tell each other: a job goes past an engine that another router has
/// filled, and to one that another router has warmed.
#[test]
fn load_and_cached_prefixes_of_other_routers_count() {
    let view = view(&[
        engine("a", "north-a", 0),
        engine("b", "north-a", 0),
        engine("far", "south-a", 0),
    ]);
    let (mut one, mut two) = (
        EngineLoadEstimator::default(),
        EngineLoadEstimator::default(),
    );
    one.apply_view(1_000, &view);
    two.apply_view(1_000, &view);
    let first = chosen(&mut one, 1_000, &view, &prompt(7, 1), &[]).expect("all are free");
    let PrefillEstimate {
        expected_ms,
        tokens,
    } = one.record_send(1_000, &first, &prompt(7, 1));
    let news = one.take_load_update(1_010);
    assert_eq!(news.loads, vec![load(&first, 1, 11_000)]);
    assert_eq!(
        news.cached_prefixes,
        vec![cached(&first, 7)],
        "the shared part, not the job's own"
    );
    assert!(one.take_load_update(1_020).is_empty(), "said once");
    two.apply_load_update(1_030, "one", &news);
    // Reading 11,000 tokens there takes a tenth of a second, less than what reading
    // the shared part again would cost.
    let warm = chosen(&mut two, 1_040, &view, &prompt(7, 2), &[]).expect("all are free");
    assert_eq!(warm, first);
    let other = chosen(&mut two, 1_040, &view, &prompt(99, 2), &[]).expect("all are free");
    assert_ne!(
        other, first,
        "what has nothing kept there goes past the queue"
    );
    one.finish_prefill(&first, tokens);
    one.record_first_event(1_100, &first, expected_ms, 100);
    one.release(&first);
    let news = one.take_load_update(1_110);
    assert_eq!(news.loads, vec![load(&first, 0, 0)]);
    // A part that is kept far away alone is worth the way.
    let mut far = EngineLoadEstimator::default();
    far.apply_view(1_000, &view);
    far.apply_load_update(
        1_000,
        "one",
        &LoadUpdate {
            loads: vec![],
            cached_prefixes: vec![cached("far", 7)],
        },
    );
    assert_eq!(
        chosen(&mut far, 1_010, &view, &prompt(7, 3), &[]).as_deref(),
        Some("far")
    );
    let long = 1_000 + 30_000;
    let near = chosen(&mut far, long, &view, &prompt(7, 3), &[]).expect("all are free");
    assert_ne!(near, "far", "what was not told of again is taken for lost");
}
