//! Days of failure, drawn from a seed: several faults that overlap, at drawn
//! moments, and then everything well again for the last quarter, so that the
//! way back is judged, too.

use crate::random::XorShift64;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};

/// When everything is put right, as a share of the day.
const WELL: f64 = 0.72;

struct Draw(XorShift64);

impl Draw {
    fn below(&mut self, most: usize) -> usize {
        self.0.below(most as u64) as usize
    }

    fn share(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.below(1_000_000) as f64 / 1e6
    }

    fn one<'l, T>(&mut self, of: &'l [T]) -> &'l T {
        &of[self.below(of.len())]
    }
}

/// What a shape has that can fail.
struct Ground {
    zones: Vec<String>,
    keys: Vec<(String, String)>,
    routers: usize,
    directories: usize,
    engines: usize,
}

impl Ground {
    fn of(shape: &str) -> anyhow::Result<Ground> {
        let value = residency::parse_json(shape).map_err(|text| anyhow::anyhow!(text))?;
        let missing = |name: &str| anyhow::anyhow!("{name}: an object is missing");
        let object = |name: &str| {
            value
                .get(name)
                .and_then(|v| v.as_object())
                .ok_or(missing(name))
        };
        let sum = |name: &str| -> anyhow::Result<usize> {
            Ok(object(name)?
                .iter()
                .filter_map(|(_, count)| count.as_usize())
                .sum())
        };
        let kinds = object("engines")?
            .iter()
            .filter_map(|(_, kinds)| kinds.as_array())
            .flatten();
        let mut zones: Vec<String> = object("routers")?.iter().map(|(z, _)| z.clone()).collect();
        zones.sort();
        let mut keys: Vec<(String, String)> = object("keys")?
            .iter()
            .map(|(tenant, key)| (tenant.clone(), key.as_str().unwrap_or("").to_string()))
            .collect();
        keys.sort();
        Ok(Ground {
            zones,
            keys,
            routers: sum("routers")?,
            directories: sum("directories")?,
            engines: kinds
                .filter_map(|kind| kind.get("count").and_then(|v| v.as_usize()))
                .sum(),
        })
    }

    fn router(&self, draw: &mut Draw) -> String {
        format!("router-{}", draw.below(self.routers) + 1)
    }

    fn directory(&self, draw: &mut Draw) -> String {
        format!("directory-{}", draw.below(self.directories) + 1)
    }

    fn engine(&self, draw: &mut Draw) -> String {
        format!("engine-{}", draw.below(self.engines) + 1)
    }

    fn anybody(&self, draw: &mut Draw) -> String {
        match draw.below(4) {
            0 => self.router(draw),
            1 => self.directory(draw),
            2 => self.engine(draw),
            _ => "leader".into(),
        }
    }
}

/// The kinds of faults, as they are counted.
pub const KINDS: [&str; 18] = [
    "killed",
    "engine-killed",
    "frozen",
    "frozen-often",
    "killed-after-word",
    "disk-lost",
    "zone-lost",
    "core-killed",
    "nodes-killed",
    "fronts-killed",
    "cut",
    "evacuated",
    "drained",
    "key-taken",
    "storm",
    "crowd",
    "engine-replaced",
    "all-killed",
];

