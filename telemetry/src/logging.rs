//! Logs: one JSON object a line, on standard error.
//!
//! Each line has `time` (RFC 3339, microseconds, UTC), `level`, `program`, `name` (of the
//! process), `what` (the message), and the key-value pairs of the log call.

use log::kv::{Key, Value, VisitSource};
use simd_json::owned::Object;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// Why logging can't begin.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The level is none.
    #[error("{0:?} is no level: error, warn, info, debug, trace")]
    UnknownLevel(String),
    /// Logging was begun before.
    #[error(transparent)]
    AlreadyBegun(#[from] log::SetLoggerError),
}

/// Sets logging up, once for a process of this program and name.
///
/// # Errors
/// The level is unknown, or logging was set up before.
pub fn init(program: &'static str, name: &str, level: &str) -> Result<(), LoggingError> {
    let level: log::LevelFilter = level
        .parse()
        .map_err(|_| LoggingError::UnknownLevel(level.into()))?;
    let name = name.to_string();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = line(program, &name, &message.to_string(), record);
            out.finish(format_args!("{}", line.encode()));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

fn line(program: &str, name: &str, message: &str, record: &log::Record) -> OwnedValue {
    let time = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Micros, true);
    let level = record.level().as_str().to_lowercase();
    let mut pairs = Pairs(Object::default());
    pairs.insert("time", time.into());
    pairs.insert("level", level.into());
    pairs.insert("program", program.into());
    pairs.insert("name", name.into());
    pairs.insert("what", message.into());
    // Visiting ends early only where a pair can't be shown; the line is then logged
    // without it.
    let _ = record.key_values().visit(&mut pairs);
    OwnedValue::from(pairs.0)
}

/// The fields of a line.
struct Pairs(Object);

impl Pairs {
    fn insert(&mut self, key: &str, value: OwnedValue) {
        self.0.insert(key.into(), value);
    }
}

impl<'v> VisitSource<'v> for Pairs {
    fn visit_pair(&mut self, key: Key<'v>, value: Value<'v>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => OwnedValue::from(number),
            None => OwnedValue::from(value.to_string()),
        };
        self.insert(key.as_str(), value);
        Ok(())
    }
}
