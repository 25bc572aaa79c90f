//! Fields of a journal's line. One that is missing reads as its empty value.

use simd_json::prelude::*;
use simd_json::OwnedValue;

/// A text, or "".
pub fn text<'v>(line: &'v OwnedValue, name: &str) -> &'v str {
    line.get(name)
        .and_then(|value| value.as_str())
        .unwrap_or("")
}

/// A whole number, or 0.
pub(crate) fn number(line: &OwnedValue, name: &str) -> u64 {
    line.get(name).and_then(|value| value.as_u64()).unwrap_or(0)
}

/// A truth value, or the default.
pub(crate) fn flag(line: &OwnedValue, name: &str, default: bool) -> bool {
    line.get(name)
        .and_then(|value| value.as_bool())
        .unwrap_or(default)
}
