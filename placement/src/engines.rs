//! The engines as one process knows them: by the view what they are, by their
//! vitals how they are, and by its own count what it has there.

use crate::{rank, select_engine, Candidate, HealthReport};
use residency::{Engine, Mapping, View};
use std::collections::{BTreeMap, BTreeSet};

/// Silence of an engine's vitals for this long makes it suspect.
pub const HEALTH_REPORT_TIMEOUT_MS: u64 = 1_500;
/// Past this much silence an engine that has a job is taken for lost: it gets no
/// more, and the job's caller is told.
pub const ENGINE_LOST_AFTER_MS: u64 = 3 * HEALTH_REPORT_TIMEOUT_MS;
/// While an engine is cold its own clock is cut into slots of this length, and
/// work is begun there only in the first part of each.
const SLOT_MS: u64 = 500;
const OPEN_MS: u64 = 250;

/// Who may begin work at a cold engine. The limit is for all processes together:
/// in each slot of the engine's clock, each place below the limit belongs to one
/// process, by rank, and may be used once. Invariants: what runs from earlier
/// slots takes the first places, by the engine's own count when the slot began;
/// nothing is begun in the last part of a slot, so that the count at the next
/// one's beginning holds all that was.
#[derive(Default)]
struct Seats {
    slot: u64,
    /// What ran when the slot began, as far as was heard.
    taken: u32,
    used: BTreeSet<u32>,
    /// Work is begun before this time of the process's own clock.
    until: u64,
}

impl Seats {
    fn heard(&mut self, now: u64, vitals: &HealthReport) {
        let slot = vitals.uptime_ms / SLOT_MS;
        if slot != self.slot {
            *self = Seats {
                slot,
                taken: vitals.running + vitals.queued,
                used: BTreeSet::new(),
                until: now + OPEN_MS.saturating_sub(vitals.uptime_ms % SLOT_MS),
            };
        }
    }

    fn free(&self, now: u64, limit: u32, mark: u64, me: u64, peers: &[u64]) -> Option<u32> {
        if now >= self.until {
            return None;
        }
        let is_mine = |place: &u32| {
            let place = rank(mark ^ self.slot, u64::from(*place));
            let holder = peers.iter().max_by_key(|peer| rank(place, **peer));
            holder == Some(&me)
        };
        (self.taken..limit)
            .filter(|place| !self.used.contains(place))
            .find(is_mine)
    }
}

/// One engine. Invariants: `own` counts the jobs that this process has there
/// now; `since` those of them begun since the last vitals.
struct Known {
    engine: Engine,
    mark: u64,
    vitals: Option<HealthReport>,
    /// When it was last heard, also where its vitals are not trusted now.
    heard: u64,
    own: u32,
    since: u32,
    seats: Seats,
    /// Counts the times that its vitals were lost: what comes after may be
    /// another start of it, and cold.
    losses: u64,
}

impl Known {
    fn limit(&self, fill: f64) -> u32 {
        let slots = self
            .vitals
            .map_or(0, |vitals| self.engine.slots.min(vitals.slots));
        let point = (f64::from(slots) * fill).ceil() as u32;
        self.vitals
            .map_or(0, |vitals| vitals.slow_start().limit(point.min(slots)))
    }
}

/// What an election gave.
#[derive(Debug, PartialEq)]
pub enum EngineSelection {
    /// `until`: when the place lapses, unless the job's bytes have left.
    Selected {
        name: String,
        address: String,
        zone: String,
        until: Option<u64>,
        losses: u64,
    },
    /// All that could take the job are at their limit.
    AllFull,
    /// No engine that may take it is in sight.
    NoneEligible,
}

/// Whether a view and a mapping let an engine have a job. Looked at when it is
/// elected, and again in the last moment before the first byte.
pub fn may_serve(view: &View, mapping: &Mapping, name: &str, address: &str) -> bool {
    view.engines.get(name).is_some_and(|engine| {
        // Homes bind whatever a cell's name has come to stand for.
        let is_home = view
            .cell(&engine.cell)
            .is_some_and(|cell| mapping.regions.iter().any(|r| r.0 == cell.region));
        is_home
            && engine.address == address
            && engine
                .services
                .iter()
                .any(|service| service.0 == mapping.service)
            && mapping.cells.iter().any(|cell| cell.0 == engine.cell)
            && view.is_open(engine)
    })
}

#[derive(Default)]
pub struct EngineHealthTracker {
    known: BTreeMap<String, Known>,
}

impl EngineHealthTracker {
    /// Takes the engines of a view; gives those that are new, and the names of
    /// those that are gone or have moved.
    pub fn apply_view(&mut self, now: u64, view: &View) -> (Vec<Engine>, Vec<String>) {
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
        let mut new = Vec::new();
        for (name, engine) in &view.engines {
            if let Some(known) = self.known.get_mut(name) {
                known.engine = engine.clone();
                continue;
            }
            new.push(engine.clone());
            let known = Known {
                engine: engine.clone(),
                mark: policy::stable_hash(name.as_bytes()),
                vitals: None,
                heard: now,
                own: 0,
                since: 0,
                seats: Seats::default(),
                losses: 0,
            };
            self.known.insert(name.clone(), known);
        }
        (new, gone)
    }

