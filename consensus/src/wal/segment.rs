//! Segments: their names, their first bytes, and which of them are closed.

use super::record::{file_header, record_bytes, Record, SEGMENT_MAGIC};
use crate::{HardState, LogIndex, LogPosition};

/// Prefix of the files' names on disk; it is part of the format.
pub(super) const NAME_PREFIX: &str = "segment-";
/// A segment is closed once it is larger than this.
pub(super) const CLOSE_AFTER_BYTES: u64 = 4 << 20;

pub(super) fn name(number: u64) -> String {
    format!("{NAME_PREFIX}{number:012}")
}

/// A segment that is not written any more.
pub(super) struct ClosedSegment {
    pub(super) number: u64,
    /// The last index that it may contain.
    pub(super) last_index: LogIndex,
}

/// What a new segment begins with: the hard state in force, and a reset of the log if one
/// is given.
pub(super) fn first_bytes(hard_state: HardState, reset: Option<LogPosition>) -> Vec<u8> {
    let mut bytes = file_header(SEGMENT_MAGIC);
    bytes.extend(record_bytes(&Record::HardState(hard_state)));
    if let Some(LogPosition { term, index }) = reset {
        bytes.extend(record_bytes(&Record::Reset { index, term }));
    }
    bytes
}
