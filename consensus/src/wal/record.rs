//! Records and file headers as they lie on disk. A record is a length (4 bytes,
//! big-endian), a CRC-32 of the body (4 bytes) and the body; a file begins with a magic
//! number (4 bytes) and the format version (2 bytes).

use super::error::{Corruption, WalError};
use crate::codec::to_bytes;
use crate::{Entry, HardState, LogIndex, Term};
use binrw::{binrw, BinWrite};

/// Version of the layout of both kinds of file, of the state machine's snapshot within,
/// and of the meaning of the commands in the log. Files of any other version are rejected.
pub const FORMAT_VERSION: u16 = 4;
pub(super) const SEGMENT_MAGIC: &[u8; 4] = b"RPLG";
pub(super) const SNAPSHOT_MAGIC: &[u8; 4] = b"RPPC";
pub(super) const FILE_HEADER_BYTES: usize = 6;
const RECORD_HEADER_BYTES: usize = 8;
const MAX_RECORD_BYTES: usize = 64 << 20;

/// One change of the persisted state in a segment.
#[binrw]
#[brw(big)]
pub(super) enum Record {
    /// Replaces the hard state.
    #[brw(magic = 1u8)]
    HardState(HardState),
    /// Removes all entries from this index on.
    #[brw(magic = 2u8)]
    Truncate(LogIndex),
    /// Appends an entry.
    #[brw(magic = 3u8)]
    Entry(Entry),
    /// All entries before this record are void; the log continues after this index.
    #[brw(magic = 4u8)]
    Reset {
        /// Index of the snapshot's last entry.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
    },
}

/// The record that holds `item`, with its header.
pub(super) fn record_bytes<T>(item: &T) -> Vec<u8>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let body = to_bytes(item);
    let mut record = (body.len() as u32).to_be_bytes().to_vec();
    record.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    record.extend_from_slice(&body);
    record
}

/// The body of the record at `offset`, and the offset after it.
pub(super) fn read_record(bytes: &[u8], offset: usize) -> Result<(&[u8], usize), Corruption> {
    let left = bytes.len() - offset;
    let header =
        bytes
            .get(offset..offset + RECORD_HEADER_BYTES)
            .ok_or(Corruption::TruncatedRecord {
                expected: RECORD_HEADER_BYTES,
                found: left,
            })?;
    let field = |at: usize| u32::from_be_bytes([0, 1, 2, 3].map(|byte| header[at + byte]));
    let (length, expected) = (field(0) as usize, field(4));
    if length == 0 || length > MAX_RECORD_BYTES {
        return Err(Corruption::InvalidRecordLength {
            max: MAX_RECORD_BYTES,
            found: length,
        });
    }
    let start = offset + RECORD_HEADER_BYTES;
    let end = start + length;
    let body = bytes.get(start..end).ok_or(Corruption::TruncatedRecord {
        expected: RECORD_HEADER_BYTES + length,
        found: left,
    })?;
    let found = crc32fast::hash(body);
    match found == expected {
        true => Ok((body, end)),
        false => Err(Corruption::WrongChecksum { expected, found }),
    }
}

/// The header of a file of this kind.
pub(super) fn file_header(magic: &[u8; 4]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes
}

/// Checks that `file` is of the kind `magic` and of this build's format version.
pub(super) fn check_file_header(file: &str, bytes: &[u8], magic: &[u8; 4]) -> Result<(), WalError> {
    if bytes.len() < FILE_HEADER_BYTES || &bytes[..4] != magic {
        let expected = String::from_utf8_lossy(magic).into_owned();
        return Err(Corruption::WrongMagic { expected }.at(file, 0));
    }
    match u16::from_be_bytes([bytes[4], bytes[5]]) {
        FORMAT_VERSION => Ok(()),
        found => Err(Corruption::WrongFormatVersion {
            expected: FORMAT_VERSION,
            found,
        }
        .at(file, 0)),
    }
}
