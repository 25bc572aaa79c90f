//! Consensus nodes in virtual time, over links with a delay: machines start, end,
//! lose their disks and are replaced; blank ones ask to be let in.
#![allow(dead_code)]

use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing, Write};
use consensus::{LogIndex, Member, Message, NodeId};
use std::collections::BTreeMap;

pub const DELAY: u64 = 55;
const SYNC: u64 = 2;
const RETRY: u64 = 110;
pub const START: u64 = 1_000;

pub enum Due {
    Heard(Message),
    Synced(usize, u64, u64, Vec<Write>),
    Admit(usize, Member),
    Ask(usize),
    Up(usize),
    Down(usize),
}

pub struct Machine {
    pub member: Member,
    pub node: Option<Node>,
    /// What is on its disk.
    pub kept: PersistedState,
    pub life: u64,
    /// No input came since its last beat.
    is_calm: bool,
}

pub struct World {
    pub now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Due>,
    pub machines: Vec<Machine>,
    founded: usize,
    pub timing: Timing,
    /// Tokens of questions that were answered.
    pub answered: Vec<u64>,
    /// Links that carry nothing, by sender and receiver.
    pub cuts: std::collections::BTreeSet<(NodeId, NodeId)>,
    /// The highest index that was applied anywhere.
    pub applied: LogIndex,
    /// Messages lost, of a hundred, and what draws them.
    pub loss: u64,
    pub draws: u64,
}

pub fn member(at: usize, identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{at}"),
        region: format!("region-{}", at % 3),
        zone: format!("zone-{}", at % 3),
        address: format!("10.0.0.{at}:1"),
        operator_address: String::new(),
    }
}

impl World {
    pub fn new(nodes: usize) -> World {
        let machine = |at: usize| Machine {
            member: member(at, 1 + at as u64),
            node: None,
            kept: PersistedState::default(),
            life: 0,
            is_calm: false,
        };
        World {
            now: START,
            order: 0,
            queue: BTreeMap::new(),
            machines: (0..nodes).map(machine).collect(),
            founded: 0,
            timing: Timing::default(),
            answered: Vec::new(),
            cuts: Default::default(),
            applied: 0,
            loss: 0,
            draws: 1,
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        (self.draws >> 11) % below.max(1)
    }

    pub fn due(&mut self, after: u64, due: Due) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), due);
    }

    pub fn up(&mut self, at: usize, seed: u64) {
        let machine = &mut self.machines[at];
        machine.life += 1;
        machine.is_calm = false;
        let (identity, kept) = (machine.member.identity, machine.kept.clone());
        let is_blank = kept.hard_state.cluster == 0;
        machine.node = Some(Node::new(identity, self.timing, seed, self.now, kept));
        if at == 0 && is_blank {
            self.founded += 1;
            let (member, cluster) = (self.machines[0].member.clone(), 77 + self.founded as u64);
            self.step(0, Input::Bootstrap(member, cluster));
        }
        // A connection is made first.
        self.due(2 * DELAY, Due::Ask(at));
    }

    pub fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[at];
        let Some(node) = machine.node.as_mut() else {
            return;
        };
        machine.is_calm = matches!(input, Input::Tick);
        let life = machine.life;
        for effect in node.step(now, input) {
            match effect {
                Effect::Write(ticket, writes) => {
                    self.due(SYNC, Due::Synced(at, life, ticket, writes))
                }
                Effect::Send(message) => self.due(DELAY, Due::Heard(message)),
                Effect::Apply(entry, _) => self.applied = self.applied.max(entry.index),
                Effect::ReadReady(token, _) => self.answered.push(token),
                _ => {}
            }
        }
    }

    /// Every millisecond up to `end`, or until the condition holds.
    pub fn run(&mut self, end: u64, is_done: impl Fn(&World) -> bool) -> Option<u64> {
        while self.now < START + end {
            if is_done(self) {
                return Some(self.now - START);
            }
            self.now += 1;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let due = entry.remove();
                self.carry(due);
            }
            for at in 0..self.machines.len() {
                let machine = &self.machines[at];
                let Some(node) = &machine.node else { continue };
                // What `due` promises: before it, a beat finds nothing to do.
                let is_early = machine.is_calm && node.next_deadline() > self.now;
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

    fn carry(&mut self, due: Due) {
        match due {
            Due::Heard(_) if self.draw(100) < self.loss => {}
            Due::Heard(message) if self.cuts.contains(&(message.from, message.to)) => {}
            Due::Heard(message) => {
                let to = self
                    .machines
                    .iter()
                    .position(|m| m.member.identity == message.to);
                if let Some(to) = to {
                    self.step(to, Input::Received(message));
                }
            }
            Due::Synced(at, life, ticket, writes) if self.machines[at].life == life => {
                let kept = &mut self.machines[at].kept;
                for write in writes {
                    match write {
                        Write::HardState(hard_state) => kept.hard_state = hard_state,
                        Write::Entry(entry) => kept.entries.push(entry),
                        Write::Truncate(from) => kept.entries.retain(|entry| entry.index < from),
                        Write::InstallSnapshot(snapshot) => {
                            kept.entries.clear();
                            kept.snapshot = Some(snapshot);
                        }
                        Write::Snapshot(snapshot) => {
                            kept.entries.retain(|entry| entry.index > snapshot.index);
                            kept.snapshot = Some(snapshot);
                        }
                    }
                }
                self.step(at, Input::Synced(ticket));
            }
            Due::Synced(..) => {}
            Due::Ask(at) => {
                let Some(node) = &self.machines[at].node else {
                    return;
                };
                let member = self.machines[at].member.clone();
                // As the daemon does: a blank node asks, and one that nobody leads.
                if node.cluster() == 0 || node.leader().is_none() {
                    for seed in (0..self.machines.len()).filter(|seed| *seed != at) {
                        self.due(DELAY, Due::Admit(seed, member.clone()));
                    }
                }
                self.due(RETRY, Due::Ask(at));
            }
            Due::Admit(seed, member) => {
                // A seed that does not lead passes the question on to who does.
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
            Due::Up(at) => self.up(at, 5 + self.now),
            Due::Down(at) => {
                self.machines[at].node = None;
                self.machines[at].life += 1;
            }
        }
    }

    pub fn voters(&self) -> usize {
        let nodes = self
            .machines
            .iter()
            .filter_map(|machine| machine.node.as_ref());
        nodes
            .map(|node| node.members().voters.len())
            .min()
            .unwrap_or(0)
    }

    pub fn clusters(&self) -> Vec<u64> {
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
    pub fn add(&mut self, place: usize) -> usize {
        let at = self.machines.len();
        let mut member = member(at, 1 + at as u64);
        member.region = format!("region-{}", place % 3);
        member.zone = format!("zone-{}", place % 3);
        self.machines.push(Machine {
            member,
            node: None,
            kept: PersistedState::default(),
            life: 0,
            is_calm: false,
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
    pub fn is_whole(&self, voters: usize) -> bool {
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
