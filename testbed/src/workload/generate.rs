//! Generates a workload from a deployment file's mix, by a seed.

use super::action::TimedAction;
use super::error::WorkloadError;
use super::format::parse_line;
use crate::random::XorShift64;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};

/// How large a workload is, and what it is drawn from.
#[derive(Debug, Clone, Copy)]
pub struct Generation {
    /// How long it is.
    pub seconds: u64,
    /// The rates, as a multiple of the deployment file's.
    pub scale: f64,
    /// The same seed generates the same workload.
    pub seed: u64,
}

impl Generation {
    /// A share of the workload's duration, in milliseconds.
    fn at_ms(&self, share: f64) -> f64 {
        share * self.seconds as f64 * 1000.0
    }
}

/// Generates a workload from a deployment file's `mix`, with the events of a scenario, or
/// the deployment file's own where none is given.
///
/// # Errors
///
/// Where the deployment file is no JSON, lacks a part, or makes a line that is not valid.
pub fn generate(
    deployment: &str,
    scenario: Option<&OwnedValue>,
    generation: &Generation,
) -> Result<Vec<TimedAction>, WorkloadError> {
    let deployment = residency::parse_json(deployment)?;
    let events = scenario.unwrap_or(&deployment);
    let windows = windows(events)?;
    let mut clients = Clients::new(&deployment, generation)?;
    let mut actions = Vec::new();
    let mix = deployment.get("mix").and_then(|v| v.as_array());
    for kind in mix.ok_or(WorkloadError::Invalid { field: "mix" })? {
        for window in windows.iter().filter(|window| window.is_for(kind)) {
            clients.add_requests(kind, window, &mut actions)?;
        }
    }
    add_storms(events, generation, &mut actions)?;
    add_events(events, generation, &mut actions)?;
    actions.sort_by_key(|action| action.at_ms);
    Ok(actions)
}

/// A span of the workload with more requests, by shares of its duration.
struct Window {
    from: f64,
    to: f64,
    /// How many times the mix's rate.
    factor: f64,
    tenant: Option<String>,
    zone: Option<String>,
    service: Option<String>,
}

impl Window {
    /// Whether it holds requests of this kind.
    fn is_for(&self, kind: &OwnedValue) -> bool {
        let service = kind.get("service").and_then(|v| v.as_str());
        self.service.is_none() || self.service.as_deref() == service
    }
}

/// The whole duration, then the crowds of a scenario.
fn windows(events: &OwnedValue) -> Result<Vec<Window>, WorkloadError> {
    let mut windows = vec![Window {
        from: 0.0,
        to: 1.0,
        factor: 1.0,
        tenant: None,
        zone: None,
        service: None,
    }];
    for crowd in list(events, "crowds") {
        let number = |name| number(crowd, "crowds", name);
        let text = |name: &str| crowd.get(name).and_then(|v| v.as_str()).map(String::from);
        windows.push(Window {
            from: number("from")?,
            to: number("to")?,
            factor: number("times")?,
            tenant: text("tenant"),
            zone: text("zone"),
            service: text("service"),
        });
    }
    Ok(windows)
}

fn list<'v>(value: &'v OwnedValue, name: &str) -> &'v [OwnedValue] {
    value
        .get(name)
        .and_then(|v| v.as_array())
        .map_or(&[][..], |list| &list[..])
}

fn number(entry: &OwnedValue, list: &str, name: &str) -> Result<f64, WorkloadError> {
    let found = entry.get(name).and_then(|v| v.cast_f64());
    found.ok_or_else(|| WorkloadError::NotANumber {
        field: format!("{list}.{name}"),
    })
}

/// Draws the clients' requests.
struct Clients<'a> {
    generation: &'a Generation,
    random: XorShift64,
    /// By name.
    tenants: Vec<Weighted>,
    zones: Vec<Weighted>,
}

/// A name, and how often it is drawn.
struct Weighted {
    name: String,
    weight: f64,
}

