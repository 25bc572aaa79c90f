//! Aggregated load reports of a large fleet, in virtual time: what each router receives, and
//! how old what it knows is.

use placement::{AggregatorChoice, LoadAggregator, LoadAggregators, LoadUpdate};
use protocol::{EngineLoad, RouterAvailability, RouterStatus};
use std::collections::{BTreeMap, VecDeque};

const REGIONS: [&str; 3] = ["north", "south", "west"];
const ENGINES: usize = 60;
/// An engine that gets its first requests late.
const LATE_ENGINE: usize = ENGINES;
const STEP_MS: u64 = 10;
/// As the router reports and aggregates.
const REPORT_MS: u64 = 40;
const REFRESH_MS: u64 = 600;
/// As the estimator forgets.
const EXPIRY_MS: u64 = 1_500;
const AGGREGATION_MS: u64 = 80;
const REMOTE_MS: u64 = 240;
const IN_REGION_MS: u64 = 2;
const BETWEEN_REGIONS_MS: u64 = 55;

/// A message on its way, by the receiver's number.
enum Message {
    Report {
        from: usize,
        update: LoadUpdate,
    },
    Group {
        from: usize,
        is_relayed: bool,
        update: LoadUpdate,
    },
    Fleet {
        from: usize,
        update: LoadUpdate,
    },
}

struct Router {
    name: String,
    region: &'static str,
    runs: bool,
    load: BTreeMap<String, u32>,
    changes: Vec<EngineLoad>,
    reported_ms: u64,
    choice: AggregatorChoice,
    aggregator: LoadAggregator,
    remote_sent_ms: u64,
    /// The load of all other routers, as it knows it, and when it was told.
    fleet: BTreeMap<String, (u32, u64)>,
    received: usize,
}

struct Fleet {
    now: u64,
    routers: Vec<Router>,
    numbers: BTreeMap<String, usize>,
    aggregators: LoadAggregators,
    in_flight: VecDeque<(u64, usize, Message)>,
}

fn engine(number: usize) -> String {
    format!("i-{number}")
}

