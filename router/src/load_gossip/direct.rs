//! Direct load gossip: within a region every router sends to every other, in batches that
//! grow with their number. In each other region one router receives it, and relays it there.

use super::{frame, is_of_other_region};
use crate::router::Router;
use placement::LoadUpdate;
use protocol::{Frame, LoadScope, RouterStatus};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long changes wait for more of them, for each receiving router.
const BATCH_MS: u64 = 4;
/// Changes for other regions wait at least this long.
const REMOTE_BATCH_MS: u64 = 120;

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
    let hash = |name: &str| policy::stable_hash(name.as_bytes());
    let own = hash(&router.settings.name);
    let membership = router.membership.read();
    let mut by_region: HashMap<&str, Vec<&RouterStatus>> = HashMap::new();
    for peer in membership.remote_routers() {
        by_region.entry(&peer.region).or_default().push(peer);
    }
    let receiver = |peers: &Vec<&RouterStatus>| {
        let members = peers.iter().map(|peer| (hash(&peer.name), *peer));
        let (_, peer) = placement::highest_ranked(own, members)?;
        peer.peer_address.parse().ok()
    };
    by_region.values().filter_map(receiver).collect()
}

fn send(router: &Router, receivers: &[SocketAddr], frame: &Frame) {
    for receiver in receivers {
        router.peer_links.send(*receiver, frame.clone());
    }
}

/// Takes in what another router sent, and relays it where that one is of another
/// region.
pub(super) fn receive(router: &Router, from: &str, scope: LoadScope, update: &LoadUpdate) {
    router
        .dispatcher
        .engine_tracker
        .apply_load_update(from, update);
    if scope == LoadScope::Router && is_of_other_region(router, from) {
        let frame = frame(from, LoadScope::RelayedRouter, update);
        send(router, &regional_receivers(router), &frame);
    }
}

/// Sends this router's changes.
pub(super) struct Sender {
    /// Changes that other regions were not sent yet.
    remote_update: LoadUpdate,
    remote_sent_ms: u64,
}

impl Sender {
    pub(super) fn new() -> Sender {
        Sender {
            remote_update: LoadUpdate::default(),
            remote_sent_ms: transport::now(),
        }
    }

    /// Sends what has changed once the batch has waited for more.
    pub(super) async fn send_changes(&mut self, router: &Router) {
        let name = router.settings.name.as_str();
        let receivers = regional_receivers(router);
        let batch_ms = BATCH_MS * (receivers.len() as u64 + 1);
        tokio::time::sleep(Duration::from_millis(batch_ms)).await;
        let update = router.dispatcher.engine_tracker.take_load_update();
        if !update.is_empty() {
            send(router, &receivers, &frame(name, LoadScope::Router, &update));
        }
        merge(&mut self.remote_update, update);
        let is_due = transport::now() >= self.remote_sent_ms + REMOTE_BATCH_MS;
        if !self.remote_update.is_empty() && is_due {
            let frame = frame(name, LoadScope::Router, &self.remote_update);
            send(router, &remote_receivers(router), &frame);
            *self = Sender::new();
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
