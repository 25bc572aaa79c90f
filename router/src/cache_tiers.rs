//! The two cached layers, and the lookups in flight.

use parking_lot::Mutex;
use placement::{Cache, CacheEntry, CacheLookup};
use residency::{Event, InvalidationScope, Mapping};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;
use transport::now;

/// What events made void, each with the epoch of the last time. A mapping that
/// was resolved before is not to be used or kept, whichever way it came.
/// Invariant: no touch stands twice.
#[derive(Default)]
struct Invalidations(Vec<(InvalidationScope, u64)>);

/// Invariants: neither layer holds a mapping that an applied event has made
/// void; at most one permit per key is in `in_flight`.
pub struct CacheTiers {
    own: Mutex<Cache<Mapping>>,
    share: Mutex<Cache<Mapping>>,
    invalidations: Mutex<Invalidations>,
    in_flight: Mutex<HashMap<String, watch::Receiver<Option<Mapping>>>>,
}

/// The right to ask for a key, held by one job; the others wait for what it
/// brings.
pub struct LookupPermit {
    key: Arc<str>,
    sender: watch::Sender<Option<Mapping>>,
}

impl LookupPermit {
    pub fn key(&self) -> &str {
        &self.key
    }

    pub fn publish(&self, mapping: &Mapping) {
        self.sender.send_replace(Some(mapping.clone()));
    }
}

impl CacheTiers {
    pub fn new(own: usize, share: usize) -> CacheTiers {
        CacheTiers {
            own: Mutex::new(Cache::new(own)),
            share: Mutex::new(Cache::new(share)),
            invalidations: Mutex::default(),
            in_flight: Mutex::default(),
        }
    }

    pub fn is_void(&self, mapping: &Mapping) -> bool {
        let invalidations = self.invalidations.lock();
        invalidations
            .0
            .iter()
            .any(|(touch, epoch)| mapping.epoch < *epoch && touch.covers(mapping))
    }

    /// Drops what the events of an entry make void.
    pub fn invalidate(&self, epoch: u64, events: &[Event]) {
        for event in events {
            let Event::Invalidated(touch) = event else {
                continue;
            };
            let mut invalidations = self.invalidations.lock();
            invalidations
                .0
                .retain(|(known, _)| *touch != InvalidationScope::All && known != touch);
            invalidations.0.push((touch.clone(), epoch));
            drop(invalidations);
            self.own.lock().remove_if(|mapping| touch.covers(mapping));
            self.share.lock().remove_if(|mapping| touch.covers(mapping));
        }
    }

    /// A whole new picture: which mappings it makes void is not known.
    pub fn invalidate_all(&self, epoch: u64) {
        self.invalidate(epoch, &[Event::Invalidated(InvalidationScope::All)]);
    }

    pub fn get_local(&self, key: &str) -> CacheLookup<Mapping> {
        self.own.lock().get(key, now()).lookup
    }

    /// This router's share of the region's layer; times are what is left.
    pub fn get_regional(&self, key: &str) -> CacheLookup<Mapping> {
        let CacheEntry {
            lookup,
            fresh_ms,
            expire_ms,
        } = self.share.lock().get(key, now());
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

    pub fn insert_local(&self, mapping: &Mapping) {
        self.keep(&self.own, mapping);
    }

    pub fn insert_regional(&self, mapping: &Mapping) {
        self.keep(&self.share, mapping);
    }

    fn keep(&self, layer: &Mutex<Cache<Mapping>>, mapping: &Mapping) {
        let mut layer = layer.lock();
        // Looked at under the layer's lock: an event that comes in later finds
        // the mapping there and drops it.
        if !self.is_void(mapping) {
            let (fresh_ms, expire_ms) = (mapping.fresh_ms, mapping.expire_ms);
            layer.insert(
                &mapping.routing_key(),
                mapping.clone(),
                fresh_ms,
                expire_ms,
                now(),
            );
        }
    }

    /// Leads the lookup of a key, or gets what another one's leader will publish.
    pub fn join_or_lead(
        &self,
        key: &str,
    ) -> Result<LookupPermit, watch::Receiver<Option<Mapping>>> {
        let mut in_flight = self.in_flight.lock();
        if let Some(receiver) = in_flight.get(key) {
            // A sender that is gone brings nothing more.
            if receiver.has_changed().is_ok() {
                return Err(receiver.clone());
            }
        }
        let (sender, receiver) = watch::channel(None);
        in_flight.retain(|_, receiver| receiver.has_changed().is_ok());
        in_flight.insert(key.to_string(), receiver);
        Ok(LookupPermit {
            key: key.into(),
            sender,
        })
    }

    pub fn sizes(&self) -> (usize, usize) {
        (self.own.lock().len(), self.share.lock().len())
    }
}
