//! The engines as one process knows them where they say nothing of themselves:
//! by the view what they are, by its own jobs there and their answers how they
//! are. A job goes where its first event is expected soonest.

use crate::{may_serve, rank, EngineSelection};
use policy::Prompt;
use residency::{Engine, Mapping, View};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tokens of a prompt that an engine reads in a millisecond, as a first guess.
const READ_PACE: f64 = 110.0;
/// What a job costs that goes to another region: the way there and back, and the
/// price of its bytes, in milliseconds of waiting.
const FAR_MS: f64 = 220.0;
/// A part that other prompts share and that is read again takes an engine's time
/// from them, too: so many times what its reading takes is added.
const SHARED: f64 = 6.0;
/// What another process said of its jobs at an engine is believed for this long.
const TOLD_MS: u64 = 1_500;
/// What is still so is said again after this long.
const AGAIN_MS: u64 = 600;
/// A part that is kept is told of again after this long.
const KEPT_AGAIN_MS: u64 = KEPT_MS / 2;
/// How much longer a wait may be at the engine that ranks first for a prefix
/// before the next one in rank is taken.
const RANK_MS: f64 = 15.0;
/// A part that was not sent to an engine for this long is taken for lost there.
const KEPT_MS: u64 = 20_000;
/// An engine that failed is passed over for this long, doubled with each failure
/// in a row.
const SUSPECT_MS: u64 = 800;
const SUSPECT_MOST_MS: u64 = 4_000;
/// One whose address has another engine now.
const ENDED_MS: u64 = 10_000;
/// One that was full is passed over for this long.
const FULL_MS: u64 = 150;
/// A word on a cold engine is believed for this long past its own time.
const COLD_SLACK_MS: u64 = 3_000;
/// The most processes that share a cold engine's pace.
const COLD_SHARERS: usize = 8;
/// How long a place at a cold engine may lie unused.
const COLD_PLACE_MS: u64 = 250;

/// One job as an election sees it.
pub struct SelectionRequest<'a> {
    pub prompt: &'a Prompt,
    pub prefix: u64,
    /// EngineHealthTracker that this job has been to.
    pub tried: &'a [String],
}

/// One engine. Invariants: `own` counts the jobs that this process has there now;
/// `reading` the tokens of those whose answers have not begun.
struct Known {
    engine: Engine,
    mark: u64,
    own: u32,
    reading: f64,
    /// What other processes have there: jobs, tokens being read, when it was said.
    others: HashMap<String, (u32, f64, u64)>,
    /// What was last said of this process's own jobs there, and when.
    said: (u32, u32, u64),
    /// How much longer first events took than was expected, smoothed, and when
    /// that was last seen.
    excess: f64,
    seen: u64,
    /// Failures since it was last known to be well.
    failures: u32,
    suspect_until: u64,
    full_until: u64,
    /// When each part was last sent there.
    kept: HashMap<u64, u64>,
    cold_until: u64,
    /// When this process may begin its next job there while it is cold.
    next_cold: u64,
}

impl Known {
    fn new(now: u64, engine: &Engine) -> Known {
        Known {
            engine: engine.clone(),
            mark: policy::stable_hash(engine.name.as_bytes()),
            own: 0,
            reading: 0.0,
            others: HashMap::new(),
            said: (0, 0, 0),
            excess: 0.0,
            seen: now,
            failures: 0,
            suspect_until: 0,
            full_until: 0,
            kept: HashMap::new(),
            cold_until: cold_until(now, engine),
            next_cold: 0,
        }
    }

    /// Tokens of a prompt that it has to read, and how many of them are of parts
    /// that other prompts share.
    fn unread(&self, now: u64, prompt: &Prompt) -> (f64, f64) {
        let (mut kept, mut shared, mut is_kept) = (0, 0, true);
        let last = prompt.parts.len().saturating_sub(1);
        for (place, part) in prompt.parts.iter().enumerate() {
            is_kept &= self
                .kept
                .get(&part.prefix_hash)
                .is_some_and(|at| now < at + KEPT_MS);
            match is_kept {
                true => kept += part.tokens,
                false if place < last => shared += part.tokens,
                false => {}
            }
        }
        (
            f64::from(prompt.input_tokens.saturating_sub(kept)),
            f64::from(shared),
        )
    }

