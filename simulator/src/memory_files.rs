//! A disk in memory that loses what was not synced when power goes: ends of files,
//! and files made, renamed or removed since their folder was synced.

use crate::random::draw;
use consensus::wal::LogStorage;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

type Inode = usize;

/// A file's content. Invariant: what lies before `synced` survives a crash; of
/// what lies after it, some beginning may.
#[derive(Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

/// A change of the folder. Invariant: until the folder is synced, a crash may
/// keep or lose each by itself.
enum FolderChange {
    Made(String, Inode),
    Renamed {
        from: String,
        to: String,
        inode: Inode,
    },
    Removed(String),
}

#[derive(Default)]
struct Disk {
    contents: Vec<Content>,
    names: BTreeMap<String, Inode>,
    synced_names: BTreeMap<String, Inode>,
    unsynced_changes: Vec<FolderChange>,
    /// The crash comes within a write: so many more operations are carried out,
    /// as they are, and every one after them fails.
    fuse: Option<u32>,
    is_full: bool,
}

/// The files of one simulated disk; clones share them.
#[derive(Clone, Default)]
pub struct MemoryFiles(Arc<Mutex<Disk>>);

impl MemoryFiles {
    /// What a crash leaves: `share` of each unsynced end of a file, in thousandths,
    /// and of the folder's unsynced changes as many, each kept or lost by itself.
    pub fn crash(&self, share: usize) {
        self.0.lock().crash(share);
    }

    /// Lets so many more operations through; those after them fail.
    pub fn crash_after(&self, operations: u32) {
        self.0.lock().fuse = Some(operations);
    }

    /// A full disk takes nothing more.
    pub fn set_full(&self, is_full: bool) {
        self.0.lock().is_full = is_full;
    }

    /// Flips one bit, as a failing disk would.
    pub fn damage(&self, name: &str, at: usize) {
        let mut disk = self.0.lock();
        disk.content(name).expect("the file is there").bytes[at] ^= 0x10;
    }
}

impl Disk {
    fn use_fuse(&mut self) -> io::Result<()> {
        match &mut self.fuse {
            Some(0) => Err(io::ErrorKind::Interrupted.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let inode = *self.names.get(name).ok_or_else(missing)?;
        Ok(&mut self.contents[inode])
    }

    fn make(&mut self, name: &str) {
        let inode = self.contents.len();
        self.contents.push(Content::default());
        self.names.insert(name.into(), inode);
        self.unsynced_changes
            .push(FolderChange::Made(name.into(), inode));
    }

    fn crash(&mut self, share: usize) {
        let mut seed = share as u64 + 1;
        for change in std::mem::take(&mut self.unsynced_changes) {
            if draw(&mut seed, 1000) < share as u64 {
                apply(&mut self.synced_names, change);
            }
        }
        self.names = self.synced_names.clone();
        for content in &mut self.contents {
            let kept = content.synced + (content.bytes.len() - content.synced) * share / 1000;
            content.bytes.truncate(kept);
            content.synced = kept;
        }
        self.fuse = None;
    }
}

fn apply(names: &mut BTreeMap<String, Inode>, change: FolderChange) {
    match change {
        FolderChange::Made(name, inode) => {
            names.insert(name, inode);
        }
        FolderChange::Renamed { from, to, inode } => {
            names.remove(&from);
            names.insert(to, inode);
        }
        FolderChange::Removed(name) => {
            names.remove(&name);
        }
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl LogStorage for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.lock().content(name)?.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.use_fuse()?;
        if disk.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if !disk.names.contains_key(name) {
            disk.make(name);
        }
        disk.content(name)?.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.use_fuse()?;
        let content = disk.content(name)?;
        content.synced = content.bytes.len();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.use_fuse()?;
        let content = disk.content(name)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.use_fuse()?;
        let inode = disk.names.remove(from).ok_or_else(missing)?;
        disk.names.insert(to.into(), inode);
        let (from, to) = (from.into(), to.into());
        disk.unsynced_changes
            .push(FolderChange::Renamed { from, to, inode });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.use_fuse()?;
        disk.names.remove(name).ok_or_else(missing)?;
        disk.unsynced_changes
            .push(FolderChange::Removed(name.into()));
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.use_fuse()?;
        disk.unsynced_changes.clear();
        disk.synced_names = disk.names.clone();
        Ok(())
    }
}
