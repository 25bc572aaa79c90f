//! The consensus nodes under failure, in virtual time: every node's decisions,
//! disk and residency are the real ones; clock, network and disk faults are
//! drawn from a seed. Rules are checked after every step.

mod checks;
mod clients;
mod disk;
mod faults;
mod history;
mod linearizability;
mod losses;
mod machine;
mod network;
mod operators;
mod orders;
mod weather;

pub use checks::{Report, Verdict};
pub use disk::MemoryFiles;
pub use losses::{Loss, LossPlan};
pub use operators::{OperatorPlan, PlantedFault};
pub use weather::{
    Weather, CALM, FIVE_MACHINES, FULL, LARGE_SITE, NINE_MACHINES, OPERATORS,
    OPERATORS_UNDER_LOSSES, PLANNED_REPLACEMENTS, POWER, REPLACEMENTS, SMALL_SITE, STORM,
    SUCCESSION,
};

use consensus::node::{Input, Role};
use consensus::{LogIndex, Member, Message, NodeId, Term};
use losses::OpenLoss;
use machine::Machine;
use operators::{OperatorEvent, Operators};
use std::collections::{BTreeMap, BTreeSet};

enum Due {
    Deliver(Message),
    Tick(usize, u64),
    DiskDone(usize, u64),
    Restart(usize),
    /// Whoever looks after a machine made room on its disk, and restarts it.
    DiskFreed(usize, u64),
    /// A question that waited at a frozen node, before its clock goes on.
    ReadAfterFreeze(usize, u64),
    Heal,
    /// A cut that was of one machine alone ends.
    HealMachine(usize),
    /// An empty machine starts in the place of this one, which is gone.
    Successor(usize),
    /// A machine that is about to be ended is told so.
    ToldToStop {
        at: usize,
        until: u64,
    },
    Gone(usize),
    Operator(OperatorEvent),
}

/// Invariants: `applied` holds, by index, the entry that was applied first
/// anywhere; `leaders` the one leader of each term.
pub struct Simulation {
    seed: u64,
    weather: Weather,
    now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Due>,
    machines: Vec<Machine>,
    cuts: BTreeSet<(usize, usize)>,
    leaders: BTreeMap<Term, NodeId>,
    applied: BTreeMap<LogIndex, u64>,
    /// The highest index whose entry was acknowledged to whoever proposed it.
    acknowledged: LogIndex,
    /// Open questions: token to the index acknowledged when it was asked.
    open_reads: BTreeMap<u64, LogIndex>,
    tokens: u64,
    ids: BTreeMap<String, LogIndex>,
    report: Report,
    acknowledged_at: u64,
    doomed: Option<usize>,
    losses: Vec<OpenLoss>,
    next_loss_at: u64,
    /// Machines that asked to leave, by the token of the question.
    leaving: BTreeMap<u64, usize>,
    operators: Operators,
}

/// A number below another, drawn from a seed that moves on.
pub fn draw(seed: &mut u64, below: u64) -> u64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) % below.max(1)
}

/// Operators go on for so long after all was healed.
const QUIET_MS: u64 = 8_000;
const SNAPSHOT_EVERY_ENTRIES: u64 = 40;

impl Simulation {
    pub fn new(seed: u64, nodes: usize, weather: Weather) -> Simulation {
        let mut simulation = Simulation {
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            weather,
            now: 1_000_000,
            order: 0,
            queue: BTreeMap::new(),
            machines: Vec::new(),
            cuts: BTreeSet::new(),
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            acknowledged: 0,
            open_reads: BTreeMap::new(),
            tokens: 0,
            ids: BTreeMap::new(),
            report: Report::default(),
            acknowledged_at: 1_000_000,
            doomed: None,
            losses: Vec::new(),
            next_loss_at: 0,
            leaving: BTreeMap::new(),
            operators: Operators::default(),
        };
        for at in 0..nodes {
            simulation.add_machine(format!("zone-{}", at % 3));
        }
        simulation
    }

    /// A new machine with an empty disk, not started yet. Returns its place.
    fn add_machine(&mut self, zone: String) -> usize {
        let at = self.machines.len();
        let identity = self.draw(u64::MAX) | 1;
        self.machines.push(Machine {
            identity,
            name: format!("node-{at}"),
            zone,
            files: MemoryFiles::default(),
            live: None,
            life: 0,
            frozen_until: 0,
            slow_until: 0,
            is_blank: true,
            is_gone: false,
            requested_admission_at: 0,
        });
        at
    }

    fn draw(&mut self, below: u64) -> u64 {
        draw(&mut self.seed, below)
    }

    fn chance(&mut self, thousandths: u64) -> bool {
        self.draw(1000) < thousandths
    }

