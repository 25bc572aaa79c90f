//! A disk in memory that loses power the way a real one does: file contents
//! last from `sync` on, changes of the directory from `sync_directory` on, and each change
//! of the directory before that is kept or lost independently.

use consensus::wal::LogStorage;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Default, Clone)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Default, Clone)]
struct Disk {
    contents: Vec<Content>,
    /// The directory as programs see it, and as it is after a loss of power.
    directory: BTreeMap<String, usize>,
    synced_directory: BTreeMap<String, usize>,
    is_full: bool,
    /// This many more operations succeed; each one after them fails.
    operations_left: Option<u32>,
    most_bytes: usize,
}

/// A handle on one disk; its clones see the same one.
#[derive(Default, Clone)]
pub struct MemoryDisk(Arc<Mutex<Disk>>);

impl MemoryDisk {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// Another disk with the same content.
    pub fn copied(&self) -> MemoryDisk {
        MemoryDisk(Arc::new(Mutex::new(self.disk().clone())))
    }

    /// Bytes on the disk now.
    pub fn bytes(&self) -> usize {
        self.disk().bytes()
    }

    /// The most bytes that were ever on the disk.
    pub fn most_bytes(&self) -> usize {
        self.disk().most_bytes
    }

    pub fn set_full(&self, is_full: bool) {
        self.disk().is_full = is_full;
    }

    pub fn is_full(&self) -> bool {
        self.disk().is_full
    }

    /// Lets this many operations succeed and fails all that follow.
    pub fn fail_after(&self, operations: Option<u32>) {
        self.disk().operations_left = operations;
    }

    /// Number of unsynced changes of the directory.
    pub fn unsynced_changes(&self) -> usize {
        self.disk().unsynced_names().len()
    }

    /// Loses power. The unsynced change number n of the directory is kept where bit
    /// n of `kept` is set; of each unsynced tail, `share` thousandths are kept.
    pub fn lose_power(&self, kept: u64, share: usize) {
        let mut disk = self.disk();
        for (number, name) in disk.unsynced_names().into_iter().enumerate() {
            if kept >> number & 1 == 0 {
                continue;
            }
            match disk.directory.get(&name).copied() {
                Some(content) => disk.synced_directory.insert(name, content),
                None => disk.synced_directory.remove(&name),
            };
        }
        disk.directory = disk.synced_directory.clone();
        for content in &mut disk.contents {
            let tail = content.bytes.len() - content.synced;
            content.bytes.truncate(content.synced + tail * share / 1000);
            content.synced = content.bytes.len();
        }
        disk.operations_left = None;
        disk.is_full = false;
    }
}

impl Disk {
    fn bytes(&self) -> usize {
        self.directory
            .values()
            .map(|content| self.contents[*content].bytes.len())
            .sum()
    }

    fn unsynced_names(&self) -> Vec<String> {
        let mut names: Vec<&String> = self
            .directory
            .keys()
            .chain(self.synced_directory.keys())
            .collect();
        names.sort_unstable();
        names.dedup();
        let is_unsynced =
            |name: &&String| self.directory.get(*name) != self.synced_directory.get(*name);
        names.into_iter().filter(is_unsynced).cloned().collect()
    }

    fn operate(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::ErrorKind::Interrupted.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        let content = *self.directory.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.contents[content])
    }
}

impl LogStorage for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk().directory.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk()
            .content(name)
            .map(|content| content.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        disk.operate()?;
        if disk.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if !disk.directory.contains_key(name) {
            let content = disk.contents.len();
            disk.contents.push(Content::default());
            disk.directory.insert(name.into(), content);
        }
        disk.content(name)?.bytes.extend_from_slice(bytes);
        disk.most_bytes = disk.most_bytes.max(disk.bytes());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.operate()?;
        let content = disk.content(name)?;
        content.synced = content.bytes.len();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.operate()?;
        let content = disk.content(name)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.operate()?;
        let content = disk.directory.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.directory.insert(to.into(), content);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.operate()?;
        disk.directory
            .remove(name)
            .map(|_| ())
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.operate()?;
        disk.synced_directory = disk.directory.clone();
        Ok(())
    }
}