    /// Jobs and tokens being read there, of all processes.
    fn load(&self, now: u64) -> (u32, f64) {
        let told = self.others.values().filter(|(.., at)| now < at + TOLD_MS);
        told.fold(
            (self.own, self.reading),
            |(jobs, tokens), (more, reading, _)| (jobs + more, tokens + reading),
        )
    }

    fn excess(&self, now: u64) -> f64 {
        self.excess * 0.5_f64.powf(now.saturating_sub(self.seen) as f64 / 1_000.0)
    }
}

fn cold_until(now: u64, engine: &Engine) -> u64 {
    match engine.warm_up_ms {
        0 => 0,
        cold => now + u64::from(cold) + COLD_SLACK_MS,
    }
}

#[derive(Default)]
pub struct EngineLoadEstimator {
    known: BTreeMap<String, Known>,
    evacuated: BTreeSet<String>,
    /// Shared parts that were sent to an engine and not told of yet.
    kept: Vec<(String, u64)>,
}

/// What one process tells the others of the engines: its jobs and the tokens being
/// read at those where that changed, and shared parts that are kept since.
#[derive(Debug, Default, PartialEq)]
pub struct LoadUpdate {
    pub loads: Vec<(String, u32, u32)>,
    pub kept: Vec<(String, u64)>,
}

impl LoadUpdate {
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.kept.is_empty()
    }
}

