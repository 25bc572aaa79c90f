//! The estimated load and health of one engine.

use policy::Prompt;
use protocol::EngineLoad;
use residency::Engine;
use std::collections::HashMap;

/// Prompt tokens that an engine processes in a millisecond (prefill), as a first estimate.
/// What an engine takes longer is learned as `excess_ms`.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 110.0;
/// A prefix that was not sent to an engine for this long counts as evicted from its cache.
const PREFIX_CACHE_MS: u64 = 20_000;
/// A cached prefix is announced to other processes again after this long, before they take
/// it for evicted.
const PREFIX_ANNOUNCE_MS: u64 = PREFIX_CACHE_MS / 2;
/// Cached prefixes of one engine above which expired ones are removed, to bound the memory.
const MAX_CACHED_PREFIXES: usize = 4_096;
/// Another process's load at an engine is believed for this long: more than twice
/// `LOAD_REPEAT_MS`, so that one lost update changes nothing.
const PEER_LOAD_MS: u64 = 1_500;
/// A load that is unchanged is sent again after this long.
const LOAD_REPEAT_MS: u64 = 600;
/// An engine that failed is passed over for this long, doubled with each failure in a row up
/// to `MAX_SUSPECT_MS`, so that an engine that recovered does not stay idle for long.
const SUSPECT_MS: u64 = 800;
const MAX_SUSPECT_MS: u64 = 4_000;
/// Doublings of `SUSPECT_MS` at which `MAX_SUSPECT_MS` is passed.
const MAX_SUSPECT_DOUBLINGS: u32 = 3;
/// An engine whose address another engine answers at is passed over for this long; the list
/// of engines says so by then.
const REPLACED_MS: u64 = 10_000;
/// An engine that rejected a request because it was full is passed over for this long.
const FULL_MS: u64 = 150;
/// An engine counts as warming up for this long beyond the time that the list of engines
/// gives, which may reach this process late.
const WARM_UP_SLACK_MS: u64 = 3_000;
/// The longest excess that is learned of one response, so that one outlier does not keep
/// requests from an engine for long.
const MAX_EXCESS_MS: f64 = 2_000.0;

/// Prompt tokens that an engine would have to process.
#[derive(Clone, Copy)]
pub(super) struct UncachedTokens {
    /// In all.
    pub(super) total: f64,
    /// Those of the parts that other prompts share.
    pub(super) shared: f64,
}

/// Load at an engine, of all processes.
#[derive(Clone, Copy)]
pub(super) struct TotalLoad {
    pub(super) requests: u32,
    pub(super) prefill_tokens: f64,
}

/// What another process reported of its requests at an engine.
struct PeerLoad {
    requests: u32,
    prefill_tokens: f64,
    received_at_ms: u64,
}

/// What was last sent to other processes of this one's requests.
#[derive(Default)]
struct AnnouncedLoad {
    requests: u32,
    prefill_tokens: u32,
    sent_at_ms: u64,
}

/// One engine. Invariants: `own_requests` counts the requests that this process has there
/// now; `own_prefill_tokens` the prompt tokens of those whose responses have not begun.
pub(super) struct TrackedEngine {
    pub(super) engine: Engine,
    pub(super) hash: u64,
    pub(super) own_requests: u32,
    own_prefill_tokens: f64,
    peer_loads: HashMap<String, PeerLoad>,
    announced: AnnouncedLoad,
    /// How much longer first events took than expected, as a moving average, and when that
    /// was last measured.
    excess_ms: f64,
    measured_at_ms: u64,
    /// Failures since it last responded.
    failures: u32,
    pub(super) suspect_until_ms: u64,
    full_until_ms: u64,
    /// When a prompt with each prefix was last sent there.
    cached_prefixes: HashMap<u64, u64>,
    warming_until_ms: u64,
    /// When this process may start its next request there while it warms up.
    pub(super) next_warm_up_start_ms: u64,
}

impl TrackedEngine {
    pub(super) fn new(now: u64, engine: &Engine) -> TrackedEngine {
        TrackedEngine {
            engine: engine.clone(),
            hash: policy::stable_hash(engine.name.as_bytes()),
            own_requests: 0,
            own_prefill_tokens: 0.0,
            peer_loads: HashMap::new(),
            announced: AnnouncedLoad::default(),
            excess_ms: 0.0,
            measured_at_ms: now,
            failures: 0,
            suspect_until_ms: 0,
            full_until_ms: 0,
            cached_prefixes: HashMap::new(),
            warming_until_ms: warming_until_ms(now, engine),
            next_warm_up_start_ms: 0,
        }
    }

    /// Takes over what the topology says of it now.
    pub(super) fn update(&mut self, now: u64, engine: &Engine) {
        if self.engine.warm_up_ms != engine.warm_up_ms {
            self.warming_until_ms = warming_until_ms(now, engine);
        }
        self.engine = engine.clone();
    }

    /// It may have gone cold, and takes this long to warm up.
    pub(super) fn restart_warm_up(&mut self, now: u64, warm_up_ms: u64) {
        self.warming_until_ms = self.warming_until_ms.max(now + warm_up_ms);
    }

    /// Whether it counts as warming up.
    pub(super) fn is_warming_up(&self, now: u64) -> bool {
        now < self.warming_until_ms
    }

    /// Prompt tokens that its prefix cache does not hold.
    pub(super) fn uncached(&self, now: u64, prompt: &Prompt) -> UncachedTokens {
        let (mut cached, mut shared, mut is_cached) = (0, 0, true);
        let last = prompt.parts.len().saturating_sub(1);
        for (position, part) in prompt.parts.iter().enumerate() {
            is_cached &= self
                .cached_prefixes
                .get(&part.prefix_hash)
                .is_some_and(|sent_at_ms| now < sent_at_ms + PREFIX_CACHE_MS);
            match is_cached {
                true => cached += part.tokens,
                false if position < last => shared += part.tokens,
                false => {}
            }
        }
        UncachedTokens {
            total: f64::from(prompt.input_tokens.saturating_sub(cached)),
            shared: f64::from(shared),
        }
    }

