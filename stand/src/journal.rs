//! What stand-ins write down: JSON lines with a time that all processes of one
//! machine share, one file each, for the checker to compare.

use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct Journal(Mutex<File>);

/// Microseconds since 1970.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_micros() as u64)
}

impl Journal {
    pub fn open(path: &Path) -> anyhow::Result<Journal> {
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Journal(Mutex::new(File::options().create(true).append(true).open(path)?)))
    }

    /// Writes one line. Invariant: a line is whole or not there, since it goes
    /// out in one write.
    pub fn note(&self, mut value: OwnedValue) {
        if value.get("at").is_none() {
            value.insert("at", wall()).expect("a journal's line is an object");
        }
        let line = value.encode() + "\n";
        self.0.lock().write_all(line.as_bytes()).expect("the journal can be written");
    }
}

/// Reads a journal back. A bad line is said with its number.
pub fn read(path: &Path) -> anyhow::Result<Vec<OwnedValue>> {
    let text = std::fs::read_to_string(path)?;
    text.lines()
        .enumerate()
        .map(|(at, line)| {
            residency::parse_text(line)
                .map_err(|error| anyhow::anyhow!("{} line {}: {error}", path.display(), at + 1))
        })
        .collect()
}
