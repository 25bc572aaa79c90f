//! Counters by name, served on every process's operator port.

use parking_lot::Mutex;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// A process's counters. Invariant: a counter only rises.
#[derive(Default)]
pub struct Metrics(Mutex<BTreeMap<&'static str, u64>>);

impl Metrics {
    /// Adds to the counter of this name, which begins at 0.
    pub fn add(&self, name: &'static str, count: u64) {
        *self.0.lock().entry(name).or_default() += count;
    }

    /// Adds 1 to the counter of this name.
    pub fn increment(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// The counter of this name; 0 if nothing was counted.
    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().get(name).copied().unwrap_or(0)
    }

    /// All counters by name, those of violated invariants among them.
    pub fn to_json(&self) -> OwnedValue {
        let mut object = simd_json::owned::Object::default();
        for (name, count) in self.counters() {
            object.insert(name.to_string(), OwnedValue::from(count));
        }
        OwnedValue::from(object)
    }

    /// All counters and their values, those of violated invariants among them.
    pub(crate) fn counters(&self) -> Vec<(&'static str, u64)> {
        let own = self.0.lock();
        let own = own.iter().map(|(name, count)| (*name, *count));
        own.chain(crate::invariants::counters()).collect()
    }
}
