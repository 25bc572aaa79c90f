//! The state of one run, and what all of its parts ask of it.

use crate::fault_profile::{FaultProfile, Loss};
use crate::machine::{Machine, MachineIndex};
use crate::memory_files::MemoryFiles;
use crate::operators::Operators;
use crate::quorum_readers::{QuorumReaders, ReaderEvent};
use crate::random::draw;
use crate::requests::OperatorEvent;
use crate::violation::{Failure, Violation};
use consensus::node::Role;
use consensus::{LogIndex, Member, Message, NodeId, Term};
use std::collections::{BTreeMap, BTreeSet};

/// Virtual time begins here, so that no clock shows 0.
const START_MS: u64 = 1_000_000;
const ZONE_COUNT: usize = 3;

/// What happened in a run.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// Changes acknowledged to whoever proposed them.
    pub acknowledged: usize,
    /// Read indexes confirmed.
    pub confirmed: usize,
    /// Times that a node became leader.
    pub elections: usize,
    /// Times that a machine lost power.
    pub crashes: usize,
    /// Machines that came back with an empty disk.
    pub disks_lost: usize,
    /// Times that all machines were cut into two halves.
    pub halvings: usize,
    /// Those of them that cut an even number of voters into two equal parts.
    pub even_halvings: usize,
    /// Power failures of all machines while links were cut.
    pub power_losses_while_cut: usize,
    /// Disks lost while links were cut.
    pub disks_lost_while_cut: usize,
    /// Losses drawn from a [`crate::LossPlan`].
    pub losses: usize,
    /// Machines replaced by others with another identity.
    pub machines_replaced: usize,
    /// The longest time without an acknowledged change, while machines were lost.
    pub longest_silence_ms: u64,
    /// Operators' calls with a response.
    pub operations_answered: usize,
    /// Operators' calls without one.
    pub operations_unanswered: usize,
    /// How often a reader could act by a majority's word.
    pub quorum_reads: usize,
    /// Those of them while no node led.
    pub quorum_reads_without_leader: usize,
    /// Snapshots that a node got from its leader.
    pub snapshots_installed: usize,
    /// The longest time between two acknowledgements.
    pub gap_ms: u64,
}

/// What is due at some moment. An incarnation says for which start of its machine the
/// event was meant; a later one ignores it.
pub(crate) enum Event {
    Deliver(Message),
    Tick(MachineIndex, u64),
    DiskDone(MachineIndex, u64),
    Restart(MachineIndex),
    /// A machine's disk has room again.
    DiskFreed(MachineIndex, u64),
    /// A read that waited at a frozen node, before its clock goes on.
    ReadAfterFreeze(MachineIndex, u64),
    /// All partitions end.
    Heal,
    /// The partition of one machine ends.
    HealMachine(MachineIndex),
    /// An empty machine starts in the place of this one, which is gone.
    Successor(MachineIndex),
    /// A machine that was asked to stop wants to leave, until its patience ends.
    DrainMachine {
        machine: MachineIndex,
        until_ms: u64,
    },
    MachineRemoved(MachineIndex),
    Operator(OperatorEvent),
    Reader(ReaderEvent),
}

/// A machine that counts as lost.
pub(crate) struct OpenLoss {
    pub(crate) machine: MachineIndex,
    pub(crate) kind: Loss,
    pub(crate) ends_at_ms: u64,
}

/// One run. Invariants: `applied_checksums` holds, by index, the entry that was applied
/// first anywhere; `leader_of_term` the one leader of each term.
pub struct Simulation {
    random_state: u64,
    pub(crate) profile: FaultProfile,
    pub(crate) now_ms: u64,
    event_count: u64,
    /// By due time, and in the order of scheduling.
    pub(crate) events: BTreeMap<(u64, u64), Event>,
    pub(crate) machines: Vec<Machine>,
    /// Links by sender and receiver that let nothing through.
    pub(crate) cut_links: BTreeSet<(MachineIndex, MachineIndex)>,
    pub(crate) leader_of_term: BTreeMap<Term, NodeId>,
    pub(crate) applied_checksums: BTreeMap<LogIndex, u64>,
    /// The highest index whose entry was acknowledged to whoever proposed it.
    pub(crate) acknowledged_index: LogIndex,
    /// Open reads: token to the index acknowledged when the read was requested.
    pub(crate) open_reads: BTreeMap<u64, LogIndex>,
    pub(crate) last_token: u64,
    /// Proposal to the epoch that it was applied at.
    pub(crate) epoch_of_proposal: BTreeMap<String, LogIndex>,
    pub(crate) report: Report,
    pub(crate) last_acknowledgement_ms: u64,
    /// The machine that loses power after this event: it acknowledged a change just now.
    pub(crate) power_loss_at: Option<MachineIndex>,
    pub(crate) open_losses: Vec<OpenLoss>,
    pub(crate) next_loss_at_ms: u64,
    /// Machines that asked to leave, by the token of the request.
    pub(crate) leave_requests: BTreeMap<u64, MachineIndex>,
    pub(crate) operators: Operators,
    pub(crate) quorum_readers: QuorumReaders,
}

