//! Counters by name, told on every process's operators' port.

use parking_lot::Mutex;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Invariant: a counter only rises.
#[derive(Default)]
pub struct Counters(Mutex<BTreeMap<&'static str, u64>>);

impl Counters {
    pub fn add(&self, name: &'static str, count: u64) {
        *self.0.lock().entry(name).or_default() += count;
    }

    pub fn one(&self, name: &'static str) {
        self.add(name, 1);
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().get(name).copied().unwrap_or(0)
    }

    pub fn value(&self) -> OwnedValue {
        let mut object = simd_json::owned::Object::default();
        for (name, count) in self.0.lock().iter() {
            object.insert((*name).to_string(), OwnedValue::from(*count));
        }
        OwnedValue::from(object)
    }
}
