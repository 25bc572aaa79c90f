//! Puts a scenario together, fault by fault.

use super::kind::FaultKind;
use super::targets::{Targets, TenantKey, LEADER};
use crate::random::XorShift64;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};

/// When everything is healed, as a share of the scenario's duration.
const HEALED_AT: f64 = 0.72;
/// All faults have ended by then.
const FAULTS_END: f64 = HEALED_AT - 0.01;

/// The span of a fault, by shares of the scenario's duration.
#[derive(Clone, Copy)]
struct Span {
    from: f64,
    until: f64,
}

pub(super) struct Builder {
    targets: Targets,
    random: XorShift64,
    kinds: Vec<FaultKind>,
    events: Vec<OwnedValue>,
    crowds: Vec<OwnedValue>,
    storms: Vec<OwnedValue>,
}

impl Builder {
    pub(super) fn new(targets: Targets, random: XorShift64) -> Builder {
        Builder {
            targets,
            random,
            kinds: Vec::new(),
            events: Vec::new(),
            crowds: Vec::new(),
            storms: Vec::new(),
        }
    }

    /// Adds three to six faults of different kinds, which may overlap.
    pub(super) fn add_drawn_faults(&mut self) {
        let count = 3 + self.random.below(4) as usize;
        while self.kinds.len() < count {
            let kind = *self.random.pick(&FaultKind::ALL);
            if self.kinds.contains(&kind) {
                continue;
            }
            let from = self.random.between(0.08, 0.5);
            let until = (from + self.random.between(0.05, 0.3)).min(FAULTS_END);
            self.add(kind, Span { from, until });
        }
    }

    /// Adds a fault that fills most of the scenario.
    pub(super) fn add_wanted(&mut self, kind: FaultKind) {
        let from = self.random.between(0.08, 0.5);
        let until = FAULTS_END - self.random.between(0.0, 0.05);
        self.add(kind, Span { from, until });
    }

    /// Heals everything at the end, and gives the scenario.
    pub(super) fn into_scenario(mut self, seed: u64) -> OwnedValue {
        self.machine(HEALED_AT, "restore", "all");
        let kinds: Vec<&str> = self.kinds.iter().map(|kind| kind.as_str()).collect();
        json!({
            "name": format!("drawn-{seed}"), "kinds": kinds, "events": self.events,
            "crowds": self.crowds, "storms": self.storms,
        })
    }

    fn add(&mut self, kind: FaultKind, span: Span) {
        match kind {
            FaultKind::Killed => {
                let name = self.targets.any_process(&mut self.random);
                self.machine(span.from, "kill", &name);
                self.machine(span.until, "start", leader_or_all_directories(&name));
            }
            FaultKind::EngineKilled => {
                let name = self.targets.engine(&mut self.random);
                self.machine(span.from, "kill", &name);
                self.machine(span.until, "start", &name);
            }
            FaultKind::Frozen => {
                let name = self.targets.any_process(&mut self.random);
                self.machine(span.from, "freeze", &name);
                self.machine(span.until, "thaw", leader_or_all_directories(&name));
            }
            FaultKind::FrozenOften => self.freeze_often(span),
            FaultKind::KilledAfterAcknowledgement => self.kill_after_acknowledgement(span, false),
            FaultKind::DiskLost => self.kill_after_acknowledgement(span, true),
            FaultKind::ZoneLost => {
                let zone = self.targets.zone(&mut self.random);
                self.kill_many(span, &zone);
            }
            FaultKind::DirectoryKilled => self.kill_many(span, "core"),
            FaultKind::NodesKilled => self.kill_many(span, "nodes"),
            FaultKind::RoutersKilled => self.kill_many(span, "fronts"),
            FaultKind::AllKilled => self.kill_many(span, "all"),
            FaultKind::Partitioned => self.partition(span),
            FaultKind::Evacuated => {
                let zone = self.targets.zone(&mut self.random);
                self.operator(span.from, json!({ "do": "evacuate", "zone": zone.clone() }));
                self.operator(span.until, json!({ "do": "give-back", "zone": zone }));
            }
            FaultKind::Drained => {
                let name = self.targets.engine(&mut self.random);
                self.engine_state(span.from, &name, "draining");
                self.engine_state(span.until, &name, "serving");
            }
            FaultKind::KeyRevoked => self.revoke_key(span),
            FaultKind::ChangeStorm => self.change_storm(span),
            FaultKind::Crowd => self.crowd(span),
            FaultKind::EngineReplaced => self.replace_engine(span),
        }
        self.kinds.push(kind);
    }

