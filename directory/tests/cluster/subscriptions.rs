//! A router's session: what it gets depends on the view that it holds.

use crate::common::{Nodes, PATIENCE};
use directory::ControlPlane;
use protocol::{ConnectionKind, Frame, MAX_FRAME_BYTES};
use residency::Command;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use transport::link;

/// The frames of a session up to the state's epoch.
#[derive(Debug, Default, PartialEq)]
struct Received {
    cluster: u64,
    /// The epochs of the snapshots.
    snapshots: Vec<u64>,
    /// The epochs of the changes, with those that they build on.
    changes: Vec<(u64, u64)>,
}

/// A session with a node as a router that holds this view.
async fn session(node: &ControlPlane, cluster: u64, epoch: u64) -> TcpStream {
    let address: SocketAddr = node.member.address.parse().expect("an address");
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let dialled = link::dial(source, address, ConnectionKind::RouterSession, "r1").await;
    let mut session = dialled.expect("it listens");
    let subscribe = Frame::Subscribe { cluster, epoch };
    let sent = link::send(&mut session, &subscribe).await;
    sent.expect("it is open");
    session
}

/// What the session brings until a router that held `epoch` holds `until_epoch`.
async fn receive_until(session: &mut TcpStream, epoch: u64, until_epoch: u64) -> Received {
    let mut received = Received::default();
    let mut held_epoch = epoch;
    while received.cluster == 0 || held_epoch < until_epoch {
        let frame = link::receive(session, MAX_FRAME_BYTES);
        let frame = tokio::time::timeout(PATIENCE, frame).await;
        match frame.expect("in time").expect("a frame") {
            Some(Frame::Subscribed { cluster }) => received.cluster = cluster,
            Some(Frame::Snapshot { epoch, .. }) => {
                received.snapshots.push(epoch);
                held_epoch = epoch;
            }
            Some(Frame::Change {
                base_epoch, epoch, ..
            }) => {
                received.changes.push((base_epoch, epoch));
                held_epoch = epoch;
            }
            Some(Frame::RegistryUpdate(_)) => {}
            other => panic!("{other:?}"),
        }
    }
    received
}

fn epoch_of(node: &ControlPlane) -> u64 {
    node.with_state(|state| state.epoch())
}

/// Guards: a router gets what its view lacks, and a snapshot only where its view is of
/// another cluster, or of an epoch whose following changes are not known.
#[tokio::test]
async fn a_session_goes_on_from_the_view_that_the_router_holds() {
    let nodes = Nodes::start(21).await;
    let node = &nodes.control_planes[0];
    let first_epoch = epoch_of(node);
    for (id, zone) in [("one", "n-a"), ("two", "s-a")] {
        nodes
            .apply(node, id, Command::EvacuateZone(zone.into()))
            .await;
    }
    let epoch = epoch_of(node);

    let mut without_view = session(node, 0, 0).await;
    let received = receive_until(&mut without_view, 0, epoch).await;
    let cluster = received.cluster;
    assert_ne!(cluster, 0);
    assert_eq!(
        (received.snapshots, received.changes),
        (vec![epoch], vec![])
    );

    let mut current = session(node, cluster, epoch).await;
    let received = receive_until(&mut current, epoch, epoch).await;
    assert_eq!((received.snapshots, received.changes), (vec![], vec![]));

    let mut behind = session(node, cluster, first_epoch).await;
    let received = receive_until(&mut behind, first_epoch, epoch).await;
    assert_eq!(received.snapshots, Vec::<u64>::new());
    assert_eq!(
        received.changes.first().map(|change| change.0),
        Some(first_epoch)
    );
    let is_chain = |pair: &[(u64, u64)]| pair[0].1 == pair[1].0;
    assert!(received.changes.windows(2).all(is_chain), "{received:?}");

    let mut of_other_cluster = session(node, cluster ^ 1, epoch).await;
    let received = receive_until(&mut of_other_cluster, 0, epoch).await;
    assert_eq!(received.snapshots, [epoch]);

    // No state of this cluster had that epoch.
    let mut of_unknown_epoch = session(node, cluster, 1).await;
    let received = receive_until(&mut of_unknown_epoch, 0, epoch).await;
    assert_eq!(received.snapshots, [epoch]);

    // All of them get what changes next, once.
    nodes
        .apply(node, "three", Command::ReinstateZone("n-a".into()))
        .await;
    let next_epoch = epoch_of(node);
    for session in [&mut without_view, &mut current, &mut behind] {
        let frame = loop {
            let frame = link::receive(session, MAX_FRAME_BYTES).await;
            match frame.expect("a frame") {
                Some(Frame::RegistryUpdate(_)) => {}
                other => break other,
            }
        };
        let is_change = matches!(frame, Some(Frame::Change { base_epoch, epoch: changed, .. })
            if base_epoch == epoch && changed == next_epoch);
        assert!(is_change, "{frame:?}");
    }
}

/// Guards: a router that lacks more than a snapshot holds gets the snapshot.
#[tokio::test]
async fn a_view_that_lacks_many_changes_is_replaced() {
    let nodes = Nodes::start(22).await;
    let node = &nodes.control_planes[0];
    let first_epoch = epoch_of(node);
    // Each of these changes carries the rules, about 60,000 bytes.
    for change in 0..8 {
        let rules = format!("set fill {}% #{}", 50 + change, "x".repeat(60_000));
        let text = format!(r#"{{ "rules": "{rules}" }}"#);
        let command = Command::UpdateTopology {
            mode: residency::UpdateMode::Patch,
            text,
        };
        nodes.apply(node, &format!("rules-{change}"), command).await;
    }
    let epoch = epoch_of(node);
    let mut current = session(node, 0, 0).await;
    let cluster = receive_until(&mut current, 0, epoch).await.cluster;
    let mut behind = session(node, cluster, first_epoch).await;
    let received = receive_until(&mut behind, first_epoch, epoch).await;
    assert_eq!(
        (received.snapshots, received.changes),
        (vec![epoch], vec![])
    );
}

/// Guards: a router's first frame says which view it holds; any other ends the session.
#[tokio::test]
async fn a_session_begins_with_the_routers_view() {
    let nodes = Nodes::start(23).await;
    let node = &nodes.control_planes[0];
    let address: SocketAddr = node.member.address.parse().expect("an address");
    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let dialled = link::dial(source, address, ConnectionKind::RouterSession, "r1").await;
    let mut session = dialled.expect("it listens");
    link::send(&mut session, &Frame::RequestEnd)
        .await
        .expect("it is open");
    let closed = tokio::time::timeout(PATIENCE, link::receive(&mut session, MAX_FRAME_BYTES));
    assert!(matches!(closed.await.expect("in time"), Ok(None) | Err(_)));
    let mut next = self::session(node, 0, 0).await;
    receive_until(&mut next, 0, epoch_of(node)).await;
}
