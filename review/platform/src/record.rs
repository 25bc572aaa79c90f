//! What was sent, answered and run, line by line with the time since the start.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.3} s  {}", self.ms() as f64 / 1_000.0, text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, to: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(error) = std::fs::write(to, text) {
            eprintln!("{}: {error}", to.display());
        }
    }
}
