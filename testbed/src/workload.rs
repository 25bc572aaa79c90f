//! A recorded day: JSON lines, in the order of their times. The format is on
//! the page docs/replay.md.

use crate::random::XorShift64;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;

/// The scenarios of a text, each with the words for a shape's own names filled
/// in: `@zone1` to `@zone3` the zones, those with more routers first; `@tenant1`
/// to `@tenant8` the tenants by name, and `@key1` to `@key8` their keys.
pub fn scenarios(text: &str, shape: &str) -> anyhow::Result<Vec<(String, OwnedValue)>> {
    let missing = |name: &str| anyhow::anyhow!("{name}: it is missing or not what it should be");
    let value = residency::parse_json(shape).map_err(|text| anyhow::anyhow!(text))?;
    let object = |name: &str| {
        value
            .get(name)
            .and_then(|v| v.as_object())
            .ok_or(missing(name))
    };
    let mut zones: Vec<(u64, String)> = object("routers")?
        .iter()
        .map(|(zone, count)| (u64::MAX - count.as_u64().unwrap_or(0), zone.clone()))
        .collect();
    zones.sort();
    let mut keys: Vec<(String, String)> = object("keys")?
        .iter()
        .map(|(tenant, key)| (tenant.clone(), key.as_str().unwrap_or("").to_string()))
        .collect();
    keys.sort();
    let mut text = text.to_string();
    for (at, (_, zone)) in zones.iter().enumerate() {
        text = text.replace(&format!("@zone{}", at + 1), zone);
    }
    for (at, (tenant, key)) in keys.iter().enumerate() {
        text = text.replace(&format!("@tenant{}", at + 1), tenant);
        text = text.replace(&format!("@key{}", at + 1), key);
    }
    let list = residency::parse_json(&text).map_err(|text| anyhow::anyhow!(text))?;
    let list = list.as_array().ok_or(missing("scenarios"))?;
    let name = |scenario: &OwnedValue| {
        scenario
            .get("name")
            .and_then(|v| v.as_str().map(String::from))
    };
    list.iter()
        .map(|scenario| Ok((name(scenario).ok_or(missing("name"))?, scenario.clone())))
        .collect()
}

/// One line of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedAction {
    pub at_ms: u64,
    pub action: Action,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Request(RecordedRequest),
    /// A proposal, as the operators' API takes it.
    OperatorChange(OwnedValue),
    /// Something done to a machine; only in a fleet of the replay's own.
    Machine {
        action: String,
        name: String,
    },
}

/// A caller's job. `@tenant` in target, headers and body stands for the
/// tenant's key.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedRequest {
    pub zone: String,
    pub tenant: String,
    pub service: String,
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Option<OwnedValue>,
    /// The number of the prompt's beginning, and its whole length.
    pub prompt: Option<(u64, u64)>,
    pub must_not_repeat: bool,
}

const ACTIONS: [&str; 11] = [
    "kill", "start", "freeze", "thaw", "stop", "wipe", "cut", "cut-out", "cut-in", "heal",
    "restore",
];

/// Reads a day. Every bad line is said, with its number.
pub fn parse(text: &str) -> Result<Vec<TimedAction>, Vec<String>> {
    let mut moments: Vec<TimedAction> = Vec::new();
    let mut complaints = Vec::new();
    for (at, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match moment(line) {
            Ok(moment) if moments.last().is_some_and(|last| last.at_ms > moment.at_ms) => {
                complaints.push(format!("line {}: at: it goes back in time", at + 1));
            }
            Ok(moment) => moments.push(moment),
            Err(text) => complaints.push(format!("line {}: {text}", at + 1)),
        }
    }
    match complaints.is_empty() {
        true => Ok(moments),
        false => Err(complaints),
    }
}

