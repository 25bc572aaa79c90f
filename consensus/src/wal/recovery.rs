//! Recovery at the start: reads snapshot and segments back into a [`PersistedState`].

use super::error::{directory_error, io_error, Corruption, WalError};
use super::record::{check_file_header, read_record, Record, FILE_HEADER_BYTES, SEGMENT_MAGIC};
use super::segment::ClosedSegment;
use super::storage::LogStorage;
use super::{segment, snapshot_file};
use crate::codec::from_bytes;
use crate::node::PersistedState;
use crate::{Entry, LogIndex, LogPosition, Snapshot};

/// What was found in the directory.
pub(super) struct Recovered {
    pub(super) state: PersistedState,
    /// The segments that were replayed, oldest first.
    pub(super) segments: Vec<ClosedSegment>,
    /// Number of the newest segment; 0 without one.
    pub(super) newest_segment: u64,
    /// Indexes of the snapshot files.
    pub(super) snapshots: Vec<LogIndex>,
    /// Position of the snapshot, where all entries in the segments precede it or
    /// belong to another branch: the log must be reset there.
    pub(super) reset: Option<LogPosition>,
}

/// Reads the directory, removes partial snapshot files and cuts off a torn tail.
pub(super) fn recover(storage: &mut impl LogStorage) -> Result<Recovered, WalError> {
    let names = storage.list().map_err(directory_error("list"))?;
    for name in &names {
        if name.ends_with(snapshot_file::PARTIAL_SUFFIX) {
            storage.remove(name).map_err(io_error("remove", name))?;
        }
    }
    let mut state = PersistedState::default();
    let snapshots = numbers_after(&names, snapshot_file::NAME_PREFIX);
    if let Some(index) = snapshots.last() {
        state.snapshot = Some(snapshot_file::read(storage, *index)?);
    }
    let numbers = numbers_after(&names, segment::NAME_PREFIX);
    let mut segments = Vec::new();
    for (position, number) in numbers.iter().enumerate() {
        let is_newest = position + 1 == numbers.len();
        if replay_segment(storage, *number, is_newest, &mut state)? {
            segments.push(ClosedSegment {
                number: *number,
                last_index: state.entries.last().map_or(0, |entry| entry.index),
            });
        }
    }
    let reset = discard_covered_entries(&mut state);
    check_log_follows_snapshot(&state, numbers.first().copied().unwrap_or(0))?;
    Ok(Recovered {
        state,
        segments,
        newest_segment: numbers.last().copied().unwrap_or(0),
        snapshots,
        reset,
    })
}

/// The numbers of the files whose name is `prefix` and a number, in order.
fn numbers_after(names: &[String], prefix: &str) -> Vec<u64> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| name.strip_prefix(prefix)?.parse().ok())
        .collect();
    numbers.sort_unstable();
    numbers
}

/// Drops the entries that the snapshot covers, and all of them where the log at the
/// snapshot's index is of another term: then it is a branch that the snapshot replaced.
/// Returns the snapshot's position if there were entries and none is left.
fn discard_covered_entries(state: &mut PersistedState) -> Option<LogPosition> {
    let base = snapshot_position(state);
    let is_other_branch = state
        .entries
        .iter()
        .any(|entry| entry.index == base.index && entry.term != base.term);
    let count = state.entries.len();
    state
        .entries
        .retain(|entry| entry.index > base.index && !is_other_branch);
    (count > 0 && state.entries.is_empty()).then_some(base)
}

fn check_log_follows_snapshot(state: &PersistedState, oldest: u64) -> Result<(), WalError> {
    let base = snapshot_position(state).index;
    match state.entries.first() {
        Some(first) if first.index != base + 1 => Err(Corruption::MissingEntries {
            snapshot: base,
            first: first.index,
        }
        .at(&segment::name(oldest), FILE_HEADER_BYTES)),
        _ => Ok(()),
    }
}

/// The position of the snapshot; 0 without one.
pub(super) fn snapshot_position(state: &PersistedState) -> LogPosition {
    let snapshot = state.snapshot.as_ref();
    snapshot.map_or(LogPosition::default(), Snapshot::position)
}

/// Applies a segment's records to `state`. Returns false for a segment that a crash left
/// without content, which is removed.
fn replay_segment(
    storage: &mut impl LogStorage,
    number: u64,
    is_newest: bool,
    state: &mut PersistedState,
) -> Result<bool, WalError> {
    let name = segment::name(number);
    let bytes = storage.read(&name).map_err(io_error("read", &name))?;
    // A crash may keep a new file's length and lose its bytes.
    let is_blank = bytes.len() < FILE_HEADER_BYTES || bytes.iter().all(|byte| *byte == 0);
    if is_newest && is_blank {
        // Removed durably before the next segment is begun: if this one came back after
        // that, it would be taken for damage.
        storage.remove(&name).map_err(io_error("remove", &name))?;
        storage.sync_directory().map_err(directory_error("sync"))?;
        return Ok(false);
    }
    check_file_header(&name, &bytes, SEGMENT_MAGIC)?;
    let mut offset = FILE_HEADER_BYTES;
    while offset < bytes.len() {
        let (body, next) = match read_record(&bytes, offset) {
            Ok(record) => record,
            Err(_) if is_newest && is_torn_tail(&bytes, offset) => {
                storage
                    .truncate(&name, offset as u64)
                    .map_err(io_error("truncate", &name))?;
                storage.sync(&name).map_err(io_error("sync", &name))?;
                return Ok(true);
            }
            Err(corruption) => return Err(corruption.at(&name, offset)),
        };
        from_bytes(body)
            .map_err(Corruption::UndecodableRecord)
            .and_then(|record| apply_record(record, state))
            .map_err(|corruption| corruption.at(&name, offset))?;
        offset = next;
    }
    Ok(true)
}

/// Whether no valid record follows the invalid one at `offset`: then a crash tore the
/// last write, which was not synced.
fn is_torn_tail(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).all(|later| read_record(bytes, later).is_err())
}

fn apply_record(record: Record, state: &mut PersistedState) -> Result<(), Corruption> {
    match record {
        Record::HardState(hard_state) => state.hard_state = hard_state,
        Record::Truncate(from) => state.entries.retain(|entry| entry.index < from),
        Record::Reset { .. } => state.entries.clear(),
        Record::Entry(entry) => append_entry(entry, &mut state.entries)?,
    }
    Ok(())
}

/// Appends an entry after removing those from its index on.
fn append_entry(entry: Entry, entries: &mut Vec<Entry>) -> Result<(), Corruption> {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    match entries.last() {
        Some(last) if last.index + 1 != entry.index => Err(Corruption::IndexGap {
            expected: last.index + 1,
            found: entry.index,
        }),
        _ => {
            entries.push(entry);
            Ok(())
        }
    }
}
