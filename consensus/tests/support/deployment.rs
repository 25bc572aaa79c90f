//! A deployment in virtual time, over links with a delay: machines start, stop, lose
//! their disks and are replaced; blank ones ask to join.

use super::members::member_on_machine;
use super::persisted::apply_write;
use super::random::Random;
use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing, Write};
use consensus::{LogIndex, Member, Message, NodeId};
use std::collections::{BTreeMap, BTreeSet};

pub const LINK_DELAY_MS: u64 = 55;
const SYNC_MS: u64 = 2;
const JOIN_RETRY_MS: u64 = 110;
pub const START_MS: u64 = 1_000;

pub enum Event {
    Deliver(Message),
    WriteSynced(usize, u64, u64, Vec<Write>),
    AddLearner(usize, Member),
    RequestToJoin(usize),
    Start(usize),
    Stop(usize),
}

pub struct Machine {
    pub member: Member,
    pub node: Option<Node>,
    /// What is on its disk.
    pub persisted: PersistedState,
    pub incarnation: u64,
    /// No input came since its last tick.
    is_idle: bool,
}

pub struct Deployment {
    pub now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Event>,
    pub machines: Vec<Machine>,
    bootstraps: usize,
    pub timing: Timing,
    /// Tokens of requests that were confirmed.
    pub confirmed: Vec<u64>,
    /// Links that carry nothing, by sender and receiver.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    /// The highest index that was applied anywhere.
    pub applied: LogIndex,
    /// Messages lost, of a hundred.
    pub loss_percent: u64,
    pub random: Random,
}

