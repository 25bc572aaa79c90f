//! Failures of real processes: kills, freezes, lost disks, garbage, broken
//! streams. Each test waits on events; none sleeps, and none judges a time.

mod common;

use common::*;
use nix::sys::signal::Signal;
use simd_json::json;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::client::{send_request, ClientOutcome};
use testbed::fleet::{operator_request, wait_until, Fleet, ProcessKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ANA: &str = "ana-key-0001";

async fn voters(fleet: &Fleet, at: SocketAddr) -> anyhow::Result<Vec<(String, String)>> {
    let status = operator_request(at, "GET", "/status", &OwnedValue::null()).await?;
    let text = |value: &OwnedValue, name: &str| {
        value
            .get(name)
            .and_then(|v| v.as_str())
            .unwrap_or("")
            .to_string()
    };
    let members = status
        .get("members")
        .and_then(|v| v.as_array())
        .cloned()
        .unwrap_or_default();
    anyhow::ensure!(
        members.len() <= fleet.of(ProcessKind::Directory).len(),
        "one too many"
    );
    let is_voter = |member: &&OwnedValue| text(member, "kind") == "voter";
    Ok(members
        .iter()
        .filter(is_voter)
        .map(|m| (text(m, "name"), text(m, "identity")))
        .collect())
}

/// Guards: an acknowledged revision or evacuation is never lost; after
/// everything stops, service returns.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_and_then_all_nodes_are_killed() {
    let (_folder, mut fleet) = start_fleet("killed").await;
    let router_address = fleet.get("router-1").client_address();
    wait_for_service(router_address, ANA, "before").await;
    let leader = fleet.leader().await.expect("somebody leads");
    let evacuate = json!({ "do": "evacuate", "zone": "south-a", "id": "evacuation" });
    let epoch = fleet
        .submit(evacuate.clone())
        .await
        .expect("it is acknowledged");
    fleet.kill(&leader);
    // The same proposal again, to whoever leads now, is known.
    assert_eq!(fleet.submit(evacuate.clone()).await.expect("known"), epoch);
    wait_for_service(router_address, ANA, "led-anew").await;

    let nodes: Vec<String> = fleet
        .of(ProcessKind::Directory)
        .iter()
        .map(|n| n.name.clone())
        .collect();
    nodes.iter().for_each(|node| fleet.kill(node));
    // Guards: a router without a recent lease refuses, and says not-run.
    wait_for_rejection(router_address, ANA, "cut", "no-lease").await;
    nodes
        .iter()
        .for_each(|node| fleet.start(node).expect("it starts"));
    wait_for_service(router_address, ANA, "back").await;
    assert_eq!(fleet.submit(evacuate).await.expect("still known"), epoch);
    let status = operator_request(
        fleet.operator_addresses()[0],
        "GET",
        "/status",
        &OwnedValue::null(),
    )
    .await
    .expect("told");
    let evacuated = status.get("evacuated").map(|list| list.encode());
    assert_eq!(evacuated.as_deref(), Some(r#"["south-a"]"#));
}

/// A node that lost its disk comes back as a new one, and its old identity is
/// retired. A minority refuses changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_is_lost_and_a_minority_is_left() {
    let (_folder, mut fleet) = start_fleet("disk").await;
    let leader = fleet.leader().await.expect("somebody leads");
    let names: Vec<String> = fleet
        .of(ProcessKind::Directory)
        .iter()
        .map(|n| n.name.clone())
        .collect();
    let lost = names
        .iter()
        .find(|name| **name != leader)
        .expect("three nodes")
        .clone();
    let operator_address = fleet.get(&leader).operator_address();
    let before = voters(&fleet, operator_address).await.expect("told");
    fleet.kill(&lost);
    fleet.delete_data(&lost).expect("its folder goes");
    fleet.start(&lost).expect("it starts");
    wait_until(PATIENCE, "the new voter", async || {
        let after = voters(&fleet, operator_address).await?;
        anyhow::ensure!(after.len() == 3 && after != before, "{after:?}");
        Ok(())
    })
    .await
    .expect("it is a voter again");
    let after = voters(&fleet, operator_address).await.expect("told");
    let identity = |list: &[(String, String)]| {
        list.iter()
            .find(|(name, _)| *name == lost)
            .map(|(_, identity)| identity.clone())
    };
    assert_ne!(
        identity(&before),
        identity(&after),
        "it came back under a new identity"
    );

    let others: Vec<&String> = names.iter().filter(|name| **name != lost).collect();
    others.iter().for_each(|name| fleet.kill(name));
    let alone = fleet.get(&lost).operator_address();
    let change = json!({ "do": "evacuate", "zone": "south-a", "id": "minority" });
    let error = operator_request(alone, "POST", "/submit", &change)
        .await
        .expect_err("a minority refuses");
    assert!(error.to_string().contains("503"), "{error}");
    let others: Vec<String> = others.into_iter().cloned().collect();
    others
        .iter()
        .for_each(|name| fleet.start(name).expect("it starts"));
    fleet.submit(change).await.expect("a majority takes it");
    wait_for_service(fleet.get("router-1").client_address(), ANA, "after").await;
}

/// Guards: an acknowledged change is on a majority's disks. A leader whose disk
/// fails steps down, a change under way is taken by the next one, and the node
/// says that it is not well until it is restarted on a disk that works.
#[tokio::test(flavor = "multi_thread")]
async fn the_leaders_disk_fails() {
    let (_folder, mut fleet) = start_fleet("broken-disk").await;
    let leader = fleet.leader().await.expect("somebody leads");
    let operator_address = fleet.get(&leader).operator_address();
    let log = fleet.output_dir.join("data").join(&leader).join("log");
    let aside = fleet.output_dir.join("aside");
    std::fs::rename(&log, &aside).expect("its log goes");
    let change = json!({ "do": "evacuate", "zone": "south-a", "id": "over-a-broken-disk" });
    let epoch = fleet
        .submit(change.clone())
        .await
        .expect("the others take it");
    wait_until(PATIENCE, "another leader", async || {
        let now = fleet.leader().await?;
        anyhow::ensure!(now != leader, "{now} still leads");
        Ok(())
    })
    .await
    .expect("it steps down");
    let error = operator_request(operator_address, "GET", "/vitals", &OwnedValue::null())
        .await
        .expect_err("it is not well");
    assert!(
        error.to_string().contains("\"disk_stalled\":true"),
        "{error}"
    );
    wait_for_service(fleet.get("router-1").client_address(), ANA, "meanwhile").await;

    fleet.kill(&leader);
    std::fs::rename(&aside, &log).expect("its log comes back");
    fleet.start(&leader).expect("it starts");
    wait_until(PATIENCE, "its return", async || {
        let vitals =
            operator_request(operator_address, "GET", "/vitals", &OwnedValue::null()).await?;
        let at = vitals.get("epoch").and_then(|v| v.as_u64());
        anyhow::ensure!(at >= Some(epoch), "it has {at:?}");
        Ok(())
    })
    .await
    .expect("it is well again, and has what it missed");
    assert_eq!(fleet.submit(change).await.expect("it is known"), epoch);
}

/// A damaged segment stops its node, with the file, the place and the way back.
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_segment_stops_its_node() {
    let (folder, mut fleet) = start_fleet("damage").await;
    let leader = fleet.leader().await.expect("somebody leads");
    let node = fleet
        .of(ProcessKind::Directory)
        .iter()
        .map(|n| n.name.clone())
        .find(|n| *n != leader);
    let node = node.expect("three nodes");
    fleet.kill(&node);
    let log = folder.0.join("data").join(&node).join("log");
    let first = std::fs::read_dir(&log)
        .expect("its log")
        .filter_map(|entry| entry.ok());
    let path = first.map(|entry| entry.path()).min().expect("a segment");
    let mut bytes = std::fs::read(&path).expect("it reads");
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).expect("it is damaged");
    fleet.start(&node).expect("it starts");
    let words = folder.0.join("logs").join(format!("{node}.log"));
    wait_until(PATIENCE, "its words", async || {
        let text = std::fs::read_to_string(&words)?;
        let has_said = text
            .contains("segment-000000000001 at byte 6: a record's checksum is wrong")
            && text.contains("Way back: ");
        anyhow::ensure!(has_said, "{text}");
        Ok(())
    })
    .await
    .expect("it says what is wrong and ends");
    // The way back: the folder aside, and it joins as a new node.
    fleet.kill(&node);
    fleet.delete_data(&node).expect("its folder goes");
    fleet.start(&node).expect("it starts");
    let operator_address = fleet.get(&leader).operator_address();
    wait_until(PATIENCE, "the new voter", async || {
        anyhow::ensure!(
            voters(&fleet, operator_address).await?.len() == 3,
            "not yet"
        );
        Ok(())
    })
    .await
    .expect("it is a voter again");
}

