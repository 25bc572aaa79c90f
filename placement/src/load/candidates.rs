//! The engines that may serve a request, and the one from which its first event is expected
//! soonest.

use super::engine_load::{TrackedEngine, PREFILL_TOKENS_PER_MS};
use crate::engine::{may_serve, SelectionRequest};
use crate::rendezvous::rank;
use residency::{Mapping, View};
use std::collections::BTreeMap;

/// The cost of sending a request to another region, in milliseconds of waiting: the round
/// trip and the price of its bytes.
const OTHER_REGION_COST_MS: f64 = 220.0;
/// Processing a part again that other prompts share takes the engine's time from them, too:
/// the time of its prefill is added this many times.
const SHARED_PREFILL_WEIGHT: f64 = 6.0;
/// The cost of each request that the engine already has, in milliseconds, where prompts'
/// sizes are known and where they are not: then requests are the only measure of load.
const REQUEST_COST_MS: f64 = 1.0;
const REQUEST_COST_UNKNOWN_PROMPT_MS: f64 = 12.0;
/// How much longer a wait may be at the engine that ranks first for a prefix before the next
/// one in rank is taken.
const RANK_COST_MS: f64 = 15.0;
/// Ranks beyond this one cost no more.
const MAX_COSTED_RANK: usize = 8;
/// The most processes that share the warm-up rate of an engine. With more, each would wait
/// for seconds for its turn.
pub(super) const MAX_WARM_UP_SHARERS: usize = 8;
/// What a selection depends on besides the engines.
pub(super) struct SelectionContext<'a> {
    pub(super) now: u64,
    pub(super) view: &'a View,
    pub(super) mapping: &'a Mapping,
    pub(super) request: &'a SelectionRequest<'a>,
    /// The hash of this process's name.
    pub(super) own_hash: u64,
    /// The hashes of the names of the processes that may start requests at engines that are
    /// warming up.
    pub(super) peers: &'a [u64],
}

/// An engine without known faults.
struct Candidate<'a> {
    name: &'a str,
    /// Expected time until the first event, with the costs above, in milliseconds.
    cost_ms: f64,
    rank: u64,
    is_warming_up: bool,
}

/// An engine that failed, was full, or was tried before, taken only if there is no other.
/// Ordered by the time at which it may be used again, then by name.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Suspect<'a> {
    until_ms: u64,
    name: &'a str,
    is_warming_up: bool,
}

/// The engine that a selection settled on.
pub(super) struct Choice {
    pub(super) name: String,
    pub(super) is_warming_up: bool,
}

/// The candidates of a selection.
#[derive(Default)]
pub(super) struct Candidates<'a> {
    healthy: Vec<Candidate<'a>>,
    suspect: Vec<Suspect<'a>>,
    /// Whether any engine may serve the request, full ones included.
    pub(super) is_any_eligible: bool,
}

impl<'a> Candidates<'a> {
    /// Sorts the engines into those without known faults and those that failed.
    pub(super) fn collect(
        engines: &'a BTreeMap<String, TrackedEngine>,
        context: &SelectionContext,
    ) -> Candidates<'a> {
        let SelectionContext {
            now,
            view,
            mapping,
            request,
            ..
        } = *context;
        let warm_up_rate = warm_up_requests_per_s(view, mapping);
        let mut candidates = Candidates::default();
        for (name, tracked) in engines {
            if !may_serve(view, mapping, name, &tracked.engine.address) {
                continue;
            }
            candidates.is_any_eligible = true;
            let is_warming_up = tracked.is_warming_up(now) && warm_up_rate > 0;
            let has_turn = now >= tracked.next_warm_up_start_ms
                && shares_warm_up(tracked.hash, context.own_hash, context.peers);
            if is_warming_up && !has_turn || tracked.own_requests >= tracked.engine.slots {
                continue;
            }
            let is_tried = request.tried.iter().any(|tried| tried == name);
            if is_tried || tracked.is_avoided(now) {
                candidates.suspect.push(Suspect {
                    until_ms: tracked.suspect_until_ms,
                    name,
                    is_warming_up,
                });
                continue;
            }
            candidates.healthy.push(Candidate {
                name,
                cost_ms: cost_ms(tracked, context),
                rank: match request.prefix {
                    0 => u64::MAX / 2,
                    prefix => rank(prefix, tracked.hash),
                },
                is_warming_up,
            });
        }
        candidates
    }

    /// The engine with the lowest cost; where all have failed lately, the one that may be
    /// used soonest and was not tried.
    pub(super) fn choose(mut self, tried: &[String]) -> Option<Choice> {
        // The engine that ranks first in a region has no rank cost.
        self.healthy
            .sort_by_key(|candidate| std::cmp::Reverse(candidate.rank));
        let with_rank_cost = |(rank, candidate): (usize, &Candidate)| {
            candidate.cost_ms + RANK_COST_MS * (rank.min(MAX_COSTED_RANK) as f64)
        };
        let cheapest = self
            .healthy
            .iter()
            .enumerate()
            .map(|ranked| (with_rank_cost(ranked), ranked.1))
            .min_by(|one, other| one.0.total_cmp(&other.0));
        if let Some((_, candidate)) = cheapest {
            return Some(Choice {
                name: candidate.name.to_string(),
                is_warming_up: candidate.is_warming_up,
            });
        }
        self.suspect
            .retain(|suspect| !tried.iter().any(|tried| tried == suspect.name));
        self.suspect.sort();
        self.suspect.first().map(|suspect| Choice {
            name: suspect.name.to_string(),
            is_warming_up: suspect.is_warming_up,
        })
    }
}

/// The time until the first event of a prompt that is sent to an engine now, with the cost of
/// another region.
fn cost_ms(tracked: &TrackedEngine, context: &SelectionContext) -> f64 {
    let (now, prompt) = (context.now, context.request.prompt);
    let home = context.mapping.regions.first();
    let region = context
        .view
        .cell(&tracked.engine.cell)
        .map(|cell| cell.region);
    let is_other_region = region.as_ref() != home.map(|home| &home.0);
    let load = tracked.total_load(now);
    let uncached = tracked.uncached(now, prompt);
    let request_cost_ms = if prompt.input_tokens == 0 {
        REQUEST_COST_UNKNOWN_PROMPT_MS
    } else {
        REQUEST_COST_MS
    };
    let tokens = load.prefill_tokens + uncached.total + SHARED_PREFILL_WEIGHT * uncached.shared;
    tokens / PREFILL_TOKENS_PER_MS
        + tracked.excess_ms(now)
        + f64::from(load.requests) * request_cost_ms
        + if is_other_region {
            OTHER_REGION_COST_MS
        } else {
            0.0
        }
}

/// Requests that may be started at an engine of the mapping's service in a second while it
/// warms up; 0 stands for no bound.
pub(super) fn warm_up_requests_per_s(view: &View, mapping: &Mapping) -> u64 {
    view.services
        .get(&mapping.service)
        .map_or(0, |limits| limits.warm_up_requests_per_s)
}

/// Whether this process is among those that share an engine's warm-up rate. All processes
/// agree on who they are, as far as they agree on the list of processes.
fn shares_warm_up(engine_hash: u64, own_hash: u64, peers: &[u64]) -> bool {
    let ranked_higher = peers
        .iter()
        .filter(|peer| rank(engine_hash, **peer) > rank(engine_hash, own_hash))
        .count();
    peers.contains(&own_hash) && ranked_higher < MAX_WARM_UP_SHARERS
}
