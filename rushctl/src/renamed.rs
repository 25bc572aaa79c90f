//! Names of earlier builds. They are refused with the new name, so that a script of
//! that time fails at once and says what to write.

/// Commands: the earlier name and today's.
const COMMANDS: &[(&str, &str)] = &[
    ("book", "topology"),
    ("engine-gone", "engine-remove"),
    ("engine-list", "engine-add"),
    ("found", "bootstrap"),
    ("give-back", "reinstate"),
    ("key-drop", "key-remove"),
    ("retire", "remove-member"),
    ("revise", "apply"),
    ("settle", "complete-move"),
    ("unpin", "undo-move"),
    ("windows", "maintenance"),
];

/// Options: the earlier name and today's.
const OPTIONS: &[(&str, &str)] = &[("desk", "operator-api")];

/// The environment variable with the addresses of operator APIs.
pub const ADDRESSES_VARIABLE: &str = "RUSHPORT_OPERATOR_API";
/// Its earlier name.
pub const FORMER_ADDRESSES_VARIABLE: &str = "RUSHPORT_DESK";

fn look_up(names: &[(&'static str, &'static str)], former: &str) -> Option<&'static str> {
    let found = names.iter().find(|(name, _)| *name == former);
    found.map(|(_, name)| *name)
}

/// Today's name of a command that an earlier build had.
pub fn command(former: &str) -> Option<&'static str> {
    look_up(COMMANDS, former)
}

/// Today's name of an option that an earlier build had.
pub fn option(former: &str) -> Option<&'static str> {
    look_up(OPTIONS, former)
}
