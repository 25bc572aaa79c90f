//! One layer of cached mappings, least recently used ones first to go.

use std::collections::{BTreeMap, HashMap};

/// What a look-up gave.
#[derive(Debug, PartialEq)]
pub enum CacheLookup<T> {
    Fresh(T),
    /// Route by it, and refresh it behind.
    Stale(T),
    Miss,
}

struct Slot<T> {
    value: T,
    fresh_until: u64,
    expires_at: u64,
    used: u64,
}

/// Invariants: `slots` and `order` hold the same keys; no more than `most` of
/// them; an entry is never answered at or past its expiry.
pub struct Cache<T> {
    slots: HashMap<String, Slot<T>>,
    order: BTreeMap<u64, String>,
    most: usize,
    uses: u64,
}

impl<T: Clone> Cache<T> {
    pub fn new(most: usize) -> Cache<T> {
        Cache {
            slots: HashMap::new(),
            order: BTreeMap::new(),
            most: most.max(1),
            uses: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Looks up a key; with a hit, the time that it has left: fresh, expiry.
    pub fn get(&mut self, key: &str, now: u64) -> (CacheLookup<T>, u64, u64) {
        self.uses += 1;
        let uses = self.uses;
        let Some(slot) = self.slots.get_mut(key) else {
            return (CacheLookup::Miss, 0, 0);
        };
        if now >= slot.expires_at {
            self.remove(key);
            return (CacheLookup::Miss, 0, 0);
        }
        self.order.remove(&slot.used);
        slot.used = uses;
        self.order.insert(uses, key.to_string());
        let (fresh, expire) = (slot.fresh_until.saturating_sub(now), slot.expires_at - now);
        match fresh > 0 {
            true => (CacheLookup::Fresh(slot.value.clone()), fresh, expire),
            false => (CacheLookup::Stale(slot.value.clone()), 0, expire),
        }
    }

    /// Keeps a mapping. One that is never fresh is not kept, and whatever was
    /// kept under its key goes.
    pub fn insert(&mut self, key: &str, value: T, fresh_ms: u64, expire_ms: u64, now: u64) {
        self.remove(key);
        if fresh_ms == 0 || expire_ms == 0 {
            return;
        }
        self.keep(key, value, now + fresh_ms, now + expire_ms);
    }

    fn keep(&mut self, key: &str, value: T, fresh_until: u64, expires_at: u64) {
        if self.slots.len() == self.most {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.slots.remove(&oldest);
            }
        }
        self.uses += 1;
        let used = self.uses;
        self.order.insert(used, key.to_string());
        self.slots.insert(
            key.to_string(),
            Slot {
                value,
                fresh_until,
                expires_at,
                used,
            },
        );
    }

    pub fn remove(&mut self, key: &str) {
        if let Some(slot) = self.slots.remove(key) {
            self.order.remove(&slot.used);
        }
    }

    pub fn remove_if(&mut self, is_void: impl Fn(&T) -> bool) -> usize {
        let void: Vec<String> = self
            .slots
            .iter()
            .filter(|(_, slot)| is_void(&slot.value))
            .map(|(key, _)| key.clone())
            .collect();
        void.iter().for_each(|key| self.remove(key));
        void.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_decide_between_fresh_stale_and_miss() {
        let cases = [
            (0, CacheLookup::Fresh(1)),
            (99, CacheLookup::Fresh(1)),
            (100, CacheLookup::Stale(1)),
            (999, CacheLookup::Stale(1)),
            (1000, CacheLookup::Miss),
        ];
        for (now, wanted) in cases {
            let mut cache = Cache::new(4);
            cache.insert("k", 1, 100, 1000, 0);
            assert_eq!(cache.get("k", now).0, wanted, "at {now}");
        }
        let mut cache = Cache::new(4);
        cache.insert("k", 1, 100, 1000, 0);
        cache.insert("k", 2, 0, 1000, 1);
        assert_eq!(
            cache.get("k", 1).0,
            CacheLookup::Miss,
            "never fresh is never kept"
        );
    }

    proptest::proptest! {
        #[test]
        fn the_least_recently_used_go_first(
            steps in proptest::collection::vec((0u8..12, proptest::bool::ANY), 1..200)
        ) {
            let mut cache = Cache::new(4);
            let mut model: Vec<u8> = Vec::new();
            for (key, is_put) in steps {
                let name = key.to_string();
                let known = model.contains(&key);
                if is_put || known {
                    model.retain(|other| *other != key);
                    model.push(key);
                    if model.len() > 4 {
                        model.remove(0);
                    }
                }
                if is_put {
                    cache.insert(&name, key, 10, 10, 0);
                } else {
                    let hit = cache.get(&name, 0).0;
                    assert_eq!(hit, if known { CacheLookup::Fresh(key) } else { CacheLookup::Miss });
                }
                assert_eq!(cache.len(), model.len());
            }
        }
    }
}
