//! The home book: where each tenant and service may live. Read from simd-json
//! values and checked whole, with the place of everything that is wrong.

use crate::{InvalidationScope, Name, RequestLimits};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// Invariants: every cell's zone is in `zones`; every home is the region of
/// some zone; `rules` has been compiled.
pub struct Topology {
    /// Zone to region.
    pub zones: BTreeMap<String, String>,
    /// Cell to zone.
    pub cells: BTreeMap<String, String>,
    pub services: BTreeMap<String, Service>,
    pub tenants: BTreeMap<String, Tenant>,
    pub rules: String,
    pub set_points: policy::SetPoints,
    pub limits: RequestLimits,
    /// A key's jobs go to the caller's own region first, not to its first home.
    pub is_near_first: bool,
    /// Digest to tenant, of the keys that the book itself lists.
    pub keys: BTreeMap<String, String>,
}

#[derive(PartialEq)]
pub struct Service {
    /// Empty stands for any region.
    pub homes: Vec<String>,
    /// Connections that one engine takes from all callers together; 0 stands for
    /// no bound.
    pub max_connections: u64,
    /// Jobs a second that an engine bears while it is cold; 0 stands for no bound.
    pub warm_up_requests_per_s: u64,
    /// How long an engine stays cold after it came.
    pub warm_up_ms: u64,
}

#[derive(PartialEq)]
pub struct Tenant {
    /// Empty stands for any region.
    pub homes: Vec<String>,
    /// Empty stands for any service.
    pub services: Vec<String>,
    /// Jobs a second; 0 stands for no quota.
    pub requests_per_s: u64,
    pub burst: u64,
    pub fresh_ms: Option<u64>,
    pub expire_ms: Option<u64>,
    /// Goes before the route's.
    pub urgency: Option<u8>,
}

/// Parses JSON, with line and column of the first thing that is wrong.
pub fn parse_json(text: &str) -> Result<OwnedValue, String> {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::to_owned_value(&mut bytes).map_err(|error| {
        let at = error.index().min(text.len());
        let before = &text.as_bytes()[..at];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before
            .iter()
            .rev()
            .take_while(|byte| **byte != b'\n')
            .count()
            + 1;
        format!("line {line}, column {column}: {:?}", error.error())
    })
}

/// Merges a partial revision into a book: objects join name by name, null
/// takes a name away, anything else replaces what was there.
pub fn merge(whole: &mut OwnedValue, part: &OwnedValue) {
    let (Some(ours), Some(theirs)) = (whole.as_object_mut(), part.as_object()) else {
        *whole = part.clone();
        return;
    };
    for (name, value) in theirs.iter() {
        if value.is_null() {
            ours.remove(name);
        } else if let Some(known) = ours.get_mut(name) {
            merge(known, value);
        } else {
            let mut fresh = OwnedValue::object();
            merge(&mut fresh, value);
            ours.insert(name.clone(), fresh);
        }
    }
}

/// Reads one object with a closed list of fields, gathering complaints.
struct Reader<'a> {
    complaints: &'a mut Vec<String>,
}