    fn due(&mut self, after: u64, due: Due) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), due);
    }

    fn member(&self, at: usize) -> Member {
        let machine = &self.machines[at];
        Member {
            identity: machine.identity,
            name: machine.name.clone(),
            region: machine.zone.clone(),
            zone: machine.zone.clone(),
            address: machine.name.clone(),
            operator_address: String::new(),
        }
    }

    fn place(&self, identity: NodeId) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.identity == identity)
    }

    /// The machine whose node leads, in the highest term.
    fn leader(&self) -> Option<usize> {
        (0..self.machines.len())
            .filter(|at| {
                self.machines[*at]
                    .live
                    .as_ref()
                    .is_some_and(|l| l.node.role() == Role::Leader)
            })
            .max_by_key(|at| {
                self.machines[*at]
                    .live
                    .as_ref()
                    .map(|live| live.node.term())
            })
    }

    fn is_up(&self, at: usize) -> bool {
        self.machines[at]
            .live
            .as_ref()
            .is_some_and(|live| !live.is_disk_dead)
            && self.machines[at].frozen_until <= self.now
    }

    fn run_until(&mut self, end: u64) -> Result<(), String> {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), due) = entry.remove_entry();
            self.now = time;
            match due {
                Due::Deliver(message) => {
                    let Some(to) = self.place(message.to) else {
                        continue;
                    };
                    let frozen = self.machines[to].frozen_until;
                    if frozen > self.now {
                        // Sockets keep what came in meanwhile.
                        let wait = frozen - self.now;
                        self.due(wait, Due::Deliver(message));
                        continue;
                    }
                    self.step(to, Input::Received(message))?;
                }
                Due::Tick(at, life) if self.machines[at].life == life => {
                    if self.machines[at].frozen_until > self.now {
                        let wait = self.machines[at].frozen_until - self.now;
                        self.due(wait, Due::Tick(at, life));
                        continue;
                    }
                    self.step(at, Input::Tick)?;
                    self.request_admission(at)?;
                    self.due(10, Due::Tick(at, life));
                }
                Due::DiskDone(at, life) if self.machines[at].life == life => self.disk_done(at)?,
                Due::Restart(at) if self.machines[at].live.is_none() => self.start(at)?,
                Due::DiskFreed(at, life)
                    if self.machines[at].life == life && self.weather.reopens_disks =>
                {
                    self.machines[at].files.set_full(false);
                    self.reopen_disk(at)?;
                }
                Due::DiskFreed(at, life) if self.machines[at].life == life => {
                    self.crash(at);
                    self.start(at)?;
                }
                Due::ReadAfterFreeze(at, life) if self.machines[at].life == life => {
                    self.tokens += 1;
                    let token = self.tokens;
                    self.open_reads.insert(token, self.acknowledged);
                    self.step(at, Input::ReadIndex(token))?;
                }
                Due::Tick(..)
                | Due::DiskDone(..)
                | Due::Restart(_)
                | Due::DiskFreed(..)
                | Due::ReadAfterFreeze(..) => {}
                Due::Heal => self.cuts.clear(),
                Due::HealMachine(at) => self.cuts.retain(|(a, b)| *a != at && *b != at),
                Due::Successor(predecessor) => self.start_successor(predecessor)?,
                Due::ToldToStop { at, until } => self.prepare_to_stop(at, until)?,
                Due::Operator(event) => self.operator_event(event)?,
                Due::Gone(at) => self.end_for_good(at),
            }
            if let Some(at) = self.doomed.take() {
                self.lose_power_after_ack(at);
            }
        }
        self.now = end;
        Ok(())
    }

    /// Founds a cluster, lets the weather rage, then heals everything and
    /// expects all nodes to agree and to serve.
    pub fn run(mut self, ms: u64) -> Verdict {
        for at in 0..self.machines.len() {
            self.start(at)?;
        }
        let founder = self.member(0);
        self.step(0, Input::Bootstrap(founder, 77))?;
        // The weather is there from the first moment; founding may take a while.
        self.run_until(self.now + 5_000)?;
        let limit = self.now + 25_000;
        loop {
            let led = self.leader().and_then(|at| self.machines[at].live.as_ref());
            let voters = led.map(|live| live.node.members().voters.len());
            if voters == Some(self.machines.len().min(5)) {
                break;
            }
            if self.now >= limit {
                let states = self.describe_machines();
                return self.fail(format!(
                    "long after founding, voters are {voters:?}: {states:#?}"
                ));
            }
            self.run_until(self.now + 500)?;
        }
        let start = self.now;
        let end = start + ms;
        while self.now < end {
            self.run_until(self.now + 50)?;
            for _ in 0..self.weather.clients {
                self.clients()?;
            }
            self.drive_operators();
            self.faults()?;
            self.lose_machines()?;
            self.check_liveness(start)?;
        }
        // All is healed.
        self.cuts.clear();
        let operators = self.weather.operators;
        self.weather = Weather { operators, ..CALM };
        for at in 0..self.machines.len() {
            self.machines[at].frozen_until = 0;
            self.machines[at].slow_until = 0;
            self.machines[at].files.set_full(false);
            if self.machines[at]
                .live
                .as_ref()
                .is_some_and(|live| live.is_disk_dead)
            {
                self.crash(at);
            }
            if self.machines[at].live.is_none() && !self.machines[at].is_gone {
                self.start(at)?;
            }
        }
        if operators.is_some() {
            let end = self.now + QUIET_MS;
            while self.now < end {
                self.run_until(self.now + 50)?;
                self.drive_operators();
            }
            self.judge_operators()?;
            self.weather.operators = None;
        }
        // Waits that were drawn before may still be out; beats start anew.
        let before = self.acknowledged;
        let limit = self.now + 12_000;
        while self.now < limit {
            self.run_until(self.now + 50)?;
            self.clients()?;
        }
        if self.acknowledged <= before {
            return self.fail("12 s after everything was healed nothing is acknowledged");
        }
        self.run_until(self.now + 2_000)?;
        self.agree()?;
        Ok(self.report)
    }
}
