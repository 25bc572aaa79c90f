//! Moving a tenant's service to another cell.

use crate::arguments::{CommandSpec, Words};
use crate::proposal;
use simd_json::{json, OwnedValue};

/// How the commands of this group are written.
pub const SPECS: &[CommandSpec] = &[
    CommandSpec::new(
        "move",
        "TENANT SERVICE CELL",
        "begin to move a key's requests to another cell",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "complete-move",
        "TENANT SERVICE",
        "complete a move: the key may be cached again",
        proposal::OPTIONS,
    ),
    CommandSpec::new(
        "undo-move",
        "TENANT SERVICE",
        "undo a move",
        proposal::OPTIONS,
    ),
];

/// A command of this group, about one routing key: a tenant and a service.
pub struct RelocationChange {
    tenant: String,
    service: String,
    step: Step,
}

enum Step {
    Begin { cell: String },
    Complete,
    Undo,
}

impl RelocationChange {
    /// The command of this name, if it belongs here.
    pub fn read(name: &str, words: &Words) -> Option<RelocationChange> {
        let step = match name {
            "move" => Step::Begin {
                cell: words.required(2),
            },
            "complete-move" => Step::Complete,
            "undo-move" => Step::Undo,
            _ => return None,
        };
        Some(RelocationChange {
            tenant: words.required(0),
            service: words.required(1),
            step,
        })
    }

    /// The change as the operator API takes it.
    pub fn into_json(self) -> OwnedValue {
        let RelocationChange {
            tenant,
            service,
            step,
        } = self;
        match step {
            Step::Begin { cell } => {
                json!({ "do": "move", "tenant": tenant, "service": service, "cell": cell })
            }
            Step::Complete => json!({ "do": "settle", "tenant": tenant, "service": service }),
            Step::Undo => json!({ "do": "unpin", "tenant": tenant, "service": service }),
        }
    }
}
