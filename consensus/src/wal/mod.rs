//! The write-ahead log on disk: checksummed segments, with snapshots beside them.
//!
//! What a crash tore off the end of the newest segment is cut away; damage anywhere
//! else stops the node, since synced entries must not go missing silently (Raft thesis
//! §3.8: term, vote and log are persisted before a node answers).
//!
//! - `storage`: the file operations it needs, and a directory of a real disk;
//! - `record`: the layout of records and file headers;
//! - `segment`: names and first bytes of segments;
//! - `snapshot_file`: writing and reading snapshots;
//! - `recovery`: reading everything back at the start;
//! - `error`: what can be wrong, in which file.

mod error;
mod record;
mod recovery;
mod segment;
mod snapshot_file;
mod storage;

pub use error::{Corruption, WalError};
pub use record::FORMAT_VERSION;
pub use storage::{DiskStorage, LogStorage};

use crate::node::{PersistedState, Write};
use crate::{HardState, LogIndex, LogPosition, Snapshot};
use error::{directory_error, io_error};
use record::{record_bytes, Record};
use recovery::Recovered;
use segment::ClosedSegment;

/// The write-ahead log in one directory. Invariants: `active_segment` is the highest
/// number of all segments, and only that one is written; each segment begins with the
/// hard state in force; everything before `active_bytes` in the active one was synced
/// without an error.
pub struct WriteAheadLog<S: LogStorage> {
    storage: S,
    active_segment: u64,
    active_bytes: u64,
    last_index: LogIndex,
    hard_state: HardState,
    /// Oldest first.
    closed_segments: Vec<ClosedSegment>,
    snapshots: Vec<LogIndex>,
}

impl<S: LogStorage> WriteAheadLog<S> {
    /// Reads a directory back and begins a new segment in it.
    ///
    /// # Errors
    /// [`WalError::Corrupt`] where something that was synced is damaged or missing;
    /// [`WalError::Io`] where the disk fails.
    pub fn open(mut storage: S) -> Result<(WriteAheadLog<S>, PersistedState), WalError> {
        let Recovered {
            state,
            segments,
            newest_segment,
            snapshots,
            reset,
        } = recovery::recover(&mut storage)?;
        let base = recovery::snapshot_position(&state).index;
        let mut log = WriteAheadLog {
            storage,
            active_segment: newest_segment,
            active_bytes: 0,
            last_index: state.entries.last().map_or(base, |entry| entry.index),
            hard_state: state.hard_state,
            closed_segments: segments,
            snapshots,
        };
        log.rotate(reset)?;
        // A crash may have come between a snapshot and the removals after it.
        log.remove_superseded(base)?;
        Ok((log, state))
    }

    /// After a failed write or sync: cuts off all that is not known to be on disk, and
    /// reads back the rest, as a restart would.
    ///
    /// # Errors
    /// As for `open`; while the disk still fails, [`WalError::Io`], and a retry is safe.
    pub fn reopen(&mut self) -> Result<(WriteAheadLog<S>, PersistedState), WalError>
    where
        S: Clone,
    {
        let name = segment::name(self.active_segment);
        let names = self.storage.list().map_err(directory_error("list"))?;
        if names.contains(&name) {
            self.storage
                .truncate(&name, self.active_bytes)
                .map_err(io_error("truncate", &name))?;
            self.sync(&name)?;
        }
        WriteAheadLog::open(self.storage.clone())
    }

    /// Writes one batch and syncs it. Once this has returned without an error, the batch
    /// survives a crash.
    ///
    /// # Errors
    /// [`WalError::Io`]; how much of the batch is on disk is then unknown, and the log
    /// must be reopened before the next write.
    pub fn write(&mut self, batch: &[Write]) -> Result<(), WalError> {
        let mut bytes = Vec::new();
        for write in batch {
            match write {
                Write::HardState(hard_state) => {
                    self.hard_state = *hard_state;
                    bytes.extend(record_bytes(&Record::HardState(*hard_state)));
                }
                Write::Truncate(from) => {
                    self.last_index = self.last_index.min(from - 1);
                    bytes.extend(record_bytes(&Record::Truncate(*from)));
                }
                Write::Entry(entry) => {
                    self.last_index = entry.index;
                    bytes.extend(record_bytes(&Record::Entry(entry.clone())));
                }
                Write::InstallSnapshot(snapshot) => {
                    self.append_and_sync(&std::mem::take(&mut bytes))?;
                    self.write_snapshot(snapshot)?;
                    self.last_index = snapshot.index;
                    self.rotate(Some(snapshot.position()))?;
                    self.remove_superseded(snapshot.index)?;
                }
                Write::Snapshot(snapshot) => {
                    self.append_and_sync(&std::mem::take(&mut bytes))?;
                    self.write_snapshot(snapshot)?;
                    self.rotate(None)?;
                    self.remove_superseded(snapshot.index)?;
                }
            }
        }
        self.append_and_sync(&bytes)?;
        if self.active_bytes > segment::CLOSE_AFTER_BYTES {
            self.rotate(None)?;
        }
        Ok(())
    }

    fn append_and_sync(&mut self, bytes: &[u8]) -> Result<(), WalError> {
        if bytes.is_empty() {
            return Ok(());
        }
        let name = segment::name(self.active_segment);
        self.append(&name, bytes)?;
        self.sync(&name)?;
        self.active_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Closes the active segment and begins the next one, with a reset of the log in it
    /// if one is given.
    fn rotate(&mut self, reset: Option<LogPosition>) -> Result<(), WalError> {
        if self.active_bytes > 0 {
            self.closed_segments.push(ClosedSegment {
                number: self.active_segment,
                last_index: self.last_index,
            });
        }
        self.active_segment += 1;
        let bytes = segment::first_bytes(self.hard_state, reset);
        self.active_bytes = 0;
        let name = segment::name(self.active_segment);
        self.append(&name, &bytes)?;
        self.sync(&name)?;
        self.sync_directory()?;
        self.active_bytes = bytes.len() as u64;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WalError> {
        snapshot_file::write(&mut self.storage, snapshot)?;
        self.snapshots.push(snapshot.index);
        Ok(())
    }

    /// Removes the snapshots and segments that the snapshot at `index` supersedes.
    fn remove_superseded(&mut self, index: LogIndex) -> Result<(), WalError> {
        for old in self.snapshots.iter().filter(|old| **old != index) {
            let name = snapshot_file::name(*old);
            self.storage
                .remove(&name)
                .map_err(io_error("remove", &name))?;
        }
        self.snapshots.retain(|old| *old == index);
        // From the oldest on, each removal synced before the next. If an older segment
        // could come back without a later one, its entries might be of a branch that
        // the later one made void.
        while let Some(oldest) = self.closed_segments.first() {
            if oldest.last_index > index {
                break;
            }
            let name = segment::name(oldest.number);
            self.storage
                .remove(&name)
                .map_err(io_error("remove", &name))?;
            self.sync_directory()?;
            self.closed_segments.remove(0);
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), WalError> {
        self.storage
            .append(name, bytes)
            .map_err(io_error("append to", name))
    }

    fn sync(&mut self, name: &str) -> Result<(), WalError> {
        self.storage.sync(name).map_err(io_error("sync", name))
    }

    fn sync_directory(&mut self) -> Result<(), WalError> {
        self.storage
            .sync_directory()
            .map_err(directory_error("sync"))
    }
}
