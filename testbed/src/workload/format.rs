//! Workloads as JSON lines: reading and writing.

use super::action::{Action, Prompt, RecordedRequest, TimedAction};
use super::error::{LineError, NumberedLineError};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;

const MAX_PROMPT_BYTES: u64 = 8 << 20;
const FIELDS: [&str; 13] = [
    "at", "zone", "tenant", "service", "method", "target", "headers", "body", "prompt", "once",
    "operator", "machine", "name",
];
const OBJECT: &str = "an object";
const TEXT: &str = "a text";

/// Reads a workload.
///
/// # Errors
///
/// All lines that are not valid, each with its number.
pub fn parse(text: &str) -> Result<Vec<TimedAction>, Vec<NumberedLineError>> {
    let mut actions: Vec<TimedAction> = Vec::new();
    let mut errors = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let mut reject = |error| {
            errors.push(NumberedLineError {
                line: index + 1,
                error,
            });
        };
        match parse_line(line) {
            Ok(action) if actions.last().is_some_and(|last| last.at_ms > action.at_ms) => {
                reject(LineError::BackInTime);
            }
            Ok(action) => actions.push(action),
            Err(error) => reject(error),
        }
    }
    match errors.is_empty() {
        true => Ok(actions),
        false => Err(errors),
    }
}

/// Reads one line.
pub(super) fn parse_line(line: &str) -> Result<TimedAction, LineError> {
    let value = residency::parse_json(line).map_err(|error| LineError::Json {
        column: error.column,
        reason: error.reason.to_string(),
    })?;
    let object = value.as_object().ok_or(LineError::NotAnObject)?;
    let is_unknown = |field: &&String| !FIELDS.contains(&field.as_str());
    if let Some(field) = object.keys().find(is_unknown) {
        return Err(LineError::UnknownField {
            field: field.clone(),
        });
    }
    let at_ms = value
        .get("at")
        .and_then(|v| v.as_u64())
        .ok_or(LineError::expected("at", "milliseconds"))?;
    let action = if let Some(change) = value.get("operator") {
        if change.get("do").and_then(|v| v.as_str()).is_none() {
            return Err(LineError::expected("operator.do", TEXT));
        }
        Action::OperatorChange(change.clone())
    } else if value.get("machine").is_some() {
        let (operation, name) = (text(&value, "machine")?, text(&value, "name")?);
        Action::Machine {
            operation: operation.parse()?,
            name,
        }
    } else {
        Action::Request(request(&value)?)
    };
    Ok(TimedAction { at_ms, action })
}

fn text(value: &OwnedValue, name: &str) -> Result<String, LineError> {
    let found = value.get(name).and_then(|v| v.as_str()).map(String::from);
    found.ok_or_else(|| LineError::expected(name, TEXT))
}

fn request(value: &OwnedValue) -> Result<RecordedRequest, LineError> {
    let headers = headers(value)?;
    let prompt = value.get("prompt").map(prompt).transpose()?;
    let body = value.get("body").cloned();
    if body.as_ref().is_some_and(|body| body.as_object().is_none()) {
        return Err(LineError::expected("body", OBJECT));
    }
    Ok(RecordedRequest {
        zone: text(value, "zone")?,
        tenant: text(value, "tenant")?,
        service: text(value, "service")?,
        method: text(value, "method")?,
        target: text(value, "target")?,
        headers,
        body,
        prompt,
        must_not_repeat: value.get("once").and_then(|v| v.as_bool()).unwrap_or(true),
    })
}

fn headers(value: &OwnedValue) -> Result<BTreeMap<String, String>, LineError> {
    let mut headers = BTreeMap::new();
    let Some(given) = value.get("headers") else {
        return Ok(headers);
    };
    let object = given
        .as_object()
        .ok_or(LineError::expected("headers", OBJECT))?;
    for (name, header) in object.iter() {
        let header = header
            .as_str()
            .ok_or_else(|| LineError::expected(format!("headers.{name}"), TEXT))?;
        headers.insert(name.clone(), header.to_string());
    }
    Ok(headers)
}

fn prompt(value: &OwnedValue) -> Result<Prompt, LineError> {
    let numbers: Option<Vec<Option<u64>>> = value
        .as_array()
        .map(|pair| pair.iter().map(|v| v.as_u64()).collect());
    match numbers.as_deref() {
        Some([Some(prefix), Some(length)]) if *length <= MAX_PROMPT_BYTES => Ok(Prompt {
            prefix: *prefix,
            length_bytes: *length,
        }),
        _ => Err(LineError::expected(
            "prompt",
            "[beginning, length], length up to 8388608,",
        )),
    }
}

impl TimedAction {
    /// The action as a line, without its end.
    pub fn to_line(&self) -> String {
        let value = match &self.action {
            Action::OperatorChange(change) => {
                json!({ "at": self.at_ms, "operator": change.clone() })
            }
            Action::Machine { operation, name } => {
                json!({ "at": self.at_ms, "machine": operation.as_str(), "name": name.clone() })
            }
            Action::Request(request) => request_value(self.at_ms, request),
        };
        value.encode()
    }
}

fn request_value(at_ms: u64, request: &RecordedRequest) -> OwnedValue {
    let mut value = json!({
        "at": at_ms, "zone": request.zone.clone(), "tenant": request.tenant.clone(),
        "service": request.service.clone(), "method": request.method.clone(),
        "target": request.target.clone(), "once": request.must_not_repeat,
    });
    let mut headers = simd_json::owned::Object::default();
    for (name, header) in &request.headers {
        headers.insert(name.clone(), header.clone().into());
    }
    let mut put = |name: &str, part: OwnedValue| {
        value.insert(name, part).expect("a line is an object");
    };
    if !headers.is_empty() {
        put("headers", headers.into());
    }
    if let Some(body) = &request.body {
        put("body", body.clone());
    }
    if let Some(prompt) = request.prompt {
        put("prompt", vec![prompt.prefix, prompt.length_bytes].into());
    }
    value
}
