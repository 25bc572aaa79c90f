//! What stand-ins write down: JSON lines with a time that all processes of one
//! machine share, one file each, for the checker to compare.

use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct Journal(Mutex<File>);

/// Microseconds since 1970.
pub fn wall_clock_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_micros() as u64)
}

impl Journal {
    pub fn open(path: &Path) -> anyhow::Result<Journal> {
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        Ok(Journal(Mutex::new(
            File::options().create(true).append(true).open(path)?,
        )))
    }

    /// Writes one line. Invariant: a line is whole or not there, since it goes
    /// out in one write.
    pub fn note(&self, mut value: OwnedValue) {
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

/// Reads a journal back. A bad line is said with its number; a last line that
/// was torn off is left out, and that is said, too.
pub fn read(path: &Path) -> anyhow::Result<Vec<OwnedValue>> {
    let text = String::from_utf8_lossy(&std::fs::read(path)?).into_owned();
    let mut lines = Vec::new();
    for (at, line) in text.split_inclusive('\n').enumerate() {
        match residency::parse_json(line) {
            Ok(value) => lines.push(value),
            Err(_) if !line.ends_with('\n') => {
                eprintln!(
                    "{}: its last line is torn, it is judged up to it",
                    path.display()
                );
            }
            Err(error) => anyhow::bail!("{} line {}: {error}", path.display(), at + 1),
        }
    }
    Ok(lines)
}

/// Reads a process's log, its times turned into microseconds since 1970. What
/// is no JSON line was said by a process that ended by itself.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_torn_last_line_is_left_out_and_any_other_is_said() {
        let path = std::env::temp_dir().join(format!("rushport-journal-{}", std::process::id()));
        let cases: [(&str, Result<usize, &str>); 5] = [
            ("", Ok(0)),
            ("{\"a\":1}\n{\"a\":2}\n", Ok(2)),
            ("{\"a\":1}\n{\"a\":2}", Ok(2)),
            ("{\"a\":1}\n{\"a", Ok(1)),
            ("{\"a\n{\"a\":2}\n", Err("line 1")),
        ];
        for (text, wanted) in cases {
            std::fs::write(&path, text).expect("it is written");
            match (read(&path), wanted) {
                (Ok(lines), Ok(count)) => assert_eq!(lines.len(), count, "{text:?}"),
                (Err(error), Err(place)) => assert!(error.to_string().contains(place), "{error}"),
                (found, _) => panic!("{text:?}: {found:?}"),
            }
        }
        drop(std::fs::remove_file(&path));
    }
}
