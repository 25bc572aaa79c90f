//! The last look before the first byte, at real sockets: what changes between
//! any two looks must keep the request's bytes back.

use bytes::Bytes;
use dispatch::engine_tracker::{EngineTracker, Selection};
use dispatch::{Dispatcher, RequestBody, RequestParts};
use parking_lot::Mutex;
use placement::{ExecutionOutcome, RequestEvent, RequestStateMachine};
use residency::{Cell, Engine, EngineState, Mapping, Name, TenantKey, View, Zone};
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use transport::rejection::Rejection;

const VITALS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const LINE: &str = "{\"running\":0,\"queue\":0,\"slots\":8,\"warm\":true,\"draining\":false}\n";

/// A raw engine: says these vitals, and keeps every byte of every request.
async fn engine(line: &'static str) -> (SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound");
    let kept = Arc::new(Mutex::new(Vec::new()));
    let all = Arc::clone(&kept);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let kept = Arc::clone(&all);
            tokio::spawn(async move {
                let mut bytes = vec![0; 4096];
                let Ok(length) = stream.read(&mut bytes).await else {
                    return;
                };
                let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
                if text.starts_with("GET /vitals") {
                    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
                    let mut said = stream.write_all(VITALS.as_bytes()).await;
                    while said.is_ok() {
                        said = stream.write_all(chunk.as_bytes()).await;
                        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                    }
                    return;
                }
                kept.lock().extend_from_slice(&bytes[..length]);
                // All of it: what is left unread would turn the closing into a
                // reset.
                while !kept.lock().ends_with(b"}") {
                    let Ok(length @ 1..) = stream.read(&mut bytes).await else {
                        return;
                    };
                    kept.lock().extend_from_slice(&bytes[..length]);
                }
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                drop(stream.write_all(answer.as_bytes()).await);
            });
        }
    });
    (address, kept)
}

