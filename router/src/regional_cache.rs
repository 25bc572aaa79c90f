//! The cache that the routers of a region share. Each mapping has one router that
//! owns it, by rendezvous hashing of its key over the region's routers.

use crate::router::Router;
use placement::CacheLookup;
use residency::Mapping;
use std::net::SocketAddr;
use std::time::Duration;

/// An owner that takes longer to respond counts as a miss.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(60);

/// The router that owns a key in the region's cache. `None`: this one.
fn owner(router: &Router, key: &str) -> Option<SocketAddr> {
    let membership = router.membership.read();
    let own = (router.settings.name.as_str(), None);
    let others = membership
        .cache_peers()
        .filter_map(|peer| Some((peer.name.as_str(), Some(peer.peer_address.parse().ok()?))));
    let hash = |text: &str| policy::stable_hash(text.as_bytes());
    let members = std::iter::once(own).chain(others);
    let members = members.map(|(name, address)| (hash(name), address));
    let (_, address) = placement::highest_ranked(hash(key), members)?;
    address
}

/// Looks a key up at the router that owns it. Any failure is a miss.
pub async fn look_up(router: &Router, key: &str) -> CacheLookup<Mapping> {
    let Some(owner) = owner(router, key) else {
        return router.cache_tiers.get_regional(key);
    };
    let epoch = router.view.borrow().epoch;
    let response = router
        .peer_links
        .look_up(owner, key, epoch, LOOKUP_TIMEOUT)
        .await;
    match response {
        Ok(Some(mapping))
            if mapping.routing_key() == key && !router.cache_tiers.is_invalidated(&mapping) =>
        {
            match mapping.fresh_ms > 0 {
                true => CacheLookup::Fresh(mapping),
                false => CacheLookup::Stale(mapping),
            }
        }
        Ok(_) => CacheLookup::Miss,
        Err(_) => {
            router.metrics.increment("neighbours-silent");
            CacheLookup::Miss
        }
    }
}

/// Writes a mapping to both tiers: this router's own, and its owner's.
pub fn insert(router: &Router, mapping: &Mapping) {
    router.cache_tiers.insert_local(mapping);
    match owner(router, &mapping.routing_key()) {
        None => router.cache_tiers.insert_regional(mapping),
        Some(owner) => router
            .peer_links
            .send(owner, protocol::Frame::CacheStore(mapping.clone())),
    }
}