/// All engines are in its region.
fn aggregator() -> LoadAggregator {
    let mut aggregator = LoadAggregator::default();
    let engines = (0..ENGINES).chain([LATE_ENGINE]).map(engine);
    aggregator.set_regional_engines(engines.collect());
    aggregator
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let routers: Vec<Router> = (0..count)
            .map(|number| {
                let name = format!("edge-{number}");
                Router {
                    choice: AggregatorChoice::new(&name),
                    name,
                    region: REGIONS[number % REGIONS.len()],
                    runs: true,
                    load: BTreeMap::new(),
                    changes: Vec::new(),
                    reported_ms: 0,
                    aggregator: aggregator(),
                    remote_sent_ms: 0,
                    fleet: BTreeMap::new(),
                    received: 0,
                }
            })
            .collect();
        let names = routers.iter().enumerate();
        let numbers = names
            .map(|(number, router)| (router.name.clone(), number))
            .collect();
        let mut fleet = Fleet {
            now: 10_000,
            routers,
            numbers,
            aggregators: LoadAggregators::default(),
            in_flight: VecDeque::new(),
        };
        fleet.update_membership();
        fleet
    }

    /// All routers know which of them run.
    fn update_membership(&mut self) {
        let running = self.routers.iter().filter(|router| router.runs);
        let statuses: Vec<RouterStatus> = running.map(status).collect();
        self.aggregators = LoadAggregators::new(statuses.iter());
    }

    fn change(&mut self, router: usize, engine_number: usize, requests: u32) {
        let router = &mut self.routers[router];
        router.load.insert(engine(engine_number), requests);
        router.changes.push(EngineLoad {
            engine: engine(engine_number),
            requests,
            prefill_tokens: 0,
        });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_same = self.routers[from].region == self.routers[to].region;
        let delay = if is_same {
            IN_REGION_MS
        } else {
            BETWEEN_REGIONS_MS
        };
        self.in_flight.push_back((self.now + delay, to, message));
    }

    fn fellows(&self, number: usize) -> Vec<usize> {
        let of_region = self.aggregators.of_region(self.routers[number].region);
        let numbers = of_region.iter().map(|one| self.numbers[&one.name]);
        numbers.filter(|other| *other != number).collect()
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.now;
        if !self.routers[to].runs {
            return;
        }
        self.routers[to].received += 1;
        match message {
            Message::Report { from, update } => {
                let name = self.routers[from].name.clone();
                self.routers[to]
                    .aggregator
                    .receive_report(now, &name, &update);
            }
            Message::Group {
                from,
                is_relayed,
                update,
            } => {
                let name = self.routers[from].name.clone();
                self.routers[to]
                    .aggregator
                    .receive_group(now, &name, &update);
                if !is_relayed && self.routers[from].region != self.routers[to].region {
                    for fellow in self.fellows(to) {
                        let update = update.clone();
                        let is_relayed = true;
                        let message = Message::Group {
                            from,
                            is_relayed,
                            update,
                        };
                        self.send(to, fellow, message);
                    }
                }
            }
            Message::Fleet { from, update } => self.take_in(to, from, &update),
        }
    }

    fn take_in(&mut self, to: usize, from: usize, update: &LoadUpdate) {
        let name = self.routers[from].name.clone();
        let router = &mut self.routers[to];
        if router.choice.accepts(self.now, &name) {
            for load in &update.loads {
                let known = (load.requests, self.now);
                router.fleet.insert(load.engine.clone(), known);
            }
        }
    }

    fn report(&mut self, number: usize) {
        let now = self.now;
        let router = &mut self.routers[number];
        let is_due = now >= router.reported_ms + REFRESH_MS
            || !router.changes.is_empty() && now >= router.reported_ms + REPORT_MS;
        if !router.runs || !is_due {
            return;
        }
        router.reported_ms = now;
        let update = LoadUpdate {
            loads: match router.changes.is_empty() {
                true => all_loads(router),
                false => std::mem::take(&mut router.changes),
            },
            cached_prefixes: Vec::new(),
        };
        let candidates = self.aggregators.of_region(router.region);
        let chosen = router.choice.choose(now, candidates).expect("there is one");
        let to = self.numbers[&chosen.name];
        if to == number {
            let name = router.name.clone();
            router.aggregator.receive_report(now, &name, &update);
        } else {
            let from = number;
            self.send(number, to, Message::Report { from, update });
        }
    }

    fn aggregate(&mut self, number: usize) {
        let now = self.now;
        let router = &mut self.routers[number];
        router.aggregator.expire(now);
        if !router.runs || !router.aggregator.has_reporters() {
            return;
        }
        let region_update = router.aggregator.take_region_update(now);
        let is_remote_due = now >= router.remote_sent_ms + REMOTE_MS;
        let remote_update = is_remote_due.then(|| {
            router.remote_sent_ms = now;
            router.aggregator.take_remote_update(now)
        });
        let fleet_updates = router.aggregator.take_fleet_updates(now);
        if !region_update.is_empty() {
            for fellow in self.fellows(number) {
                self.send(number, fellow, group(number, &region_update));
            }
        }
        if let Some(update) = remote_update.filter(|update| !update.is_empty()) {
            let router = &self.routers[number];
            let turn = now / REMOTE_MS;
            let remote = self.aggregators.remote(router.region, &router.name, turn);
            let remote: Vec<usize> = remote.iter().map(|one| self.numbers[&one.name]).collect();
            for to in remote {
                self.send(number, to, group(number, &update));
            }
        }
        for (name, update) in fleet_updates {
            let to = self.numbers[&name];
            if to == number {
                self.take_in(to, number, &update);
            } else {
                let from = number;
                self.send(number, to, Message::Fleet { from, update });
            }
        }
    }

    /// Lets that much time pass; each router makes that many changes a second.
    fn run(&mut self, duration_ms: u64, changes_per_s: u64) {
        let until = self.now + duration_ms;
        let mut step = 0;
        while self.now < until {
            self.now += STEP_MS;
            step += 1;
            let now = self.now;
            for number in 0..self.routers.len() {
                let turn = self.now / STEP_MS + number as u64 * 7;
                if changes_per_s > 0 && turn.is_multiple_of(1_000 / STEP_MS / changes_per_s) {
                    let engine = (number * 13 + step) % ENGINES;
                    self.change(number, engine, ((number + step) % 4) as u32);
                }
                self.report(number);
                if (now / STEP_MS + number as u64).is_multiple_of(AGGREGATION_MS / STEP_MS) {
                    self.aggregate(number);
                }
            }
            let (due, later) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at, _, _)| *at <= now);
            self.in_flight = later;
            let due: VecDeque<(u64, usize, Message)> = due;
            for (_, to, message) in due {
                self.receive(to, message);
            }
        }
    }

    /// The load of all running routers but that one.
    fn true_load(&self, number: usize, engine: &str) -> u32 {
        let others = self.routers.iter().enumerate();
        let others = others.filter(|(other, router)| *other != number && router.runs);
        others
            .filter_map(|(_, router)| router.load.get(engine))
            .sum()
    }

    /// What a router knows of an engine; it forgets what is not repeated.
    fn known_load(&self, number: usize, engine: &str) -> u32 {
        let known = self.routers[number].fleet.get(engine);
        let known = known.filter(|(_, told_ms)| self.now < told_ms + EXPIRY_MS);
        known.map_or(0, |(requests, _)| *requests)
    }

    #[track_caller]
    fn assert_all_know_all(&self) {
        for (number, router) in self.routers.iter().enumerate() {
            for engine in (0..ENGINES).map(engine) {
                let known = self.known_load(number, &engine);
                let truth = self.true_load(number, &engine);
                assert!(
                    !router.runs || known == truth,
                    "{} knows {known} of {truth} at {engine}",
                    router.name
                );
            }
        }
    }
}

fn group(from: usize, update: &LoadUpdate) -> Message {
    Message::Group {
        from,
        is_relayed: false,
        update: update.clone(),
    }
}