impl Reader<'_> {
    fn complain(&mut self, place: &str, text: impl std::fmt::Display) {
        self.complaints.push(format!("{place}: {text}"));
    }

    fn name(&mut self, place: &str, name: &str) {
        let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > 64 || !name.chars().all(fits) {
            self.complain(
                place,
                "a name is 1 to 64 letters, digits, dots, dashes, underscores",
            );
        }
    }

    /// The members of an object of named things, or nothing.
    fn things<'v>(
        &mut self,
        value: &'v OwnedValue,
        name: &str,
    ) -> Vec<(&'v String, &'v OwnedValue)> {
        let Some(found) = value.get(name) else {
            return Vec::new();
        };
        let Some(object) = found.as_object() else {
            self.complain(name, "an object should stand here");
            return Vec::new();
        };
        let mut things: Vec<_> = object.iter().collect();
        things.sort_by_key(|(name, _)| name.as_str());
        for (thing, _) in &things {
            self.name(&format!("{name}.{thing}"), thing);
        }
        things
    }

    fn fields(&mut self, place: &str, value: &OwnedValue, known: &[&str]) {
        let Some(object) = value.as_object() else {
            return self.complain(place, "an object should stand here");
        };
        for (name, _) in object.iter() {
            if !known.contains(&name.as_str()) {
                self.complain(&join(place, name), "no such field is known here");
            }
        }
    }

    fn text(&mut self, place: &str, value: &OwnedValue, name: &str) -> String {
        match value.get(name).and_then(|found| found.as_str()) {
            Some(text) => text.to_string(),
            None => {
                self.complain(&join(place, name), "a text should stand here");
                String::new()
            }
        }
    }

    fn texts(&mut self, place: &str, value: &OwnedValue, name: &str) -> Vec<String> {
        let Some(found) = value.get(name) else {
            return Vec::new();
        };
        let list = found.as_array().map(|list| {
            list.iter()
                .map(|item| item.as_str().map(String::from))
                .collect::<Option<Vec<_>>>()
        });
        match list {
            Some(Some(texts)) => texts,
            _ => {
                self.complain(&join(place, name), "a list of texts should stand here");
                Vec::new()
            }
        }
    }

    fn count(&mut self, place: &str, value: &OwnedValue, name: &str) -> u64 {
        match value.get(name).map(|found| found.as_u64()) {
            None => 0,
            Some(Some(count)) if count <= 1_000_000 => count,
            _ => {
                self.complain(
                    &join(place, name),
                    "a whole number up to 1000000 should stand here",
                );
                0
            }
        }
    }

    fn digests(&mut self, place: &str, value: &OwnedValue, name: &str) -> Vec<String> {
        let digests = self.texts(place, value, name);
        let is_digest =
            |text: &String| text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digests.iter().all(is_digest) {
            self.complain(&join(place, name), "a key is kept as 64 hexadecimal digits");
        }
        digests
    }

    fn span(&mut self, place: &str, value: &OwnedValue, name: &str) -> Option<u64> {
        let found = value.get(name)?;
        let span = found.as_str().and_then(policy::parse_duration_ms);
        if span.is_none() {
            self.complain(
                &join(place, name),
                "a time such as 30s, 5m or 24h should stand here",
            );
        }
        span
    }
}

fn join(place: &str, name: &str) -> String {
    match place.is_empty() {
        true => name.into(),
        false => format!("{place}.{name}"),
    }
}

impl Topology {
    pub fn region_of_cell(&self, cell: &str) -> Option<&String> {
        self.zones.get(self.cells.get(cell)?)
    }