    /// Its load, of all processes.
    pub(super) fn total_load(&self, now: u64) -> TotalLoad {
        let own = TotalLoad {
            requests: self.own_requests,
            prefill_tokens: self.own_prefill_tokens,
        };
        self.peer_loads
            .values()
            .filter(|peer| now < peer.received_at_ms + PEER_LOAD_MS)
            .fold(own, |sum, peer| TotalLoad {
                requests: sum.requests + peer.requests,
                prefill_tokens: sum.prefill_tokens + peer.prefill_tokens,
            })
    }

    /// How much longer than expected a first event is likely to take. What was measured
    /// counts half after each second.
    pub(super) fn excess_ms(&self, now: u64) -> f64 {
        self.excess_ms * 0.5_f64.powf(now.saturating_sub(self.measured_at_ms) as f64 / 1_000.0)
    }

    /// Whether it failed or was full lately: it is selected only if there is no other.
    pub(super) fn is_avoided(&self, now: u64) -> bool {
        now < self.full_until_ms || self.failures > 0 || now < self.suspect_until_ms
    }

    /// Whether it failed and is due for a probe.
    pub(super) fn is_probe_due(&self, now: u64) -> bool {
        self.failures > 0 && now >= self.suspect_until_ms
    }

    /// This process's load, if it is to be sent to others now.
    pub(super) fn announce_load(&mut self, now: u64) -> Option<EngineLoad> {
        let (requests, prefill_tokens) = (self.own_requests, self.own_prefill_tokens as u32);
        let sent = &self.announced;
        let is_same = (requests, prefill_tokens) == (sent.requests, sent.prefill_tokens);
        if is_same && (requests == 0 || now < sent.sent_at_ms + LOAD_REPEAT_MS) {
            return None;
        }
        self.announced = AnnouncedLoad {
            requests,
            prefill_tokens,
            sent_at_ms: now,
        };
        Some(EngineLoad {
            engine: self.engine.name.clone(),
            requests,
            prefill_tokens,
        })
    }

    /// Another process reported its load.
    pub(super) fn record_peer_load(&mut self, now: u64, peer: &str, load: &EngineLoad) {
        self.peer_loads
            .retain(|_, known| now < known.received_at_ms + PEER_LOAD_MS);
        let load = PeerLoad {
            requests: load.requests,
            prefill_tokens: f64::from(load.prefill_tokens),
            received_at_ms: now,
        };
        self.peer_loads.insert(peer.to_string(), load);
    }

    /// Another process sent a prompt with this prefix there.
    pub(super) fn record_peer_prefix(&mut self, now: u64, prefix_hash: u64) {
        self.cached_prefixes.insert(prefix_hash, now);
    }

    /// Begins the prefill of a prompt, and returns the shared prefixes to announce.
    pub(super) fn begin_prefill(&mut self, now: u64, prompt: &Prompt, tokens: f64) -> Vec<u64> {
        self.own_prefill_tokens += tokens;
        let last = prompt.parts.len().saturating_sub(1);
        let mut announced = Vec::new();
        for (position, part) in prompt.parts.iter().enumerate() {
            let before = self.cached_prefixes.insert(part.prefix_hash, now);
            let is_due = before.is_none_or(|sent_at_ms| now >= sent_at_ms + PREFIX_ANNOUNCE_MS);
            if position < last && is_due {
                announced.push(part.prefix_hash);
            }
        }
        if self.cached_prefixes.len() > MAX_CACHED_PREFIXES {
            self.cached_prefixes
                .retain(|_, sent_at_ms| now < *sent_at_ms + PREFIX_CACHE_MS);
        }
        announced
    }

    /// The prefill of a prompt ended, with a response or without one.
    pub(super) fn finish_prefill(&mut self, tokens: f64) {
        self.own_prefill_tokens = (self.own_prefill_tokens - tokens).max(0.0);
    }

    /// A response began after `took_ms`: the engine is well.
    pub(super) fn record_first_event(&mut self, now: u64, expected_ms: f64, took_ms: u64) {
        let excess_ms = (took_ms as f64 - expected_ms).clamp(0.0, MAX_EXCESS_MS);
        self.excess_ms = self.excess_ms(now) * 0.7 + excess_ms * 0.3;
        self.measured_at_ms = now;
        self.failures = 0;
        self.suspect_until_ms = 0;
    }

    /// A probe reached it.
    pub(super) fn record_probe_success(&mut self) {
        self.failures = 0;
    }

    /// It rejected a request without running it.
    pub(super) fn record_not_run(&mut self, now: u64) {
        self.full_until_ms = now + FULL_MS;
    }

    /// Another engine answers at its address.
    pub(super) fn record_replaced(&mut self, now: u64) {
        self.suspect_until_ms = now + REPLACED_MS;
    }

    /// It could not be reached, or its response broke off.
    pub(super) fn record_failure(&mut self, now: u64) {
        let doublings = self.failures.min(MAX_SUSPECT_DOUBLINGS);
        self.failures += 1;
        self.suspect_until_ms = now + (SUSPECT_MS << doublings).min(MAX_SUSPECT_MS);
    }
}

fn warming_until_ms(now: u64, engine: &Engine) -> u64 {
    match engine.warm_up_ms {
        0 => 0,
        warm_up_ms => now + u64::from(warm_up_ms) + WARM_UP_SLACK_MS,
    }
}