fn moment(line: &str) -> Result<TimedAction, String> {
    // Each line is read by itself; the place within it is its column.
    let value = residency::parse_json(line)
        .map_err(|error| format!("column {}: {}", error.column, error.reason))?;
    let object = value.as_object().ok_or("an object should stand here")?;
    let known = [
        "at", "zone", "tenant", "service", "method", "target", "headers", "body", "prompt", "once",
        "operator", "machine", "name",
    ];
    if let Some((field, _)) = object
        .iter()
        .find(|(field, _)| !known.contains(&field.as_str()))
    {
        return Err(format!("{field}: no such field is known here"));
    }
    let text = |name: &str| {
        let found = value.get(name).and_then(|v| v.as_str()).map(String::from);
        found.ok_or(format!("{name}: a text should stand here"))
    };
    let at_ms = value
        .get("at")
        .and_then(|v| v.as_u64())
        .ok_or("at: milliseconds should stand here")?;
    if let Some(operator) = value.get("operator") {
        if operator.get("do").and_then(|v| v.as_str()).is_none() {
            return Err("operator.do: a text should stand here".into());
        }
        return Ok(TimedAction {
            at_ms,
            action: Action::OperatorChange(operator.clone()),
        });
    }
    if value.get("machine").is_some() {
        let (action, name) = (text("machine")?, text("name")?);
        if !ACTIONS.contains(&action.as_str()) {
            return Err(format!(
                "machine: {action} is none of {}",
                ACTIONS.join(", ")
            ));
        }
        return Ok(TimedAction {
            at_ms,
            action: Action::Machine { action, name },
        });
    }
    let mut headers = BTreeMap::new();
    if let Some(given) = value.get("headers") {
        for (name, header) in given
            .as_object()
            .ok_or("headers: an object should stand here")?
            .iter()
        {
            let header = header
                .as_str()
                .ok_or(format!("headers.{name}: a text should stand here"))?;
            headers.insert(name.clone(), header.to_string());
        }
    }
    let prompt = match value.get("prompt") {
        None => None,
        Some(prompt) => match prompt
            .as_array()
            .map(|pair| pair.iter().map(|v| v.as_u64()).collect::<Vec<_>>())
            .as_deref()
        {
            Some([Some(beginning), Some(length)]) if *length <= 8 << 20 => {
                Some((*beginning, *length))
            }
            _ => {
                return Err(
                    "prompt: [beginning, length], length up to 8388608, should stand here".into(),
                )
            }
        },
    };
    let body = value.get("body").cloned();
    if body.as_ref().is_some_and(|body| body.as_object().is_none()) {
        return Err("body: an object should stand here".into());
    }
    Ok(TimedAction {
        at_ms,
        action: Action::Request(RecordedRequest {
            zone: text("zone")?,
            tenant: text("tenant")?,
            service: text("service")?,
            method: text("method")?,
            target: text("target")?,
            headers,
            body,
            prompt,
            must_not_repeat: value.get("once").and_then(|v| v.as_bool()).unwrap_or(true),
        }),
    })
}

