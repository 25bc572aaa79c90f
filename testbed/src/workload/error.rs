//! What is wrong with a workload, or with what one is generated from.

use super::action::UnknownOperation;
use residency::JsonError;
use thiserror::Error;

/// An error in one line of a workload.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum LineError {
    /// The line is no JSON.
    #[error("column {column}: {reason}")]
    Json {
        /// Where, from 1 on.
        column: usize,
        /// What the parser expected.
        reason: String,
    },
    /// The line is no JSON object.
    #[error("an object should stand here")]
    NotAnObject,
    /// A field that no line has.
    #[error("{field}: no such field is known here")]
    UnknownField {
        /// The field.
        field: String,
    },
    /// A field is missing or has another type.
    #[error("{field}: {expected} should stand here")]
    Expected {
        /// The field.
        field: String,
        /// What belongs there.
        expected: &'static str,
    },
    /// A machine operation that does not exist.
    #[error("machine: {0}")]
    UnknownOperation(#[from] UnknownOperation),
    /// The line is earlier than the one before.
    #[error("at: it goes back in time")]
    BackInTime,
}

impl LineError {
    pub(super) fn expected(field: impl Into<String>, expected: &'static str) -> LineError {
        LineError::Expected {
            field: field.into(),
            expected,
        }
    }
}

/// An error in a line, with the line's number from 1 on.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("line {line}: {error}")]
pub struct NumberedLineError {
    /// The line's number.
    pub line: usize,
    /// The error.
    pub error: LineError,
}

/// Why no workload can be generated, or no scenario read.
#[derive(Debug, Error)]
pub enum WorkloadError {
    /// A file is no JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A part of a file is missing or has another type.
    #[error("{field}: it is missing or not what it should be")]
    Invalid {
        /// The part.
        field: &'static str,
    },
    /// A field is no number.
    #[error("{field}: a number should stand here")]
    NotANumber {
        /// The field, with the list that it is in.
        field: String,
    },
    /// An entry makes a line that is not valid.
    #[error("{list}: {error}")]
    Line {
        /// The list with the entry: `mix`, `storms` or `events`.
        list: &'static str,
        /// The line's error.
        error: LineError,
    },
}
