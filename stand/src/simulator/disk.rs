//! A disk in memory that loses what was not synced when power goes.

use consensus::wal::Files;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

/// of what lies after it, some beginning may.
#[derive(Default)]
struct Disk {
    files: BTreeMap<String, (Vec<u8>, usize)>,
    /// The crash comes within a write: so many more operations are carried out,
    /// as they are, and every one after them fails.
    fuse: Option<u32>,
    is_full: bool,
}

#[derive(Clone, Default)]
pub struct MemoryFiles(Arc<Mutex<Disk>>);

impl MemoryFiles {
    /// What a crash leaves: `share` of each unsynced tail, in thousandths.
    pub fn crash(&self, share: usize) {
        let mut disk = self.0.lock();
        for (bytes, synced) in disk.files.values_mut() {
            let kept = *synced + (bytes.len() - *synced) * share / 1000;
            bytes.truncate(kept);
            *synced = kept;
        }
        disk.files.retain(|_, (bytes, _)| !bytes.is_empty());
        disk.fuse = None;
    }

    pub fn crash_after(&self, operations: u32) {
        self.0.lock().fuse = Some(operations);
    }

    pub fn set_full(&self, is_full: bool) {
        self.0.lock().is_full = is_full;
    }

    /// Flips one bit, as a failing disk would.
    pub fn damage(&self, name: &str, at: usize) {
        self.0.lock().files.get_mut(name).expect("the file is there").0[at] ^= 0x10;
    }
}

impl Disk {
    fn burn(&mut self) -> io::Result<()> {
        match &mut self.fuse {
            Some(0) => Err(io::ErrorKind::Interrupted.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Files for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.lock().files.get(name).map(|file| file.0.clone()).ok_or_else(missing)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        if disk.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.files.entry(name.into()).or_default().0.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        let file = disk.files.get_mut(name).ok_or_else(missing)?;
        file.1 = file.0.len();
        Ok(())
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        let file = disk.files.get_mut(name).ok_or_else(missing)?;
        file.0.truncate(length as usize);
        file.1 = file.1.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        let file = disk.files.remove(from).ok_or_else(missing)?;
        disk.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        disk.files.remove(name);
        Ok(())
    }
}
