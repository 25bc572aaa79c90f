//! Load reports of a large fleet, merged on their way so that each router receives a few
//! frames a second whatever the number of routers.
//!
//! Some routers of each region aggregate. Each router reports to one of them; the aggregator
//! sends the sum of its reporters to the other aggregators, and to each reporter the load of
//! all other routers of the fleet. All of it is soft state: who reports is a member of the
//! group, and who falls silent leaves it.

use super::gossip::LoadUpdate;
use protocol::{CachedPrefix, EngineLoad};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A reporter or another aggregator that was not heard for so long is forgotten, and so is a
/// load that was not repeated: its change may be lost.
const SOURCE_EXPIRY_MS: u64 = 1_500;
/// A load that is unchanged is sent again after this long, so that the receiver does not
/// forget it.
const REPEAT_MS: u64 = 600;
/// The load of engines in other regions, which get few of this region's requests, is sent no
/// more often than this.
const OTHER_REGION_MS: u64 = 500;
/// A reporter gets an update at least this often, by which it knows that the aggregator runs.
const KEEPALIVE_MS: u64 = 300;
/// Engines that are kept; with more, all of the state is built up anew.
const MAX_ENGINES: usize = 4_096;

/// Load at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Load {
    requests: u32,
    prefill_tokens: u32,
}

impl Load {
    fn plus(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_add(other.requests),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
        }
    }

    fn minus(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
        }
    }
}

/// Loads by the engines' numbers; an engine beyond the end has none.
type Loads = Vec<Load>;

fn load_at(loads: &Loads, engine: usize) -> Load {
    loads.get(engine).copied().unwrap_or_default()
}

/// What was last heard of one engine's load.
#[derive(Clone, Copy, Default)]
struct HeardLoad {
    load: Load,
    heard_at_ms: u64,
}

/// What a reporter or another aggregator said last.
struct Source {
    loads: Vec<HeardLoad>,
    heard_at_ms: u64,
}

/// What was last sent to a receiver of one engine's load.
#[derive(Clone, Copy, Default)]
struct SentLoad {
    load: Load,
    sent_at_ms: u64,
}

/// What was last sent to a receiver.
#[derive(Default)]
struct Sent {
    loads: Vec<SentLoad>,
    sent_at_ms: u64,
}

/// An engine as the aggregator numbers it.
struct NumberedEngine {
    name: String,
    /// It is of the aggregator's own region.
    is_regional: bool,
}

impl Sent {
    /// The loads that changed since, and those that are due again.
    fn changes(
        &mut self,
        now: u64,
        engines: &[NumberedEngine],
        current: &Loads,
    ) -> Vec<EngineLoad> {
        self.loads.resize(engines.len(), SentLoad::default());
        let mut changes = Vec::new();
        for (number, engine) in engines.iter().enumerate() {
            let load = load_at(current, number);
            let sent = &mut self.loads[number];
            let is_repeat_due = load != Load::default() && now >= sent.sent_at_ms + REPEAT_MS;
            let may_change = engine.is_regional || now >= sent.sent_at_ms + OTHER_REGION_MS;
            let is_due = is_repeat_due || load != sent.load && may_change;
            if !is_due {
                continue;
            }
            *sent = SentLoad {
                load,
                sent_at_ms: now,
            };
            changes.push(EngineLoad {
                engine: engine.name.clone(),
                requests: load.requests,
                prefill_tokens: load.prefill_tokens,
            });
        }
        changes
    }
}

/// A reporter of this aggregator, with what it was sent.
struct Reporter {
    source: Source,
    sent: Sent,
    /// Prefixes that it was not sent yet.
    prefixes: Vec<CachedPrefix>,
}

/// A receiver of the sum of all reporters.
#[derive(Default)]
struct GroupReceiver {
    sent: Sent,
    /// Prefixes of reporters that it was not sent yet.
    prefixes: Vec<CachedPrefix>,
}

/// What one aggregator knows.
#[derive(Default)]
pub struct LoadAggregator {
    /// Engines by their numbers.
    engines: Vec<NumberedEngine>,
    numbers: HashMap<String, usize>,
    /// The names of this region's engines.
    regional_engines: HashSet<String>,
    /// Routers that report here, by name.
    reporters: BTreeMap<String, Reporter>,
    /// Sums of other aggregators' reporters, by the aggregator's name.
    groups: BTreeMap<String, Source>,
    /// The other aggregators of this region.
    region: GroupReceiver,
    /// The aggregators of other regions.
    remote: GroupReceiver,
}

impl LoadAggregator {
    /// The engines of this region are these.
    pub fn set_regional_engines(&mut self, engines: HashSet<String>) {
        for engine in &mut self.engines {
            engine.is_regional = engines.contains(&engine.name);
        }
        self.regional_engines = engines;
    }

    /// A router reports its own load.
    pub fn receive_report(&mut self, now: u64, router: &str, update: &LoadUpdate) {
        self.bound_engines();
        let changes = self.numbered(update);
        let reporter = self
            .reporters
            .entry(router.to_string())
            .or_insert_with(|| Reporter {
                source: Source::new(now),
                sent: Sent::default(),
                prefixes: Vec::new(),
            });
        reporter.source.apply(now, &changes);
        let prefixes = &update.cached_prefixes;
        for (name, other) in &mut self.reporters {
            if name != router {
                other.prefixes.extend_from_slice(prefixes);
            }
        }
        self.region.prefixes.extend_from_slice(prefixes);
        self.remote.prefixes.extend_from_slice(prefixes);
    }