impl EngineLoadEstimator {
    /// Takes the engines of a view; gives the names of those that are gone or
    /// have moved.
    pub fn apply_view(&mut self, now: u64, view: &View) -> Vec<String> {
        let is_same = |name: &str, known: &Known| {
            view.engines
                .get(name)
                .is_some_and(|e| e.address == known.engine.address)
        };
        let gone: Vec<String> = self
            .known
            .iter()
            .filter(|(name, known)| !is_same(name, known))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|name| drop(self.known.remove(name)));
        for (name, engine) in &view.engines {
            let Some(known) = self.known.get_mut(name) else {
                self.known.insert(name.clone(), Known::new(now, engine));
                continue;
            };
            if known.engine.warm_up_ms != engine.warm_up_ms {
                known.cold_until = cold_until(now, engine);
            }
            known.engine = engine.clone();
        }
        // The engines of a zone that is given back may have gone cold meanwhile.
        for zone in self.evacuated.difference(&view.evacuated) {
            let is_there = |known: &&mut Known| view.cells.get(&known.engine.cell) == Some(zone);
            for known in self.known.values_mut().filter(is_there) {
                let traits = known
                    .engine
                    .services
                    .first()
                    .and_then(|s| view.services.get(&s.0));
                let warm_ms = traits.map_or(0, |traits| traits.warm_up_ms);
                known.cold_until = known.cold_until.max(now + warm_ms);
            }
        }
        self.evacuated = view.evacuated.clone();
        gone
    }

    /// Elects the engine from which a job's first event is expected soonest, among
    /// those that view and mapping allow. `me` and `peers` are the marks of the
    /// processes that may begin work at cold engines.
    pub fn select(
        &mut self,
        now: u64,
        view: &View,
        mapping: &Mapping,
        wanted: &SelectionRequest,
        me: u64,
        peers: &[u64],
    ) -> EngineSelection {
        let home = mapping.regions.first();
        let mut found: Vec<(f64, u64, String, bool)> = Vec::new();
        let (mut is_any, mut suspects) = (false, Vec::new());
        for (name, known) in &self.known {
            if !may_serve(view, mapping, name, &known.engine.address) {
                continue;
            }
            is_any = true;
            let is_cold = now < known.cold_until && cold_pace(view, mapping) > 0;
            if is_cold && (now < known.next_cold || !is_sharer(known.mark, me, peers)) {
                continue;
            }
            if known.own >= known.engine.slots {
                continue;
            }
            let region = view.cell(&known.engine.cell).map(|cell| cell.region);
            let is_far = region.as_ref() != home.map(|home| &home.0);
            let (jobs, reading) = known.load(now);
            let (unread, shared) = known.unread(now, wanted.prompt);
            let cost = (reading + unread + SHARED * shared) / READ_PACE
                + known.excess(now)
                + f64::from(jobs)
                    * if wanted.prompt.input_tokens == 0 {
                        12.0
                    } else {
                        1.0
                    }
                + if is_far { FAR_MS } else { 0.0 };
            let draw = match wanted.prefix {
                0 => u64::MAX / 2,
                prefix => rank(prefix, known.mark),
            };
            let is_avoided = wanted.tried.iter().any(|avoided| avoided == name)
                || now < known.full_until
                || known.failures > 0
                || now < known.suspect_until;
            match is_avoided {
                true => suspects.push((known.suspect_until, name.clone(), is_cold)),
                false => found.push((cost, draw, name.clone(), is_cold)),
            }
        }
        // In a region the first in rank has the least to add.
        found.sort_by_key(|(_, draw, ..)| std::cmp::Reverse(*draw));
        let with_rank = |(place, found): (usize, &(f64, u64, String, bool))| {
            let cost = found.0 + RANK_MS * (place.min(8) as f64);
            (cost, found.2.clone(), found.3)
        };
        let best = found
            .iter()
            .enumerate()
            .map(with_rank)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, name, is_cold)| (name, is_cold));
        // Where all have failed lately, the one whose time is nearest, unless the
        // job has been there.
        suspects.retain(|(_, name, _)| !wanted.tried.contains(name));
        suspects.sort();
        let best = best.or_else(|| {
            suspects
                .into_iter()
                .next()
                .map(|(_, name, is_cold)| (name, is_cold))
        });
        let Some((name, is_cold)) = best else {
            return if is_any {
                EngineSelection::AllFull
            } else {
                EngineSelection::NoneEligible
            };
        };
        let known = self
            .known
            .get_mut(&name)
            .expect("it was listed a moment ago");
        known.own += 1;
        let until = is_cold.then(|| {
            // A part of the fleet that sees no other is not the whole of it.
            let sharers = peers
                .len()
                .max(view.router_count as usize)
                .clamp(1, COLD_SHARERS) as u64;
            known.next_cold = now + 1_000 * sharers / cold_pace(view, mapping).max(1);
            now + COLD_PLACE_MS
        });
        EngineSelection::Selected {
            address: known.engine.address.clone(),
            zone: view
                .cells
                .get(&known.engine.cell)
                .cloned()
                .unwrap_or_default(),
            name,
            until,
            losses: 0,
        }
    }

    /// What is to be told to others now.
    pub fn take_load_update(&mut self, now: u64) -> LoadUpdate {
        let mut loads = Vec::new();
        for (name, known) in &mut self.known {
            let (jobs, tokens) = (known.own, known.reading as u32);
            let (said_jobs, said_tokens, at) = known.said;
            let is_same = (jobs, tokens) == (said_jobs, said_tokens);
            if is_same && (jobs == 0 || now < at + AGAIN_MS) {
                continue;
            }
            known.said = (jobs, tokens, now);
            loads.push((name.clone(), jobs, tokens));
        }
        LoadUpdate {
            loads,
            kept: std::mem::take(&mut self.kept),
        }
    }

    /// Another process tells its news.
    pub fn apply_load_update(&mut self, now: u64, from: &str, news: &LoadUpdate) {
        for (name, jobs, tokens) in &news.loads {
            if let Some(known) = self.known.get_mut(name) {
                known.others.retain(|_, (.., at)| now < *at + TOLD_MS);
                known
                    .others
                    .insert(from.to_string(), (*jobs, f64::from(*tokens), now));
            }
        }
        for (name, chain) in &news.kept {
            if let Some(known) = self.known.get_mut(name) {
                known.kept.insert(*chain, now);
            }
        }
    }

    /// A job's bytes have left for an engine. Gives the time that its first event
    /// is expected to take, and the tokens that count as being read there.
    pub fn record_send(&mut self, now: u64, name: &str, prompt: &Prompt) -> (f64, f64) {
        let Some(known) = self.known.get_mut(name) else {
            return (0.0, 0.0);
        };
        let (unread, _) = known.unread(now, prompt);
        let expected = (known.load(now).1 + unread) / READ_PACE;
        known.reading += unread;
        let last = prompt.parts.len().saturating_sub(1);
        for (place, part) in prompt.parts.iter().enumerate() {
            let before = known.kept.insert(part.prefix_hash, now);
            if place < last && before.is_none_or(|at| now >= at + KEPT_AGAIN_MS) {
                self.kept.push((name.to_string(), part.prefix_hash));
            }
        }
        if known.kept.len() > 4_096 {
            known.kept.retain(|_, at| now < *at + KEPT_MS);
        }
        (expected, unread)
    }

    /// Its answer began, or it ended without one.
    pub fn finish_prefill(&mut self, name: &str, tokens: f64) {
        if let Some(known) = self.known.get_mut(name) {
            known.reading = (known.reading - tokens).max(0.0);
        }
    }

    /// Its answer began after so long.
    pub fn record_first_event(&mut self, now: u64, name: &str, expected: f64, took: u64) {
        if let Some(known) = self.known.get_mut(name) {
            let excess = (took as f64 - expected).clamp(0.0, 2_000.0);
            known.excess = known.excess(now) * 0.7 + excess * 0.3;
            known.seen = now;
            known.failures = 0;
            known.suspect_until = 0;
        }
    }

    /// EngineHealthTracker that failed, and whose time has come to be looked at: one that can be
    /// reached gets work again. No job is the one to find out.
    pub fn due_probes(&self, now: u64) -> Vec<(String, String)> {
        let is_due = |known: &&Known| known.failures > 0 && now >= known.suspect_until;
        let due = self.known.values().filter(is_due);
        due.map(|known| (known.engine.name.clone(), known.engine.address.clone()))
            .collect()
    }

    /// It could be reached.
    pub fn record_probe_success(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.failures = 0;
        }
    }

    /// It turned a job away.
    pub fn record_not_run(&mut self, now: u64, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.full_until = now + FULL_MS;
        }
    }

    /// Another engine answers at its address: its life has ended, and the list will
    /// say so.
    pub fn record_replaced(&mut self, now: u64, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.suspect_until = now + ENDED_MS;
        }
    }

    /// It could not be reached, or broke off.
    pub fn record_failure(&mut self, now: u64, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            let span = (SUSPECT_MS << known.failures.min(3)).min(SUSPECT_MOST_MS);
            known.failures += 1;
            known.suspect_until = now + span;
        }
    }

    /// A job of this process is no longer there.
    pub fn release(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.own = known.own.saturating_sub(1);
        }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.known.contains_key(name)
    }

    /// For operators: name, jobs from here, suspect, cold, excess of waiting.
    pub fn statuses(&self, now: u64) -> impl Iterator<Item = (&str, u32, bool, bool, u64)> {
        self.known.iter().map(move |(name, known)| {
            let (is_suspect, is_cold) = (now < known.suspect_until, now < known.cold_until);
            (
                &**name,
                known.own,
                is_suspect,
                is_cold,
                known.excess(now) as u64,
            )
        })
    }
}

/// Jobs a second that a cold engine bears; 0 stands for no bound.
fn cold_pace(view: &View, mapping: &Mapping) -> u64 {
    view.services
        .get(&mapping.service)
        .map_or(0, |traits| traits.warm_up_requests_per_s)
}

/// Whether a process is among those that share a cold engine's pace. All agree on
/// who they are, as far as they agree on who there is.
fn is_sharer(mark: u64, me: u64, peers: &[u64]) -> bool {
    let above = peers
        .iter()
        .filter(|peer| rank(mark, **peer) > rank(mark, me))
        .count();
    peers.contains(&me) && above < COLD_SHARERS
}
