//! A control node without its majority, as real processes: operators, routers and
//! forwarded requests on its side are served nothing old, and nothing is refused for
//! good or confirmed by it alone. Everything waits on events.

mod common;

use common::*;
use nix::sys::signal::Signal;
use protocol::{
    ForwardedRequest, Frame, Header, LookupResponse, RouterAvailability, RouterDemand, RouterStatus,
};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::net::SocketAddr;
use std::time::Duration;
use testbed::fleet::{wait_until, Fleet, Process, ProcessKind};
use transport::http_client;
use transport::link;

const ANA: &str = "ana-key-0001";

/// One call to a node's operator API, with whatever status.
async fn call_operator_api(
    operator_address: SocketAddr,
    method: &str,
    path: &str,
    body: &OwnedValue,
) -> anyhow::Result<(u16, OwnedValue)> {
    let text = if body.is_null() {
        String::new()
    } else {
        body.encode()
    };
    let patience = Duration::from_secs(12);
    let (status, bytes) =
        http_client::send_request(operator_address, method, path, &[], text.into(), patience)
            .await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok((
        status,
        residency::parse_json(&text).map_err(anyhow::Error::msg)?,
    ))
}

async fn get(operator_address: SocketAddr, path: &str) -> (u16, OwnedValue) {
    call_operator_api(operator_address, "GET", path, &OwnedValue::null())
        .await
        .expect("it answers")
}

async fn submit(operator_address: SocketAddr, body: OwnedValue) -> (u16, OwnedValue) {
    call_operator_api(operator_address, "POST", "/submit", &body)
        .await
        .expect("it answers")
}

fn number(value: &OwnedValue, field: &str) -> u64 {
    value
        .get(field)
        .and_then(|value| value.as_u64())
        .unwrap_or(0)
}

fn is_set(value: &OwnedValue, field: &str) -> bool {
    value.get(field).and_then(|value| value.as_bool()) == Some(true)
}

fn names(fleet: &Fleet, kind: ProcessKind) -> Vec<String> {
    fleet
        .of(kind)
        .iter()
        .map(|process| process.name.clone())
        .collect()
}

async fn leader_but(fleet: &Fleet, cut: &str) -> String {
    let mut found = String::new();
    wait_until(PATIENCE, "another leader", async || {
        for node in fleet
            .of(ProcessKind::Directory)
            .iter()
            .filter(|node| node.name != cut)
        {
            if is_set(&get(node.operator_address(), "/status").await.1, "leads") {
                found = node.name.clone();
                return Ok(());
            }
        }
        anyhow::bail!("none yet")
    })
    .await
    .expect("the others elect");
    found
}

async fn is_no_longer_recent(operator_address: SocketAddr) {
    wait_until(PATIENCE, "the end of its lease", async || {
        anyhow::ensure!(
            !is_set(&get(operator_address, "/vitals").await.1, "recent"),
            "it is recent"
        );
        Ok(())
    })
    .await
    .expect("its lease ends");
}

/// Operators on the side of a node without a majority: whatever they ask for is
/// refused for now, with no old document, no refusal for good and no word.
async fn serves_no_operator(operator_address: SocketAddr, mark: &str) {
    let order = |name: &str, order: OwnedValue| {
        let mut order = order;
        order
            .insert("id", format!("{mark}-{name}"))
            .expect("an object");
        submit(operator_address, order)
    };
    // All at once: at first the node may still believe that it leads.
    let (book, taken, back, unknown, based) = tokio::join!(
        get(operator_address, "/book"),
        order("taken", json!({ "do": "evacuate", "zone": "west-a" })),
        order("back", json!({ "do": "give-back", "zone": "south-a" })),
        // By what this node knows there is no such zone; the others know it.
        order("unknown", json!({ "do": "evacuate", "zone": "east-a" })),
        order(
            "based",
            json!({ "do": "evacuate", "zone": "north-a", "base": 1 })
        ),
    );
    for (status, answer) in [book, taken, back, unknown, based] {
        assert_eq!(status, 503, "{mark}: {answer}");
    }
}

