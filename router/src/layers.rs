//! The two cached layers, and who is asking for what just now.

use parking_lot::Mutex;
use placement::{Cache, Hit};
use residency::{Event, InvalidationScope, Mapping};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;
use transport::now;

/// What events made void, each with the epoch of the last time. A mapping that
/// was resolved before is not to be used or kept, whichever way it came.
/// Invariant: no touch stands twice.
#[derive(Default)]
struct Touches(Vec<(InvalidationScope, u64)>);

/// Invariants: neither layer holds a mapping that an applied event has made
/// void; at most one asker per key is in `asking`.
pub struct Layers {
    own: Mutex<Cache<Mapping>>,
    share: Mutex<Cache<Mapping>>,
    touches: Mutex<Touches>,
    asking: Mutex<HashMap<String, watch::Receiver<Option<Mapping>>>>,
}

/// The right to ask for a key, held by one job; the others wait for what it
/// brings.
pub struct Asker {
    key: Arc<str>,
    sender: watch::Sender<Option<Mapping>>,
}

impl Asker {
    pub fn key(&self) -> &str {
        &self.key
    }

    pub fn bring(&self, mapping: &Mapping) {
        self.sender.send_replace(Some(mapping.clone()));
    }
}

impl Layers {
    pub fn new(own: usize, share: usize) -> Layers {
        Layers {
            own: Mutex::new(Cache::new(own)),
            share: Mutex::new(Cache::new(share)),
            touches: Mutex::default(),
            asking: Mutex::default(),
        }
    }

    pub fn is_void(&self, mapping: &Mapping) -> bool {
        let touches = self.touches.lock();
        touches
            .0
            .iter()
            .any(|(touch, epoch)| mapping.epoch < *epoch && touch.covers(mapping))
    }

    /// Drops what the events of an entry make void.
    pub fn touch(&self, epoch: u64, events: &[Event]) {
        for event in events {
            let Event::Touched(touch) = event else {
                continue;
            };
            let mut touches = self.touches.lock();
            touches
                .0
                .retain(|(known, _)| *touch != InvalidationScope::All && known != touch);
            touches.0.push((touch.clone(), epoch));
            drop(touches);
            self.own.lock().drop_where(|mapping| touch.covers(mapping));
            self.share
                .lock()
                .drop_where(|mapping| touch.covers(mapping));
        }
    }

    /// A whole new picture: which mappings it makes void is not known.
    pub fn touch_all(&self, epoch: u64) {
        self.touch(epoch, &[Event::Touched(InvalidationScope::All)]);
    }

    pub fn own(&self, key: &str) -> Hit<Mapping> {
        self.own.lock().get(key, now()).0
    }

    /// This router's share of the region's layer; times are what is left.
    pub fn share(&self, key: &str) -> Hit<Mapping> {
        let (hit, fresh_ms, expire_ms) = self.share.lock().get(key, now());
        let left = |mapping| Mapping {
            fresh_ms,
            expire_ms,
            ..mapping
        };
        match hit {
            Hit::Fresh(mapping) => Hit::Fresh(left(mapping)),
            Hit::Stale(mapping) => Hit::Stale(left(mapping)),
            Hit::Miss => Hit::Miss,
        }
    }

    pub fn keep_own(&self, mapping: &Mapping) {
        self.keep(&self.own, mapping);
    }

    pub fn keep_share(&self, mapping: &Mapping) {
        self.keep(&self.share, mapping);
    }

    fn keep(&self, layer: &Mutex<Cache<Mapping>>, mapping: &Mapping) {
        let mut layer = layer.lock();
        // Looked at under the layer's lock: an event that comes in later finds
        // the mapping there and drops it.
        if !self.is_void(mapping) {
            let (fresh_ms, expire_ms) = (mapping.fresh_ms, mapping.expire_ms);
            layer.put(&mapping.key(), mapping.clone(), fresh_ms, expire_ms, now());
        }
    }

    /// Becomes the asker of a key, or gets what another asker will bring.
    pub fn ask(&self, key: &str) -> Result<Asker, watch::Receiver<Option<Mapping>>> {
        let mut asking = self.asking.lock();
        if let Some(receiver) = asking.get(key) {
            // A sender that is gone brings nothing more.
            if receiver.has_changed().is_ok() {
                return Err(receiver.clone());
            }
        }
        let (sender, receiver) = watch::channel(None);
        asking.retain(|_, receiver| receiver.has_changed().is_ok());
        asking.insert(key.to_string(), receiver);
        Ok(Asker {
            key: key.into(),
            sender,
        })
    }

    pub fn sizes(&self) -> (usize, usize) {
        (self.own.lock().len(), self.share.lock().len())
    }
}
