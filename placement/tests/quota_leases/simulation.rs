//! A fleet of routers and a leader in virtual time, with traffic and faults from a seed.

use super::common::{draws, take_where, InFlight};
use super::plan::{quota, Decider, DisabledGuard, Faults, Plan, Traffic, TOLERANCE};
use placement::{rank, LeaseRateLimiter, QuotaLeaseAllocator};
use protocol::{QuotaDecision, RouterDemand, RouterGrants, LEASE_MS};
use std::collections::{BTreeSet, VecDeque};

const STEP_MS: u64 = 5;
/// Traffic begins once a fleet that was started all at once has settled.
const BEGIN_MS: u64 = 30_000;
const END_MS: u64 = 90_000;
const TENANT: &str = "t";
const REGIONS: usize = 3;
/// A paused router is listed for so long.
const LISTED_MS: u64 = 3_000;
/// A change of the list is known to all routers after so long, to some of them earlier.
const LIST_DELAY_MS: u64 = 1_500;

/// One fault.
enum Fault {
    Pause,
    Partition,
    Restart,
    LeaderChange,
    PauseAll,
    TotalLoss,
}

#[derive(Default)]
pub struct RunResult {
    /// When requests were admitted.
    pub admitted: Vec<u64>,
    pub rejected: u64,
    /// In the first ten seconds, while the tenant is new everywhere.
    pub rejected_at_start: u64,
}

struct SimulatedRouter {
    limiter: LeaseRateLimiter,
    heartbeat: u64,
    next_heartbeat_at_ms: u64,
    paused_since_ms: u64,
    paused_until_ms: u64,
    partitioned_until_ms: u64,
    /// Requests that were received and not decided on.
    pending: u64,
}

impl SimulatedRouter {
    fn pause(&mut self, now: u64, until_ms: u64) {
        if now >= self.paused_until_ms {
            self.paused_since_ms = now;
        }
        self.paused_until_ms = until_ms;
    }
}

struct Simulation<D> {
    plan: Plan,
    draw: D,
    now: u64,
    incarnations: u64,
    routers: Vec<SimulatedRouter>,
    allocator: Option<QuotaLeaseAllocator>,
    next_leader_at_ms: u64,
    to_leader: Vec<InFlight<RouterDemand>>,
    to_routers: Vec<InFlight<RouterGrants>>,
    /// Each router's part of the traffic.
    weights: Vec<u64>,
    next_arrival_at_ms: f64,
    next_fault_at_ms: u64,
    /// The owners of each region, and since when, the newest last.
    owners: VecDeque<(u64, Vec<usize>)>,
    result: RunResult,
}

pub fn run(plan: Plan) -> RunResult {
    let mut simulation = Simulation::new(plan, draws(plan.seed + 1));
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        simulation.step(now);
    }
    simulation.result
}

impl<D: FnMut(u64) -> u64> Simulation<D> {
    fn new(plan: Plan, mut draw: D) -> Simulation<D> {
        let mut router = |at: usize| SimulatedRouter {
            limiter: LeaseRateLimiter::new(0, at as u64 + 1, TOLERANCE),
            heartbeat: 0,
            next_heartbeat_at_ms: draw(plan.heartbeat_ms),
            paused_since_ms: 0,
            paused_until_ms: 0,
            partitioned_until_ms: 0,
            pending: 0,
        };
        let routers: Vec<SimulatedRouter> = (0..plan.routers).map(&mut router).collect();
        // Between a sixth and a twelfth each, for nine: one part to two.
        let weights: Vec<u64> = (0..plan.routers).map(|_| 100 + draw(101)).collect();
        let weights = if plan.routers == 9 {
            vec![166, 84, 84, 166, 84, 84, 110, 84, 138]
        } else {
            weights
        };
        Simulation {
            plan,
            draw,
            now: 0,
            incarnations: plan.routers as u64,
            routers,
            allocator: Some(QuotaLeaseAllocator::new(0, TOLERANCE)),
            next_leader_at_ms: 0,
            to_leader: Vec::new(),
            to_routers: Vec::new(),
            weights,
            next_arrival_at_ms: BEGIN_MS as f64,
            next_fault_at_ms: BEGIN_MS + 2_000,
            owners: VecDeque::from([(0, Vec::new())]),
            result: RunResult::default(),
        }
    }

