//! The table of engines as one process estimates them.

use super::candidates::{
    warm_up_requests_per_s, Candidates, Choice, SelectionContext, MAX_WARM_UP_SHARERS,
};
use super::engine_load::{TrackedEngine, PREFILL_TOKENS_PER_MS};
use super::gossip::LoadUpdate;
use crate::engine::{remove_unlisted, EngineSelection, SelectedEngine, SelectionRequest};
use policy::Prompt;
use protocol::CachedPrefix;
use residency::{Mapping, View};
use std::collections::{BTreeMap, BTreeSet};

/// How long a slot at an engine that is warming up may stay unused.
const WARM_UP_SLOT_MS: u64 = 250;

/// What is expected of a request that was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillEstimate {
    /// Time until its first event.
    pub expected_ms: f64,
    /// Prompt tokens that the engine has to process; they are its load until
    /// `finish_prefill`.
    pub tokens: f64,
}

/// An engine that is to be probed.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeTarget {
    /// Its name.
    pub engine: String,
    /// Its address.
    pub address: String,
}

/// One engine's state, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoadStatus<'a> {
    /// Its name.
    pub name: &'a str,
    /// Requests that this process has there.
    pub own_requests: u32,
    /// Whether it failed lately.
    pub is_suspect: bool,
    /// Whether it counts as warming up.
    pub is_warming_up: bool,
    /// How much longer than expected its first events take.
    pub excess_wait_ms: u64,
}

/// The engines as one process knows them: their configuration from the view, their load and
/// health from this process's requests, their responses, and what other processes report.
#[derive(Default)]
pub struct EngineLoadEstimator {
    engines: BTreeMap<String, TrackedEngine>,
    evacuated_zones: BTreeSet<String>,
    /// Shared prefixes that were sent to an engine and not announced yet.
    unannounced_prefixes: Vec<CachedPrefix>,
}

impl EngineLoadEstimator {
    /// Takes over the engines of a view. Returns the names of those that are no longer
    /// listed, or at another address.
    pub fn apply_view(&mut self, now: u64, view: &View) -> Vec<String> {
        let removed = remove_unlisted(&mut self.engines, view, |tracked| &tracked.engine);
        for (name, engine) in &view.engines {
            match self.engines.get_mut(name) {
                Some(tracked) => tracked.update(now, engine),
                None => {
                    let tracked = TrackedEngine::new(now, engine);
                    self.engines.insert(name.clone(), tracked);
                }
            }
        }
        self.apply_reinstated_zones(now, view);
        removed
    }

    /// The engines of a zone that is reinstated may have gone cold during the evacuation.
    fn apply_reinstated_zones(&mut self, now: u64, view: &View) {
        for zone in self.evacuated_zones.difference(&view.evacuated) {
            let is_in_zone =
                |tracked: &&mut TrackedEngine| view.cells.get(&tracked.engine.cell) == Some(zone);
            for tracked in self.engines.values_mut().filter(is_in_zone) {
                let service = tracked.engine.services.first();
                let limits = service.and_then(|service| view.services.get(&service.0));
                let warm_up_ms = limits.map_or(0, |limits| limits.warm_up_ms);
                tracked.restart_warm_up(now, warm_up_ms);
            }
        }
        self.evacuated_zones = view.evacuated.clone();
    }

    /// Selects the engine from which the request's first event is expected soonest, among
    /// those that view and mapping allow, and takes a slot there. `own_hash` and `peers` are
    /// the hashes of the names of the processes that may start requests at engines that are
    /// warming up.
    ///
    /// Bound: all processes together start at most the service's warm-up rate at an engine
    /// that is warming up, as far as they know of each other.
    pub fn select(
        &mut self,
        now: u64,
        view: &View,
        mapping: &Mapping,
        request: &SelectionRequest,
        own_hash: u64,
        peers: &[u64],
    ) -> EngineSelection {
        let context = SelectionContext {
            now,
            view,
            mapping,
            request,
            own_hash,
            peers,
        };
        let candidates = Candidates::collect(&self.engines, &context);
        let is_any_eligible = candidates.is_any_eligible;
        match candidates.choose(request.tried) {
            Some(choice) => self.take_slot(now, view, mapping, peers.len(), choice),
            None if is_any_eligible => EngineSelection::AllFull,
            None => EngineSelection::NoneEligible,
        }
    }