    pub fn record_report(&mut self, now: u64, name: &str, vitals: HealthReport) {
        if let Some(known) = self.known.get_mut(name) {
            known.seats.heard(now, &vitals);
            known.vitals = Some(vitals);
            known.heard = now;
            known.since = 0;
        }
    }

    /// An engine could not be reached, or its vitals ended: suspect until it is
    /// heard again.
    pub fn mark_unhealthy(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.vitals = None;
            known.losses += 1;
            known.seats = Seats::default();
        }
    }

    /// Whether an engine was heard without a break since it was elected.
    pub fn is_uninterrupted(&self, name: &str, losses: u64) -> bool {
        self.known
            .get(name)
            .is_some_and(|known| known.losses == losses)
    }

    pub fn contains(&self, name: &str) -> bool {
        self.known.contains_key(name)
    }

    /// A job of this process is no longer there.
    pub fn release(&mut self, name: &str) {
        if let Some(known) = self.known.get_mut(name) {
            known.own = known.own.saturating_sub(1);
            known.since = known.since.saturating_sub(1);
        }
    }

    /// Whether an engine has been silent for so long that no answer is to be
    /// expected. One that was only taken off the list may finish.
    pub fn is_lost(&self, now: u64, name: &str) -> bool {
        self.known
            .get(name)
            .is_some_and(|known| now > known.heard + ENGINE_LOST_AFTER_MS)
    }

    /// Elects an engine for a job among those that view and mapping allow. `me`
    /// and `peers` are the marks of the processes that may begin work at cold
    /// engines.
    pub fn select(
        &mut self,
        now: u64,
        view: &View,
        mapping: &Mapping,
        prefix: u64,
        me: u64,
        peers: &[u64],
    ) -> EngineSelection {
        let mut candidates = Vec::new();
        let mut found = Vec::new();
        for (name, known) in &self.known {
            let engine = &known.engine;
            let Some(tier) = mapping.cells.iter().position(|cell| cell.0 == engine.cell) else {
                continue;
            };
            let Some(vitals) = known.vitals else { continue };
            let is_heard =
                now < vitals.received_at_ms + HEALTH_REPORT_TIMEOUT_MS && !vitals.is_draining;
            if !is_heard || !may_serve(view, mapping, name, &engine.address) {
                continue;
            }
            let limit = known.limit(view.program.set_points.target_utilization);
            let place = match vitals.is_warming_up() {
                true => Some(known.seats.free(now, limit, known.mark, me, peers)),
                false => None,
            };
            candidates.push(Candidate {
                index: found.len(),
                mark: known.mark,
                running: known.own.max(vitals.running + vitals.queued + known.since),
                limit: if place == Some(None) { 0 } else { limit },
                tier,
            });
            found.push((name.clone(), place.flatten()));
        }
        if candidates.is_empty() {
            return EngineSelection::NoneEligible;
        }
        let Some(index) = select_engine(prefix, &candidates) else {
            return EngineSelection::AllFull;
        };
        let (name, place) = found.swap_remove(index);
        let known = self
            .known
            .get_mut(&name)
            .expect("it was listed a moment ago");
        known.own += 1;
        known.since += 1;
        let until = place.map(|place| {
            known.seats.used.insert(place);
            known.seats.until
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
            losses: known.losses,
        }
    }

    /// For operators: name, jobs from here, vitals, limit.
    pub fn statuses(
        &self,
        fill: f64,
    ) -> impl Iterator<Item = (&str, u32, Option<HealthReport>, u32)> {
        self.known
            .iter()
            .map(move |(name, known)| (&**name, known.own, known.vitals, known.limit(fill)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SlowStart;
    use residency::{Cell, EngineState, Event, Name, Zone};

    fn view(engines: usize) -> View {
        let zone = |name: &str, region: &str| Zone {
            name: name.into(),
            region: region.into(),
        };
        let cell = |name: &str, zone: &str| Cell {
            name: name.into(),
            zone: zone.into(),
        };
        let mut view = View::default();
        view.apply(&Event::Topology {
            zones: vec![zone("north-a", "north")],
            cells: vec![cell("north-1", "north-a")],
        });
        for at in 0..engines {
            view.apply(&Event::EngineUpdated(Engine {
                name: format!("engine-{at}"),
                address: format!("127.0.0.1:{at}"),
                cell: "north-1".into(),
                services: vec![Name("writer".into())],
                slots: 8,
                state: EngineState::Serving,
                warm_up_ms: 0,
            }));
        }
        view
    }

    fn mapping() -> Mapping {
        Mapping {
            tenant: "ana".into(),
            service: "writer".into(),
            regions: vec![Name("north".into())],
            cells: vec![Name("north-1".into())],
            fresh_ms: 1,
            expire_ms: 1,
            epoch: 1,
        }
    }

    /// A cold engine as it really is: jobs by when they end.
    struct Cold {
        born: u64,
        jobs: Vec<u64>,
        completed: u32,
    }

    struct Flood {
        most_over: i64,
        refused: u32,
        begun: u32,
        warm_at: Option<u64>,
    }

    /// A crowd of callers at `routers`, each of which knows the engines by
    /// vitals that come to it at its own moments, a while late; jobs reach the
    /// engine a while late, too.
    fn crowd(routers: usize, engines: usize, seed: u64) -> Flood {
        let mut draw = crate::draws(seed);
        let (view, mapping) = (view(engines), mapping());
        let peers: Vec<u64> = (0..routers as u64).map(|at| rank(7, at)).collect();
        let mut fleet: Vec<EngineHealthTracker> = (0..routers)
            .map(|_| EngineHealthTracker::default())
            .collect();
        fleet
            .iter_mut()
            .for_each(|known| drop(known.apply_view(0, &view)));
        let mut cold: Vec<Cold> = (0..engines)
            .map(|_| Cold {
                born: draw(5_000),
                jobs: Vec::new(),
                completed: 0,
            })
            .collect();
        let mut lines: Vec<(u64, usize, usize, HealthReport)> = Vec::new();
        let mut sent: Vec<(u64, usize, u64)> = Vec::new();
        let mut held: Vec<(u64, usize, usize)> = Vec::new();
        let mut flood = Flood {
            most_over: i64::MIN,
            refused: 0,
            begun: 0,
            warm_at: None,
        };
        let phases: Vec<u64> = (0..routers * engines).map(|_| draw(100)).collect();
        for now in 10_000..30_000u64 {
            for (at, engine) in cold.iter_mut().enumerate() {
                let before = engine.jobs.len();
                engine.jobs.retain(|end| *end > now);
                engine.completed += (before - engine.jobs.len()) as u32;
                let (come, later): (Vec<_>, Vec<_>) = sent
                    .drain(..)
                    .partition(|(due, to, _)| *due <= now && *to == at);
                sent = later;
                engine
                    .jobs
                    .extend(come.into_iter().map(|(_, _, takes)| now + takes));
                let limit = SlowStart::after_responses(engine.completed).limit(7);
                if limit < 7 {
                    flood.most_over = flood
                        .most_over
                        .max(engine.jobs.len() as i64 - i64::from(limit));
                }
                for router in 0..routers {
                    if (now + phases[router * engines + at]).is_multiple_of(100) {
                        let vitals = HealthReport {
                            running: engine.jobs.len() as u32,
                            queued: 0,
                            slots: 8,
                            is_warm: engine.completed >= 24,
                            is_draining: false,
                            completed: engine.completed,
                            uptime_ms: now - engine.born,
                            received_at_ms: 0,
                        };
                        lines.push((now + 1 + draw(40), router, at, vitals));
                    }
                }
            }
            let (come, later): (Vec<_>, Vec<_>) = lines.into_iter().partition(|line| line.0 <= now);
            lines = later;
            for (_, router, at, vitals) in come {
                fleet[router].record_report(
                    now,
                    &format!("engine-{at}"),
                    HealthReport {
                        received_at_ms: now,
                        ..vitals
                    },
                );
            }
            held.retain(|(until, router, at)| {
                if *until <= now {
                    fleet[*router].release(&format!("engine-{at}"));
                }
                *until > now
            });
            // Three jobs every millisecond want an engine.
            for _ in 0..3 {
                let router = draw(routers as u64) as usize;
                let prefix = draw(u64::MAX);
                match fleet[router].select(now, &view, &mapping, prefix, peers[router], &peers) {
                    EngineSelection::Selected { name, .. } => {
                        let at = name["engine-".len()..].parse().expect("its number");
                        let (way, takes) = (1 + draw(60), 50 + draw(900));
                        sent.push((now + way, at, takes));
                        held.push((now + way + takes, router, at));
                        flood.begun += 1;
                    }
                    _ => flood.refused += 1,
                }
            }
            if flood.warm_at.is_none() && cold.iter().all(|engine| engine.completed >= 24) {
                flood.warm_at = Some(now - 10_000);
            }
        }
        flood
    }

    /// Guards: an engine coming back cold is not flooded before it has warmed
    /// up, however many processes there are, with one engine cold or all.
    #[test]
    fn cold_engines_keep_to_their_limit_over_a_fleet() {
        for (routers, engines) in [(1, 1), (9, 1), (9, 4), (14, 9)] {
            for seed in 0..6 {
                let flood = crowd(routers, engines, seed);
                let what = format!("{routers} routers, {engines} engines, seed {seed}");
                assert!(flood.most_over <= 0, "{what}: {} too many", flood.most_over);
                assert!(
                    flood.warm_at.is_some_and(|at| at < 16_000),
                    "{what}: {:?}",
                    flood.warm_at
                );
            }
        }
    }
}
