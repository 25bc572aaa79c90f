//! What routers tell each other of engines that say nothing of themselves: their
//! jobs there, the tokens being read, and which shared parts of prompts are kept
//! where. Soft: lost on restart, believed for a moment only.
//!
//! Within a region everybody tells everybody, in batches that grow with their
//! number. To each other region one router is told, which passes it on there.

use crate::{membership, Router};
use placement::LoadUpdate;
use protocol::{CachedPrefix, EngineLoad, Frame, RouterStatus};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long news wait for more of them, for each neighbour that is told.
const BATCH_MS: u64 = 4;
/// News for other regions wait at least this long.
const FAR_BATCH_MS: u64 = 120;
/// Told again where nothing changed, so that it is believed on.
const AGAIN_MS: u64 = 600;

fn frame(from: &str, is_relayed: bool, news: &LoadUpdate) -> Frame {
    Frame::LoadGossip {
        from: from.into(),
        is_relayed,
        loads: news.loads.clone(),
        cached_prefixes: news.cached_prefixes.clone(),
    }
}

/// The other routers of this region.
fn near(router: &Router) -> Vec<SocketAddr> {
    let is_near = |front: &&RouterStatus| {
        front.region == router.settings.region && front.name != router.settings.name
    };
    let membership = router.membership.read();
    membership
        .fronts()
        .filter(is_near)
        .filter_map(|f| f.peer_address.parse().ok())
        .collect()
}

/// One router of each other region, by rank for this one.
fn far(router: &Router) -> Vec<SocketAddr> {
    let own = policy::stable_hash(router.settings.name.as_bytes());
    let membership = router.membership.read();
    let mut regions: HashMap<&str, (u64, &RouterStatus)> = HashMap::new();
    for front in membership
        .fronts()
        .filter(|f| f.region != router.settings.region)
    {
        let rank = placement::rank(own, policy::stable_hash(front.name.as_bytes()));
        let best = regions.entry(&front.region).or_insert((rank, front));
        if rank > best.0 {
            *best = (rank, front);
        }
    }
    regions
        .values()
        .filter_map(|(_, front)| front.peer_address.parse().ok())
        .collect()
}

fn tell(router: &Arc<Router>, to: &[SocketAddr], frame: &Frame) {
    for address in to {
        membership::tell(router, *address, frame.clone());
    }
}

/// Takes what another router tells, and passes it on where it came from another
/// region.
pub fn take(
    router: &Arc<Router>,
    from: &str,
    is_relayed: bool,
    loads: Vec<EngineLoad>,
    kept: Vec<CachedPrefix>,
) {
    let news = LoadUpdate {
        loads,
        cached_prefixes: kept,
    };
    router
        .dispatcher
        .engine_tracker
        .apply_load_update(from, &news);
    let is_far = {
        let membership = router.membership.read();
        let region = membership
            .fronts()
            .find(|front| front.name == from)
            .map(|f| &f.region);
        region.is_some_and(|region| *region != router.settings.region)
    };
    if is_far && !is_relayed {
        tell(router, &near(router), &frame(from, true, &news));
    }
}

/// The loop: news as they come, in batches.
pub async fn run(router: Arc<Router>) {
    let mut for_far = LoadUpdate::default();
    let mut told_far = transport::now();
    loop {
        let again = Duration::from_millis(AGAIN_MS);
        drop(
            tokio::time::timeout(
                again,
                router.dispatcher.engine_tracker.load_changed().notified(),
            )
            .await,
        );
        let neighbours = near(&router);
        let batch = BATCH_MS * (neighbours.len() as u64 + 1);
        tokio::time::sleep(Duration::from_millis(batch)).await;
        let news = router.dispatcher.engine_tracker.take_load_update();
        if !news.is_empty() {
            tell(
                &router,
                &neighbours,
                &frame(&router.settings.name, false, &news),
            );
        }
        for load in news.loads {
            match for_far
                .loads
                .iter_mut()
                .find(|known| known.engine == load.engine)
            {
                Some(known) => *known = load,
                None => for_far.loads.push(load),
            }
        }
        for_far.cached_prefixes.extend(news.cached_prefixes);
        if !for_far.is_empty() && transport::now() >= told_far + FAR_BATCH_MS {
            tell(
                &router,
                &far(&router),
                &frame(&router.settings.name, false, &for_far),
            );
            (for_far, told_far) = (LoadUpdate::default(), transport::now());
        }
    }
}