impl TimedAction {
    pub fn line(&self) -> String {
        let value = match &self.action {
            Action::OperatorChange(operator) => {
                json!({ "at": self.at_ms, "operator": operator.clone() })
            }
            Action::Machine { action, name } => {
                json!({ "at": self.at_ms, "machine": action.clone(), "name": name.clone() })
            }
            Action::Request(request) => {
                let mut value = json!({
                    "at": self.at_ms, "zone": request.zone.clone(), "tenant": request.tenant.clone(),
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
                if let Some((beginning, length)) = request.prompt {
                    put("prompt", vec![beginning, length].into());
                }
                value
            }
        };
        value.encode()
    }
}

impl RecordedRequest {
    /// The body as sent. The prompt's first 256 characters come from its
    /// beginning's number alone, the rest also from `salt`.
    pub fn bytes(&self, key: &str, salt: u64) -> Vec<u8> {
        let Some(body) = &self.body else {
            return Vec::new();
        };
        let mut body = body.clone();
        if let Some((beginning, length)) = self.prompt {
            let mut prompt = String::new();
            while prompt.len() < length as usize {
                let from = if prompt.len() < 256 { beginning } else { salt };
                prompt.push_str(&format!(
                    "{:016x} ",
                    from.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ));
            }
            prompt.truncate(length as usize);
            body.insert("prompt", prompt).expect("a body is an object");
        }
        body.encode().replace("@tenant", key).into_bytes()
    }
}

/// Makes a day of `seconds` from a shape's `mix`, by a seed, with the events of
/// a scenario, or the shape's own where none is given.
pub fn make(
    shape: &str,
    scenario: Option<&OwnedValue>,
    seconds: u64,
    scale: f64,
    seed: u64,
) -> anyhow::Result<Vec<TimedAction>> {
    let value = residency::parse_json(shape).map_err(|text| anyhow::anyhow!(text))?;
    let missing = |name: &str| anyhow::anyhow!("{name}: it is missing or not what it should be");
    let mut random = XorShift64::from_seed(seed);
    let mut tenants: Vec<String> = value
        .get("keys")
        .and_then(|v| v.as_object())
        .map(|keys| keys.iter().map(|(tenant, _)| tenant.clone()).collect())
        .ok_or(missing("keys"))?;
    tenants.sort();
    let routers = value
        .get("routers")
        .and_then(|v| v.as_object())
        .ok_or(missing("routers"))?;
    let mut zones: Vec<(String, f64)> = routers
        .iter()
        .map(|(zone, count)| (zone.clone(), count.as_u64().unwrap_or(1) as f64))
        .collect();
    zones.sort_by(|a, b| a.0.cmp(&b.0));
    // A few tenants are large: the n-th has a weight of 1/n.
    let weights: Vec<(String, f64)> = tenants
        .iter()
        .enumerate()
        .map(|(n, t)| (t.clone(), 1.0 / (n + 1) as f64))
        .collect();
    let elect = |of: &[(String, f64)], random: &mut XorShift64| {
        let mut mark = random.fraction() * of.iter().map(|(_, weight)| weight).sum::<f64>();
        let found = of.iter().find(|(_, weight)| {
            mark -= weight;
            mark < 0.0
        });
        found
            .or(of.last())
            .map_or(String::new(), |(name, _)| name.clone())
    };
    let events = scenario.unwrap_or(&value);
    // The day itself, then the crowds that a scenario adds to it.
    let mut windows = vec![(0.0, 1.0, 1.0, None, None, None)];
    for crowd in events
        .get("crowds")
        .and_then(|v| v.as_array())
        .map_or(&[][..], |list| &list[..])
    {
        let count = |name: &str| {
            let found = crowd.get(name).and_then(|v| v.cast_f64());
            found.ok_or(anyhow::anyhow!("crowds.{name}: a number should stand here"))
        };
        let word = |name: &str| crowd.get(name).and_then(|v| v.as_str()).map(String::from);
        let (tenant, zone, service) = (word("tenant"), word("zone"), word("service"));
        windows.push((
            count("from")?,
            count("to")?,
            count("times")?,
            tenant,
            zone,
            service,
        ));
    }
    let mut moments = Vec::new();
    for kind in value
        .get("mix")
        .and_then(|v| v.as_array())
        .ok_or(missing("mix"))?
    {
        let count =
            |name: &str, default: f64| kind.get(name).and_then(|v| v.cast_f64()).unwrap_or(default);
        let (least, most) = (count("shortest", 0.0), count("longest", 0.0));
        let prefixes = count("prefixes", 20.0);
        for (from, to, times, crowd_tenant, crowd_zone, service) in &windows {
            let is_meant = |service: &String| {
                kind.get("service").and_then(|v| v.as_str()) == Some(service.as_str())
            };
            if !service.as_ref().is_none_or(is_meant) {
                continue;
            }
            let rate = count("per_second", 1.0) * scale * times;
            let mut at = from * seconds as f64 * 1000.0;
            loop {
                at += -(1.0 - random.fraction()).ln() / rate * 1000.0;
                if at >= to * seconds as f64 * 1000.0 {
                    break;
                }
                let tenant = elect(&weights, &mut random);
                let tenant = crowd_tenant.clone().unwrap_or(tenant);
                let zone = elect(&zones, &mut random);
                let mut line = kind.clone();
                for field in ["per_second", "shortest", "longest", "prefixes"] {
                    drop(line.remove(field));
                }
                line.insert("at", at as u64)?;
                line.insert("zone", crowd_zone.clone().unwrap_or(zone))?;
                if most > 0.0 {
                    let who = tenants.iter().position(|t| *t == tenant).unwrap_or(0) as u64;
                    let beginning = who * 1000 + (random.fraction().powi(2) * prefixes) as u64;
                    let length = (least + random.fraction().powi(3) * (most - least)) as u64;
                    line.insert("prompt", vec![beginning, length])?;
                }
                line.insert("tenant", tenant)?;
                moments
                    .push(moment(&line.encode()).map_err(|text| anyhow::anyhow!("mix: {text}"))?);
            }
        }
    }
    let storms = events.get("storms").and_then(|v| v.as_array());
    for storm in storms.map_or(&[][..], |list| &list[..]) {
        let count = |name: &str| {
            let found = storm.get(name).and_then(|v| v.cast_f64());
            found.ok_or(anyhow::anyhow!("storms.{name}: a number should stand here"))
        };
        let (from, to, times) = (count("from")?, count("to")?, count("count")?);
        let operator = storm.get("operator").ok_or(missing("storms.operator"))?;
        for number in 0..times as u64 {
            let share = from + (to - from) * number as f64 / times;
            let at = (share * seconds as f64 * 1000.0) as u64;
            let line = json!({ "at": at, "operator": operator.clone() }).encode();
            // `@n` stands for the number of the change within its storm.
            let line = line.replace("@n", &number.to_string());
            moments.push(moment(&line).map_err(|text| anyhow::anyhow!("storms: {text}"))?);
        }
    }
    for event in events
        .get("events")
        .and_then(|v| v.as_array())
        .map_or(&[][..], |list| &list[..])
    {
        let share = event
            .get("share")
            .and_then(|v| v.cast_f64())
            .ok_or(missing("events.share"))?;
        let mut line = event.clone();
        drop(line.remove("share"));
        line.insert("at", (share * seconds as f64 * 1000.0) as u64)?;
        moments.push(moment(&line.encode()).map_err(|text| anyhow::anyhow!("events: {text}"))?);
    }
    moments.sort_by_key(|moment| moment.at_ms);
    Ok(moments)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_lines_are_all_said_with_their_places() {
        let good = r#"{"at":5,"zone":"z","tenant":"t","service":"s","method":"GET","target":"/x"}"#;
        let cases = [
            (good.to_string(), vec![]),
            (
                format!("{good}\n{}", good.replace(":5", ":4")),
                vec!["line 2: at: it goes back"],
            ),
            ("{".into(), vec!["line 1: column"]),
            (
                good.replace("\"zone\"", "\"zoen\""),
                vec!["line 1: zoen: no such field"],
            ),
            (good.replace("\"z\"", "7"), vec!["line 1: zone: a text"]),
            (
                r#"{"at":1,"machine":"melt","name":"x"}"#.into(),
                vec!["line 1: machine: melt"],
            ),
            (
                r#"{"at":1,"operator":{}}"#.into(),
                vec!["line 1: operator.do"],
            ),
            ("[]\n{}".into(), vec!["line 1: an object", "line 2: at:"]),
        ];
        for (text, wanted) in cases {
            let found = parse(&text).err().unwrap_or_default();
            assert_eq!(found.len(), wanted.len(), "{text}: {found:?}");
            for (found, wanted) in found.iter().zip(wanted) {
                assert!(found.starts_with(wanted), "{text}: {found}");
            }
        }
    }

    #[test]
    fn a_made_day_reads_back_and_is_the_same_for_the_same_seed() {
        for shape in [
            include_str!("../deployments/haatbari.json"),
            include_str!("../deployments/turnos.json"),
        ] {
            let day = make(shape, None, 5, 1.0, 7).expect("the sample shapes have a mix");
            let text: Vec<String> = day.iter().map(TimedAction::line).collect();
            assert!(day.len() > 50);
            assert_eq!(parse(&text.join("\n")).as_ref(), Ok(&day));
            assert_eq!(make(shape, None, 5, 1.0, 7).ok(), Some(day));
        }
    }
}