/// Guards: a leader that is partitioned in either direction or both hands out no old
/// document, refuses nothing for good by what it knew, and confirms nothing, also
/// when it is restarted meanwhile; when it is back it holds what the majority
/// agreed on.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_leader_serves_no_operator() {
    let (_folder, mut fleet) = start_fleet_with_relays("cut-leader").await;
    for (round, (outward, inward)) in [(true, true), (true, false), (false, true)]
        .into_iter()
        .enumerate()
    {
        let old = fleet.leader().await.expect("somebody leads");
        let operator_address = fleet.get(&old).operator_address();
        fleet
            .partition(std::slice::from_ref(&old), outward, inward)
            .expect("it is cut");
        // At once, while it may still believe that it leads.
        serves_no_operator(operator_address, &format!("first-{round}")).await;

        let leader = leader_but(&fleet, &old).await;
        let zone = format!("east-{round}");
        let book = json!({ "zones": { "east-a": { "region": "east" }, (zone.as_str()): { "region": "east" } } });
        let order =
            json!({ "do": "revise", "whole": false, "book": book, "id": format!("r-{round}") });
        let (status, answer) = submit(fleet.get(&leader).operator_address(), order).await;
        assert_eq!(status, 200, "{answer}");
        let epoch = number(&answer, "epoch");
        serves_no_operator(operator_address, &format!("second-{round}")).await;

        fleet.kill(&old);
        fleet.start(&old).expect("it starts");
        wait_until(PATIENCE, "its desk", async || {
            let (_, vitals) =
                call_operator_api(operator_address, "GET", "/vitals", &OwnedValue::null()).await?;
            assert!(
                !is_set(&vitals, "recent"),
                "a new process has no lease: {vitals}"
            );
            Ok(())
        })
        .await
        .expect("its desk is back");
        serves_no_operator(operator_address, &format!("third-{round}")).await;

        fleet.network.as_ref().expect("it has relays").heal();
        wait_until(PATIENCE, "the document that the others hold", async || {
            let (status, book) = get(operator_address, "/book").await;
            anyhow::ensure!(status == 200, "{status}: {book}");
            assert!(
                number(&book, "epoch") >= epoch,
                "it handed out an old document: {book}"
            );
            assert!(book.encode().contains(&zone), "{book}");
            Ok(())
        })
        .await
        .expect("it is read back");
    }
    let mut books = Vec::new();
    for operator_address in fleet.operator_addresses() {
        let (status, book) = get(operator_address, "/book").await;
        assert_eq!(status, 200, "{book}");
        books.push(book.get("book").expect("the document").encode());
    }
    assert!(books.iter().all(|book| *book == books[0]), "{books:?}");
}

/// Guards: a leader whose followers have just fallen silent, and which still leads
/// by its own belief, refuses nothing for good; a refusal is decided where it is
/// applied, so it is never a leader's own.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_takes_a_majority() {
    let (_folder, fleet) = start_fleet("refusal").await;
    let unknown = |id: &str| json!({ "do": "evacuate", "zone": "nowhere", "id": id });
    let leader = fleet.leader().await.expect("somebody leads");
    let operator_address = fleet.get(&leader).operator_address();
    let before = number(&get(operator_address, "/status").await.1, "commit");
    let (status, answer) = submit(operator_address, unknown("with-all")).await;
    assert_eq!(status, 422, "{answer}");
    wait_until(PATIENCE, "the entry that decides", async || {
        let after = number(&get(operator_address, "/status").await.1, "commit");
        anyhow::ensure!(after > before, "{before}, {after}");
        Ok(())
    })
    .await
    .expect("an entry decides");

    let followers: Vec<String> = names(&fleet, ProcessKind::Directory)
        .into_iter()
        .filter(|name| *name != leader)
        .collect();
    for name in &followers {
        fleet.signal(name, Signal::SIGSTOP).expect("it freezes");
    }
    let (status, answer) = submit(operator_address, unknown("alone")).await;
    assert_eq!(status, 503, "{answer}");
    for name in &followers {
        fleet.signal(name, Signal::SIGCONT).expect("it goes on");
    }
    wait_until(PATIENCE, "a clear refusal", async || {
        let (status, answer) = submit(operator_address, unknown("with-all-again")).await;
        anyhow::ensure!(status == 422, "{status}: {answer}");
        Ok(())
    })
    .await
    .expect("a majority refuses it");
}

