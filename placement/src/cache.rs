//! One tier of cached values with a time to live; the least recently used is evicted first.

use std::collections::{BTreeMap, HashMap};

/// The result of a lookup.
#[derive(Debug, PartialEq)]
pub enum CacheLookup<T> {
    /// The value may be used as it is.
    Fresh(T),
    /// The value may be used, and is to be refreshed in the background.
    Stale(T),
    /// There is no value, or it has expired.
    Miss,
}

/// A lookup with the time that the value has left.
#[derive(Debug, PartialEq)]
pub struct CacheEntry<T> {
    /// What was found.
    pub lookup: CacheLookup<T>,
    /// For how long the value stays fresh; 0 if it is stale or missing.
    pub fresh_ms: u64,
    /// For how long the value may be used; 0 if it is missing.
    pub expire_ms: u64,
}

impl<T> CacheEntry<T> {
    fn miss() -> CacheEntry<T> {
        CacheEntry {
            lookup: CacheLookup::Miss,
            fresh_ms: 0,
            expire_ms: 0,
        }
    }
}

struct StoredValue<T> {
    value: T,
    fresh_until_ms: u64,
    expires_at_ms: u64,
    /// Its key in `Cache::by_last_use`.
    last_use: u64,
}

/// Invariants: `values` and `by_last_use` hold the same keys, at most `capacity` of them; a
/// value is never returned at or after its expiry.
pub struct Cache<T> {
    values: HashMap<String, StoredValue<T>>,
    by_last_use: BTreeMap<u64, String>,
    capacity: usize,
    /// Counts lookups and insertions.
    uses: u64,
}

impl<T: Clone> Cache<T> {
    /// An empty cache of at most `capacity` values, and at least one.
    pub fn new(capacity: usize) -> Cache<T> {
        Cache {
            values: HashMap::new(),
            by_last_use: BTreeMap::new(),
            capacity: capacity.max(1),
            uses: 0,
        }
    }

    /// How many values it holds, expired ones included.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether it holds no value.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Looks up a key.
    pub fn get(&mut self, key: &str, now: u64) -> CacheEntry<T> {
        self.uses += 1;
        let uses = self.uses;
        let Some(stored) = self.values.get_mut(key) else {
            return CacheEntry::miss();
        };
        if now >= stored.expires_at_ms {
            self.remove(key);
            return CacheEntry::miss();
        }
        self.by_last_use.remove(&stored.last_use);
        stored.last_use = uses;
        self.by_last_use.insert(uses, key.to_string());
        let fresh_ms = stored.fresh_until_ms.saturating_sub(now);
        CacheEntry {
            lookup: match fresh_ms > 0 {
                true => CacheLookup::Fresh(stored.value.clone()),
                false => CacheLookup::Stale(stored.value.clone()),
            },
            fresh_ms,
            expire_ms: stored.expires_at_ms - now,
        }
    }

    /// Stores a value, evicting the least recently used one if the cache is full. A value
    /// that is never fresh is not stored; what was stored under its key is removed.
    pub fn insert(&mut self, key: &str, value: T, fresh_ms: u64, expire_ms: u64, now: u64) {
        self.remove(key);
        if fresh_ms == 0 || expire_ms == 0 {
            return;
        }
        if self.values.len() == self.capacity {
            if let Some((_, oldest)) = self.by_last_use.pop_first() {
                self.values.remove(&oldest);
            }
        }
        self.uses += 1;
        self.by_last_use.insert(self.uses, key.to_string());
        let stored = StoredValue {
            value,
            fresh_until_ms: now + fresh_ms,
            expires_at_ms: now + expire_ms,
            last_use: self.uses,
        };
        self.values.insert(key.to_string(), stored);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        if let Some(stored) = self.values.remove(key) {
            self.by_last_use.remove(&stored.last_use);
        }
    }

    /// Removes the values that a condition holds for, and returns how many they were.
    pub fn remove_if(&mut self, is_invalid: impl Fn(&T) -> bool) -> usize {
        let invalid: Vec<String> = self
            .values
            .iter()
            .filter(|(_, stored)| is_invalid(&stored.value))
            .map(|(key, _)| key.clone())
            .collect();
        invalid.iter().for_each(|key| self.remove(key));
        invalid.len()
    }
}