    fn step(&mut self, now: u64) {
        self.now = now;
        if now >= self.next_fault_at_ms {
            self.schedule_fault();
        }
        if self.allocator.is_none() && now >= self.next_leader_at_ms {
            self.allocator = Some(QuotaLeaseAllocator::new(now, TOLERANCE));
        }
        self.list_owners();
        self.send_heartbeats();
        self.answer_heartbeats();
        self.deliver_answers();
        self.receive_requests();
        self.decide_requests();
    }

    /// Records who owns the tenant's lease in each region by the list of routers.
    fn list_owners(&mut self) {
        let listed = |at: &usize| {
            let router = &self.routers[*at];
            self.now >= router.paused_until_ms || self.now < router.paused_since_ms + LISTED_MS
        };
        let owner = |region: usize| {
            (region..self.routers.len())
                .step_by(REGIONS)
                .filter(listed)
                .max_by_key(|at| rank(7, *at as u64))
        };
        let owners: Vec<usize> = (0..REGIONS).filter_map(owner).collect();
        if self.owners.back().is_some_and(|(_, last)| *last != owners) {
            self.owners.push_back((self.now, owners));
        }
    }

    /// The owners as a router knows them: that of its own region first.
    fn known_owners(&self, at: usize) -> Vec<usize> {
        let delay_ms = LIST_DELAY_MS * at as u64 / self.routers.len() as u64;
        let is_known = |(since_ms, _): &&(u64, Vec<usize>)| since_ms + delay_ms <= self.now;
        let known = self.owners.iter().rev().find(is_known);
        let mut owners = known.map_or(Vec::new(), |(_, owners)| owners.clone());
        owners.sort_by_key(|owner| owner % REGIONS != at % REGIONS);
        owners
    }

    /// Tells a router's limiter, before its heartbeat, whether it owns the tenant's lease.
    fn update_ownership(&mut self, at: usize) {
        if self.plan.decider == Decider::Receiver {
            return;
        }
        let is_owner = self.known_owners(at).first() == Some(&at);
        let owned: BTreeSet<String> = is_owner.then(|| TENANT.to_string()).into_iter().collect();
        let (now, count, limit) = (self.now, self.routers.len(), quota(self.known_rate(at)));
        let limiter = &mut self.routers[at].limiter;
        limiter.set_owned_tenants(now, &owned, count, |_| limit);
    }

    /// Whether a request that a router received is admitted.
    fn is_admitted(&mut self, at: usize) -> bool {
        let (now, count) = (self.now, self.routers.len());
        if self.plan.decider == Decider::Receiver {
            let limit = quota(self.known_rate(at));
            return self.routers[at].limiter.admit(now, TENANT, limit, count);
        }
        for owner in self.known_owners(at) {
            if now < self.routers[owner].paused_until_ms {
                continue;
            }
            let limit = quota(self.known_rate(owner));
            let limiter = &mut self.routers[owner].limiter;
            match limiter.admit_as_owner(now, TENANT, limit, count) {
                QuotaDecision::Admitted => return true,
                QuotaDecision::OverQuota => return false,
                QuotaDecision::NoLease => {}
            }
        }
        false
    }

    /// Causes a fault, if there are to be any, and draws the time of the next one.
    fn schedule_fault(&mut self) {
        let interval_ms = match self.plan.faults {
            Faults::None => return,
            Faults::All => 500 + (self.draw)(5_000),
            _ => 6_500,
        };
        self.next_fault_at_ms = self.now + interval_ms;
        if let Some(fault) = self.draw_fault() {
            self.cause_fault(fault);
        }
    }