/// Guards: a node that is partitioned from the other control nodes alone resolves no
/// key for routers and no forwarded request once its lease has ended, also not one
/// whose body was under way; routers beside it go elsewhere and serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_majority_resolves_nothing() {
    let (_folder, fleet) = start_fleet_with_relays("resolve").await;
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let cut = fleet.leader().await.expect("somebody leads");
    let (operator_address, address) = (
        fleet.get(&cut).operator_address(),
        fleet.get(&cut).address(),
    );

    let dial = async |kind| {
        link::dial(source, address, kind, "probe")
            .await
            .expect("it listens")
    };
    let mut job = dial(protocol::ConnectionKind::Forwarding).await;
    let welcome = link::receive(&mut job, protocol::MAX_FRAME_BYTES)
        .await
        .expect("a frame");
    assert_eq!(welcome, Some(Frame::Ready));
    let header = |name: &str, value: &str| Header {
        name: name.into(),
        value: value.into(),
    };
    let head = ForwardedRequest {
        id: "under-way".into(),
        method: "POST".into(),
        target: "/app/write".into(),
        headers: vec![header("x-tenant-key", ANA), header("x-model", "writer")],
        client_region: "north".into(),
        epoch: 0,
        remaining_ms: 30_000,
        is_quota_charged: true,
    };
    link::send(&mut job, &Frame::RequestHead(head))
        .await
        .expect("it is sent");

    let network = fleet.network.as_ref().expect("it has relays");
    for other in fleet
        .of(ProcessKind::Directory)
        .iter()
        .filter(|other| other.name != cut)
    {
        network.cut([
            (fleet.get(&cut).ip, other.ip),
            (other.ip, fleet.get(&cut).ip),
        ]);
    }
    is_no_longer_recent(operator_address).await;

    link::send(&mut job, &Frame::RequestBody(br#"{"prompt":"x"}"#.to_vec()))
        .await
        .expect("it is sent");
    link::send(&mut job, &Frame::RequestEnd)
        .await
        .expect("it is sent");
    match link::receive(&mut job, protocol::MAX_FRAME_BYTES)
        .await
        .expect("a frame")
    {
        Some(Frame::Rejected {
            code,
            not_run: true,
            ..
        }) => assert_eq!(code, "no-lease"),
        other => panic!("a job is mapped by old state: {other:?}"),
    }

    let mut session = dial(protocol::ConnectionKind::RouterSession).await;
    let subscribe = Frame::Subscribe {
        cluster: 0,
        epoch: 0,
    };
    link::send(&mut session, &subscribe)
        .await
        .expect("it is sent");
    let resolve = Frame::LookupRequest {
        request_id: 1,
        tenant: "ana".into(),
        service: "writer".into(),
        region: "north".into(),
    };
    link::send(&mut session, &resolve)
        .await
        .expect("it is sent");
    loop {
        match link::receive(&mut session, protocol::MAX_FRAME_BYTES)
            .await
            .expect("a frame")
        {
            Some(Frame::LookupResponse {
                response: answer, ..
            }) => break assert_eq!(answer, LookupResponse::Unavailable),
            Some(Frame::Lease { .. }) => panic!("it gives a lease"),
            Some(_) => {}
            None => panic!("it closed"),
        }
    }
    for (round, router) in fleet.of(ProcessKind::Router).iter().enumerate() {
        wait_for_service(router.client_address(), ANA, &format!("elsewhere-{round}")).await;
    }
}

/// How a node falls behind with what it reads.
#[derive(Clone, Copy, PartialEq)]
enum Silence {
    /// The process stands still; its sockets fill up.
    Frozen,
    /// The network hands over what was sent when it is whole again.
    Cut,
}

/// Guards: a node that stood still and finds the heartbeats of a router that ended
/// meanwhile in its sockets does not name it again, here or at the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_wakes_names_no_router_that_is_gone() {
    let (_folder, fleet) = start_fleet("wakes").await;
    names_no_router_that_is_gone(fleet, Silence::Frozen).await;
}

/// Guards: the same of heartbeats that a cut network held back.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_was_cut_off_names_no_router_that_is_gone() {
    let (_folder, fleet) = start_fleet_with_relays("late").await;
    // Late is what was sent on connections that lease_grace the cut.
    fleet
        .network
        .as_ref()
        .expect("it has relays")
        .drop_new_connections();
    names_no_router_that_is_gone(fleet, Silence::Cut).await;
}

/// The control node of a router's session, by its address.
async fn session_of(fleet: &Fleet, router: &str) -> anyhow::Result<String> {
    let vitals = call_operator_api(
        fleet.get(router).operator_address(),
        "GET",
        "/vitals",
        &OwnedValue::null(),
    )
    .await?
    .1;
    let address = vitals.get("session").and_then(|address| address.as_str());
    address
        .map(String::from)
        .ok_or(anyhow::anyhow!("it has no session: {vitals}"))
}

