//! Errors of the write-ahead log: which file, where, what was expected and what is there.

use crate::codec::DecodeError;
use std::io;

/// Why the write-ahead log can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// A file operation failed. Reopening the log is safe and may succeed once the disk
    /// works again.
    #[error("cannot {operation} {file}: {source}")]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// Name of the file, or `the log directory`.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// What was synced before is not there any more. A retry gives the same error:
    /// the node needs another data directory.
    #[error("{file} at byte {offset}: {corruption}")]
    Corrupt {
        /// Name of the damaged file.
        file: String,
        /// Byte offset of the damage in the file.
        offset: u64,
        /// What is wrong there.
        corruption: Corruption,
    },
}

/// What is wrong at a position of a log file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Corruption {
    /// The file does not begin with the magic number of its kind.
    #[error("this is not a file of rushport's: it should begin with {expected:?}")]
    WrongMagic {
        /// The magic number as text.
        expected: String,
    },
    /// The file was written by a build with another format.
    #[error("its format is epoch {found}, and this build reads epoch {expected} only")]
    WrongFormatVersion {
        /// The version that this build reads and writes.
        expected: u16,
        /// The version in the file's header.
        found: u16,
    },
    /// The file ends within a record.
    #[error("a record ends early: {expected} bytes were expected, {found} are there")]
    TruncatedRecord {
        /// Bytes that the record, or its header, should have.
        expected: usize,
        /// Bytes that are left in the file.
        found: usize,
    },
    /// A record's length is zero or above the limit.
    #[error("a record's length makes no sense: {found} bytes, where 1 to {max} are allowed")]
    InvalidRecordLength {
        /// The most bytes of a record.
        max: usize,
        /// The length in the record's header.
        found: usize,
    },
    /// A record's content does not match its checksum.
    #[error("a record's checksum is wrong: {expected:08x} was written, {found:08x} is computed")]
    WrongChecksum {
        /// The CRC-32 in the record's header.
        expected: u32,
        /// The CRC-32 of its content.
        found: u32,
    },
    /// A record's checksum is right, and its content can't be decoded.
    #[error(transparent)]
    UndecodableRecord(DecodeError),
    /// A snapshot file goes on after its only record.
    #[error("something follows the snapshot: {0} bytes")]
    TrailingBytes(usize),
    /// An entry's index is not the one after the entry before it.
    #[error("entry {found} does not follow the one before: entry {expected} was expected")]
    IndexGap {
        /// The index that should follow.
        expected: u64,
        /// The index of the entry.
        found: u64,
    },
    /// Entries are missing between the snapshot and the first entry.
    #[error("the log begins at entry {first}, past {snapshot}")]
    MissingEntries {
        /// The snapshot's last index; 0 without a snapshot.
        snapshot: u64,
        /// Index of the first entry in the log.
        first: u64,
    },
}

impl Corruption {
    /// This corruption at `offset` of `file`.
    pub(super) fn at(self, file: &str, offset: usize) -> WalError {
        WalError::Corrupt {
            file: file.into(),
            offset: offset as u64,
            corruption: self,
        }
    }
}

/// Adds to an I/O error what was attempted, on which file.
pub(super) fn io_error(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> WalError {
    let file = file.to_string();
    move |source| WalError::Io {
        operation,
        file,
        source,
    }
}

/// Adds to an I/O error what was attempted on the directory itself.
pub(super) fn directory_error(operation: &'static str) -> impl FnOnce(io::Error) -> WalError {
    io_error(operation, "the log directory")
}