    fn take_slot(
        &mut self,
        now: u64,
        view: &View,
        mapping: &Mapping,
        peer_count: usize,
        choice: Choice,
    ) -> EngineSelection {
        let tracked = self
            .engines
            .get_mut(&choice.name)
            .expect("a candidate is an entry of the table");
        tracked.own_requests += 1;
        let send_by_ms = choice.is_warming_up.then(|| {
            // A process that is cut off from the others must not take their shares.
            let sharers = peer_count
                .max(view.router_count as usize)
                .clamp(1, MAX_WARM_UP_SHARERS) as u64;
            let rate = warm_up_requests_per_s(view, mapping).max(1);
            tracked.next_warm_up_start_ms = now + 1_000 * sharers / rate;
            now + WARM_UP_SLOT_MS
        });
        EngineSelection::Selected(SelectedEngine::new(view, &tracked.engine, send_by_ms, 0))
    }

    /// What is to be sent to other processes now.
    pub fn take_load_update(&mut self, now: u64) -> LoadUpdate {
        let engines = self.engines.values_mut();
        LoadUpdate {
            loads: engines
                .filter_map(|tracked| tracked.announce_load(now))
                .collect(),
            cached_prefixes: std::mem::take(&mut self.unannounced_prefixes),
        }
    }

    /// Takes over what the process `from` reports.
    pub fn apply_load_update(&mut self, now: u64, from: &str, update: &LoadUpdate) {
        for load in &update.loads {
            if let Some(tracked) = self.engines.get_mut(&load.engine) {
                tracked.record_peer_load(now, from, load);
            }
        }
        for cached in &update.cached_prefixes {
            if let Some(tracked) = self.engines.get_mut(&cached.engine) {
                tracked.record_peer_prefix(now, cached.prefix_hash);
            }
        }
    }

    /// A request is being sent to an engine.
    pub fn record_send(&mut self, now: u64, name: &str, prompt: &Prompt) -> PrefillEstimate {
        let Some(tracked) = self.engines.get_mut(name) else {
            return PrefillEstimate::default();
        };
        let tokens = tracked.uncached(now, prompt).total;
        let expected_ms = (tracked.total_load(now).prefill_tokens + tokens) / PREFILL_TOKENS_PER_MS;
        let prefixes = tracked.begin_prefill(now, prompt, tokens).into_iter();
        self.unannounced_prefixes
            .extend(prefixes.map(|prefix_hash| CachedPrefix {
                engine: name.to_string(),
                prefix_hash,
            }));
        PrefillEstimate {
            expected_ms,
            tokens,
        }
    }

    /// The response of a request began, or it ended without one. `tokens` is what
    /// `record_send` gave.
    pub fn finish_prefill(&mut self, name: &str, tokens: f64) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.finish_prefill(tokens);
        }
    }

    /// The response of a request began after `took_ms`, where `expected_ms` was expected.
    pub fn record_first_event(&mut self, now: u64, name: &str, expected_ms: f64, took_ms: u64) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.record_first_event(now, expected_ms, took_ms);
        }
    }

    /// Engines that failed and may have recovered. Each gets requests again once a probe has
    /// reached it; no client's request is used to find out.
    pub fn due_probes(&self, now: u64) -> Vec<ProbeTarget> {
        let due = self
            .engines
            .values()
            .filter(|tracked| tracked.is_probe_due(now));
        due.map(|tracked| ProbeTarget {
            engine: tracked.engine.name.clone(),
            address: tracked.engine.address.clone(),
        })
        .collect()
    }

    /// A probe reached an engine.
    pub fn record_probe_success(&mut self, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.record_probe_success();
        }
    }

    /// An engine rejected a request without running it.
    pub fn record_not_run(&mut self, now: u64, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.record_not_run(now);
        }
    }

    /// Another engine answers at this one's address: this one's process has ended, and the
    /// list of engines will say so.
    pub fn record_replaced(&mut self, now: u64, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.record_replaced(now);
        }
    }

    /// An engine could not be reached, or its response broke off.
    pub fn record_failure(&mut self, now: u64, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.record_failure(now);
        }
    }

    /// Gives back the slot that `select` took: a request of this process has ended there.
    pub fn release(&mut self, name: &str) {
        if let Some(tracked) = self.engines.get_mut(name) {
            tracked.own_requests = tracked.own_requests.saturating_sub(1);
        }
    }

    /// Whether an engine is listed.
    pub fn contains(&self, name: &str) -> bool {
        self.engines.contains_key(name)
    }

    /// The state of each engine, by name, for operators.
    pub fn statuses(&self, now: u64) -> impl Iterator<Item = EngineLoadStatus<'_>> {
        self.engines
            .iter()
            .map(move |(name, tracked)| EngineLoadStatus {
                name,
                own_requests: tracked.own_requests,
                is_suspect: now < tracked.suspect_until_ms,
                is_warming_up: tracked.is_warming_up(now),
                excess_wait_ms: tracked.excess_ms(now) as u64,
            })
    }
}