/// Guards: what froze and woke sends nothing late, and never falls back to an
/// older epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_freezes_and_wakes_to_a_key_that_is_gone() {
    let (_folder, fleet) = start_fleet("frozen").await;
    let router_address = fleet.get("router-1").client_address();
    wait_for_service(router_address, ANA, "before").await;
    fleet
        .signal("router-1", Signal::SIGSTOP)
        .expect("it freezes");
    // A request waits in the frozen router's socket.
    let waiting = tokio::spawn(async move {
        let request = prompt("late", "ana-key-0001", "once upon a time");
        send_request(router_address, &request, Duration::from_secs(60)).await
    });
    fleet
        .submit(json!({ "do": "key-gone", "key": "ana-key-0001" }))
        .await
        .expect("taken");
    wait_until(PATIENCE, "its absence", async || {
        let status = operator_request(
            fleet.operator_addresses()[0],
            "GET",
            "/status",
            &OwnedValue::null(),
        )
        .await?;
        anyhow::ensure!(!status.encode().contains("router-1"), "it is still counted");
        Ok(())
    })
    .await
    .expect("the frozen router is missed");
    fleet.signal("router-1", Signal::SIGCONT).expect("it wakes");
    let seen = waiting.await.expect("the caller ends");
    assert!(
        matches!(&seen, ClientOutcome::Rejected { outcome, .. } if outcome == "not-run"),
        "{seen:?}"
    );
    assert!(
        engine_events(&fleet, "late").is_empty(),
        "nothing reached an engine"
    );
    wait_for_rejection(router_address, ANA, "after", "unknown-key").await;
}

