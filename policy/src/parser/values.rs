//! Values of the policy language: counts, durations, ratios, names, paths, sources.

use super::statement::Statement;
use crate::error::Parsed;
use crate::Source;

/// The most names that lead to a field of a JSON body.
const MAX_FIELD_DEPTH: usize = 8;

/// The most segments of a path that a source may count to.
const MAX_SEGMENT: usize = 32;

/// The most characters of a name.
const MAX_NAME_LENGTH: usize = 64;

/// Parses `250ms`, `30s`, `5m` or `24h` as milliseconds; `None` where it is none of these
/// or too large.
pub fn parse_duration_ms(text: &str) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(unit_start);
    let unit_ms: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    count.parse::<u64>().ok()?.checked_mul(unit_ms)
}

impl Statement {
    /// A whole number from 1 to `max`.
    pub(super) fn count(&mut self, expected: &str, max: usize) -> Parsed<usize> {
        match self.word(expected)?.parse() {
            Ok(count) if (1..=max).contains(&count) => Ok(count),
            _ => self.unexpected(format!("{expected} from 1 to {max}")),
        }
    }

    /// A duration above 0, in milliseconds.
    pub(super) fn duration_ms(&mut self) -> Parsed<u64> {
        match parse_duration_ms(&self.word("a time")?) {
            Some(duration_ms) if duration_ms > 0 => Ok(duration_ms),
            _ => self.unexpected("a time such as 250ms, 30s, 5m or 24h"),
        }
    }

    /// A percentage, as a ratio from 0 to 1.
    pub(super) fn ratio(&mut self) -> Parsed<f64> {
        let word = self.word("a percentage")?;
        let percent = word
            .strip_suffix('%')
            .and_then(|digits| digits.parse::<u32>().ok());
        match percent {
            Some(percent) if percent <= 100 => Ok(f64::from(percent) / 100.0),
            _ => self.unexpected("a percentage from 0% to 100%"),
        }
    }

    /// Where a value stands in a request.
    pub(super) fn source(&mut self) -> Parsed<Source> {
        Ok(match self.word("a source")?.as_str() {
            "header" => Source::Header(self.quoted("a header's name")?.to_ascii_lowercase()),
            "bearer" => Source::Bearer,
            "segment" => Source::Segment(self.count("a segment's number", MAX_SEGMENT)?),
            "query" => Source::Query(self.quoted("a query field's name")?),
            "body" => Source::Body(self.field_path()?),
            _ => return self.unexpected("header, bearer, segment, query or body"),
        })
    }

    /// A source that is known before the body.
    pub(super) fn head_source(&mut self) -> Parsed<Source> {
        match self.source()? {
            Source::Body(_) => self.unexpected("a source before the body"),
            source => Ok(source),
        }
    }

    fn field_path(&mut self) -> Parsed<Vec<String>> {
        let path = self.quoted("a body field's path")?;
        let names: Vec<String> = path.split('.').map(String::from).collect();
        if names.iter().any(String::is_empty) || names.len() > MAX_FIELD_DEPTH {
            return self.unexpected("a path of one to eight names with dots between");
        }
        Ok(names)
    }

    pub(super) fn path(&mut self) -> Parsed<String> {
        let path = self.quoted("a path")?;
        if !path.starts_with('/') {
            return self.unexpected("a path that begins with a slash");
        }
        Ok(path)
    }

    pub(super) fn name(&mut self) -> Parsed<String> {
        let name = self.word("a name")?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.len() > MAX_NAME_LENGTH || !name.chars().all(is_allowed) {
            return self.unexpected("a name of up to 64 letters, digits, dashes and underscores");
        }
        Ok(name)
    }
}
