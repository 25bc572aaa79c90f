//! Load gossip between routers, for engines that report no load of their own: the
//! requests that each router has there, the tokens in prefill, and which shared
//! prompt prefixes are cached where. Soft state: lost on restart, and believed for a
//! moment only.
//!
//! Within a region every router sends to every other, in batches that grow with
//! their number. In each other region one router receives it, and relays it there.

use crate::router::Router;
use placement::LoadUpdate;
use protocol::{Frame, RouterStatus};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long changes wait for more of them, for each receiving router.
const BATCH_MS: u64 = 4;
/// Changes for other regions wait at least this long.
const REMOTE_BATCH_MS: u64 = 120;
/// Sent again where nothing changed, so that it is not forgotten.
const REFRESH_MS: u64 = 600;

fn frame(from: &str, is_relayed: bool, update: &LoadUpdate) -> Frame {
    Frame::LoadGossip {
        from: from.into(),
        is_relayed,
        loads: update.loads.clone(),
        cached_prefixes: update.cached_prefixes.clone(),
    }
}

/// The other routers of this region.
fn regional_receivers(router: &Router) -> Vec<SocketAddr> {
    let membership = router.membership.read();
    membership
        .regional_peers()
        .filter_map(|peer| peer.peer_address.parse().ok())
        .collect()
}

/// One router of each other region, by rendezvous hashing of this one's name.
fn remote_receivers(router: &Router) -> Vec<SocketAddr> {
    let own = policy::stable_hash(router.settings.name.as_bytes());
    let membership = router.membership.read();
    let mut best_by_region: HashMap<&str, (u64, &RouterStatus)> = HashMap::new();
    for peer in membership.remote_routers() {
        let rank = placement::rank(own, policy::stable_hash(peer.name.as_bytes()));
        let best = best_by_region.entry(&peer.region).or_insert((rank, peer));
        if rank > best.0 {
            *best = (rank, peer);
        }
    }
    best_by_region
        .values()
        .filter_map(|(_, peer)| peer.peer_address.parse().ok())
        .collect()
}

fn send(router: &Router, receivers: &[SocketAddr], frame: &Frame) {
    for receiver in receivers {
        router.peer_links.send(*receiver, frame.clone());
    }
}

/// Takes in what another router sent, and relays it where that one is of another
/// region.
pub fn receive(router: &Router, from: &str, is_relayed: bool, update: &LoadUpdate) {
    router
        .dispatcher
        .engine_tracker
        .apply_load_update(from, update);
    let is_remote = router
        .membership
        .read()
        .remote_routers()
        .any(|peer| peer.name == from);
    if is_remote && !is_relayed {
        send(
            router,
            &regional_receivers(router),
            &frame(from, true, update),
        );
    }
}

/// Sends this router's changes in batches, for the life of the process.
pub async fn run(router: Arc<Router>) {
    let name = router.settings.name.as_str();
    let mut remote_update = LoadUpdate::default();
    let mut remote_sent_ms = transport::now();
    loop {
        let refresh = Duration::from_millis(REFRESH_MS);
        drop(
            tokio::time::timeout(
                refresh,
                router.dispatcher.engine_tracker.load_changed().notified(),
            )
            .await,
        );
        let receivers = regional_receivers(&router);
        let batch_ms = BATCH_MS * (receivers.len() as u64 + 1);
        tokio::time::sleep(Duration::from_millis(batch_ms)).await;
        let update = router.dispatcher.engine_tracker.take_load_update();
        if !update.is_empty() {
            send(&router, &receivers, &frame(name, false, &update));
        }
        merge(&mut remote_update, update);
        if !remote_update.is_empty() && transport::now() >= remote_sent_ms + REMOTE_BATCH_MS {
            send(
                &router,
                &remote_receivers(&router),
                &frame(name, false, &remote_update),
            );
            (remote_update, remote_sent_ms) = (LoadUpdate::default(), transport::now());
        }
    }
}

/// Adds newer changes; of an engine's load the latest one counts.
fn merge(older: &mut LoadUpdate, newer: LoadUpdate) {
    for load in newer.loads {
        match older
            .loads
            .iter_mut()
            .find(|known| known.engine == load.engine)
        {
            Some(known) => *known = load,
            None => older.loads.push(load),
        }
    }
    older.cached_prefixes.extend(newer.cached_prefixes);
}