    pub fn regions(&self) -> Vec<&String> {
        let mut regions: Vec<&String> = self.zones.values().collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Which mappings another book in place of this one makes void.
    pub fn invalidated_by(&self, next: &Topology) -> Vec<InvalidationScope> {
        let is_same_ground = self.zones == next.zones
            && self.cells == next.cells
            && self.services == next.services
            && self.set_points == next.set_points
            && self.is_near_first == next.is_near_first;
        if !is_same_ground {
            return vec![InvalidationScope::All];
        }
        // A tenant that is new has no mapping yet.
        let has_changed =
            |(name, tenant): &(&String, &Tenant)| next.tenants.get(*name) != Some(*tenant);
        let touch = |(name, _): (&String, &Tenant)| InvalidationScope::Tenant(Name(name.clone()));
        self.tenants.iter().filter(has_changed).map(touch).collect()
    }

    /// Reads and checks a whole topology. Either all of it holds, or everything
    /// that is wrong is returned.
    pub fn from_json(value: &OwnedValue) -> Result<Topology, Vec<String>> {
        let mut complaints = Vec::new();
        let mut reader = Reader {
            complaints: &mut complaints,
        };
        let known = [
            "zones", "cells", "services", "tenants", "rules", "limits", "near",
        ];
        reader.fields("", value, &known);
        let mut topology = Topology {
            limits: RequestLimits::default(),
            is_near_first: value
                .get("near")
                .and_then(|near| near.as_bool())
                .unwrap_or(false),
            keys: BTreeMap::new(),
            zones: BTreeMap::new(),
            cells: BTreeMap::new(),
            services: BTreeMap::new(),
            tenants: BTreeMap::new(),
            rules: String::new(),
            set_points: policy::SetPoints::default(),
        };
        for (name, zone) in reader.things(value, "zones") {
            let place = format!("zones.{name}");
            reader.fields(&place, zone, &["region"]);
            let region = reader.text(&place, zone, "region");
            reader.name(&join(&place, "region"), &region);
            topology.zones.insert(name.clone(), region);
        }
        for (name, cell) in reader.things(value, "cells") {
            let place = format!("cells.{name}");
            reader.fields(&place, cell, &["zone"]);
            let zone = reader.text(&place, cell, "zone");
            if !topology.zones.contains_key(&zone) {
                reader.complain(&join(&place, "zone"), format!("there is no zone {zone}"));
            }
            topology.cells.insert(name.clone(), zone);
        }
        let regions: Vec<String> = topology.regions().into_iter().cloned().collect();
        let homes = |reader: &mut Reader, place: &str, thing: &OwnedValue| {
            let homes = reader.texts(place, thing, "homes");
            for (at, home) in homes.iter().enumerate() {
                if !regions.contains(home) {
                    reader.complain(
                        &format!("{place}.homes[{at}]"),
                        format!("no zone lies in a region {home}"),
                    );
                }
            }
            if thing.get("homes").is_some() && homes.is_empty() {
                reader.complain(
                    &join(place, "homes"),
                    "an empty list allows no place; leave it out to allow any",
                );
            }
            homes
        };
        for (name, service) in reader.things(value, "services") {
            let place = format!("services.{name}");
            let known = ["homes", "connections", "warm", "warm_pace"];
            reader.fields(&place, service, &known);
            let service = Service {
                homes: homes(&mut reader, &place, service),
                max_connections: reader.count(&place, service, "connections"),
                warm_up_requests_per_s: reader.count(&place, service, "warm_pace"),
                warm_up_ms: reader.span(&place, service, "warm").unwrap_or(0),
            };
            topology.services.insert(name.clone(), service);
        }
        for (name, tenant) in reader.things(value, "tenants") {
            let place = format!("tenants.{name}");
            let known = [
                "homes", "services", "pace", "burst", "fresh", "expire", "urgency", "keys",
            ];
            reader.fields(&place, tenant, &known);
            let services = reader.texts(&place, tenant, "services");
            for (at, service) in services.iter().enumerate() {
                if !topology.services.contains_key(service) {
                    let place = format!("{place}.services[{at}]");
                    reader.complain(&place, format!("there is no service {service}"));
                }
            }
            let keys = reader.digests(&place, tenant, "keys");
            let requests_per_s = reader.count(&place, tenant, "pace");
            let burst = reader.count(&place, tenant, "burst");
            let tenant = Tenant {
                homes: homes(&mut reader, &place, tenant),
                services,
                requests_per_s,
                burst: if burst == 0 {
                    requests_per_s * 2
                } else {
                    burst
                },
                fresh_ms: reader.span(&place, tenant, "fresh"),
                expire_ms: reader.span(&place, tenant, "expire"),
                urgency: tenant
                    .get("urgency")
                    .map(|_| reader.count(&place, tenant, "urgency").min(9) as u8),
            };
            for digest in keys {
                if let Some(other) = topology.keys.insert(digest, name.clone()) {
                    if other != *name {
                        reader.complain(&place, format!("a key belongs to tenant {other}, too"));
                    }
                }
            }
            if tenant.fresh_ms > tenant.expire_ms && tenant.expire_ms.is_some() {
                reader.complain(&join(&place, "fresh"), "it is longer than `expire`");
            }
            topology.tenants.insert(name.clone(), tenant);
        }
        if let Some(limits) = value.get("limits") {
            let known = ["head", "body", "head_wait", "idle"];
            reader.fields("limits", limits, &known);
            let named = RequestLimits::default();
            let count = |reader: &mut Reader, name: &str, most: u64| {
                limits.get(name).map(|found| match found.as_u64() {
                    Some(count) if (1..=most).contains(&count) => count,
                    _ => {
                        let text = format!("a whole number from 1 to {most} should stand here");
                        reader.complain(&join("limits", name), text);
                        1
                    }
                })
            };
            topology.limits = RequestLimits {
                max_head_bytes: count(&mut reader, "head", 1 << 20).unwrap_or(named.max_head_bytes),
                max_body_bytes: count(&mut reader, "body", 1 << 30).unwrap_or(named.max_body_bytes),
                head_timeout_ms: reader
                    .span("limits", limits, "head_wait")
                    .unwrap_or(named.head_timeout_ms),
                idle_timeout_ms: reader
                    .span("limits", limits, "idle")
                    .unwrap_or(named.idle_timeout_ms),
            };
        }
        if let Some(rules) = value.get("rules") {
            topology.rules = match rules.as_str() {
                Some(text) => text.to_string(),
                None => reader.texts("", value, "rules").join("\n"),
            };
        }
        match policy::compile(&topology.rules) {
            Ok(program) => {
                topology.set_points = program.set_points;
                for route in &program.routes {
                    let mut services = route.target.services().into_iter();
                    if services.any(|name| !topology.services.contains_key(name)) {
                        let text = format!("route {} names no known service", route.name);
                        reader.complain("rules", text);
                    }
                    if let Some(home) = route
                        .home_regions
                        .iter()
                        .find(|home| !regions.contains(home))
                    {
                        let text = format!("route {}: no zone lies in a region {home}", route.name);
                        reader.complain("rules", text);
                    }
                }
            }
            Err(found) => {
                for complaint in found {
                    reader.complain("rules", complaint);
                }
            }
        }
        match complaints.is_empty() {
            true => Ok(topology),
            false => Err(complaints),
        }
    }
}
