//! Selection by estimated load: where a request goes, and what engines that are warming up get.

mod common;

use common::topology;
use placement::{
    EngineLoadEstimator, EngineSelection, LoadUpdate, PrefillEstimate, SelectedEngine,
    SelectionRequest,
};
use policy::{Prompt, PromptPart};
use protocol::{CachedPrefix, EngineLoad};
use residency::{Engine, EngineState, Event, Mapping, Name, ServiceLimits, View};

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
    let mut view = topology(
        &[("north-a", "north"), ("south-a", "south")],
        &[("north-a", "north-a"), ("south-a", "south-a")],
    );
    let limits = ServiceLimits {
        service: SERVICE.into(),
        max_connections: 0,
        warm_up_requests_per_s: 17,
        warm_up_ms: 3_000,
    };
    view.apply(&Event::Services(vec![limits]));
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

fn select(
    estimator: &mut EngineLoadEstimator,
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
    match estimator.select(now, view, &mapping(), &wanted, 1, &[1]) {
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
    let mut estimator = EngineLoadEstimator::default();
    estimator.apply_view(1_000, &view);
    let first = select(&mut estimator, 1_000, &view, &prompt(7, 1), &[]).expect("all are free");
    assert_ne!(first, "far", "the own region goes first");
    let PrefillEstimate {
        expected_ms,
        tokens,
    } = estimator.record_send(1_000, &first, &prompt(7, 1));
    assert!(expected_ms > 50.0 && tokens == 11_000.0);
    estimator.finish_prefill(&first, tokens);
    estimator.record_first_event(1_100, &first, expected_ms, 100);
    estimator.release(&first);
    // Again to the engine that caches the prefix, as long as it is not busy.
    let second = select(&mut estimator, 1_200, &view, &prompt(7, 2), &[]).expect("one is free");
    assert_eq!(second, first);
    for own in 0..6 {
        estimator.record_send(1_200, &first, &prompt(9, 100 + own));
    }
    let third = select(&mut estimator, 1_200, &view, &prompt(7, 3), &[]).expect("two are free");
    assert_ne!(
        third, first,
        "a long queue of prompts outweighs a cached prefix"
    );
    assert_ne!(third, "far");
}

#[test]
fn engines_that_failed_or_were_full_are_selected_last() {
    let view = view(&[engine("a", "north-a", 0), engine("b", "north-a", 0)]);
    let mut estimator = EngineLoadEstimator::default();
    estimator.apply_view(1_000, &view);
    let (none, request) = (Vec::new(), prompt(3, 1));
    estimator.record_failure(1_000, "a");
    assert_eq!(
        select(&mut estimator, 1_001, &view, &request, &none).as_deref(),
        Some("b")
    );
    estimator.record_not_run(1_001, "b");
    let last = select(&mut estimator, 1_002, &view, &request, &none);
    assert!(
        last.is_some(),
        "one of the suspects is better than a refusal"
    );
    let tried = vec!["a".to_string(), "b".to_string()];
    assert_eq!(select(&mut estimator, 1_002, &view, &request, &tried), None);
    // It is probed when its time has come, and gets requests once a probe has reached it.
    assert!(estimator.due_probes(1_100).is_empty(), "not yet");
    let due = estimator.due_probes(3_000);
    assert_eq!(
        due.len(),
        1,
        "the one that failed, not the one that was full"
    );
    estimator.record_probe_success("a");
    assert!(estimator.due_probes(3_001).is_empty());
    // An engine that restarted is another engine; nothing is carried over.
    let mut next = view.clone();
    next.apply(&Event::EngineRemoved(Name("a".into())));
    next.apply(&Event::EngineUpdated(engine("a2", "north-a", 0)));
    assert_eq!(estimator.apply_view(1_010, &next), vec!["a".to_string()]);
    assert_eq!(
        select(&mut estimator, 1_011, &next, &request, &none).as_deref(),
        Some("a2")
    );
}

/// Guards: an engine that warms up gets no more than its warm-up rate from all routers
/// together. Every router has requests for it all the time; some see a few routers fewer.
#[test]
fn engines_keep_their_warm_up_rate_over_a_fleet() {
    for (fleet, differ) in [(1usize, 0usize), (9, 1), (74, 4)] {
        let view = view(&[engine("a", "north-a", 3_000)]);
        let peers: Vec<u64> = (1..=fleet as u64)
            .map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .collect();
        let mut routers: Vec<EngineLoadEstimator> =
            (0..fleet).map(|_| EngineLoadEstimator::default()).collect();
        routers
            .iter_mut()
            .for_each(|router| drop(router.apply_view(10_000, &view)));
        let mut started: Vec<u64> = Vec::new();
        let request = prompt(5, 1);
        for now in 10_000..13_000u64 {
            for (at, router) in routers.iter_mut().enumerate() {
                // Not all know of the newest routers.
                let known = &peers[..fleet - if at % 2 == 0 { differ } else { 0 }];
                let wanted = SelectionRequest {
                    prompt: &request,
                    prefix: 5,
                    tried: &[],
                };
                let selection = router.select(now, &view, &mapping(), &wanted, peers[at], known);
                if matches!(selection, EngineSelection::Selected(_)) {
                    router.release("a");
                    started.push(now);
                }
            }
        }
        assert!(
            started.len() >= 30,
            "{fleet}: it gets work: {}",
            started.len()
        );
        for (n, from) in started.iter().enumerate() {
            let within = started[n..]
                .iter()
                .take_while(|at| **at < from + 1_000)
                .count();
            assert!(within <= 30, "{fleet}: {within} within a second");
        }
    }
}

/// The engines of a zone that is reinstated may have gone cold; the list may not say so yet.
#[test]
fn engines_of_a_reinstated_zone_warm_up_again() {
    let mut seen = view(&[engine("a", "north-a", 0)]);
    let mut estimator = EngineLoadEstimator::default();
    estimator.apply_view(1_000, &seen);
    seen.apply(&Event::ZoneEvacuated("north-a".into()));
    estimator.apply_view(2_000, &seen);
    seen.apply(&Event::ZoneReinstated("north-a".into()));
    estimator.apply_view(9_000, &seen);
    let request = prompt(5, 1);
    let many = (0..100).filter(|_| {
        select(&mut estimator, 9_001, &seen, &request, &[])
            .map(|name| estimator.release(&name))
            .is_some()
    });
    assert_eq!(many.count(), 1, "one at a time");
    assert!(select(&mut estimator, 12_100, &seen, &request, &[]).is_some());
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

/// What routers tell each other: a request goes past an engine that another router has
/// filled, and to one whose cache another router has filled.
#[test]
fn load_and_cached_prefixes_of_other_routers_count() {
    let view = view(&[
        engine("a", "north-a", 0),
        engine("b", "north-a", 0),
        engine("far", "south-a", 0),
    ]);
    let (mut first_router, mut second_router) = (
        EngineLoadEstimator::default(),
        EngineLoadEstimator::default(),
    );
    first_router.apply_view(1_000, &view);
    second_router.apply_view(1_000, &view);
    let first = select(&mut first_router, 1_000, &view, &prompt(7, 1), &[]).expect("all are free");
    let PrefillEstimate {
        expected_ms,
        tokens,
    } = first_router.record_send(1_000, &first, &prompt(7, 1));
    let update = first_router.take_load_update(1_010);
    assert_eq!(update.loads, vec![load(&first, 1, 11_000)]);
    assert_eq!(
        update.cached_prefixes,
        vec![cached(&first, 7)],
        "the shared prefix, not the request's own part"
    );
    assert!(first_router.take_load_update(1_020).is_empty(), "sent once");
    second_router.apply_load_update(1_030, "one", &update);
    // Reading 11,000 tokens there takes a tenth of a second, less than what reading
    // the shared part again would cost.
    let warm = select(&mut second_router, 1_040, &view, &prompt(7, 2), &[]).expect("all are free");
    assert_eq!(warm, first);
    let other =
        select(&mut second_router, 1_040, &view, &prompt(99, 2), &[]).expect("all are free");
    assert_ne!(
        other, first,
        "a request without a cached prefix goes past the queue"
    );
    first_router.finish_prefill(&first, tokens);
    first_router.record_first_event(1_100, &first, expected_ms, 100);
    first_router.release(&first);
    let update = first_router.take_load_update(1_110);
    assert_eq!(update.loads, vec![load(&first, 0, 0)]);
    // A prefix that is cached in another region alone is worth the way.
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
        select(&mut far, 1_010, &view, &prompt(7, 3), &[]).as_deref(),
        Some("far")
    );
    let long = 1_000 + 30_000;
    let near = select(&mut far, long, &view, &prompt(7, 3), &[]).expect("all are free");
    assert_ne!(
        near, "far",
        "a prefix that was not sent again counts as evicted"
    );
}