/// Guards: a stream never looks finished when it is not; nothing that is not
/// repeatable runs twice; who leaves cancels its request.
#[tokio::test(flavor = "multi_thread")]
async fn engines_die_within_answers_and_callers_leave() {
    let (_folder, mut fleet) = start_fleet("engines").await;
    let router_address = fleet.get("router-1").client_address();
    // Slow engines in place of the quick ones.
    for name in ["engine-1", "engine-2"] {
        fleet.kill(name);
        set_chunk_ms(&mut fleet, name, 300);
        fleet.start(name).expect("it starts");
    }
    wait_for_service(router_address, ANA, "before").await;
    let request = prompt("broken", "ana-key-0001", "a long story");
    let caller = tokio::spawn(async move {
        send_request(router_address, &request, Duration::from_secs(30)).await
    });
    wait_for_engine_event(&fleet, "broken", "begun").await;
    for name in ["engine-1", "engine-2"] {
        fleet.kill(name);
    }
    let seen = caller.await.expect("the caller ends");
    let is_visible = match &seen {
        ClientOutcome::Truncated | ClientOutcome::NoResponse(_) => true,
        ClientOutcome::Rejected { outcome, .. } => outcome == "unknown",
        _ => false,
    };
    assert!(is_visible, "{seen:?}");
    assert_eq!(
        engine_events(&fleet, "broken")
            .iter()
            .filter(|e| e.starts_with("begun"))
            .count(),
        1
    );
    // With all engines of the only home gone, refusals are not-run.
    wait_for_rejection(router_address, ANA, "none", "no-engine").await;
    for name in ["engine-1", "engine-2"] {
        fleet.start(name).expect("it starts");
    }
    wait_for_service(router_address, ANA, "again").await;

    // Guards: nothing that is not repeatable runs twice, also where its client
    // sends it again while it is on its way.
    let request = prompt("again", "ana-key-0001", "a long story");
    let first = {
        let request = prompt("again", "ana-key-0001", "a long story");
        tokio::spawn(async move {
            send_request(router_address, &request, Duration::from_secs(30)).await
        })
    };
    wait_for_engine_event(&fleet, "again", "begun").await;
    let unknown = (409, "unknown".to_string(), "job-under-way".to_string());
    assert_eq!(rejection(router_address, &request).await, unknown);
    assert!(matches!(
        first.await.expect("it ends"),
        ClientOutcome::Complete { .. }
    ));
    assert_eq!(
        engine_events(&fleet, "again")
            .iter()
            .filter(|e| e.starts_with("begun"))
            .count(),
        1
    );

    let request = prompt("left", "ana-key-0001", "a long story");
    let leaving = tokio::spawn(async move {
        send_request(router_address, &request, Duration::from_secs(30)).await
    });
    wait_for_engine_event(&fleet, "left", "begun").await;
    leaving.abort();
    wait_for_engine_event(&fleet, "left", "cancelled").await;
}