fn all_loads(router: &Router) -> Vec<EngineLoad> {
    let loads = router.load.iter().filter(|(_, requests)| **requests > 0);
    loads
        .map(|(engine, requests)| EngineLoad {
            engine: engine.clone(),
            requests: *requests,
            prefill_tokens: 0,
        })
        .collect()
}

fn status(router: &Router) -> RouterStatus {
    RouterStatus {
        name: router.name.clone(),
        region: router.region.into(),
        zone: format!("{}-a", router.region),
        client_address: String::new(),
        peer_address: String::new(),
        epoch: 1,
        age_ms: 0,
        availability: RouterAvailability::Ready,
    }
}

/// Frames a second that routers receive: the most at one that does not aggregate, and the
/// mean over all.
fn received_per_s(count: usize) -> (f64, f64) {
    let mut fleet = Fleet::new(count);
    fleet.run(2_000, 10);
    fleet
        .routers
        .iter_mut()
        .for_each(|router| router.received = 0);
    let seconds = 4;
    fleet.run(seconds * 1_000, 10);
    let per_s = |router: &Router| router.received as f64 / seconds as f64;
    let is_aggregator = |router: &&Router| {
        let of_region = fleet.aggregators.of_region(router.region);
        of_region.iter().any(|one| one.name == router.name)
    };
    let others = fleet.routers.iter().filter(|router| !is_aggregator(router));
    let most = others.map(per_s).fold(0.0, f64::max);
    let mean = fleet.routers.iter().map(per_s).sum::<f64>() / count as f64;
    (most, mean)
}

/// Guards against processor time that grows with the number of routers: a router of a fleet
/// of 291 received some 750 frames a second.
#[test]
fn what_a_router_receives_does_not_grow_with_the_fleet() {
    for count in [150, 300] {
        let (most, mean) = received_per_s(count);
        assert!(most <= 15.0, "{most} frames a second at one of {count}");
        assert!(mean <= 75.0, "{mean} frames a second on average of {count}");
    }
}

#[test]
fn every_router_knows_the_load_of_all_others() {
    let mut fleet = Fleet::new(150);
    fleet.run(3_000, 10);
    fleet.run(1_500, 0);
    fleet.assert_all_know_all();
}

/// Guards against selection by old reports: direct gossip among a hundred routers waits 400 ms.
#[test]
fn a_change_is_known_in_its_region_within_a_quarter_of_a_second() {
    let mut fleet = Fleet::new(300);
    fleet.run(2_000, 10);
    fleet.run(1_500, 0);
    let known = |fleet: &Fleet, region: &str| {
        let mut numbers = (1..fleet.routers.len()).filter(|at| fleet.routers[*at].region == region);
        numbers.all(|number| fleet.known_load(number, &engine(LATE_ENGINE)) == 5)
    };
    fleet.change(0, LATE_ENGINE, 5);
    let (own, others) = (REGIONS[0], &REGIONS[1..]);
    fleet.run(250, 0);
    assert!(known(&fleet, own));
    fleet.run(750, 0);
    assert!(others.iter().all(|region| known(&fleet, region)));
}

#[test]
fn routers_of_an_aggregator_that_dies_report_to_another_one() {
    let mut fleet = Fleet::new(150);
    fleet.run(2_000, 10);
    let dead = &fleet.aggregators.of_region(REGIONS[0])[0].name;
    let dead = fleet.numbers[dead];
    fleet.routers[dead].runs = false;
    // Membership still names it: its reporters find out by its silence.
    fleet.run(4_000, 10);
    fleet.run(1_500, 0);
    fleet.assert_all_know_all();
    fleet.update_membership();
    fleet.run(4_000, 10);
    fleet.run(1_500, 0);
    fleet.assert_all_know_all();
}

#[test]
fn a_small_fleet_has_no_aggregators() {
    assert!(!Fleet::new(120).aggregators.are_used());
    assert!(Fleet::new(121).aggregators.are_used());
}

#[test]
fn a_router_accepts_updates_of_the_aggregator_that_it_reports_to() {
    let fleet = Fleet::new(150);
    let candidates = fleet.aggregators.of_region(REGIONS[0]);
    let mut choice = AggregatorChoice::new("edge-of-its-own");
    let first = choice.choose(0, candidates).expect("there is one").clone();
    let other = candidates.iter().find(|one| **one != first);
    let other = other.expect("there are several");
    assert!(choice.accepts(10, &first.name));
    assert!(!choice.accepts(10, &other.name));
    assert_eq!(choice.choose(900, candidates), Some(&first));
    let next = choice.choose(910, candidates).expect("another one").clone();
    assert_ne!(next, first, "it has fallen silent");
    assert!(!choice.accepts(920, &first.name));
    choice.accepts(5_900, &next.name);
    assert_eq!(choice.choose(5_909, candidates), Some(&next));
    assert_eq!(
        choice.choose(5_910, candidates),
        Some(&first),
        "tried again"
    );
}
