//! Reading the fields of JSON objects, with every error and its path.

use super::error::{Expected, TopologyError, TopologyErrorKind};
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// The most that a count may be where nothing else is said.
const MAX_COUNT: u64 = 1_000_000;

/// The most characters of a name.
const MAX_NAME_LENGTH: usize = 64;

/// Collects the errors of a file, so that all are reported together.
#[derive(Default)]
pub(super) struct Reader {
    pub(super) errors: Vec<TopologyError>,
}

/// A member of an object of named members.
pub(super) struct Member<'a> {
    pub(super) name: &'a str,
    pub(super) path: String,
    pub(super) value: &'a OwnedValue,
}

/// The path of a field of the object at `path`.
pub(super) fn join(path: &str, field: &str) -> String {
    match path.is_empty() {
        true => field.into(),
        false => format!("{path}.{field}"),
    }
}

/// Names what was found by its type; texts are not repeated, since one may be a key.
fn describe(value: Option<&OwnedValue>) -> String {
    match value {
        None => "nothing".into(),
        Some(value) if value.is_object() => "an object".into(),
        Some(value) if value.is_array() => "a list".into(),
        Some(value) if value.is_str() => "a text".into(),
        Some(value) => value.encode(),
    }
}

impl Reader {
    pub(super) fn error(&mut self, path: impl Into<String>, kind: TopologyErrorKind) {
        self.errors.push(TopologyError {
            path: path.into(),
            kind,
        });
    }

    fn wrong_value(&mut self, path: String, expected: Expected, found: Option<&OwnedValue>) {
        let found = describe(found);
        self.error(path, TopologyErrorKind::WrongValue { expected, found });
    }

    /// Checks that a name has only allowed characters.
    pub(super) fn check_name(&mut self, path: &str, name: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
            self.error(path, TopologyErrorKind::InvalidName);
        }
    }

    /// Checks that a value is an object with no other fields than the known ones.
    pub(super) fn check_fields(
        &mut self,
        path: &str,
        value: &OwnedValue,
        known: &'static [&'static str],
    ) {
        let Some(object) = value.as_object() else {
            return self.wrong_value(path.into(), Expected::Object, Some(value));
        };
        for (field, _) in object.iter() {
            if !known.contains(&field.as_str()) {
                self.error(join(path, field), TopologyErrorKind::UnknownField { known });
            }
        }
    }

    /// The members of the object in `field`, sorted by name; none where there is no such
    /// field.
    pub(super) fn members<'a>(&mut self, value: &'a OwnedValue, field: &str) -> Vec<Member<'a>> {
        let Some(found) = value.get(field) else {
            return Vec::new();
        };
        let Some(object) = found.as_object() else {
            self.wrong_value(field.into(), Expected::Object, Some(found));
            return Vec::new();
        };
        let member = |(name, value): (&'a String, &'a OwnedValue)| Member {
            name,
            path: join(field, name),
            value,
        };
        let mut members: Vec<Member> = object.iter().map(member).collect();
        members.sort_by_key(|member| member.name);
        for member in &members {
            self.check_name(&member.path, member.name);
        }
        members
    }

    /// A text that must be there.
    pub(super) fn text(&mut self, path: &str, value: &OwnedValue, field: &str) -> String {
        let found = value.get(field);
        match found.and_then(|found| found.as_str()) {
            Some(text) => text.to_string(),
            None => {
                self.wrong_value(join(path, field), Expected::Text, found);
                String::new()
            }
        }
    }

    /// A list of texts; empty where there is no such field.
    pub(super) fn texts(&mut self, path: &str, value: &OwnedValue, field: &str) -> Vec<String> {
        let Some(found) = value.get(field) else {
            return Vec::new();
        };
        let texts = found.as_array().and_then(|list| {
            let text = |item: &OwnedValue| item.as_str().map(String::from);
            list.iter().map(text).collect()
        });
        texts.unwrap_or_else(|| {
            self.wrong_value(join(path, field), Expected::TextList, Some(found));
            Vec::new()
        })
    }

    /// A count; 0 where there is no such field.
    pub(super) fn count(&mut self, path: &str, value: &OwnedValue, field: &str) -> u64 {
        self.count_between(path, value, field, 0, MAX_COUNT)
            .unwrap_or(0)
    }

    /// A count within bounds; `None` where there is no such field, `min` where it is wrong.
    pub(super) fn count_between(
        &mut self,
        path: &str,
        value: &OwnedValue,
        field: &str,
        min: u64,
        max: u64,
    ) -> Option<u64> {
        let found = value.get(field)?;
        match found.as_u64() {
            Some(count) if (min..=max).contains(&count) => Some(count),
            _ => {
                self.wrong_value(join(path, field), Expected::Count { min, max }, Some(found));
                Some(min)
            }
        }
    }

    /// A list of digests of tenant keys.
    pub(super) fn digests(&mut self, path: &str, value: &OwnedValue, field: &str) -> Vec<String> {
        let digests = self.texts(path, value, field);
        if !digests.iter().all(|digest| is_digest(digest)) {
            self.error(join(path, field), TopologyErrorKind::InvalidDigest);
        }
        digests
    }

    /// A duration in milliseconds; `None` where there is no such field.
    pub(super) fn duration_ms(
        &mut self,
        path: &str,
        value: &OwnedValue,
        field: &str,
    ) -> Option<u64> {
        let found = value.get(field)?;
        let duration = found.as_str().and_then(policy::parse_duration_ms);
        if duration.is_none() {
            let kind = TopologyErrorKind::WrongValue {
                expected: Expected::Duration,
                found: found.encode(),
            };
            self.error(join(path, field), kind);
        }
        duration
    }
}

/// Whether a text is a SHA-256 digest in hexadecimal digits.
pub(crate) fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