    fn machine(&mut self, share: f64, operation: &str, name: &str) {
        let event = json!({ "share": share, "machine": operation, "name": name });
        self.events.push(event);
    }

    fn operator(&mut self, share: f64, change: OwnedValue) {
        let event = json!({ "share": share, "operator": change });
        self.events.push(event);
    }

    fn engine_state(&mut self, share: f64, name: &str, state: &str) {
        let change = json!({ "do": "engine-state", "name": name, "state": state });
        self.operator(share, change);
    }

    fn freeze_often(&mut self, span: Span) {
        let mut at = span.from;
        while at < span.until {
            let name = match self.random.below(3) {
                0 => self.targets.directory(&mut self.random),
                _ => self.targets.router(&mut self.random),
            };
            self.machine(at, "freeze", &name);
            at += self.random.between(0.002, 0.08);
            self.machine(at.min(span.until), "thaw", &name);
            at += self.random.between(0.001, 0.01);
        }
    }

    fn kill_after_acknowledgement(&mut self, span: Span, loses_disk: bool) {
        let zone = self.targets.zone(&mut self.random);
        self.operator(span.from, json!({ "do": "evacuate", "zone": zone.clone() }));
        let after = span.from + self.random.between(0.0, 0.004);
        self.machine(after, "kill", LEADER);
        if loses_disk {
            self.machine(after + 0.001, "wipe", "killed");
        }
        self.machine(span.until, "start", "core");
        let healed = HEALED_AT + 0.02;
        self.operator(healed, json!({ "do": "give-back", "zone": zone }));
    }

    fn kill_many(&mut self, span: Span, name: &str) {
        // Some come back at once.
        let back = match self.random.below(3) {
            0 => span.from + 0.01,
            _ => span.until,
        };
        self.machine(span.from, "kill", name);
        self.machine(back, "start", name);
    }

    fn partition(&mut self, span: Span) {
        let operation = *self.random.pick(&["cut", "cut", "cut-out", "cut-in"]);
        let name = match self.random.below(3) {
            0 => self.targets.zone(&mut self.random),
            _ => self.targets.any_process(&mut self.random),
        };
        self.machine(span.from, operation, &name);
        self.machine(span.until, "heal", "all");
    }

    fn revoke_key(&mut self, span: Span) {
        let TenantKey { tenant, key } = self.targets.key(&mut self.random);
        let revoke = json!({ "do": "key-gone", "tenant": tenant.clone(), "key": key.clone() });
        self.operator(span.from, revoke);
        let add = json!({ "do": "key", "tenant": tenant, "key": key });
        self.operator(span.until, add);
    }

    fn change_storm(&mut self, span: Span) {
        let topology = json!({ "tenants": { "storm-@n": { "pace": 5 } } });
        let count = 30 + self.random.below(60);
        self.storms.push(json!({
            "from": span.from, "to": span.from + 0.1, "count": count,
            "operator": { "do": "revise", "whole": false, "book": topology },
        }));
    }

    fn crowd(&mut self, span: Span) {
        let factor = 2 + self.random.below(6);
        let mut crowd = json!({ "from": span.from, "to": span.until, "times": factor });
        let mut only = |field: &str, name: String| {
            crowd.insert(field, name).expect("a crowd is an object");
        };
        match self.random.below(3) {
            0 => only("zone", self.targets.zone(&mut self.random)),
            1 => only("tenant", self.targets.key(&mut self.random).tenant),
            _ => {}
        }
        self.crowds.push(crowd);
    }

    fn replace_engine(&mut self, span: Span) {
        let name = self.targets.engine(&mut self.random);
        self.engine_state(span.from, &name, "draining");
        let middle = (span.from + span.until) / 2.0;
        self.machine(middle, "kill", &name);
        self.machine(middle + 0.01, "start", &name);
        self.engine_state(span.until, &name, "serving");
    }
}

/// The leader may be another by the end of the fault: then all directory nodes are meant.
fn leader_or_all_directories(name: &str) -> &str {
    match name {
        LEADER => "core",
        name => name,
    }
}