impl Simulation {
    /// A cluster of `nodes` machines, not started yet, whose faults are drawn from `seed`
    /// by `profile`.
    pub fn new(seed: u64, nodes: usize, profile: FaultProfile) -> Simulation {
        let mut simulation = Simulation {
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            profile,
            now_ms: START_MS,
            event_count: 0,
            events: BTreeMap::new(),
            machines: Vec::new(),
            cut_links: BTreeSet::new(),
            leader_of_term: BTreeMap::new(),
            applied_checksums: BTreeMap::new(),
            acknowledged_index: 0,
            open_reads: BTreeMap::new(),
            last_token: 0,
            epoch_of_proposal: BTreeMap::new(),
            report: Report::default(),
            last_acknowledgement_ms: START_MS,
            power_loss_at: None,
            open_losses: Vec::new(),
            next_loss_at_ms: 0,
            leave_requests: BTreeMap::new(),
            operators: Operators::default(),
            quorum_readers: QuorumReaders::new(seed),
        };
        for machine in 0..nodes {
            simulation.add_machine(format!("zone-{}", machine % ZONE_COUNT));
        }
        simulation
    }

    /// Adds a machine with an empty disk, not started yet.
    pub(crate) fn add_machine(&mut self, zone: String) -> MachineIndex {
        let index = self.machines.len();
        let identity = self.draw(u64::MAX) | 1;
        self.machines.push(Machine {
            identity,
            name: format!("node-{index}"),
            zone,
            files: MemoryFiles::default(),
            live: None,
            incarnation: 0,
            frozen_until_ms: 0,
            slow_disk_until_ms: 0,
            is_blank: true,
            is_gone: false,
            requested_admission_at_ms: 0,
        });
        index
    }

    /// A drawn number below a bound.
    pub(crate) fn draw(&mut self, bound: u64) -> u64 {
        draw(&mut self.random_state, bound)
    }

    /// Whether something of this probability happens.
    pub(crate) fn chance(&mut self, thousandths: u64) -> bool {
        self.draw(1000) < thousandths
    }

    pub(crate) fn schedule(&mut self, after_ms: u64, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now_ms + after_ms, self.event_count), event);
    }

    pub(crate) fn member(&self, machine: MachineIndex) -> Member {
        let machine = &self.machines[machine];
        Member {
            identity: machine.identity,
            name: machine.name.clone(),
            region: machine.zone.clone(),
            zone: machine.zone.clone(),
            address: machine.name.clone(),
            operator_address: String::new(),
        }
    }

    pub(crate) fn machine_of(&self, identity: NodeId) -> Option<MachineIndex> {
        self.machines
            .iter()
            .position(|machine| machine.identity == identity)
    }

    /// The machine whose node leads, in the highest term.
    pub(crate) fn leader(&self) -> Option<MachineIndex> {
        let node = |machine: MachineIndex| self.machines[machine].live.as_ref().map(|l| &l.node);
        (0..self.machines.len())
            .filter(|machine| node(*machine).is_some_and(|node| node.role() == Role::Leader))
            .max_by_key(|machine| node(*machine).map(|node| node.term()))
    }

    pub(crate) fn is_up(&self, machine: MachineIndex) -> bool {
        let machine = &self.machines[machine];
        let has_disk = machine.live.as_ref().is_some_and(|live| !live.is_disk_dead);
        has_disk && machine.frozen_until_ms <= self.now_ms
    }

    pub(crate) fn failure(&self, violation: Violation) -> Failure {
        Failure {
            at_ms: self.now_ms - START_MS,
            violation,
        }
    }

    pub(crate) fn fail<T>(&self, violation: Violation) -> Result<T, Failure> {
        Err(self.failure(violation))
    }
}
