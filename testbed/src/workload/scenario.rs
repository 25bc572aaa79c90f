//! Scenarios: events, crowds and storms that a generated workload gets.

use super::error::WorkloadError;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// A scenario of a file.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name in the file.
    pub name: String,
    /// Its object in the file, with the deployment's names filled in.
    pub definition: OwnedValue,
}

/// Reads the scenarios of a file, with the names of a deployment filled in: `@zone1` to
/// `@zone3` are its zones, those with more routers first; `@tenant1` to `@tenant8` its
/// tenants by name, and `@key1` to `@key8` their keys.
///
/// # Errors
///
/// Where either file is no JSON, or lacks the routers, the keys, or a scenario's name.
pub fn read_scenarios(scenarios: &str, deployment: &str) -> Result<Vec<Scenario>, WorkloadError> {
    let deployment = residency::parse_json(deployment)?;
    let text = fill_in_names(scenarios, &deployment)?;
    let list = residency::parse_json(&text)?;
    let list = list
        .as_array()
        .ok_or(WorkloadError::Invalid { field: "scenarios" })?;
    let scenario = |definition: &OwnedValue| {
        let name = definition.get("name").and_then(|v| v.as_str());
        Ok(Scenario {
            name: name
                .ok_or(WorkloadError::Invalid { field: "name" })?
                .to_string(),
            definition: definition.clone(),
        })
    };
    list.iter().map(scenario).collect()
}

fn fill_in_names(scenarios: &str, deployment: &OwnedValue) -> Result<String, WorkloadError> {
    let object = |field: &'static str| {
        deployment
            .get(field)
            .and_then(|v| v.as_object())
            .ok_or(WorkloadError::Invalid { field })
    };
    let mut zones: Vec<(u64, String)> = object("routers")?
        .iter()
        .map(|(zone, count)| (u64::MAX - count.as_u64().unwrap_or(0), zone.clone()))
        .collect();
    zones.sort();
    let mut keys: Vec<(String, String)> = object("keys")?
        .iter()
        .map(|(tenant, key)| (tenant.clone(), key.as_str().unwrap_or("").to_string()))
        .collect();
    keys.sort();
    let mut text = scenarios.to_string();
    for (index, (_, zone)) in zones.iter().enumerate() {
        text = text.replace(&format!("@zone{}", index + 1), zone);
    }
    for (index, (tenant, key)) in keys.iter().enumerate() {
        text = text.replace(&format!("@tenant{}", index + 1), tenant);
        text = text.replace(&format!("@key{}", index + 1), key);
    }
    Ok(text)
}