/// What a router that tries this node sends: the kernel takes the connection and
/// the heartbeat for a process that stands still.
async fn beat_once(fleet: &Fleet, router: &str, node: SocketAddr) {
    let router = fleet.get(router);
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let dialled = link::dial(
        source,
        node,
        protocol::ConnectionKind::RouterSession,
        &router.name,
    )
    .await;
    let mut stream = dialled.expect("the kernel takes it");
    let subscribe = Frame::Subscribe {
        cluster: 0,
        epoch: 0,
    };
    link::send(&mut stream, &subscribe)
        .await
        .expect("it is sent");
    let front = RouterStatus {
        name: router.name.clone(),
        region: router.region.clone(),
        zone: router.zone.clone(),
        client_address: router.client_address().to_string(),
        peer_address: router.address().to_string(),
        epoch: 1,
        age_ms: 0,
        availability: RouterAvailability::Ready,
    };
    let demand = RouterDemand {
        router: router.name.clone(),
        incarnation: 1,
        heartbeat: 1,
        incarnation_age_ms: 1_000,
        demands: Vec::new(),
    };
    link::send(
        &mut stream,
        &Frame::Heartbeat {
            router: front,
            demand,
        },
    )
    .await
    .expect("the kernel takes it");
}

/// Starts a router anew until its session is with a follower: one with the leader
/// would be tried again while the others elect.
async fn session_with_a_follower(fleet: &mut Fleet, router: &str) -> String {
    let leader = fleet.leader().await.expect("somebody leads");
    let leader = fleet.get(&leader).address().to_string();
    loop {
        wait_for_service(fleet.get(router).client_address(), ANA, "before").await;
        let address = session_of(fleet, router).await.expect("it has a session");
        if address != leader {
            return address;
        }
        fleet.kill(router);
        fleet.start(router).expect("it starts");
    }
}

async fn names_no_router_that_is_gone(mut fleet: Fleet, silence: Silence) {
    let gone = "router-3";
    let first = match silence {
        Silence::Frozen => session_of(&fleet, gone).await.expect("it has a session"),
        Silence::Cut => session_with_a_follower(&mut fleet, gone).await,
    };
    let is_first = |node: &&&Process| node.address().to_string() == first;
    let nodes = fleet.of(ProcessKind::Directory);
    let node = nodes
        .iter()
        .find(is_first)
        .expect("one of the nodes")
        .name
        .clone();
    match silence {
        Silence::Frozen => fleet.signal(&node, Signal::SIGSTOP),
        Silence::Cut => fleet.partition(std::slice::from_ref(&node), true, true),
    }
    .expect("it falls silent");
    wait_until(PATIENCE, "a session elsewhere", async || {
        let now = session_of(&fleet, gone).await?;
        anyhow::ensure!(now != first, "{now}");
        Ok(())
    })
    .await
    .expect("the router goes elsewhere");
    wait_for_service(fleet.get(gone).client_address(), ANA, "elsewhere").await;
    if silence == Silence::Frozen {
        beat_once(&fleet, gone, fleet.get(&node).address()).await;
    }
    fleet.kill(gone);

    let operator_address = fleet.get(&node).operator_address();
    let others: Vec<SocketAddr> = fleet
        .operator_addresses()
        .into_iter()
        .filter(|other| *other != operator_address)
        .collect();
    let names_it = async |operator_address: SocketAddr| {
        let (_, status) = get(operator_address, "/status").await;
        let routers = status
            .get("routers")
            .and_then(|list| list.as_array())
            .expect("a list");
        let is_it =
            |router: &OwnedValue| router.get("name").and_then(|name| name.as_str()) == Some(gone);
        let is_named = routers.iter().any(is_it);
        is_named
    };
    wait_until(PATIENCE, "the router's end", async || {
        let running = match silence {
            Silence::Frozen => &others[..],
            Silence::Cut => &fleet.operator_addresses()[..],
        };
        for operator_address in running {
            anyhow::ensure!(!names_it(*operator_address).await, "it is named");
        }
        Ok(())
    })
    .await
    .expect("it is forgotten");

    match silence {
        Silence::Frozen => fleet.signal(&node, Signal::SIGCONT).expect("it goes on"),
        Silence::Cut => fleet.network.as_ref().expect("it has relays").heal(),
    }
    let mut looks = 0;
    wait_until(PATIENCE, "looks at all nodes", async || {
        for operator_address in fleet.operator_addresses() {
            assert!(
                !names_it(operator_address).await,
                "a router that is gone is named again at {operator_address}"
            );
        }
        looks += usize::from(is_set(&get(operator_address, "/vitals").await.1, "recent"));
        anyhow::ensure!(looks > 20, "{looks}");
        Ok(())
    })
    .await
    .expect("the node has caught up");
}