    fn draw_fault(&mut self) -> Option<Fault> {
        Some(match self.plan.faults {
            Faults::None => return None,
            Faults::Pauses => Fault::Pause,
            Faults::Partitions => Fault::Partition,
            Faults::Restarts => Fault::Restart,
            Faults::LeaderChanges => Fault::LeaderChange,
            Faults::TotalLoss => Fault::TotalLoss,
            Faults::All => match (self.draw)(5) {
                0 => Fault::Pause,
                1 => Fault::Partition,
                2 => Fault::Restart,
                3 => Fault::LeaderChange,
                _ => Fault::PauseAll,
            },
        })
    }

    fn cause_fault(&mut self, fault: Fault) {
        let (now, count) = (self.now, self.routers.len());
        let first = (self.draw)(count as u64) as usize;
        let third = (0..count.div_ceil(3)).map(|at| (first + at) % count);
        match fault {
            Fault::Pause => {
                let until_ms = now + 500 + (self.draw)(6_000);
                let most = 1 + (self.draw)(count as u64) as usize;
                third
                    .take(most)
                    .for_each(|at| self.routers[at].pause(now, until_ms));
            }
            Fault::Partition => {
                third.for_each(|at| self.routers[at].partitioned_until_ms = now + 6_000)
            }
            Fault::Restart => {
                let most = 1 + (self.draw)(2) as usize;
                third.take(most).for_each(|at| self.restart(at));
            }
            Fault::LeaderChange => {
                self.allocator = None;
                self.next_leader_at_ms = now + 1_000 + (self.draw)(3_000);
            }
            Fault::PauseAll => {
                for router in &mut self.routers {
                    router.pause(now, now + 1_000 + (self.draw)(2_000));
                }
            }
            Fault::TotalLoss => {
                (0..count).for_each(|at| self.start(at));
                self.to_leader.clear();
                self.to_routers.clear();
                self.allocator = None;
                self.next_leader_at_ms = now + 500 + (self.draw)(1_000);
            }
        }
    }

    /// A router's process ends, its connections with it, and another one starts.
    fn restart(&mut self, at: usize) {
        self.start(at);
        if self.plan.disabled != DisabledGuard::Connections {
            self.to_leader.retain(|sent| sent.router != at);
            self.to_routers.retain(|sent| sent.router != at);
        }
    }

    /// A router's process starts.
    fn start(&mut self, at: usize) {
        self.incarnations += 1;
        let started_at_ms = match self.plan.disabled {
            DisabledGuard::StartupFloors => 0,
            _ => self.now,
        };
        let router = &mut self.routers[at];
        router.limiter = LeaseRateLimiter::new(started_at_ms, self.incarnations, TOLERANCE);
        (router.heartbeat, router.pending, router.paused_until_ms) = (0, 0, 0);
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        for at in 0..self.routers.len() {
            let router = &self.routers[at];
            if now < router.next_heartbeat_at_ms || now < router.paused_until_ms {
                continue;
            }
            self.update_ownership(at);
            let router = &mut self.routers[at];
            router.heartbeat += 1;
            router.next_heartbeat_at_ms = now + self.plan.heartbeat_ms;
            let name = format!("router-{at}");
            let demand = router.limiter.demand(now, &name, router.heartbeat);
            if now < router.partitioned_until_ms || (self.draw)(20) == 0 {
                continue;
            }
            let message = |delay_ms: u64, demand: RouterDemand| InFlight {
                arrives_at_ms: now + delay_ms,
                router: at,
                asked_at_ms: now,
                message: demand,
            };
            let delay_ms = 20 + (self.draw)(131);
            self.to_leader.push(message(delay_ms, demand.clone()));
            if (self.draw)(20) == 0 {
                let delay_ms = 20 + (self.draw)(800);
                self.to_leader.push(message(delay_ms, demand));
            }
        }
    }

