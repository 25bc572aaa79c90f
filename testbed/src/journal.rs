//! Journals of what simulated clients, engines and operators did and saw: JSON lines with
//! times of one clock, one file each, for the checker.

use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// A journal that is being written.
pub struct Journal(Mutex<File>);

/// The time in microseconds since 1970, which all processes of one machine share.
pub fn wall_clock_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_micros() as u64)
}

impl Journal {
    /// Opens a journal for appending, and makes its directory where it is missing.
    ///
    /// # Errors
    ///
    /// Where the file can't be opened.
    pub fn open(path: &Path) -> anyhow::Result<Journal> {
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Journal(Mutex::new(
            File::options().create(true).append(true).open(path)?,
        )))
    }

    /// Appends one line, with the time where it has none. Invariant: a line is complete or
    /// missing, since it is written by one call.
    ///
    /// # Panics
    ///
    /// Where the file can't be written: a run without its journal proves nothing.
    pub fn append(&self, mut value: OwnedValue) {
        if value.get("at").is_none() {
            value
                .insert("at", wall_clock_us())
                .expect("a journal's line is an object");
        }
        let line = value.encode() + "\n";
        self.0
            .lock()
            .write_all(line.as_bytes())
            .expect("the journal can be written");
    }
}

/// Reads a journal back. A torn last line is left out with a warning.
///
/// # Errors
///
/// The first other line that is no JSON, with its number.
pub fn read(path: &Path) -> anyhow::Result<Vec<OwnedValue>> {
    let text = String::from_utf8_lossy(&std::fs::read(path)?).into_owned();
    let mut lines = Vec::new();
    for (at, line) in text.split_inclusive('\n').enumerate() {
        match residency::parse_json(line) {
            Ok(value) => lines.push(value),
            Err(_) if !line.ends_with('\n') => {
                eprintln!(
                    "{}: the last line is torn, it is judged without that",
                    path.display()
                );
            }
            Err(error) => anyhow::bail!("{} line {}: {error}", path.display(), at + 1),
        }
    }
    Ok(lines)
}

/// Reads a process's log, its times turned into microseconds since 1970. A line that is no
/// JSON is kept only if it is a panic's message.
///
/// # Errors
///
/// Where the file can't be read, or a line is JSON and no object.
pub fn read_log(name: &str, path: &Path) -> anyhow::Result<Vec<OwnedValue>> {
    let text = String::from_utf8_lossy(&std::fs::read(path)?).into_owned();
    let mut lines = Vec::new();
    for line in text.lines() {
        let Ok(mut value) = residency::parse_json(line) else {
            if line.contains("panicked at") {
                lines.push(
                    json!({ "name": name, "what": checker::log_messages::PANICKED, "text": line }),
                );
            }
            continue;
        };
        let time = value.get("time").and_then(|v| v.as_str()).unwrap_or("");
        let at = chrono::DateTime::parse_from_rfc3339(time).map_or(0, |at| at.timestamp_micros());
        value.insert("at", at as u64)?;
        lines.push(value);
    }
    Ok(lines)
}