    /// Another aggregator sent the sum of its reporters.
    pub fn receive_group(&mut self, now: u64, aggregator: &str, update: &LoadUpdate) {
        self.bound_engines();
        let changes = self.numbered(update);
        self.groups
            .entry(aggregator.to_string())
            .or_insert_with(|| Source::new(now))
            .apply(now, &changes);
        for reporter in self.reporters.values_mut() {
            reporter.prefixes.extend_from_slice(&update.cached_prefixes);
        }
    }

    /// Whether a router reports here.
    pub fn has_reporters(&self) -> bool {
        !self.reporters.is_empty()
    }

    /// Forgets those that were not heard for long.
    pub fn expire(&mut self, now: u64) {
        self.reporters
            .retain(|_, reporter| !reporter.source.is_expired(now));
        self.groups.retain(|_, group| !group.is_expired(now));
    }

    /// What the other aggregators of this region are to be sent.
    pub fn take_region_update(&mut self, now: u64) -> LoadUpdate {
        let sum = self.group_sum(now);
        self.region.take_update(now, &self.engines, &sum)
    }

    /// What aggregators of other regions are to be sent.
    pub fn take_remote_update(&mut self, now: u64) -> LoadUpdate {
        let sum = self.group_sum(now);
        self.remote.take_update(now, &self.engines, &sum)
    }

    /// What reporters are to be sent, by name: the load of all routers but the reporter.
    pub fn take_fleet_updates(&mut self, now: u64) -> Vec<(String, LoadUpdate)> {
        let mut total = self.group_sum(now);
        for group in self.groups.values() {
            group.add_to(now, &mut total);
        }
        let mut updates = Vec::new();
        for (name, reporter) in &mut self.reporters {
            let mut own = Loads::new();
            reporter.source.add_to(now, &mut own);
            let others = total
                .iter()
                .enumerate()
                .map(|(engine, load)| load.minus(load_at(&own, engine)))
                .collect();
            let update = LoadUpdate {
                loads: reporter.sent.changes(now, &self.engines, &others),
                cached_prefixes: std::mem::take(&mut reporter.prefixes),
            };
            if update.is_empty() && now < reporter.sent.sent_at_ms + KEEPALIVE_MS {
                continue;
            }
            reporter.sent.sent_at_ms = now;
            updates.push((name.clone(), update));
        }
        updates
    }

    /// The load of all reporters.
    fn group_sum(&self, now: u64) -> Loads {
        let mut sum = Loads::new();
        for reporter in self.reporters.values() {
            reporter.source.add_to(now, &mut sum);
        }
        sum
    }

    /// The loads by the engines' numbers. An engine that is new gets one.
    fn numbered(&mut self, update: &LoadUpdate) -> Vec<(usize, Load)> {
        let loads = update.loads.iter();
        loads
            .map(|load| {
                let number = self.number(&load.engine);
                let load = Load {
                    requests: load.requests,
                    prefill_tokens: load.prefill_tokens,
                };
                (number, load)
            })
            .collect()
    }

    fn number(&mut self, engine: &str) -> usize {
        if let Some(number) = self.numbers.get(engine) {
            return *number;
        }
        let number = self.engines.len();
        self.engines.push(NumberedEngine {
            name: engine.to_string(),
            is_regional: self.regional_engines.contains(engine),
        });
        self.numbers.insert(engine.to_string(), number);
        number
    }

    /// Engines that left keep their numbers, so the state is dropped when there are many.
    fn bound_engines(&mut self) {
        if self.engines.len() > MAX_ENGINES {
            *self = LoadAggregator {
                regional_engines: std::mem::take(&mut self.regional_engines),
                ..LoadAggregator::default()
            };
        }
    }
}

impl Source {
    fn new(now: u64) -> Source {
        Source {
            loads: Vec::new(),
            heard_at_ms: now,
        }
    }

    fn apply(&mut self, now: u64, changes: &[(usize, Load)]) {
        self.heard_at_ms = now;
        for (engine, load) in changes {
            if self.loads.len() <= *engine {
                self.loads.resize(engine + 1, HeardLoad::default());
            }
            self.loads[*engine] = HeardLoad {
                load: *load,
                heard_at_ms: now,
            };
        }
    }

    /// Adds what it said and has not expired.
    fn add_to(&self, now: u64, sum: &mut Loads) {
        if sum.len() < self.loads.len() {
            sum.resize(self.loads.len(), Load::default());
        }
        for (sum, heard) in sum.iter_mut().zip(&self.loads) {
            if now < heard.heard_at_ms + SOURCE_EXPIRY_MS {
                *sum = sum.plus(heard.load);
            }
        }
    }

    fn is_expired(&self, now: u64) -> bool {
        now >= self.heard_at_ms + SOURCE_EXPIRY_MS
    }
}

impl GroupReceiver {
    fn take_update(&mut self, now: u64, engines: &[NumberedEngine], sum: &Loads) -> LoadUpdate {
        LoadUpdate {
            loads: self.sent.changes(now, engines, sum),
            cached_prefixes: std::mem::take(&mut self.prefixes),
        }
    }
}
