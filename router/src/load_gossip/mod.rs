//! Load gossip between routers, for engines that report no load of their own: the
//! requests that each router has there, the tokens in prefill, and which shared
//! prompt prefixes are cached where. Soft state: lost on restart, and believed for a
//! moment only.
//!
//! - `direct`: in a small fleet every router sends to every other of its region;
//! - `aggregated`: in a large one some routers of each region merge the reports of the others.

mod aggregated;
mod direct;

pub use aggregated::{run_aggregator, LoadAggregation};

use crate::router::Router;
use placement::LoadUpdate;
use protocol::{Frame, LoadScope};
use std::sync::Arc;
use std::time::Duration;

/// Sent again where nothing changed, so that it is not forgotten.
const REFRESH: Duration = Duration::from_millis(600);

/// Sends this router's changes in batches, for the life of the process.
pub async fn run(router: Arc<Router>) {
    let mut sender = direct::Sender::new();
    loop {
        let changed = router.dispatcher.engine_tracker.load_changed().notified();
        drop(tokio::time::timeout(REFRESH, changed).await);
        let aggregators = router.membership.read().load_aggregators();
        match aggregators.are_used() {
            true => aggregated::report(&router, &aggregators).await,
            false => sender.send_changes(&router).await,
        }
    }
}

/// Takes in what another router sent, and passes on what is meant for others, too.
pub fn receive(router: &Router, from: &str, scope: LoadScope, update: &LoadUpdate) {
    match scope {
        LoadScope::Router | LoadScope::RelayedRouter => {
            direct::receive(router, from, scope, update);
        }
        LoadScope::Report => aggregated::receive_report(router, from, update),
        LoadScope::Group | LoadScope::RelayedGroup => {
            aggregated::receive_group(router, from, scope, update);
        }
        LoadScope::Fleet => aggregated::receive_fleet(router, from, update),
    }
}

fn frame(from: &str, scope: LoadScope, update: &LoadUpdate) -> Frame {
    Frame::LoadGossip {
        from: from.into(),
        scope,
        loads: update.loads.clone(),
        cached_prefixes: update.cached_prefixes.clone(),
    }
}

/// Whether that router is known, and of another region.
fn is_of_other_region(router: &Router, name: &str) -> bool {
    let membership = router.membership.read();
    let status = membership.router(name);
    status.is_some_and(|status| status.region != router.settings.region)
}
