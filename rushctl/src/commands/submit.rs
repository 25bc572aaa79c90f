//! Any change, as the operator API takes it.

use super::read_standard_input;
use crate::arguments::CommandSpec;
use crate::proposal;
use anyhow::anyhow;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// The command's name.
pub const NAME: &str = "submit";

/// How the command is written.
pub const SPECS: &[CommandSpec] = &[CommandSpec::new(
    NAME,
    "",
    "submit any change, read as JSON from standard input",
    proposal::OPTIONS,
)];

/// The change on standard input.
pub fn read_input() -> anyhow::Result<OwnedValue> {
    let value = residency::parse_json(&read_standard_input()?)
        .map_err(|error| anyhow!("standard input: {error}"))?;
    anyhow::ensure!(
        value.as_object().is_some(),
        "standard input: an object should stand here"
    );
    Ok(value)
}
