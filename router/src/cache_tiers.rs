//! The cache tiers that this router holds, what events made invalid, and which
//! lookups are in flight.
//!
//! Two tiers: the local one, and this router's part of the region's cache
//! (`regional_cache.rs` finds the part that a key belongs to). Lookups of one key
//! are coalesced: one request leads, the others wait for the mapping it publishes.

use parking_lot::Mutex;
use placement::{Cache, CacheEntry, CacheLookup};
use residency::{Event, InvalidationScope, Mapping};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;
use transport::now;

/// What events made invalid, each with the epoch of the last time. A mapping that
/// was resolved before that epoch must not be used or cached, whatever its source.
/// Invariant: no scope occurs twice.
#[derive(Default)]
struct Invalidations(Vec<(InvalidationScope, u64)>);

impl Invalidations {
    fn covers(&self, mapping: &Mapping) -> bool {
        self.0
            .iter()
            .any(|(scope, epoch)| mapping.epoch < *epoch && scope.covers(mapping))
    }

    fn record(&mut self, scope: &InvalidationScope, epoch: u64) {
        self.0
            .retain(|(known, _)| *scope != InvalidationScope::All && known != scope);
        self.0.push((scope.clone(), epoch));
    }
}

/// The receiving side of a lookup in flight: `None` until its leader publishes.
pub type PublishedMapping = watch::Receiver<Option<Mapping>>;

/// Invariants: neither tier holds a mapping that an applied event has made invalid;
/// at most one permit per key is in flight.
pub struct CacheTiers {
    local: Mutex<Cache<Mapping>>,
    regional: Mutex<Cache<Mapping>>,
    invalidations: Mutex<Invalidations>,
    in_flight: Mutex<HashMap<String, PublishedMapping>>,
}

/// The right to look a key up at a directory node, held by one request. The others
/// wait for what it publishes, or for its drop.
pub struct LookupPermit {
    key: Arc<str>,
    sender: watch::Sender<Option<Mapping>>,
}

impl LookupPermit {
    /// The key, as of [`residency::routing_key`].
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Gives the mapping to those who wait.
    pub fn publish(&self, mapping: &Mapping) {
        self.sender.send_replace(Some(mapping.clone()));
    }
}

/// Who looks a key up.
pub enum Lookup {
    /// The caller does.
    Lead(LookupPermit),
    /// Another request does; its mapping comes here.
    Join(PublishedMapping),
}

/// How many mappings each tier holds.
pub struct CacheSizes {
    /// In the local tier.
    pub local: usize,
    /// In this router's part of the region's cache.
    pub regional: usize,
}

impl CacheTiers {
    /// Empty tiers of so many mappings each.
    pub fn new(local_entries: usize, regional_entries: usize) -> CacheTiers {
        CacheTiers {
            local: Mutex::new(Cache::new(local_entries)),
            regional: Mutex::new(Cache::new(regional_entries)),
            invalidations: Mutex::default(),
            in_flight: Mutex::default(),
        }
    }

    /// Whether an applied event has made a mapping invalid since it was resolved.
    pub fn is_invalidated(&self, mapping: &Mapping) -> bool {
        self.invalidations.lock().covers(mapping)
    }

    /// Drops what the events of an entry make invalid.
    pub fn invalidate(&self, epoch: u64, events: &[Event]) {
        for event in events {
            let Event::Invalidated(scope) = event else {
                continue;
            };
            self.invalidations.lock().record(scope, epoch);
            for tier in [&self.local, &self.regional] {
                tier.lock().remove_if(|mapping| scope.covers(mapping));
            }
        }
    }

    /// Drops everything: after a snapshot it is not known which mappings changed.
    pub fn invalidate_all(&self, epoch: u64) {
        self.invalidate(epoch, &[Event::Invalidated(InvalidationScope::All)]);
    }

    /// Looks a key up in the local tier.
    pub fn get_local(&self, key: &str) -> CacheLookup<Mapping> {
        self.local.lock().get(key, now()).lookup
    }

    /// Looks a key up in this router's part of the region's cache. The mapping's
    /// times are what is left of them.
    pub fn get_regional(&self, key: &str) -> CacheLookup<Mapping> {
        let CacheEntry {
            lookup,
            fresh_ms,
            expire_ms,
        } = self.regional.lock().get(key, now());
        let left = |mapping| Mapping {
            fresh_ms,
            expire_ms,
            ..mapping
        };
        match lookup {
            CacheLookup::Fresh(mapping) => CacheLookup::Fresh(left(mapping)),
            CacheLookup::Stale(mapping) => CacheLookup::Stale(left(mapping)),
            CacheLookup::Miss => CacheLookup::Miss,
        }
    }

    /// Inserts into the local tier, unless invalidated meanwhile.
    pub fn insert_local(&self, mapping: &Mapping) {
        self.insert(&self.local, mapping);
    }

    /// Inserts into this router's part of the region's cache, unless invalidated
    /// meanwhile.
    pub fn insert_regional(&self, mapping: &Mapping) {
        self.insert(&self.regional, mapping);
    }

    fn insert(&self, tier: &Mutex<Cache<Mapping>>, mapping: &Mapping) {
        let mut tier = tier.lock();
        // Checked under the tier's lock: an event that is applied later finds the
        // mapping there and drops it.
        if !self.is_invalidated(mapping) {
            let (fresh_ms, expire_ms) = (mapping.fresh_ms, mapping.expire_ms);
            tier.insert(
                &mapping.routing_key(),
                mapping.clone(),
                fresh_ms,
                expire_ms,
                now(),
            );
        }
    }

    /// Leads the lookup of a key, or joins the one that is in flight.
    pub fn join_or_lead(&self, key: &str) -> Lookup {
        let mut in_flight = self.in_flight.lock();
        if let Some(receiver) = in_flight.get(key) {
            // A permit that was dropped publishes nothing more.
            if receiver.has_changed().is_ok() {
                return Lookup::Join(receiver.clone());
            }
        }
        let (sender, receiver) = watch::channel(None);
        in_flight.retain(|_, receiver| receiver.has_changed().is_ok());
        in_flight.insert(key.to_string(), receiver);
        Lookup::Lead(LookupPermit {
            key: key.into(),
            sender,
        })
    }

    /// How many mappings each tier holds.
    pub fn sizes(&self) -> CacheSizes {
        CacheSizes {
            local: self.local.lock().len(),
            regional: self.regional.lock().len(),
        }
    }
}
