//! The list of engines.

use crate::arguments::{CommandSpec, UsageError, Words};
use crate::proposal;
use simd_json::{json, OwnedValue};

/// How the commands of this group are written.
pub const SPECS: &[CommandSpec] = &[
    CommandSpec::new(
        "engine-add",
        "NAME ADDRESS CELL SERVICE,... SLOTS [coming|serving]",
        "add an engine to the list, or change its entry",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "engine-serve",
        "NAME",
        "let an engine get work",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "engine-drain",
        "NAME",
        "give an engine no more work; it finishes what it has",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "engine-remove",
        "NAME",
        "remove an engine from the list",
        proposal::OPTIONS,
    ),
];

/// A command of this group.
pub enum EngineChange {
    /// Adds or changes an entry.
    Add {
        /// The engine's name.
        name: String,
        /// Where it listens.
        address: String,
        /// Its cell.
        cell: String,
        /// The services that it runs.
        services: Vec<String>,
        /// Requests that it takes at a time.
        slots: u32,
        /// `coming` or `serving`.
        state: String,
    },
    /// Sets an engine's state.
    SetState {
        /// The engine's name.
        name: String,
        /// `serving` or `draining`.
        state: &'static str,
    },
    /// Removes an entry.
    Remove {
        /// The engine's name.
        name: String,
    },
}

impl EngineChange {
    /// The command of this name, if it belongs here.
    ///
    /// # Errors
    /// [`UsageError::Value`].
    pub fn read(name: &str, words: &Words) -> Result<Option<EngineChange>, UsageError> {
        let set_state = |state| EngineChange::SetState {
            name: words.required(0),
            state,
        };
        Ok(Some(match name {
            "engine-add" => EngineChange::Add {
                name: words.required(0),
                address: words.required(1),
                cell: words.required(2),
                services: words.required(3).split(',').map(String::from).collect(),
                slots: words.parsed(4, "SLOTS", "a number")?,
                state: words.optional(5).unwrap_or_else(|| "serving".into()),
            },
            "engine-serve" => set_state("serving"),
            "engine-drain" => set_state("draining"),
            "engine-remove" => EngineChange::Remove {
                name: words.required(0),
            },
            _ => return Ok(None),
        }))
    }

    /// The change as the operator API takes it.
    pub fn into_json(self) -> OwnedValue {
        match self {
            EngineChange::Add {
                name,
                address,
                cell,
                services,
                slots,
                state,
            } => json!({
                "do": "engine", "name": name, "address": address, "cell": cell,
                "services": services, "slots": slots, "state": state,
            }),
            EngineChange::SetState { name, state } => {
                json!({ "do": "engine-state", "name": name, "state": state })
            }
            EngineChange::Remove { name } => json!({ "do": "engine-gone", "name": name }),
        }
    }
}