impl Deployment {
    pub fn new(nodes: usize) -> Deployment {
        let machine = |at: usize| Machine {
            member: member_on_machine(at, 1 + at as u64),
            node: None,
            persisted: PersistedState::default(),
            incarnation: 0,
            is_idle: false,
        };
        Deployment {
            now: START_MS,
            order: 0,
            queue: BTreeMap::new(),
            machines: (0..nodes).map(machine).collect(),
            bootstraps: 0,
            timing: Timing::default(),
            confirmed: Vec::new(),
            cut_links: Default::default(),
            applied: 0,
            loss_percent: 0,
            random: Random::in_state(1),
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.below(below)
    }

    pub fn schedule(&mut self, after_ms: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after_ms, self.order), event);
    }

    pub fn start(&mut self, at: usize, seed: u64) {
        let machine = &mut self.machines[at];
        machine.incarnation += 1;
        machine.is_idle = false;
        let (identity, persisted) = (machine.member.identity, machine.persisted.clone());
        let is_blank = persisted.hard_state.cluster == 0;
        machine.node = Some(Node::new(identity, self.timing, seed, self.now, persisted));
        if at == 0 && is_blank {
            self.bootstraps += 1;
            let (member, cluster) = (self.machines[0].member.clone(), 77 + self.bootstraps as u64);
            self.step(0, Input::Bootstrap(member, cluster));
        }
        // A connection is made first.
        self.schedule(2 * LINK_DELAY_MS, Event::RequestToJoin(at));
    }

    pub fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[at];
        let Some(node) = machine.node.as_mut() else {
            return;
        };
        machine.is_idle = matches!(input, Input::Tick);
        let incarnation = machine.incarnation;
        for effect in node.step(now, input) {
            match effect {
                Effect::Write(ticket, writes) => {
                    self.schedule(SYNC_MS, Event::WriteSynced(at, incarnation, ticket, writes))
                }
                Effect::Send(message) => self.schedule(LINK_DELAY_MS, Event::Deliver(message)),
                Effect::Apply(entry, _) => self.applied = self.applied.max(entry.index),
                Effect::ReadReady(token, _) => self.confirmed.push(token),
                _ => {}
            }
        }
    }

    /// Every millisecond up to `end`, or until the condition holds.
    pub fn run(&mut self, end: u64, is_done: impl Fn(&Deployment) -> bool) -> Option<u64> {
        while self.now < START_MS + end {
            if is_done(self) {
                return Some(self.now - START_MS);
            }
            self.now += 1;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            for at in 0..self.machines.len() {
                let machine = &self.machines[at];
                let Some(node) = &machine.node else { continue };
                // What `due` promises: before it, a tick finds nothing to do.
                let is_early = machine.is_idle && node.next_deadline() > self.now;
                let before = self.order;
                self.step(at, Input::Tick);
                assert!(
                    !is_early || self.order == before,
                    "node {at} had something to do"
                );
            }
        }
        None
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(_) if self.draw(100) < self.loss_percent => {}
            Event::Deliver(message) if self.cut_links.contains(&(message.from, message.to)) => {}
            Event::Deliver(message) => {
                let to = self
                    .machines
                    .iter()
                    .position(|m| m.member.identity == message.to);
                if let Some(to) = to {
                    self.step(to, Input::Received(message));
                }
            }
            Event::WriteSynced(at, incarnation, ticket, writes)
                if self.machines[at].incarnation == incarnation =>
            {
                let persisted = &mut self.machines[at].persisted;
                for write in writes {
                    apply_write(persisted, &write);
                }
                self.step(at, Input::Synced(ticket));
            }
            Event::WriteSynced(..) => {}
            Event::RequestToJoin(at) => {
                let Some(node) = &self.machines[at].node else {
                    return;
                };
                let member = self.machines[at].member.clone();
                // As the daemon does: a blank node asks, and one without a leader.
                if node.cluster() == 0 || node.leader().is_none() {
                    for seed in (0..self.machines.len()).filter(|seed| *seed != at) {
                        self.schedule(LINK_DELAY_MS, Event::AddLearner(seed, member.clone()));
                    }
                }
                self.schedule(JOIN_RETRY_MS, Event::RequestToJoin(at));
            }
            Event::AddLearner(seed, member) => {
                // A seed that does not lead forwards the request to the leader.
                let leads = |m: &Machine| m.node.as_ref().is_some_and(|n| n.role() == Role::Leader);
                let knows = self.machines[seed]
                    .node
                    .as_ref()
                    .and_then(|node| node.leader());
                let leader = self.machines.iter().position(leads);
                let leader = leader.filter(|at| knows == Some(self.machines[*at].member.identity));
                if let Some(leader) = leader {
                    self.step(leader, Input::AddLearner(9, member));
                }
            }
            Event::Start(at) => self.start(at, 5 + self.now),
            Event::Stop(at) => {
                self.machines[at].node = None;
                self.machines[at].incarnation += 1;
            }
        }
    }

    pub fn fewest_voters(&self) -> usize {
        let nodes = self
            .machines
            .iter()
            .filter_map(|machine| machine.node.as_ref());
        nodes
            .map(|node| node.members().voters.len())
            .min()
            .unwrap_or(0)
    }

    pub fn cluster_ids(&self) -> Vec<u64> {
        let nodes = self
            .machines
            .iter()
            .filter_map(|machine| machine.node.as_ref());
        let mut clusters: Vec<u64> = nodes.map(|node| node.cluster()).collect();
        clusters.sort_unstable();
        clusters.dedup();
        clusters
    }

    /// A machine that is new: a blank disk, a name and an address of its own.
    pub fn add_machine(&mut self, place: usize) -> usize {
        let at = self.machines.len();
        let mut member = member_on_machine(at, 1 + at as u64);
        member.region = format!("region-{}", place % 3);
        member.zone = format!("zone-{}", place % 3);
        self.machines.push(Machine {
            member,
            node: None,
            persisted: PersistedState::default(),
            incarnation: 0,
            is_idle: false,
        });
        at
    }

    /// The node that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| {
            let node = self.machines[*at].node.as_ref();
            node.is_some_and(|node| node.role() == Role::Leader)
        };
        let term = |at: &usize| self.machines[*at].node.as_ref().map(|node| node.term());
        (0..self.machines.len()).filter(leads).max_by_key(term)
    }

    /// Whether the leader counts just `voters` voters, all of them up.
    pub fn has_full_membership(&self, voters: usize) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let Some(node) = &self.machines[leader].node else {
            return false;
        };
        let is_up = |identity: NodeId| {
            self.machines
                .iter()
                .any(|m| m.member.identity == identity && m.node.is_some())
        };
        let members = node.members();
        node.can_change_membership()
            && members.voters.len() == voters
            && members.voters.iter().all(|voter| is_up(voter.identity))
    }

    /// Takes a snapshot wherever enough has been applied since the last one.
    pub fn take_snapshots(&mut self, every: LogIndex, state: &[u8]) {
        for at in 0..self.machines.len() {
            let Some(node) = &self.machines[at].node else {
                continue;
            };
            let applied = node.applied_index();
            if applied >= node.snapshot().index + every {
                self.step(at, Input::SnapshotTaken(applied, state.to_vec()));
            }
        }
    }

    /// Has the leader propose a command; false where nobody leads.
    pub fn propose(&mut self, command: Vec<u8>) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        self.step(leader, Input::Propose(0, command));
        true
    }
}
