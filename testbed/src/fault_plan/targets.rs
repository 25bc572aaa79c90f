//! What a deployment has that can fail.

use crate::random::XorShift64;
use crate::workload::WorkloadError;
use simd_json::prelude::*;

/// What a deployment has that can fail.
pub(super) struct Targets {
    /// By name.
    pub(super) zones: Vec<String>,
    /// By tenant.
    pub(super) keys: Vec<TenantKey>,
    routers: u64,
    directories: u64,
    engines: u64,
}

/// A tenant's key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TenantKey {
    pub(super) tenant: String,
    pub(super) key: String,
}

/// The word that stands for the node that leads at the moment of the fault.
pub(super) const LEADER: &str = "leader";

impl Targets {
    pub(super) fn read(deployment: &str) -> Result<Targets, WorkloadError> {
        let value = residency::parse_json(deployment)?;
        let object = |field: &'static str| {
            value
                .get(field)
                .and_then(|v| v.as_object())
                .ok_or(WorkloadError::Invalid { field })
        };
        let sum = |field: &'static str| -> Result<u64, WorkloadError> {
            let counts = object(field)?.values();
            Ok(counts.filter_map(|count| count.as_u64()).sum())
        };
        let engines = object("engines")?
            .values()
            .filter_map(|kinds| kinds.as_array())
            .flatten()
            .filter_map(|kind| kind.get("count").and_then(|v| v.as_u64()))
            .sum();
        let mut zones: Vec<String> = object("routers")?.keys().cloned().collect();
        zones.sort();
        let key = |(tenant, key): (&String, &simd_json::OwnedValue)| TenantKey {
            tenant: tenant.clone(),
            key: key.as_str().unwrap_or("").to_string(),
        };
        let mut keys: Vec<TenantKey> = object("keys")?.iter().map(key).collect();
        keys.sort();
        Ok(Targets {
            zones,
            keys,
            routers: sum("routers")?,
            directories: sum("directories")?,
            engines,
        })
    }

    pub(super) fn router(&self, random: &mut XorShift64) -> String {
        format!("router-{}", random.below(self.routers) + 1)
    }

    pub(super) fn directory(&self, random: &mut XorShift64) -> String {
        format!("directory-{}", random.below(self.directories) + 1)
    }

    pub(super) fn engine(&self, random: &mut XorShift64) -> String {
        format!("engine-{}", random.below(self.engines) + 1)
    }

    /// A router, a directory node, an engine, or the leader.
    pub(super) fn any_process(&self, random: &mut XorShift64) -> String {
        match random.below(4) {
            0 => self.router(random),
            1 => self.directory(random),
            2 => self.engine(random),
            _ => LEADER.into(),
        }
    }

    pub(super) fn zone(&self, random: &mut XorShift64) -> String {
        random.pick(&self.zones).clone()
    }

    pub(super) fn key(&self, random: &mut XorShift64) -> TenantKey {
        random.pick(&self.keys).clone()
    }
}
