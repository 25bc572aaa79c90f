//! Tenants' keys. A key is read from standard input, so that it stands in no list of
//! processes and no history.

use super::read_standard_input;
use crate::arguments::{CommandSpec, Words};
use crate::proposal;
use simd_json::{json, OwnedValue};

/// How the commands of this group are written.
pub const SPECS: &[CommandSpec] = &[
    CommandSpec::new(
        "key-add",
        "TENANT",
        "give a tenant a key, read from standard input",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "key-remove",
        "",
        "take a key away, read from standard input",
        proposal::OPTIONS,
    ),
];

/// A command of this group.
pub enum KeyChange {
    /// Gives a tenant one more key.
    Add {
        /// The tenant.
        tenant: String,
    },
    /// Takes a key away.
    Remove,
}

impl KeyChange {
    /// The command of this name, if it belongs here.
    pub fn read(name: &str, words: &Words) -> Option<KeyChange> {
        match name {
            "key-add" => Some(KeyChange::Add {
                tenant: words.required(0),
            }),
            "key-remove" => Some(KeyChange::Remove),
            _ => None,
        }
    }

    /// The change as the operator API takes it; reads standard input.
    pub fn into_json(self) -> anyhow::Result<OwnedValue> {
        let key = read_standard_input()?;
        Ok(match self {
            KeyChange::Add { tenant } => json!({ "do": "key", "tenant": tenant, "key": key }),
            KeyChange::Remove => json!({ "do": "key-gone", "key": key }),
        })
    }
}