impl<'a> Clients<'a> {
    fn new(deployment: &OwnedValue, generation: &'a Generation) -> Result<Self, WorkloadError> {
        let object = |field: &'static str| {
            deployment
                .get(field)
                .and_then(|v| v.as_object())
                .ok_or(WorkloadError::Invalid { field })
        };
        let mut tenants: Vec<String> = object("keys")?.keys().cloned().collect();
        tenants.sort();
        // A few tenants are large: the n-th has a weight of 1/n.
        let tenants = tenants.into_iter().enumerate().map(|(index, name)| {
            let weight = 1.0 / (index + 1) as f64;
            Weighted { name, weight }
        });
        let zones = object("routers")?.iter().map(|(name, count)| Weighted {
            name: name.clone(),
            weight: count.as_u64().unwrap_or(1) as f64,
        });
        let mut zones: Vec<Weighted> = zones.collect();
        zones.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(Clients {
            generation,
            random: XorShift64::from_seed(generation.seed),
            tenants: tenants.collect(),
            zones,
        })
    }

    /// Adds the requests of one kind of the mix within a window.
    fn add_requests(
        &mut self,
        kind: &OwnedValue,
        window: &Window,
        actions: &mut Vec<TimedAction>,
    ) -> Result<(), WorkloadError> {
        let per_second = optional_number(kind, "per_second", 1.0);
        let rate = per_second * self.generation.scale * window.factor;
        let mut at_ms = self.generation.at_ms(window.from);
        loop {
            // The pauses of a Poisson process.
            at_ms += -(1.0 - self.random.fraction()).ln() / rate * 1000.0;
            if at_ms >= self.generation.at_ms(window.to) {
                return Ok(());
            }
            let line = self.draw_request(kind, window, at_ms)?;
            let action = parse_line(&line.encode());
            actions.push(action.map_err(|error| WorkloadError::Line { list: "mix", error })?);
        }
    }

    fn draw_request(
        &mut self,
        kind: &OwnedValue,
        window: &Window,
        at_ms: f64,
    ) -> Result<OwnedValue, WorkloadError> {
        let tenant = pick(&self.tenants, &mut self.random);
        let tenant = window.tenant.clone().unwrap_or(tenant);
        let zone = pick(&self.zones, &mut self.random);
        let mut line = kind.clone();
        for field in ["per_second", "shortest", "longest", "prefixes"] {
            // One that is missing has its default.
            drop(line.remove(field));
        }
        insert(&mut line, "mix", "at", (at_ms as u64).into())?;
        let zone = window.zone.clone().unwrap_or(zone);
        insert(&mut line, "mix", "zone", zone.into())?;
        let (shortest, longest) = (
            optional_number(kind, "shortest", 0.0),
            optional_number(kind, "longest", 0.0),
        );
        if longest > 0.0 {
            let prefixes = optional_number(kind, "prefixes", 20.0);
            let index = self.tenants.iter().position(|known| known.name == tenant);
            let first = index.unwrap_or(0) as u64 * 1000;
            let prefix = first + (self.random.fraction().powi(2) * prefixes) as u64;
            let length = shortest + self.random.fraction().powi(3) * (longest - shortest);
            let prompt = vec![prefix, length as u64];
            insert(&mut line, "mix", "prompt", prompt.into())?;
        }
        insert(&mut line, "mix", "tenant", tenant.into())?;
        Ok(line)
    }
}

fn optional_number(kind: &OwnedValue, name: &str, default: f64) -> f64 {
    kind.get(name).and_then(|v| v.cast_f64()).unwrap_or(default)
}

fn insert(
    line: &mut OwnedValue,
    list: &'static str,
    name: &str,
    value: OwnedValue,
) -> Result<(), WorkloadError> {
    match line.insert(name, value) {
        Ok(_) => Ok(()),
        Err(_) => Err(WorkloadError::Invalid { field: list }),
    }
}

/// Draws one of the names by their weights.
fn pick(of: &[Weighted], random: &mut XorShift64) -> String {
    let mut left = random.fraction() * of.iter().map(|one| one.weight).sum::<f64>();
    let drawn = of.iter().find(|one| {
        left -= one.weight;
        left < 0.0
    });
    drawn
        .or(of.last())
        .map_or(String::new(), |one| one.name.clone())
}

/// Operators' changes, many within a short time.
fn add_storms(
    events: &OwnedValue,
    generation: &Generation,
    actions: &mut Vec<TimedAction>,
) -> Result<(), WorkloadError> {
    for storm in list(events, "storms") {
        let number = |name| number(storm, "storms", name);
        let (from, to, count) = (number("from")?, number("to")?, number("count")?);
        let change = storm.get("operator").ok_or(WorkloadError::Invalid {
            field: "storms.operator",
        })?;
        for index in 0..count as u64 {
            let share = from + (to - from) * index as f64 / count;
            let at_ms = generation.at_ms(share) as u64;
            let line = json!({ "at": at_ms, "operator": change.clone() }).encode();
            // `@n` stands for the number of the change within its storm.
            let line = line.replace("@n", &index.to_string());
            let action = parse_line(&line);
            actions.push(action.map_err(|error| WorkloadError::Line {
                list: "storms",
                error,
            })?);
        }
    }
    Ok(())
}

/// Single lines, placed by their share of the duration.
fn add_events(
    events: &OwnedValue,
    generation: &Generation,
    actions: &mut Vec<TimedAction>,
) -> Result<(), WorkloadError> {
    for event in list(events, "events") {
        let share = event.get("share").and_then(|v| v.cast_f64());
        let share = share.ok_or(WorkloadError::Invalid {
            field: "events.share",
        })?;
        let mut line = event.clone();
        // It was just read.
        drop(line.remove("share"));
        let at_ms = generation.at_ms(share) as u64;
        insert(&mut line, "events", "at", at_ms.into())?;
        let action = parse_line(&line.encode());
        actions.push(action.map_err(|error| WorkloadError::Line {
            list: "events",
            error,
        })?);
    }
    Ok(())
}
