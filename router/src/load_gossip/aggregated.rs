//! Aggregated load reports: to the aggregator that this router reports to, and what it does
//! as an aggregator itself.

use super::{frame, is_of_other_region};
use crate::router::Router;
use parking_lot::Mutex;
use placement::{AggregatorChoice, LoadAggregator, LoadAggregators, LoadUpdate};
use protocol::{Frame, LoadScope};
use residency::{Epoch, View};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use transport::now;

/// How long a router's changes wait for more of them.
const REPORT_BATCH: Duration = Duration::from_millis(40);
/// How often an aggregator sends what changed in its region.
const AGGREGATION_INTERVAL: Duration = Duration::from_millis(80);
/// How often it sends to other regions.
const REMOTE_INTERVAL_MS: u64 = 240;
/// The name under which the load of all other routers is known.
const FLEET: &str = "fleet";

/// The state of aggregated load reports.
pub struct LoadAggregation {
    aggregator: Mutex<LoadAggregator>,
    choice: Mutex<AggregatorChoice>,
    /// A router has reported here.
    reported: Notify,
}

impl LoadAggregation {
    /// That of the router of this name; nobody has reported yet.
    pub fn new(name: &str) -> LoadAggregation {
        LoadAggregation {
            aggregator: Mutex::default(),
            choice: Mutex::new(AggregatorChoice::new(name)),
            reported: Notify::new(),
        }
    }
}

fn send(router: &Router, to: &str, frame: Frame) {
    // An address that does not parse is of a router that can't be reached.
    if let Ok(to) = to.parse::<SocketAddr>() {
        router.peer_links.send(to, frame);
    }
}

/// Reports what has changed, also where that is nothing: by its reports an aggregator knows
/// whom to send to.
pub(super) async fn report(router: &Router, aggregators: &LoadAggregators) {
    tokio::time::sleep(REPORT_BATCH).await;
    let own_name = router.settings.name.as_str();
    let update = router.dispatcher.engine_tracker.take_load_update();
    let candidates = aggregators.of_region(&router.settings.region);
    let mut choice = router.load_aggregation.choice.lock();
    let chosen = choice.choose(now(), candidates);
    drop(choice);
    let Some(chosen) = chosen else {
        return;
    };
    if chosen.name == own_name {
        receive_report(router, own_name, &update);
    } else {
        let report = frame(own_name, LoadScope::Report, &update);
        send(router, &chosen.peer_address, report);
    }
}

/// A router reports to this one.
pub(super) fn receive_report(router: &Router, from: &str, update: &LoadUpdate) {
    let aggregation = &router.load_aggregation;
    let mut aggregator = aggregation.aggregator.lock();
    aggregator.receive_report(now(), from, update);
    aggregation.reported.notify_one();
}

/// An aggregator sent the load of its group; one of another region sends it to one aggregator
/// here, which passes it on.
pub(super) fn receive_group(router: &Router, from: &str, scope: LoadScope, update: &LoadUpdate) {
    let mut aggregator = router.load_aggregation.aggregator.lock();
    aggregator.receive_group(now(), from, update);
    drop(aggregator);
    if scope == LoadScope::Group && is_of_other_region(router, from) {
        send_to_region(router, from, LoadScope::RelayedGroup, update);
    }
}

/// An aggregator sent the load of all other routers.
pub(super) fn receive_fleet(router: &Router, from: &str, update: &LoadUpdate) {
    let mut choice = router.load_aggregation.choice.lock();
    if choice.accepts(now(), from) {
        let engine_tracker = &router.dispatcher.engine_tracker;
        engine_tracker.apply_load_update(FLEET, update);
    }
}

/// Sends to the other aggregators of this region.
fn send_to_region(router: &Router, from: &str, scope: LoadScope, update: &LoadUpdate) {
    let aggregators = router.membership.read().load_aggregators();
    for aggregator in aggregators.of_region(&router.settings.region) {
        if aggregator.name != router.settings.name {
            let frame = frame(from, scope, update);
            send(router, &aggregator.peer_address, frame);
        }
    }
}

/// Merges and passes on what other routers report, for the life of the process.
pub async fn run_aggregator(router: Arc<Router>) {
    let mut epoch = Epoch::default();
    let mut remote_sent_ms = 0;
    let mut remote_turn = 0;
    loop {
        if !router.load_aggregation.aggregator.lock().has_reporters() {
            router.load_aggregation.reported.notified().await;
        }
        tokio::time::sleep(AGGREGATION_INTERVAL).await;
        apply_view(&router, &mut epoch);
        router.load_aggregation.aggregator.lock().expire(now());
        send_group(&router);
        if now() >= remote_sent_ms + REMOTE_INTERVAL_MS {
            remote_sent_ms = now();
            remote_turn += 1;
            send_remote(&router, remote_turn);
        }
        send_fleet(&router);
    }
}

fn apply_view(router: &Router, epoch: &mut Epoch) {
    let view = router.view.borrow().clone();
    if view.epoch != *epoch {
        *epoch = view.epoch;
        let engines = regional_engines(&view, &router.settings.region);
        let mut aggregator = router.load_aggregation.aggregator.lock();
        aggregator.set_regional_engines(engines);
    }
}

fn regional_engines(view: &View, region: &str) -> HashSet<String> {
    let is_regional = |cell| {
        view.cell(cell)
            .is_some_and(|location| location.region == region)
    };
    let engines = view.engines.iter();
    engines
        .filter(|(_, engine)| is_regional(&engine.cell))
        .map(|(name, _)| name.clone())
        .collect()
}

fn send_group(router: &Router) {
    let mut aggregator = router.load_aggregation.aggregator.lock();
    let update = aggregator.take_region_update(now());
    drop(aggregator);
    if !update.is_empty() {
        send_to_region(router, &router.settings.name, LoadScope::Group, &update);
    }
}

fn send_remote(router: &Router, turn: u64) {
    let mut aggregator = router.load_aggregation.aggregator.lock();
    let update = aggregator.take_remote_update(now());
    drop(aggregator);
    if update.is_empty() {
        return;
    }
    let own_name = router.settings.name.as_str();
    let aggregators = router.membership.read().load_aggregators();
    for aggregator in aggregators.remote(&router.settings.region, own_name, turn) {
        let frame = frame(own_name, LoadScope::Group, &update);
        send(router, &aggregator.peer_address, frame);
    }
}

fn send_fleet(router: &Router) {
    let mut aggregator = router.load_aggregation.aggregator.lock();
    let updates = aggregator.take_fleet_updates(now());
    drop(aggregator);
    let own_name = router.settings.name.as_str();
    for (reporter, update) in updates {
        if reporter == own_name {
            receive_fleet(router, own_name, &update);
            continue;
        }
        let membership = router.membership.read();
        let address = membership
            .router(&reporter)
            .map(|status| status.peer_address.clone());
        drop(membership);
        if let Some(address) = address {
            send(router, &address, frame(own_name, LoadScope::Fleet, &update));
        }
    }
}