fn view(address: SocketAddr) -> View {
    let zone = |name: &str, region: &str| Zone {
        name: name.into(),
        region: region.into(),
    };
    let cell = |name: &str, zone: &str| Cell {
        name: name.into(),
        zone: zone.into(),
    };
    let mut view = View::default();
    view.apply(&residency::Event::Topology {
        zones: vec![zone("north-a", "north")],
        cells: vec![cell("north-1", "north-a")],
    });
    view.apply(&residency::Event::KeyAdded(TenantKey {
        digest: "digest".into(),
        tenant: "ana".into(),
    }));
    view.apply(&residency::Event::EngineUpdated(Engine {
        name: "engine-1".into(),
        address: address.to_string(),
        cell: "north-1".into(),
        services: vec![Name("writer".into())],
        slots: 8,
        state: EngineState::Serving,
        warm_up_ms: 0,
    }));
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

type Change = fn(&watch::Sender<Arc<View>>, SocketAddr);

fn after(change: impl Fn(&mut View), views: &watch::Sender<Arc<View>>) {
    let mut view = (**views.borrow()).clone();
    change(&mut view);
    views.send_replace(Arc::new(view));
}

/// Guards: `not-run` is true; no work for a leaving engine, an evacuated zone,
/// or by a key that is gone; homes. The change comes in the moment after the
/// first look, as it does for a process that freezes there and wakes: once right
/// after it, and once in the very call that would hand the first byte over.
#[tokio::test(flavor = "multi_thread")]
async fn what_changes_after_the_look_keeps_the_first_byte_back() {
    let cases: Vec<(&str, Change)> = vec![
        ("nothing", |_, _| {}),
        ("the key is gone", |views, _| {
            after(
                |view| view.apply(&residency::Event::KeyRemoved(Name("digest".into()))),
                views,
            );
        }),
        ("the zone is evacuated", |views, _| {
            after(
                |view| view.apply(&residency::Event::ZoneEvacuated(Name("north-a".into()))),
                views,
            );
        }),
        ("the engine drains", |views, address| {
            let engine = Engine {
                name: "engine-1".into(),
                address: address.to_string(),
                cell: "north-1".into(),
                services: vec![Name("writer".into())],
                slots: 8,
                state: EngineState::Draining,
                warm_up_ms: 0,
            };
            after(
                |view| view.apply(&residency::Event::EngineUpdated(engine.clone())),
                views,
            );
        }),
        ("the engine is gone", |views, _| {
            after(
                |view| view.apply(&residency::Event::EngineRemoved(Name("engine-1".into()))),
                views,
            );
        }),
        ("its cell is in another region", |views, _| {
            let zone = |name: &str, region: &str| Zone {
                name: name.into(),
                region: region.into(),
            };
            let cell = |name: &str, zone: &str| Cell {
                name: name.into(),
                zone: zone.into(),
            };
            let places = residency::Event::Topology {
                zones: vec![zone("north-a", "south")],
                cells: vec![cell("north-1", "north-a")],
            };
            after(|view| view.apply(&places), views);
        }),
    ];
    for (name, change) in cases {
        for at in 1..=2 {
            let (address, kept) = engine(LINE).await;
            let (views, view_out) = watch::channel(Arc::new(view(address)));
            let views = Arc::new(views);
            let source: SocketAddr = "127.0.0.1:0".parse().expect("an address");
            let engine_tracker = EngineTracker::by_health(source, Box::new(Vec::new));
            tokio::spawn(Arc::clone(&engine_tracker).run(view_out.clone()));
            let looks = Arc::new(AtomicUsize::new(0));
            let (looked, changing) = (Arc::clone(&looks), Arc::clone(&views));
            let dispatcher = Dispatcher {
                source,
                slot_wait_ms: 0,
                engine_tracker: Arc::clone(&engine_tracker),
                view: view_out,
                metrics: Default::default(),
                retry_budget: Box::new(|_| false),
                // Asked last in each look: what it changes is seen by the next.
                permit: Arc::new(move |_| {
                    if looked.fetch_add(1, Ordering::SeqCst) + 1 == at {
                        change(&changing, address);
                    }
                    Ok::<(), Rejection>(())
                }),
                end_stalled_uploads: Box::new(|| false),
                options: Default::default(),
                connections: Default::default(),
            };
            let mapping = mapping();
            let patience = std::time::Duration::from_secs(30);
            testbed::fleet::wait_until(patience, "vitals", async || {
                let value = engine_tracker.to_json(0.8).encode();
                anyhow::ensure!(value.contains("\"running\":0"), "{value}");
                Ok(())
            })
            .await
            .expect("the engine is heard");
            let mut job = RequestStateMachine::new(false);
            for event in [
                RequestEvent::RoutingKeyExtracted,
                RequestEvent::MappingResolved,
            ] {
                job.apply(event).expect("the way there is allowed");
            }
            let parts = RequestParts {
                id: "j-1".into(),
                method: http::Method::POST,
                target: "/app/write".into(),
                headers: Default::default(),
                key_digest: "digest".into(),
                deadline_ms: transport::now() + 20_000,
                prompt: Default::default(),
                urgency: None,
                latency_slo_ms: 0,
            };
            let mut carried = RequestBody::new(Bytes::from_static(b"{\"prompt\":\"x\"}"), None);
            let answer = dispatcher
                .dispatch(&mut job, &parts, &mut carried, &mapping, 7)
                .await;
            let bytes = kept.lock().len();
            // A change after the second look comes too late: the look and the
            // handing over are one call.
            if name == "nothing" || at == 2 {
                assert!(answer.is_ok() && bytes > 0, "{name}, look {at}");
                assert_eq!(looks.load(Ordering::SeqCst), 2, "{name}: two looks");
                continue;
            }
            let refusal = answer.err().expect("it is refused");
            assert_eq!(
                refusal.outcome,
                ExecutionOutcome::NotRun,
                "{name}: {}",
                refusal.text
            );
            assert_eq!(bytes, 0, "{name}: not a byte reached the engine");
            assert!(carried.is_intact(), "{name}");
        }
    }
}

/// A cold engine that says nothing of its clock is not left without work; one
/// whose places belong to other routers gets none from here.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_engine_without_a_clock_gets_work() {
    const COLD: &str =
        "{\"running\":0,\"queue\":0,\"slots\":8,\"warm\":false,\"draining\":false}\n";
    let (address, _kept) = engine(COLD).await;
    let (views, view_out) = watch::channel(Arc::new(view(address)));
    let source: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let alone = EngineTracker::by_health(source, Box::new(|| vec![1]));
    let nobody = EngineTracker::by_health(source, Box::new(Vec::new));
    for engine_tracker in [&alone, &nobody] {
        tokio::spawn(Arc::clone(engine_tracker).run(view_out.clone()));
    }
    let patience = std::time::Duration::from_secs(30);
    testbed::fleet::wait_until(patience, "a place", async || {
        let view = views.borrow().clone();
        let prompt = Default::default();
        let wanted = placement::SelectionRequest {
            prompt: &prompt,
            prefix: 7,
            tried: &[],
        };
        let is_refused = !matches!(
            nobody.select_engine(&view, &mapping(), &wanted),
            Selection::Engine(_)
        );
        assert!(is_refused, "a process that has no place began work");
        let elected = alone.select_engine(&view, &mapping(), &wanted);
        anyhow::ensure!(matches!(elected, Selection::Engine(_)), "none yet");
        Ok(())
    })
    .await
    .expect("it gets work");
}
