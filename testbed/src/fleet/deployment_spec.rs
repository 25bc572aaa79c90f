//! What a deployment shape asks for, as it stands in a file.

use anyhow::{anyhow, bail, Context};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::path::Path;

/// What a deployment shape asks for. Invariant: its book reads.
pub struct DeploymentSpec {
    pub name: String,
    pub topology: OwnedValue,
    /// Tenant to key.
    pub keys: BTreeMap<String, String>,
    /// Zone to count.
    pub(super) routers: BTreeMap<String, u64>,
    pub(super) directories: BTreeMap<String, u64>,
    pub(super) engines: Vec<(String, OwnedValue)>,
}

fn counts(value: &OwnedValue, name: &str) -> anyhow::Result<BTreeMap<String, u64>> {
    let object = value
        .get(name)
        .and_then(|v| v.as_object())
        .ok_or(anyhow!("{name}: an object is missing"))?;
    object
        .iter()
        .map(|(zone, count)| match count.as_u64() {
            Some(count) if count <= 100 => Ok((zone.clone(), count)),
            _ => bail!("{name}.{zone}: a count up to 100 should stand here"),
        })
        .collect()
}

impl DeploymentSpec {
    pub fn read(path: &Path) -> anyhow::Result<DeploymentSpec> {
        let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
        DeploymentSpec::parse(&text).with_context(|| format!("{}", path.display()))
    }

    pub fn parse(text: &str) -> anyhow::Result<DeploymentSpec> {
        let value = residency::parse_json(text).map_err(|text| anyhow!(text))?;
        let topology = value
            .get("book")
            .ok_or(anyhow!("book: it is missing"))?
            .clone();
        let read = residency::Topology::from_json(&topology)
            .map_err(|errors| anyhow!("book:\n{errors}"))?;
        let (routers, directories) = (counts(&value, "routers")?, counts(&value, "directories")?);
        for zone in routers.keys().chain(directories.keys()) {
            if !read.zones.contains_key(zone) {
                bail!("routers, directories: there is no zone {zone}");
            }
        }
        let object = |name: &str| {
            value
                .get(name)
                .and_then(|v| v.as_object())
                .ok_or(anyhow!("{name}: an object is missing"))
        };
        let mut keys = BTreeMap::new();
        for (tenant, key) in object("keys")?.iter() {
            let key = key
                .as_str()
                .ok_or(anyhow!("keys.{tenant}: a text should stand here"))?;
            keys.insert(tenant.clone(), key.to_string());
        }
        let mut engines = Vec::new();
        for (cell, engine) in object("engines")?.iter() {
            for kind in engine
                .as_array()
                .ok_or(anyhow!("engines.{cell}: a list should stand here"))?
            {
                engines.push((cell.clone(), kind.clone()));
            }
        }
        engines.sort_by(|a, b| a.0.cmp(&b.0));
        let name = value
            .get("name")
            .and_then(|v| v.as_str())
            .unwrap_or("fleet")
            .to_string();
        Ok(DeploymentSpec {
            name,
            topology,
            keys,
            routers,
            directories,
            engines,
        })
    }
}