/// A port that is fed garbage, or another epoch, closes that connection only.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_closes_its_own_connection_only() {
    let (_folder, fleet) = start_fleet("garbage").await;
    let (router, node) = (fleet.get("router-1"), fleet.get("directory-1"));
    let mut hello = protocol::encode(&protocol::Frame::Hello {
        version: protocol::VERSION,
        kind: protocol::ConnectionKind::Peer,
        name: "stranger".into(),
    });
    hello.extend([0, 0, 0, 9, 13, 1, 2, 3, 4, 255, 255, 255, 255]);
    let other = protocol::encode(&protocol::Frame::Hello {
        version: protocol::VERSION + 1,
        kind: protocol::ConnectionKind::RouterSession,
        name: "from-tomorrow".into(),
    });
    for to in [router.address(), node.address()] {
        for bytes in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            &[255; 64],
            &[0, 0, 0, 0],
            &hello,
            &other,
        ] {
            let mut stream = tokio::net::TcpStream::connect(to)
                .await
                .expect("it listens");
            stream.write_all(bytes).await.expect("it is sent");
            let mut answer = Vec::new();
            // The other side closes, in peace or with a reset.
            let closed = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
            assert!(closed.is_ok(), "the connection is closed");
            if bytes == other {
                let frame = protocol::decode(&answer[4..]).expect("a frame");
                assert!(
                    matches!(&frame, protocol::Frame::Refused { text } if text.contains("protocol version")),
                    "{frame:?}"
                );
            }
        }
    }
    for to in [
        router.client_address(),
        node.operator_address(),
        router.operator_address(),
    ] {
        let mut stream = tokio::net::TcpStream::connect(to)
            .await
            .expect("it listens");
        stream
            .write_all(&[0, 159, 146, 150, b'\n', b'\n'])
            .await
            .expect("it is sent");
        let mut answer = Vec::new();
        drop(
            tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer))
                .await
                .expect("closed"),
        );
    }
    wait_for_service(router.client_address(), ANA, "after").await;
}

/// Guards: a revision that takes a key away holds also for a client that was
/// connected, and let in, before.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_taken_from_a_caller_that_is_still_sending() {
    let (_folder, fleet) = start_fleet("key").await;
    let router_address = fleet.get("router-1").client_address();
    wait_for_service(router_address, ANA, "before").await;
    let mut stream = tokio::net::TcpStream::connect(router_address)
        .await
        .expect("it listens");
    let head = "POST /app/write HTTP/1.1\r\nhost: x\r\nx-rushport-job: slow\r\n\
                x-tenant-key: ana-key-0001\r\nx-model: writer\r\ncontent-length: 19\r\n\r\n{\"prompt\"";
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    wait_until(PATIENCE, "the job", async || {
        let vitals = operator_request(
            fleet.get("router-1").operator_address(),
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
    .expect("the router has its head");
    let gone = json!({ "do": "key-gone", "key": "ana-key-0001" });
    let epoch = fleet.submit(gone).await.expect("taken");
    fleet.in_force(epoch, PATIENCE).await.expect("in force");
    stream.write_all(b":\"a word\"}").await.expect("it is sent");
    let mut answer = vec![0; 1024];
    let length = stream.read(&mut answer).await.expect("it answers");
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(
        answer.starts_with("HTTP/1.1 401") && answer.contains("not-run"),
        "{answer}"
    );
    assert!(
        engine_events(&fleet, "slow").is_empty(),
        "nothing reached an engine"
    );
}

/// Orderly stop: what runs is finished, new requests are refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_is_asked_to_stop_finishes_its_streams() {
    let (_folder, mut fleet) = start_fleet("stop").await;
    let router_address = fleet.get("router-1").client_address();
    wait_for_service(router_address, ANA, "before").await;
    let request = prompt("running", "ana-key-0001", "once upon a time");
    let caller = tokio::spawn(async move {
        send_request(router_address, &request, Duration::from_secs(30)).await
    });
    wait_for_engine_event(&fleet, "running", "begun").await;
    let status = fleet.stop("router-1").expect("it stops");
    assert!(status.success(), "{status}");
    let seen = caller.await.expect("the caller ends");
    assert!(matches!(seen, ClientOutcome::Complete { .. }), "{seen:?}");
    let status = fleet.stop("directory-1").expect("it stops");
    assert!(status.success(), "{status}");
    wait_for_service(fleet.get("router-2").client_address(), ANA, "after").await;
}
