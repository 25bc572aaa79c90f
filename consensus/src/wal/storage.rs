//! The file operations that the write-ahead log needs, and a directory of a real disk.

use std::io;
use std::path::{Path, PathBuf};

/// One directory of files. Invariant: after a loss of power, contents for which `sync`
/// returned are there, and so are names for which `sync_directory` returned; of
/// everything else, each part may or may not be there, independently of the others.
pub trait LogStorage: Send {
    /// Names of all files in the directory.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Truncates a file to this length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file, replacing any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory on a real disk.
#[derive(Clone)]
pub struct DiskStorage {
    path: PathBuf,
}

impl DiskStorage {
    /// Opens the directory at `path`, which is created if it is missing.
    pub fn open(path: &Path) -> io::Result<DiskStorage> {
        std::fs::create_dir_all(path)?;
        Ok(DiskStorage { path: path.into() })
    }
}

impl LogStorage for DiskStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(name);
        let mut file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?;
        io::Write::write_all(&mut file, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        std::fs::File::open(self.path.join(name))?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        std::fs::OpenOptions::new()
            .write(true)
            .open(self.path.join(name))?
            .set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        std::fs::File::open(&self.path)?.sync_all()
    }
}