/// Draws a day. `events` and the like are those of a scenario; `kinds` says
/// which faults it holds: those asked for, or, where none is, drawn ones.
pub fn draw(shape: &str, seed: u64, wanted: &[&str]) -> anyhow::Result<OwnedValue> {
    if let Some(kind) = wanted.iter().find(|kind| !KINDS.contains(kind)) {
        anyhow::bail!("{kind} is no kind of fault; there are {}", KINDS.join(", "));
    }
    let ground = Ground::of(shape)?;
    let mut draw = Draw(XorShift64::from_seed(seed.wrapping_add(1)));
    // The first numbers of near seeds are near each other.
    (0..8).for_each(|_| {
        draw.below(2);
    });
    let mut events: Vec<OwnedValue> = Vec::new();
    let (mut crowds, mut storms, mut kinds) = (Vec::new(), Vec::new(), Vec::new());
    let count = if wanted.is_empty() {
        3 + draw.below(4)
    } else {
        wanted.len()
    };
    while kinds.len() < count {
        let kind = match wanted.get(kinds.len()) {
            Some(kind) => *kind,
            None => *draw.one(&KINDS),
        };
        if wanted.is_empty() && kinds.contains(&kind) {
            continue;
        }
        let from = draw.share(0.08, 0.5);
        let until = match wanted.is_empty() {
            true => (from + draw.share(0.05, 0.3)).min(WELL - 0.01),
            // A day of chosen faults is full of them.
            false => WELL - 0.01 - draw.share(0.0, 0.05),
        };
        let mut machine = |share: f64, action: &str, name: &str| {
            events.push(json!({ "share": share, "machine": action, "name": name }));
        };
        let dies =
            |share: f64, name: String| json!({ "share": share, "machine": "kill", "name": name });
        match kind {
            "killed" => {
                let name = ground.anybody(&mut draw);
                machine(from, "kill", &name);
                machine(
                    until,
                    "start",
                    if name == "leader" { "core" } else { &name },
                );
            }
            "engine-killed" => {
                let name = ground.engine(&mut draw);
                machine(from, "kill", &name);
                machine(until, "start", &name);
            }
            "frozen" => {
                let name = ground.anybody(&mut draw);
                machine(from, "freeze", &name);
                machine(until, "thaw", if name == "leader" { "core" } else { &name });
            }
            "frozen-often" => {
                let mut at = from;
                while at < until {
                    let name = match draw.below(3) {
                        0 => ground.directory(&mut draw),
                        _ => ground.router(&mut draw),
                    };
                    machine(at, "freeze", &name);
                    at += draw.share(0.002, 0.08);
                    machine(at.min(until), "thaw", &name);
                    at += draw.share(0.001, 0.01);
                }
            }
            "killed-after-word" | "disk-lost" => {
                let zone = draw.one(&ground.zones).clone();
                events.push(json!({ "share": from, "operator": { "do": "evacuate", "zone": zone.clone() } }));
                let after = from + draw.share(0.0, 0.004);
                events.push(dies(after, "leader".into()));
                if kind == "disk-lost" {
                    events.push(
                        json!({ "share": after + 0.001, "machine": "wipe", "name": "killed" }),
                    );
                }
                events.push(json!({ "share": until, "machine": "start", "name": "core" }));
                events.push(json!({ "share": WELL + 0.02, "operator": { "do": "give-back", "zone": zone } }));
            }
            "zone-lost" | "core-killed" | "nodes-killed" | "fronts-killed" | "all-killed" => {
                let word = match kind {
                    "zone-lost" => draw.one(&ground.zones).clone(),
                    "core-killed" => "core".into(),
                    "nodes-killed" => "nodes".into(),
                    "fronts-killed" => "fronts".into(),
                    _ => "all".to_string(),
                };
                // Some come back at once.
                let back = if draw.below(3) == 0 {
                    from + 0.01
                } else {
                    until
                };
                machine(from, "kill", &word);
                machine(back, "start", &word);
            }
            "cut" => {
                let action = *draw.one(&["cut", "cut", "cut-out", "cut-in"]);
                let name = match draw.below(3) {
                    0 => draw.one(&ground.zones).clone(),
                    _ => ground.anybody(&mut draw),
                };
                machine(from, action, &name);
                machine(until, "heal", "all");
            }
            "evacuated" => {
                let zone = draw.one(&ground.zones).clone();
                events.push(json!({ "share": from, "operator": { "do": "evacuate", "zone": zone.clone() } }));
                events.push(
                    json!({ "share": until, "operator": { "do": "give-back", "zone": zone } }),
                );
            }
            "drained" => {
                let name = ground.engine(&mut draw);
                events.push(json!({ "share": from, "operator": { "do": "engine-state", "name": name.clone(), "state": "draining" } }));
                events.push(json!({ "share": until, "operator": { "do": "engine-state", "name": name, "state": "serving" } }));
            }
            "key-taken" => {
                let (tenant, key) = draw.one(&ground.keys).clone();
                events.push(json!({ "share": from, "operator": { "do": "key-gone", "tenant": tenant.clone(), "key": key.clone() } }));
                events.push(json!({ "share": until, "operator": { "do": "key", "tenant": tenant, "key": key } }));
            }
            "storm" => {
                let book = json!({ "tenants": { "storm-@n": { "pace": 5 } } });
                storms.push(json!({
                    "from": from, "to": from + 0.1, "count": 30 + draw.below(60),
                    "operator": { "do": "revise", "whole": false, "book": book },
                }));
            }
            "crowd" => {
                let mut crowd = json!({ "from": from, "to": until, "times": 2 + draw.below(6) });
                match draw.below(3) {
                    0 => crowd.insert("zone", draw.one(&ground.zones).clone())?,
                    1 => crowd.insert("tenant", draw.one(&ground.keys).0.clone())?,
                    _ => None,
                };
                crowds.push(crowd);
            }
            _ => {
                let name = ground.engine(&mut draw);
                events.push(json!({ "share": from, "operator": { "do": "engine-state", "name": name.clone(), "state": "draining" } }));
                let middle = (from + until) / 2.0;
                events.push(dies(middle, name.clone()));
                events.push(
                    json!({ "share": middle + 0.01, "machine": "start", "name": name.clone() }),
                );
                events.push(json!({ "share": until, "operator": { "do": "engine-state", "name": name, "state": "serving" } }));
            }
        }
        kinds.push(kind);
    }
    events.push(json!({ "share": WELL, "machine": "restore", "name": "all" }));
    Ok(
        json!({ "name": format!("drawn-{seed}"), "kinds": kinds, "events": events, "crowds": crowds, "storms": storms }),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drawn_day_is_the_same_for_the_same_seed_and_can_be_played() {
        for shape in [
            include_str!("../deployments/haatbari.json"),
            include_str!("../deployments/turnos.json"),
        ] {
            let mut seen = std::collections::BTreeSet::new();
            for seed in 0..60 {
                let day = draw(shape, seed, &[]).expect("a day is drawn");
                assert_eq!(draw(shape, seed, &[]).expect("and again"), day);
                let moments =
                    crate::workload::make(shape, Some(&day), 20, 0.1, seed).expect("it reads");
                assert!(moments.len() > 20);
                let kinds = day
                    .get("kinds")
                    .and_then(|v| v.as_array())
                    .expect("it says its kinds");
                seen.extend(kinds.iter().map(|kind| kind.to_string()));
            }
            assert_eq!(seen.len(), KINDS.len(), "every kind is drawn");
        }
    }
}
