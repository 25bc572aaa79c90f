//! Snapshot files: one checksummed record, written under a temporary name and renamed
//! once it is synced.

use super::error::{directory_error, io_error, Corruption, WalError};
use super::record::{
    check_file_header, file_header, read_record, record_bytes, FILE_HEADER_BYTES, SNAPSHOT_MAGIC,
};
use super::storage::LogStorage;
use crate::codec::from_bytes;
use crate::{LogIndex, Snapshot};

/// Prefix of the files' names on disk; it is part of the format.
pub(super) const NAME_PREFIX: &str = "picture-";
/// Suffix of a file that is still being written.
pub(super) const PARTIAL_SUFFIX: &str = ".part";

pub(super) fn name(index: LogIndex) -> String {
    format!("{NAME_PREFIX}{index:016}")
}

/// Writes a snapshot durably: after a crash the file is there in full, or not at all.
pub(super) fn write(storage: &mut impl LogStorage, snapshot: &Snapshot) -> Result<(), WalError> {
    let name = name(snapshot.index);
    let partial = format!("{name}{PARTIAL_SUFFIX}");
    let mut bytes = file_header(SNAPSHOT_MAGIC);
    bytes.extend(record_bytes(snapshot));
    storage
        .append(&partial, &bytes)
        .map_err(io_error("write", &partial))?;
    storage.sync(&partial).map_err(io_error("sync", &partial))?;
    storage
        .rename(&partial, &name)
        .map_err(io_error("rename", &partial))?;
    storage.sync_directory().map_err(directory_error("sync"))
}

/// Reads the snapshot file as of `index`.
pub(super) fn read(storage: &impl LogStorage, index: LogIndex) -> Result<Snapshot, WalError> {
    let name = name(index);
    let bytes = storage.read(&name).map_err(io_error("read", &name))?;
    check_file_header(&name, &bytes, SNAPSHOT_MAGIC)?;
    let corrupt = |corruption: Corruption| corruption.at(&name, FILE_HEADER_BYTES);
    let (body, end) = read_record(&bytes, FILE_HEADER_BYTES).map_err(corrupt)?;
    if end != bytes.len() {
        return Err(corrupt(Corruption::TrailingBytes(bytes.len() - end)));
    }
    from_bytes(body)
        .map_err(Corruption::UndecodableRecord)
        .map_err(corrupt)
}
