//! What a node keeps in its data folder beside the log:
//!
//! * `lock`: locked while a process uses the folder;
//! * `identity`: the node's identity in the cluster, drawn when the folder is first used;
//! * `founder`: there where this node is to found the cluster, or did;
//! * `log/`: the write-ahead log, hard state and snapshots, which the disk thread owns.

use crate::settings::Settings;
use consensus::node::PersistedState;
use consensus::wal::{DiskStorage, WriteAheadLog};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// Why a data folder can't be used. Nothing in it was changed.
#[derive(Debug, thiserror::Error)]
pub enum DataFolderError {
    /// The folder can't be made.
    #[error("data folder {}", path.display())]
    Create {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// Another process has it.
    #[error("{} is in use by another process", path.display())]
    InUse {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        source: std::fs::TryLockError,
    },
    /// The file with the identity is damaged.
    #[error("{}: {text:?} is no identity", path.display())]
    Identity {
        /// The file.
        path: PathBuf,
        /// What stands in it; 16 hexadecimal digits should.
        text: String,
        /// Why that can't be read.
        source: std::num::ParseIntError,
    },
    /// The log can't be read.
    #[error(
        "{}: {text}. Nothing was changed. Way back: if the other nodes are well, \
         move this data folder aside and start the node again; it joins as a new one.",
        path.display()
    )]
    Log {
        /// The folder of the log.
        path: PathBuf,
        /// What is wrong with it.
        text: String,
    },
    /// The disk failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A data folder that this process has to itself, opened.
pub(crate) struct DataFolder {
    /// Held until the node has ended.
    pub(crate) lock: File,
    pub(crate) stored: StoredNode,
}

/// What a data folder holds of the node.
pub(crate) struct StoredNode {
    pub(crate) identity: u64,
    pub(crate) wal: WriteAheadLog<DiskStorage>,
    pub(crate) persisted: PersistedState,
    /// This node is to found the cluster.
    pub(crate) is_founder: bool,
}

/// Opens the data folder; makes it where it is not there.
///
/// # Errors
/// It is in use, damaged, or the disk failed.
pub(crate) fn open(settings: &Settings) -> Result<DataFolder, DataFolderError> {
    let folder = settings.data_path.as_path();
    let path = || folder.to_path_buf();
    std::fs::create_dir_all(folder).map_err(|source| DataFolderError::Create {
        path: path(),
        source,
    })?;
    let lock = File::create(folder.join("lock"))?;
    lock.try_lock().map_err(|source| DataFolderError::InUse {
        path: path(),
        source,
    })?;
    let identity = identity(folder)?;
    let (wal, persisted) = open_log(&folder.join("log"))?;
    let is_founder = is_founder(settings, folder, persisted.hard_state.cluster)?;
    let stored = StoredNode {
        identity,
        wal,
        persisted,
        is_founder,
    };
    Ok(DataFolder { lock, stored })
}

fn open_log(path: &Path) -> Result<(WriteAheadLog<DiskStorage>, PersistedState), DataFolderError> {
    WriteAheadLog::open(DiskStorage::open(path)?).map_err(|error| DataFolderError::Log {
        path: path.to_path_buf(),
        text: error.to_string(),
    })
}

/// The identity of this data folder, drawn when it was first used.
fn identity(folder: &Path) -> Result<u64, DataFolderError> {
    let path = folder.join("identity");
    if let Ok(text) = std::fs::read_to_string(&path) {
        let text = text.trim();
        return u64::from_str_radix(text, 16).map_err(|source| DataFolderError::Identity {
            path,
            text: text.to_string(),
            source,
        });
    }
    let identity = rand::random::<u64>() | 1;
    let new_path = folder.join("identity.new");
    let mut file = File::create(&new_path)?;
    writeln!(file, "{identity:016x}")?;
    file.sync_all()?;
    std::fs::rename(&new_path, &path)?;
    File::open(folder)?.sync_all()?;
    Ok(identity)
}

/// Whether this node is to found the cluster. Invariants: of all nodes one alone
/// ever gets a yes, the first seed at the first start of all; it goes on with it
/// when it ends before the cluster was on its disk, which nobody can have heard
/// of then; a folder that was emptied later knows nothing of it.
fn is_founder(settings: &Settings, folder: &Path, cluster: u64) -> std::io::Result<bool> {
    let marker = folder.join("founder");
    if cluster != 0 {
        return Ok(false);
    }
    if settings.is_first_start && settings.seeds.first() == Some(&settings.address) {
        File::create(&marker)?.sync_all()?;
        File::open(folder)?.sync_all()?;
    }
    Ok(marker.exists())
}
