//! The deployment file: which processes a fleet has, their topology and keys.

use super::error::DeploymentError;
use residency::Topology;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::path::Path;

const MAX_COUNT: u64 = 100;

/// What a deployment file asks for. Invariant: its topology is valid.
pub struct DeploymentSpec {
    /// The deployment's name; `fleet` where the file has none.
    pub name: String,
    /// The topology file's content, as operators submit it.
    pub topology: OwnedValue,
    /// Tenant to key.
    pub keys: BTreeMap<String, String>,
    /// Zone to count.
    pub(super) routers: BTreeMap<String, u64>,
    pub(super) directories: BTreeMap<String, u64>,
    /// By cell.
    pub(super) engines: Vec<EngineGroup>,
}

/// Engines of one kind in one cell.
pub(super) struct EngineGroup {
    pub(super) cell: String,
    pub(super) count: u64,
    pub(super) engine: EngineSpec,
}

/// How a simulated engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its cell.
    pub cell: String,
    /// The services that it serves.
    pub services: Vec<String>,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Chunks of a response.
    pub chunks: u64,
    /// Time between two chunks.
    pub chunk_ms: u64,
    /// Time for a prompt whose prefix is not cached.
    pub prefill_ms: u64,
}

impl EngineSpec {
    fn read(cell: &str, value: &OwnedValue) -> EngineSpec {
        let number = |name: &str, default: u64| {
            let found = value.get(name).and_then(|v| v.as_u64());
            found.unwrap_or(default)
        };
        let services = value.get("services").and_then(|v| v.as_array());
        let services = services.into_iter().flatten();
        EngineSpec {
            cell: cell.to_string(),
            services: services
                .filter_map(|v| v.as_str().map(String::from))
                .collect(),
            slots: number("slots", 8),
            chunks: number("pieces", 8),
            chunk_ms: number("piece_ms", 15),
            prefill_ms: number("prefill_ms", 80),
        }
    }
}

fn field_error(field: impl Into<String>, expected: &'static str) -> DeploymentError {
    DeploymentError::Field {
        field: field.into(),
        expected,
    }
}

fn object<'v>(
    value: &'v OwnedValue,
    name: &str,
) -> Result<&'v simd_json::owned::Object, DeploymentError> {
    value
        .get(name)
        .and_then(|v| v.as_object())
        .ok_or_else(|| field_error(name, "an object is missing"))
}

fn counts(value: &OwnedValue, name: &str) -> Result<BTreeMap<String, u64>, DeploymentError> {
    let count = |(zone, count): (&String, &OwnedValue)| match count.as_u64() {
        Some(count) if count <= MAX_COUNT => Ok((zone.clone(), count)),
        _ => Err(field_error(
            format!("{name}.{zone}"),
            "a count up to 100 should stand here",
        )),
    };
    object(value, name)?.iter().map(count).collect()
}

fn keys(value: &OwnedValue) -> Result<BTreeMap<String, String>, DeploymentError> {
    let key = |(tenant, key): (&String, &OwnedValue)| match key.as_str() {
        Some(key) => Ok((tenant.clone(), key.to_string())),
        None => Err(field_error(
            format!("keys.{tenant}"),
            "a text should stand here",
        )),
    };
    object(value, "keys")?.iter().map(key).collect()
}

fn engines(value: &OwnedValue) -> Result<Vec<EngineGroup>, DeploymentError> {
    let mut groups = Vec::new();
    for (cell, list) in object(value, "engines")?.iter() {
        let list = list
            .as_array()
            .ok_or_else(|| field_error(format!("engines.{cell}"), "a list should stand here"))?;
        for engine in list {
            let count = engine.get("count").and_then(|v| v.as_u64());
            groups.push(EngineGroup {
                cell: cell.clone(),
                count: count.unwrap_or(1),
                engine: EngineSpec::read(cell, engine),
            });
        }
    }
    groups.sort_by(|a, b| a.cell.cmp(&b.cell));
    Ok(groups)
}

impl DeploymentSpec {
    /// Reads a deployment file.
    ///
    /// # Errors
    ///
    /// The first error in the file, with its path.
    pub fn read(path: &Path) -> Result<DeploymentSpec, DeploymentError> {
        let text = std::fs::read_to_string(path).map_err(|error| DeploymentError::Unreadable {
            path: path.to_path_buf(),
            error,
        })?;
        DeploymentSpec::parse(&text).map_err(|error| DeploymentError::InFile {
            path: path.to_path_buf(),
            error: Box::new(error),
        })
    }

    /// Reads a deployment file's text.
    ///
    /// # Errors
    ///
    /// The first error in the text.
    pub fn parse(text: &str) -> Result<DeploymentSpec, DeploymentError> {
        let value = residency::parse_json(text)?;
        let topology = value
            .get("book")
            .ok_or_else(|| field_error("book", "it is missing"))?;
        let checked =
            Topology::from_json(topology).map_err(|problems| DeploymentError::Topology {
                problems: problems.to_string(),
            })?;
        let routers = counts(&value, "routers")?;
        let directories = counts(&value, "directories")?;
        let mut zones = routers.keys().chain(directories.keys());
        if let Some(zone) = zones.find(|zone| !checked.zones.contains_key(*zone)) {
            return Err(DeploymentError::UnknownZone { zone: zone.clone() });
        }
        let keys = keys(&value)?;
        let engines = engines(&value)?;
        let name = value.get("name").and_then(|v| v.as_str());
        Ok(DeploymentSpec {
            name: name.unwrap_or("fleet").to_string(),
            topology: topology.clone(),
            keys,
            routers,
            directories,
            engines,
        })
    }
}
