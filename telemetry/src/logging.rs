//! Logs as JSON lines on standard error.

use log::kv::{Key, Value, VisitSource};
use simd_json::prelude::*;
use simd_json::OwnedValue;

struct Pairs(simd_json::owned::Object);

impl<'v> VisitSource<'v> for Pairs {
    fn visit_pair(&mut self, key: Key<'v>, value: Value<'v>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(count) => OwnedValue::from(count),
            None => OwnedValue::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Sets logging up once, for a process of this kind and name.
pub fn init(kind: &'static str, name: &str, level: &str) -> anyhow::Result<()> {
    let level: log::LevelFilter = level
        .parse()
        .map_err(|_| anyhow::anyhow!("{level:?} is no level: error, warn, info, debug, trace"))?;
    let name = name.to_string();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let mut pairs = Pairs(simd_json::owned::Object::default());
            pairs.0.insert(
                "time".into(),
                chrono::Utc::now()
                    .to_rfc3339_opts(chrono::SecondsFormat::Micros, true)
                    .into(),
            );
            pairs.0.insert(
                "level".into(),
                record.level().as_str().to_lowercase().into(),
            );
            pairs.0.insert("program".into(), kind.into());
            pairs.0.insert("name".into(), name.clone().into());
            pairs.0.insert("what".into(), message.to_string().into());
            // Visiting ends early only where a pair can't be shown; the line
            // then goes out without it.
            let _ = record.key_values().visit(&mut pairs);
            out.finish(format_args!("{}", OwnedValue::from(pairs.0).encode()));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