    fn answer_heartbeats(&mut self) {
        let now = self.now;
        let is_lowered = self.plan.lowered_at_ms.is_some_and(|at_ms| now >= at_ms);
        let rate = if is_lowered {
            self.plan.rate / 5
        } else {
            self.plan.rate
        };
        for arrived in take_where(&mut self.to_leader, |sent| sent.arrives_at_ms <= now) {
            let Some(allocator) = &mut self.allocator else {
                continue;
            };
            if now < self.routers[arrived.router].partitioned_until_ms {
                continue;
            }
            let mut demand = arrived.message;
            if self.plan.disabled == DisabledGuard::ReportedParts {
                demand
                    .demands
                    .iter_mut()
                    .for_each(|demand| demand.queued = 0);
            }
            let answer = allocator.allocate(now, &demand, self.plan.routers, |_| Some(quota(rate)));
            if (self.draw)(20) > 0 {
                self.to_routers.push(InFlight {
                    arrives_at_ms: now + 20 + (self.draw)(131),
                    router: arrived.router,
                    asked_at_ms: arrived.asked_at_ms,
                    message: answer,
                });
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let routers = &self.routers;
        let arrived = take_where(&mut self.to_routers, |sent| {
            sent.arrives_at_ms <= now && now >= routers[sent.router].paused_until_ms
        });
        for InFlight {
            router,
            asked_at_ms,
            message,
            ..
        } in arrived
        {
            let router = &mut self.routers[router];
            if now >= router.partitioned_until_ms {
                let until_ms = asked_at_ms + LEASE_MS;
                router
                    .limiter
                    .apply_grants(now, message.heartbeat, until_ms, &message.grants);
            }
        }
    }

    /// Requests per second that clients send. They know nothing of a rate that was lowered.
    fn offered_rate(&self) -> f64 {
        self.plan.rate as f64
            * match self.plan.traffic {
                Traffic::Within | Traffic::Clustered => 1.0 / 1.6,
                Traffic::Threefold => 3.0,
                Traffic::Bursts if self.now % 14_000 < 8_000 => 0.01,
                Traffic::Bursts => 10.0,
            }
    }

    fn draw_router(&mut self) -> usize {
        let mut drawn = (self.draw)(self.weights.iter().sum());
        let chosen = self
            .weights
            .iter()
            .position(|weight| match drawn.checked_sub(*weight) {
                Some(left) => {
                    drawn = left;
                    false
                }
                None => true,
            });
        chosen.expect("the number drawn is below the sum")
    }

    /// Requests arrive in groups of three.
    fn receive_requests(&mut self) {
        let now = self.now;
        let offered_rate = self.offered_rate();
        while self.next_arrival_at_ms <= now as f64 {
            let chance = ((self.draw)(1 << 30) + 1) as f64 / (1u64 << 30) as f64;
            self.next_arrival_at_ms += -chance.ln() * 3.0 * 1_000.0 / offered_rate;
            if self.plan.traffic == Traffic::Bursts {
                self.next_arrival_at_ms = self.next_arrival_at_ms.min(now as f64 + 500.0);
            }
            let mut router = self.draw_router();
            for n in 0..3 {
                if n > 0 && self.plan.traffic != Traffic::Clustered {
                    router = self.draw_router();
                }
                self.routers[router].pending += 1;
            }
        }
    }

    /// The rate as a router knows it: after a change all know of it within three seconds, one
    /// after the other.
    fn known_rate(&self, router: usize) -> u64 {
        let delay_ms = 3_000 * (router as u64 + 1) / (self.routers.len() as u64 + 1);
        match self.plan.lowered_at_ms {
            Some(at_ms) if self.now >= at_ms + delay_ms => self.plan.rate / 5,
            _ => self.plan.rate,
        }
    }

    fn decide_requests(&mut self) {
        let now = self.now;
        for at in 0..self.routers.len() {
            if now < self.routers[at].paused_until_ms {
                continue;
            }
            for _ in 0..std::mem::take(&mut self.routers[at].pending) {
                match self.is_admitted(at) {
                    true => self.result.admitted.push(now),
                    false if now < BEGIN_MS + 10_000 => self.result.rejected_at_start += 1,
                    false => self.result.rejected += 1,
                }
            }
        }
    }
}
