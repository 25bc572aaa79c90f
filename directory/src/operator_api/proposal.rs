//! Reads a proposal from the JSON that operators send. Complaints name the field.

use residency::{
    Command, DrainTarget, Engine, EngineState, MaintenanceWindow, Name, Proposal, TenantKey,
    UpdateMode,
};
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// Fields that a proposal may have.
const FIELDS: [&str; 16] = [
    "id", "base", "do", "whole", "book", "key", "tenant", "name", "address", "cell", "services",
    "slots", "state", "zone", "service", "windows",
];
/// How long a tenant key may be, in bytes.
const KEY_LENGTHS: std::ops::RangeInclusive<usize> = 8..=256;
/// How long a proposal's id may be, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Reads a proposal; its base is 0 where none is stated.
///
/// # Errors
/// A field is unknown, missing or wrong; the text names it.
pub(super) fn read_proposal(value: &OwnedValue) -> Result<Proposal, String> {
    let Some(object) = value.as_object() else {
        return Err("an object should stand here".into());
    };
    let is_unknown = |field: &&String| !FIELDS.contains(&field.as_str());
    if let Some(field) = object.keys().find(is_unknown) {
        return Err(format!("{field}: no such field is known here"));
    }
    let command = read_command(value)?;
    let id = text(value, "id")?;
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("id: 1 to 64 visible characters should stand here".into());
    }
    let base = match value.get("base") {
        None => 0,
        Some(base) => base.as_u64().ok_or("base: an epoch should stand here")?,
    };
    Ok(Proposal {
        id,
        base_epoch: base,
        command,
    })
}

/// Reads what is to be done. Fields are read in the order of the command's own.
fn read_command(value: &OwnedValue) -> Result<Command, String> {
    let text = |field: &str| text(value, field);
    let name = |field: &str| text(field).map(Name);
    Ok(match text("do")?.as_str() {
        "revise" => Command::UpdateTopology {
            mode: read_update_mode(value)?,
            text: value.get("book").ok_or("book: it is missing")?.encode(),
        },
        "key" => Command::AddKey(TenantKey {
            digest: read_key(value)?,
            tenant: text("tenant")?,
        }),
        "key-gone" => Command::RemoveKey(Name(read_key(value)?)),
        "engine" => Command::AddEngine(read_engine(value)?),
        "engine-state" => Command::SetEngineState {
            name: name("name")?,
            state: read_engine_state(value)?,
        },
        "engine-gone" => Command::RemoveEngine(name("name")?),
        "evacuate" => Command::EvacuateZone(name("zone")?),
        "give-back" => Command::ReinstateZone(name("zone")?),
        "move" => Command::MoveKey {
            tenant: name("tenant")?,
            service: name("service")?,
            cell: name("cell")?,
        },
        "settle" => Command::CompleteMove {
            tenant: name("tenant")?,
            service: name("service")?,
        },
        "unpin" => Command::UndoMove {
            tenant: name("tenant")?,
            service: name("service")?,
        },
        "schedule" => Command::ScheduleMaintenance(read_windows(value)?),
        other => return Err(format!("do: {other} is nothing that can be done")),
    })
}

fn read_update_mode(value: &OwnedValue) -> Result<UpdateMode, String> {
    match value.get("whole").and_then(|v| v.as_bool()) {
        Some(true) => Ok(UpdateMode::Replace),
        Some(false) => Ok(UpdateMode::Patch),
        None => Err("whole: true or false should stand here".into()),
    }
}

fn text(value: &OwnedValue, field: &str) -> Result<String, String> {
    value
        .get(field)
        .and_then(|v| v.as_str())
        .map(String::from)
        .ok_or(format!("{field}: a text should stand here"))
}

/// The digest of a tenant key; the key itself is never kept.
fn read_key(value: &OwnedValue) -> Result<String, String> {
    let key = text(value, "key")?;
    match KEY_LENGTHS.contains(&key.len()) {
        true => Ok(policy::sha256_hex(&key)),
        false => Err("key: a tenant key has 8 to 256 characters".to_string()),
    }
}

fn read_engine(value: &OwnedValue) -> Result<Engine, String> {
    let services = value.get("services").and_then(|v| v.as_array());
    let services = services.and_then(|list| {
        list.iter()
            .map(|item| item.as_str().map(Name::from))
            .collect::<Option<Vec<Name>>>()
    });
    Ok(Engine {
        name: text(value, "name")?,
        address: text(value, "address")?,
        cell: text(value, "cell")?,
        services: services.ok_or("services: a list of texts should stand here")?,
        slots: value
            .get("slots")
            .and_then(|v| v.as_u32())
            .ok_or("slots: a number should stand here")?,
        state: read_engine_state(value)?,
        warm_up_ms: 0,
    })
}

fn read_engine_state(value: &OwnedValue) -> Result<EngineState, String> {
    match text(value, "state")?.as_str() {
        "coming" => Ok(EngineState::Announced),
        "serving" => Ok(EngineState::Serving),
        "draining" => Ok(EngineState::Draining),
        other => Err(format!(
            "state: {other} is none of coming, serving, draining"
        )),
    }
}

fn read_windows(value: &OwnedValue) -> Result<Vec<MaintenanceWindow>, String> {
    let list = value.get("windows").and_then(|v| v.as_array());
    let list = list.ok_or("windows: a list should stand here")?;
    let windows = list.iter().enumerate();
    windows
        .map(|(at, window)| read_window(at, window))
        .collect()
}

fn read_window(at: usize, window: &OwnedValue) -> Result<MaintenanceWindow, String> {
    let text = |field: &str| window.get(field).and_then(|v| v.as_str()).map(Name::from);
    let time = |field: &str| {
        let found = window.get(field).and_then(|v| v.as_u64());
        found.ok_or(format!(
            "windows[{at}].{field}: seconds since 1970 should stand here"
        ))
    };
    let target = match (text("zone"), text("engine")) {
        (Some(zone), None) => DrainTarget::Zone(zone),
        (None, Some(engine)) => DrainTarget::Engine(engine),
        _ => {
            return Err(format!(
                "windows[{at}]: a zone or an engine should stand here"
            ))
        }
    };
    let id = text("id").ok_or(format!("windows[{at}].id: a text should stand here"))?;
    Ok(MaintenanceWindow {
        id,
        target,
        starts_at_s: time("from")?,
        ends_at_s: time("until")?,
    })
}
