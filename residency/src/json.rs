//! Parsing and merging JSON documents.

use simd_json::prelude::*;
use simd_json::OwnedValue;

/// A text that is not JSON.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}, column {column}: {reason}")]
pub struct JsonError {
    /// The line of the first error, from 1.
    pub line: usize,
    /// Its column in bytes, from 1.
    pub column: usize,
    /// The parser's name for the error.
    pub reason: String,
}

/// Parses JSON. Nesting is bounded by the parser.
pub fn parse_json(text: &str) -> Result<OwnedValue, JsonError> {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::to_owned_value(&mut bytes).map_err(|error| {
        let offset = error.index().min(text.len());
        let before = &text.as_bytes()[..offset];
        let is_newline = |byte: &&u8| **byte == b'\n';
        JsonError {
            line: before.iter().filter(is_newline).count() + 1,
            column: before
                .iter()
                .rev()
                .take_while(|byte| !is_newline(byte))
                .count()
                + 1,
            reason: format!("{:?}", error.error()),
        }
    })
}

/// Merges a patch into a document as RFC 7396 says: objects join member by member, null
/// removes a member, and anything else replaces what was there.
pub fn merge(document: &mut OwnedValue, patch: &OwnedValue) {
    let (Some(members), Some(changes)) = (document.as_object_mut(), patch.as_object()) else {
        *document = patch.clone();
        return;
    };
    for (name, change) in changes.iter() {
        if change.is_null() {
            members.remove(name);
        } else if let Some(member) = members.get_mut(name) {
            merge(member, change);
        } else {
            let mut member = OwnedValue::object();
            merge(&mut member, change);
            members.insert(name.clone(), member);
        }
    }
}
