//! Which zones get work.

use crate::arguments::{CommandSpec, Words};
use crate::proposal;
use simd_json::{json, OwnedValue};

/// How the commands of this group are written.
pub const SPECS: &[CommandSpec] = &[
    CommandSpec::new(
        "evacuate",
        "ZONE",
        "give a zone's engines no more work",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "reinstate",
        "ZONE",
        "end a zone's evacuation",
        proposal::OPTIONS,
    ),
];

/// A command of this group.
pub enum EvacuationChange {
    /// Gives a zone's engines no more work.
    Evacuate {
        /// The zone.
        zone: String,
    },
    /// Ends a zone's evacuation.
    Reinstate {
        /// The zone.
        zone: String,
    },
}

impl EvacuationChange {
    /// The command of this name, if it belongs here.
    pub fn read(name: &str, words: &Words) -> Option<EvacuationChange> {
        match name {
            "evacuate" => Some(EvacuationChange::Evacuate {
                zone: words.required(0),
            }),
            "reinstate" => Some(EvacuationChange::Reinstate {
                zone: words.required(0),
            }),
            _ => None,
        }
    }

    /// The change as the operator API takes it.
    pub fn into_json(self) -> OwnedValue {
        match self {
            EvacuationChange::Evacuate { zone } => json!({ "do": "evacuate", "zone": zone }),
            EvacuationChange::Reinstate { zone } => json!({ "do": "give-back", "zone": zone }),
        }
    }
}
