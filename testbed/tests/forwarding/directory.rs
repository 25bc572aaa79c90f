//! A directory node of a fleet, and a router that the test plays.

use crate::{common, KEY, PATIENCE};
use protocol::{ConnectionKind, Frame};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use transport::link;

/// The frames of a whole request, as a router sends them after the node's welcome.
fn conversation(id: &str, left_ms: u64) -> Vec<u8> {
    let header = |name: &str, value: &str| protocol::Header {
        name: name.into(),
        value: value.as_bytes().to_vec(),
    };
    let head = protocol::ForwardedRequest {
        id: id.into(),
        method: "POST".into(),
        target: "/app/write".into(),
        headers: vec![header("x-tenant-key", KEY), header("x-model", "writer")],
        client_region: "north".into(),
        epoch: 0,
        remaining_ms: left_ms,
        is_quota_charged: true,
    };
    let mut frames = vec![Frame::RequestHead(head)];
    frames.extend((0..5).map(|_| Frame::RequestBody(vec![b'x'; 700])));
    frames.push(Frame::RequestEnd);
    frames.iter().flat_map(protocol::encode).collect()
}

async fn welcomed(node: SocketAddr) -> TcpStream {
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut stream = link::dial(source, node, ConnectionKind::Forwarding, "edge-9")
        .await
        .expect("dialled");
    let frame = link::receive(&mut stream, protocol::MAX_HELLO_BYTES)
        .await
        .expect("a welcome");
    assert_eq!(frame, Some(Frame::Ready));
    stream
}

/// Guards: a request that a router left half said, by a reset, a close or a silence, never
/// runs; a whole one runs once, however far off its deadline is said to be.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_its_router_left_half_said_never_runs() {
    let (_folder, fleet) = common::start_fleet("half-said").await;
    common::wait_for_service(fleet.get("router-1").client_address(), KEY, "before").await;
    let node = fleet.get("directory-1").address();
    let mut draw = StdRng::seed_from_u64(9);
    let (mut silent, mut cut) = (Vec::new(), Vec::new());
    for number in 0..40 {
        let id = format!("cut-{number}");
        let bytes = conversation(&id, 30_000);
        let mut stream = welcomed(node).await;
        let at = draw.random_range(0..bytes.len());
        stream.write_all(&bytes[..at]).await.expect("sent");
        match draw.random_range(0..4) {
            0 => stream.set_zero_linger().expect("it is open"),
            1 => {}
            // A frame that has no place there.
            2 => drop(stream.write_all(&protocol::encode(&Frame::Ready)).await),
            _ => {
                silent.push(stream);
                cut.push(id);
                continue;
            }
        }
        drop(stream);
        cut.push(id);
    }
    // What was left silent holds places at the engines until it is let go.
    drop(silent);
    for left_ms in [30_000, u64::MAX] {
        let until = Instant::now() + PATIENCE;
        let id = loop {
            let id = format!("whole-{:x}", rand::random::<u64>());
            let mut stream = welcomed(node).await;
            stream
                .write_all(&conversation(&id, left_ms))
                .await
                .expect("sent");
            let mut last = None;
            while let Ok(Ok(Some(frame))) = tokio::time::timeout(
                PATIENCE,
                link::receive(&mut stream, protocol::MAX_FRAME_BYTES),
            )
            .await
            {
                last = Some(frame);
            }
            match last {
                Some(Frame::Rejected { not_run: true, .. }) if Instant::now() < until => {
                    let events = common::engine_events(&fleet, &id);
                    let has_run = events.iter().any(|event| event.starts_with("begun"));
                    assert!(!has_run, "{id} was said not to have run: {events:?}");
                }
                last => {
                    assert_eq!(last, Some(Frame::ResponseEnd), "{id}, {left_ms} ms left");
                    break id;
                }
            }
        };
        common::wait_for_engine_event(&fleet, &id, "ended").await;
        let events = common::engine_events(&fleet, &id);
        let runs = events
            .iter()
            .filter(|event| event.starts_with("begun"))
            .count();
        assert_eq!(runs, 1, "{id}: {events:?}");
    }
    for id in cut {
        let events = common::engine_events(&fleet, &id);
        assert!(
            !events.iter().any(|event| event.starts_with("begun")),
            "{id}: {events:?}"
        );
    }
}

/// The frames of a conversation up to its end.
async fn frames_to_end(stream: &mut TcpStream) -> Vec<Frame> {
    let mut frames = Vec::new();
    let reading = async {
        while let Ok(Some(frame)) = link::receive(stream, protocol::MAX_FRAME_BYTES).await {
            frames.push(frame);
        }
    };
    let ended = tokio::time::timeout(PATIENCE, reading).await;
    assert!(ended.is_ok(), "no end after {} frames", frames.len());
    frames
}

/// Guards: a directory node ends the answer of a forwarded request when the time is over that
/// the router stated, also towards a router that stays: without the end frame, and with the
/// engine's work.
#[tokio::test(flavor = "multi_thread")]
async fn a_directory_node_ends_a_relayed_answer_at_its_deadline() {
    let endless = common::DEPLOYMENT.replace(
        r#""pieces": 3, "piece_ms": 5"#,
        r#""pieces": 10000, "piece_ms": 50"#,
    );
    let (_folder, fleet) = common::start_fleet_of("late-answer", &endless).await;
    let node = fleet.get("directory-1").address();
    let until = Instant::now() + PATIENCE;
    let (id, frames) = loop {
        let id = format!("late-{:x}", rand::random::<u64>());
        let mut stream = welcomed(node).await;
        let request = conversation(&id, 2_000);
        stream.write_all(&request).await.expect("sent");
        let frames = frames_to_end(&mut stream).await;
        if frames
            .iter()
            .any(|frame| matches!(frame, Frame::ResponseBody(_)))
        {
            break (id, frames);
        }
        assert!(Instant::now() < until, "never answered: {frames:?}");
    };
    let last = frames.last().expect("an answer began");
    assert!(matches!(last, Frame::ResponseBody(_)), "{id}: {last:?}");
    common::wait_for_engine_event(&fleet, &id, "cancelled").await;
}
