//! The ordinary path, by a small fleet of real processes.

mod common;

use common::*;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::time::Duration;
use testbed::client::{send_request, ClientOutcome, ClientRequest};
use testbed::fleet::{operator_request, wait_until, DeploymentSpec, Fleet, ProcessKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test(flavor = "multi_thread")]
async fn a_miss_goes_through_the_directory_and_a_fresh_hit_does_not() {
    let (_folder, fleet) = start_fleet("path").await;
    let router_address = fleet.get("router-1").client_address();
    let count = async |kind, name: &str| fleet.count(kind, name).await.expect("counters are told");

    let (first, _) = complete_response(
        router_address,
        &prompt("j-1", "ana-key-0001", "once upon a time"),
    )
    .await;
    assert_eq!(
        count(ProcessKind::Router, "forwards").await,
        1,
        "the first is a miss"
    );
    assert_eq!(count(ProcessKind::Directory, "jobs-forwarded").await, 1);
    let resolves = count(ProcessKind::Directory, "resolves").await;
    for n in 2..12 {
        let request = prompt(&format!("j-{n}"), "ana-key-0001", "once upon a time");
        let (engine, is_warm) = complete_response(router_address, &request).await;
        assert_eq!(engine, first, "the prefix keeps to its engine");
        assert!(is_warm);
    }
    assert_eq!(
        count(ProcessKind::Router, "own-fresh").await,
        10,
        "the rest are fresh hits"
    );
    assert_eq!(
        count(ProcessKind::Directory, "jobs-forwarded").await,
        1,
        "no directory call for a hit"
    );
    assert_eq!(
        count(ProcessKind::Directory, "resolves").await,
        resolves,
        "nor a question"
    );

    // The other router of the region has it from the shared layer.
    fleet
        .shared(1)
        .await
        .expect("the mapping is in the shared layer");
    let other = fleet.get("router-2").client_address();
    complete_response(other, &prompt("j-20", "ana-key-0001", "once upon a time")).await;
    assert_eq!(count(ProcessKind::Router, "shared-fresh").await, 1);
    assert_eq!(count(ProcessKind::Directory, "jobs-forwarded").await, 1);

    // A key in the body, a plain service, a router with no directory of its
    // own homes' region but its own.
    let form = ClientRequest {
        id: "j-30".into(),
        method: "POST".into(),
        target: "/form/write".into(),
        headers: Vec::new(),
        body: br#"{"prompt":"a form","key":"ben-key-0002","model":"writer"}"#.to_vec(),
    };
    let (engine, _) = complete_response(fleet.get("router-3").client_address(), &form).await;
    assert_eq!(engine, "engine-3", "ben lives in the south first");
    let thumb = ClientRequest {
        id: "j-31".into(),
        method: "GET".into(),
        target: "/shop/ben-key-0002/p.png".into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    complete_response(router_address, &thumb).await;

    assert_eq!(
        rejection(router_address, &prompt("j-40", "nobody", "x")).await,
        not_run(401, "unknown-key")
    );
    // Guards: a prompt with a home never leaves it. Pictures are served in the
    // south alone, and ana lives in the north.
    let away = ClientRequest {
        target: "/shop/ana-key-0001/p.png".into(),
        id: "j-41".into(),
        ..thumb
    };
    assert_eq!(
        rejection(router_address, &away).await,
        not_run(503, "no-place")
    );

    // Evacuating the only home leaves nowhere to go.
    let epoch = fleet
        .submit(json!({ "do": "evacuate", "zone": "north-a" }))
        .await
        .expect("taken");
    fleet
        .in_force(epoch, Duration::from_secs(20))
        .await
        .expect("in force");
    let (status, outcome, _) =
        rejection(router_address, &prompt("j-50", "ana-key-0001", "x")).await;
    assert_eq!((status, outcome.as_str()), (503, "not-run"));
    let epoch = fleet
        .submit(json!({ "do": "give-back", "zone": "north-a" }))
        .await
        .expect("taken");
    fleet
        .in_force(epoch, Duration::from_secs(20))
        .await
        .expect("in force");
    complete_response(
        router_address,
        &prompt("j-51", "ana-key-0001", "once upon a time"),
    )
    .await;
}

/// A key past the cap: the whole request goes to a directory node, which looks
/// further. A body past its bound goes nowhere.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies() {
    let (_folder, fleet) = start_fleet("long").await;
    let router_address = fleet.get("router-1").client_address();
    let form = |id: &str, length: usize| ClientRequest {
        id: id.into(),
        method: "POST".into(),
        target: "/form/write".into(),
        headers: Vec::new(),
        body: format!(
            r#"{{"prompt":"{}","key":"ana-key-0001","model":"writer"}}"#,
            "x".repeat(length)
        )
        .into_bytes(),
    };
    complete_response(router_address, &form("j-1", 200_000)).await;
    assert_eq!(
        fleet
            .count(ProcessKind::Router, "unkeyed")
            .await
            .expect("counters"),
        1
    );
    assert_eq!(
        rejection(router_address, &form("j-2", 1_200_000)).await,
        not_run(401, "no-key")
    );
    // Announced as too long, it is refused before a byte of it is read.
    let mut stream = tokio::net::TcpStream::connect(router_address)
        .await
        .expect("it listens");
    let head = "POST /form/write HTTP/1.1\r\nhost: x\r\ncontent-length: 17000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let mut answer = vec![0; 1024];
    let length = stream.read(&mut answer).await.expect("it answers");
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(
        answer.starts_with("HTTP/1.1 413") && answer.contains("not-run"),
        "{answer}"
    );
    // A key in the head: the rest of a long body streams by.
    let mut long = prompt("j-4", "ana-key-0001", &"y".repeat(3_000_000));
    complete_response(router_address, &long).await;
    long.id = "j-5".into();
    complete_response(router_address, &long).await;
    let bad = ClientRequest {
        body: b"{\"key\": nonsense".to_vec(),
        ..form("j-6", 0)
    };
    assert_eq!(
        rejection(router_address, &bad).await,
        not_run(401, "no-key")
    );
    for request in ["j-2", "j-6"] {
        assert!(
            engine_events(&fleet, request).is_empty(),
            "{request} reached an engine"
        );
    }
}

