//! Counters by name, served on every process's operator port.

use parking_lot::Mutex;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Invariant: a counter only rises.
#[derive(Default)]
pub struct Metrics(Mutex<BTreeMap<&'static str, u64>>);

impl Metrics {
    pub fn add(&self, name: &'static str, count: u64) {
        *self.0.lock().entry(name).or_default() += count;
    }

    pub fn increment(&self, name: &'static str) {
        self.add(name, 1);
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().get(name).copied().unwrap_or(0)
    }

    pub fn to_json(&self) -> OwnedValue {
        let mut object = simd_json::owned::Object::default();
        for (name, count) in self.0.lock().iter() {
            object.insert((*name).to_string(), OwnedValue::from(*count));
        }
        OwnedValue::from(object)
    }
}
