//! What changes of the routers cause at a directory node, and how often.

use directory::change_pacing::{wait_until_due, MIN_SEND_INTERVAL};
use directory::router_registry::{RouterRegistry, WaitingHeartbeat};
use directory::session_queue::{session_queue, SessionSender};
use protocol::{RouterAvailability, RouterDemand, RouterStatus};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

const MAX_INTERVAL: Duration = Duration::from_millis(900);

fn status(name: &str, availability: RouterAvailability) -> RouterStatus {
    RouterStatus {
        name: name.into(),
        region: "north".into(),
        zone: "n-a".into(),
        client_address: format!("{name}:1"),
        peer_address: format!("{name}:2"),
        epoch: 3,
        age_ms: 0,
        availability,
    }
}

fn heartbeat(sender: &SessionSender, name: &str) -> WaitingHeartbeat {
    WaitingHeartbeat {
        sender: sender.clone(),
        received_at_ms: transport::now(),
        demand: RouterDemand {
            router: name.into(),
            incarnation: 1,
            heartbeat: 1,
            incarnation_age_ms: 0,
            demands: Vec::new(),
        },
    }
}

/// Guards: messages that grow with the square of the routers when all of them come at once,
/// because each node sent its own list to all others at each router that another node had.
#[test]
fn routers_of_other_nodes_change_nothing_of_what_the_node_tells_of_its_own() {
    let registry = RouterRegistry::new(Arc::default());
    let (mut all, mut local) = (registry.versions(), registry.local_versions());
    let mut changed = || {
        let changed = (all.has_changed(), local.has_changed());
        all.mark_unchanged();
        local.mark_unchanged();
        (
            changed.0.expect("it is open"),
            changed.1.expect("it is open"),
        )
    };
    let ready = RouterAvailability::Ready;
    registry.merge_peer_reports(vec![status("r1", ready), status("r2", ready)]);
    assert_eq!(changed(), (true, false));

    let (sender, _receiver) = session_queue(8);
    registry.add_heartbeat(status("r3", ready), heartbeat(&sender, "r3"), false);
    assert_eq!(changed(), (true, true));
    registry.add_heartbeat(status("r3", ready), heartbeat(&sender, "r3"), false);
    assert_eq!(changed(), (false, false), "the same again");
    let draining = RouterAvailability::Draining;
    registry.add_heartbeat(status("r3", draining), heartbeat(&sender, "r3"), false);
    assert_eq!(changed(), (true, true));
    // Its session moves here: routers know it already, the other nodes get it from here.
    registry.add_heartbeat(status("r1", ready), heartbeat(&sender, "r1"), false);
    assert_eq!(changed(), (false, true));
}

/// Guards: a list of all routers that is made anew for each session at each change.
#[test]
fn all_sessions_share_one_list_of_a_version() {
    let registry = RouterRegistry::new(Arc::default());
    let ready = RouterAvailability::Ready;
    registry.merge_peer_reports(vec![status("r2", ready), status("r1", ready)]);
    let first = registry.shared_list();
    assert!(Arc::ptr_eq(&first, &registry.shared_list()));
    let names: Vec<&str> = first.iter().map(|router| router.name.as_str()).collect();
    assert_eq!(names, ["r1", "r2"]);

    registry.merge_peer_reports(vec![status("r2", RouterAvailability::Draining)]);
    let second = registry.shared_list();
    assert!(second[1].is_draining());
    registry.merge_peer_reports(vec![status("r3", ready)]);
    assert_eq!(registry.shared_list().len(), 3);
}

/// Guards: a message for each of many changes that come together.
#[tokio::test(start_paused = true)]
async fn changes_that_come_together_are_told_together() {
    let version = watch::Sender::new(0);
    let mut versions = version.subscribe();
    let began = Instant::now();
    let span = Duration::from_secs(2);
    let changes = tokio::spawn(async move {
        while began.elapsed() < span {
            version.send_modify(|version| *version += 1);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    let mut sent = 0;
    while began.elapsed() < span {
        sent += 1;
        wait_until_due(&mut versions, MAX_INTERVAL).await;
    }
    changes.await.expect("it ends");
    let expected = span.as_millis() / MIN_SEND_INTERVAL.as_millis();
    assert!((expected - 2..=expected + 1).contains(&sent), "{sent}");
}

/// Guards: a change after a quiet time that waits, and a receiver that is told nothing while
/// nothing changes.
#[tokio::test(start_paused = true)]
async fn a_single_change_is_told_at_once_and_no_change_after_the_interval() {
    let version = watch::Sender::new(0);
    let mut versions = version.subscribe();
    let began = Instant::now();
    wait_until_due(&mut versions, MAX_INTERVAL).await;
    assert_eq!(began.elapsed(), MAX_INTERVAL);

    let began = Instant::now();
    let quiet = Duration::from_millis(400);
    let change = tokio::spawn(async move {
        tokio::time::sleep(quiet).await;
        version.send_modify(|version| *version += 1);
        version
    });
    wait_until_due(&mut versions, MAX_INTERVAL).await;
    assert_eq!(began.elapsed(), quiet);
    change.await.expect("it ends");
}