/// The miss path at its edges, with one node that takes one request at a time, a
/// router that is quick to give slow bodies up, and mappings that are stale at
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn the_miss_path_at_its_edges() {
    let folder = Folder::new("edges");
    let text = DEPLOYMENT.replace(r#""ana": { "homes""#, r#""ana": { "fresh": "1ms", "homes""#);
    let spec = DeploymentSpec::parse(&text).expect("the shape reads");
    let mut fleet = Fleet::new(spec, &folder.0).expect("a fleet is laid out");
    let set = |fleet: &mut Fleet, name: &str, args: &[&str]| {
        let args = args.iter().map(|arg| arg.to_string()).collect();
        fleet.processes.get_mut(name).expect("it is there").args = args;
    };
    set(&mut fleet, "directory-1", &["--jobs", "1"]);
    set(&mut fleet, "router-2", &["--head-ms", "50"]);
    set(&mut fleet, "router-3", &["--jobs", "1"]);
    for name in ["engine-1", "engine-2"] {
        set_chunk_ms(&mut fleet, name, 120);
    }
    fleet.bootstrap().await.expect("the fleet comes up");
    let router_address = fleet.get("router-1").client_address();
    let count = async |name: &str| fleet.count(ProcessKind::Router, name).await.expect("told");

    // Stale at once: routed by what is known, refreshed behind, no forward.
    for n in 0..3 {
        complete_response(
            router_address,
            &prompt(&format!("s-{n}"), "ana-key-0001", "once upon a time"),
        )
        .await;
    }
    assert_eq!(count("forwards").await, 1);
    wait_until(Duration::from_secs(20), "a refresh", async || {
        anyhow::ensure!(
            fleet.count(ProcessKind::Router, "refreshes").await? >= 1,
            "none yet"
        );
        Ok(())
    })
    .await
    .expect("it is refreshed behind");

    // Never fresh: every request is forwarded. A node at its budget hands back.
    let change = json!({ "do": "move", "tenant": "ana", "service": "writer", "cell": "north-1" });
    let epoch = fleet.submit(change).await.expect("taken");
    fleet
        .in_force(epoch, Duration::from_secs(20))
        .await
        .expect("in force");
    let requests: Vec<_> = (0..4)
        .map(|n| {
            let request = prompt(&format!("m-{n}"), "ana-key-0001", &format!("a tale {n}"));
            tokio::spawn(async move { complete_response(router_address, &request).await })
        })
        .collect();
    for request in requests {
        request.await.expect("all are answered");
    }
    assert!(count("handed-back").await + count("joined").await >= 1);

    // A deadline that passes at a frozen engine: it may have run. Where the
    // engines' silence was noticed first, it has not.
    for name in ["engine-1", "engine-2"] {
        fleet
            .signal(name, nix::sys::signal::Signal::SIGSTOP)
            .expect("it freezes");
    }
    let mut late = prompt("d-1", "ana-key-0001", "a long tale, with little time");
    late.headers.push(("x-deadline-ms".into(), "300".into()));
    let (status, outcome, code) = rejection(router_address, &late).await;
    assert!(
        matches!(
            (status, outcome.as_str()),
            (504, "unknown") | (503 | 504, "not-run")
        ),
        "{status} {outcome} {code}"
    );
    for name in ["engine-1", "engine-2"] {
        fleet
            .signal(name, nix::sys::signal::Signal::SIGCONT)
            .expect("it wakes");
    }
    wait_for_service(router_address, "ana-key-0001", "again").await;
    if outcome == "not-run" {
        assert!(engine_events(&fleet, "d-1")
            .iter()
            .all(|event| !event.starts_with("begun")));
    }

    // A body that does not come is given up, and reaches nobody.
    let mut stream = tokio::net::TcpStream::connect(fleet.get("router-2").client_address())
        .await
        .expect("up");
    let head = "POST /form/write HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{\"prompt\":";
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let mut answer = vec![0; 1024];
    let length = stream.read(&mut answer).await.expect("it answers");
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(
        answer.starts_with("HTTP/1.1 408") && answer.contains("not-run"),
        "{answer}"
    );

    // A router at its bound of requests says so, and takes the next one after.
    let router = fleet.get("router-3");
    let mut stream = tokio::net::TcpStream::connect(router.client_address())
        .await
        .expect("up");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    wait_until(PATIENCE, "the job", async || {
        let vitals = operator_request(
            router.operator_address(),
            "GET",
            "/vitals",
            &OwnedValue::null(),
        )
        .await?;
        let under_way = vitals.get("under_way").and_then(|v| v.as_u64());
        anyhow::ensure!(under_way == Some(1), "{under_way:?}");
        Ok(())
    })
    .await
    .expect("it is under way");
    let second = prompt("f-1", "ben-key-0002", "x");
    assert_eq!(
        rejection(router.client_address(), &second).await,
        not_run(503, "router-full")
    );
    drop(stream);
    wait_for_service(router.client_address(), "ben-key-0002", "f").await;

    // With no node left that may see the body, the key goes alone.
    fleet.kill("directory-1");
    wait_for_service(router_address, "ana-key-0001", "alone").await;
    assert!(
        fleet
            .count(ProcessKind::Router, "key-only")
            .await
            .expect("told")
            >= 1
    );
}

/// Guards: a tenant gets not much past its quota, and one within it is not
/// refused, though its clients come by several routers and the leader falls.
#[tokio::test(flavor = "multi_thread")]
async fn quotas_hold_over_all_routers() {
    let folder = Folder::new("quota");
    let spec = DeploymentSpec::parse(DEPLOYMENT).expect("the shape reads");
    let mut fleet = Fleet::new(spec, &folder.0).expect("a fleet is laid out");
    // However long an election takes on a busy machine.
    for name in ["router-1", "router-2", "router-3"] {
        let args = ["--quota-ms", "30000"].map(String::from).to_vec();
        fleet.processes.get_mut(name).expect("it is there").args = args;
    }
    fleet.bootstrap().await.expect("the fleet comes up");
    let terms = json!({ "do": "revise", "whole": false, "book": { "tenants": {
        "ana": { "pace": 1, "burst": 5 }, "ben": { "pace": 500, "burst": 500 },
    } } });
    let epoch = fleet.submit(terms).await.expect("taken");
    fleet.in_force(epoch, PATIENCE).await.expect("in force");
    let router_addresses: Vec<_> = fleet
        .of(ProcessKind::Router)
        .iter()
        .map(|router| router.client_address())
        .collect();
    let begun = std::time::Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    for n in 0..60 {
        let router_address = router_addresses[n % router_addresses.len()];
        for (tenant, key) in [("ana", "ana-key-0001"), ("ben", "ben-key-0002")] {
            let request = prompt(&format!("{tenant}-{n}"), key, "once upon a time");
            requests.spawn(async move {
                (
                    tenant,
                    send_request(router_address, &request, PATIENCE).await,
                )
            });
        }
        if n == 30 {
            let leader = fleet.leader().await.expect("somebody leads");
            fleet.kill(&leader);
        }
    }
    let (mut let_in, mut refused) = (0, 0);
    while let Some(done) = requests.join_next().await {
        match done.expect("the caller ends") {
            ("ana", ClientOutcome::Complete { .. }) => let_in += 1,
            ("ana", ClientOutcome::Rejected { code, outcome, .. }) if code == "quota" => {
                assert_eq!(outcome, "not-run");
                refused += 1;
            }
            ("ben", ClientOutcome::Rejected { code, .. }) => {
                assert_ne!(code, "quota", "ben is within")
            }
            _ => {}
        }
    }
    // Its burst and its pace; what a killed router admitted is forgotten, and
    // none is killed here.
    let most = 5 + begun.elapsed().as_secs() + 1;
    assert!(let_in <= most, "{let_in} of at most {most} were let in");
    // Those let in may have been on their way through the node that was killed.
    assert!(
        (1..60).contains(&refused),
        "{let_in} were let in, {refused} refused"
    );
}

/// Guards: a tenant gets not much past its quota, also by requests whose key lies so
/// far in that no router reads it.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_no_router_reads_is_charged() {
    let (_folder, fleet) = start_fleet("charged").await;
    let terms = json!({ "do": "revise", "whole": false, "book": { "tenants": {
        "ana": { "pace": 1, "burst": 2 },
    } } });
    let epoch = fleet.submit(terms).await.expect("taken");
    fleet.in_force(epoch, PATIENCE).await.expect("in force");
    let begun = std::time::Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    for n in 0..16 {
        let request = ClientRequest {
            id: format!("far-{n}"),
            method: "POST".into(),
            target: "/form/write".into(),
            headers: Vec::new(),
            body: format!(
                r#"{{"prompt":"{}","key":"ana-key-0001","model":"writer"}}"#,
                "word ".repeat(20_000)
            )
            .into_bytes(),
        };
        let router_address = fleet.get(["router-1", "router-2"][n % 2]).client_address();
        requests.spawn(async move { send_request(router_address, &request, PATIENCE).await });
    }
    let (mut let_in, mut refused) = (0, 0);
    while let Some(done) = requests.join_next().await {
        match done.expect("the caller ends") {
            ClientOutcome::Complete { .. } => let_in += 1,
            ClientOutcome::Rejected { code, outcome, .. } if code == "quota" => {
                assert_eq!(outcome, "not-run");
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    let most = 2 + begun.elapsed().as_secs() + 1;
    assert!(
        (1..=most).contains(&let_in),
        "{let_in} of at most {most} were let in"
    );
    assert_eq!(let_in + refused, 16);
}
