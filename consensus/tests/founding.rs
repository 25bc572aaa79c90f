//! A first seed founds, the others ask to be let in: in virtual time, over links
//! of 55 ms, with a founder that ends while it is at it.

use consensus::node::{Effect, Input, Node, PersistedState, Refusal, Role, Timing, Write};
use consensus::{EntryPayload, Member, Message};
use std::collections::BTreeMap;

const DELAY: u64 = 55;
const SYNC: u64 = 2;
const RETRY: u64 = 110;
const START: u64 = 1_000;

enum Due {
    Heard(Message),
    Synced(usize, u64, u64, Vec<Write>),
    Admit(usize, Member),
    Ask(usize),
    Up(usize),
    Down(usize),
}

struct Machine {
    member: Member,
    node: Option<Node>,
    /// What is on its disk.
    kept: PersistedState,
    life: u64,
    /// No input came since its last beat.
    is_calm: bool,
}

struct World {
    now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Due>,
    machines: Vec<Machine>,
    founded: usize,
    /// Messages lost, of a hundred, and what draws them.
    loss: u64,
    draws: u64,
}

fn member(at: usize, identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{at}"),
        region: format!("region-{}", at % 3),
        zone: format!("zone-{}", at % 3),
        address: format!("10.0.0.{at}:1"),
        desk: String::new(),
    }
}

impl World {
    fn new(nodes: usize) -> World {
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
            loss: 0,
            draws: 1,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        (self.draws >> 11) % below.max(1)
    }

    fn due(&mut self, after: u64, due: Due) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), due);
    }

    fn up(&mut self, at: usize, seed: u64) {
        let machine = &mut self.machines[at];
        machine.life += 1;
        machine.is_calm = false;
        let (identity, kept) = (machine.member.identity, machine.kept.clone());
        let is_blank = kept.hard_state.cluster == 0;
        machine.node = Some(Node::new(identity, Timing::default(), seed, self.now, kept));
        if at == 0 && is_blank {
            self.founded += 1;
            let (member, cluster) = (self.machines[0].member.clone(), 77 + self.founded as u64);
            self.step(0, Input::Bootstrap(member, cluster));
        }
        // A connection is made first.
        self.due(2 * DELAY, Due::Ask(at));
    }

    fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[at];
        let Some(node) = machine.node.as_mut() else { return };
        machine.is_calm = matches!(input, Input::Tick);
        let life = machine.life;
        for effect in node.step(now, input) {
            match effect {
                Effect::Write(ticket, writes) => {
                    self.due(SYNC, Due::Synced(at, life, ticket, writes))
                }
                Effect::Send(message) => self.due(DELAY, Due::Heard(message)),
                Effect::Refused(_, Refusal::NotLeader | Refusal::Unfit(_)) => {}
                _ => {}
            }
        }
    }

    /// Every millisecond up to `end`, or until the condition holds.
    fn run(&mut self, end: u64, is_done: impl Fn(&World) -> bool) -> Option<u64> {
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
                let is_early = machine.is_calm && node.due() > self.now;
                let before = self.order;
                self.step(at, Input::Tick);
                assert!(!is_early || self.order == before, "node {at} had something to do");
            }
        }
        None
    }

    fn carry(&mut self, due: Due) {
        match due {
            Due::Heard(_) if self.draw(100) < self.loss => {}
            Due::Heard(message) => {
                let to = self.machines.iter().position(|m| m.member.identity == message.to);
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
                        Write::InstallSnapshot(_) | Write::Snapshot(_) => {}
                    }
                }
                self.step(at, Input::Synced(ticket));
            }
            Due::Synced(..) => {}
            Due::Ask(at) => {
                let Some(node) = &self.machines[at].node else { return };
                let member = self.machines[at].member.clone();
                // As the daemon does: a blank node asks, and one that nobody leads.
                if node.cluster() == 0 || node.leader().is_none() {
                    for seed in (0..3).filter(|seed| *seed != at) {
                        self.due(DELAY, Due::Admit(seed, member.clone()));
                    }
                }
                self.due(RETRY, Due::Ask(at));
            }
            Due::Admit(seed, member) => {
                // A seed that does not lead passes the question on to who does.
                let leads = |m: &Machine| m.node.as_ref().is_some_and(|n| n.role() == Role::Leader);
                let knows = self.machines[seed].node.as_ref().and_then(|node| node.leader());
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

    fn voters(&self) -> usize {
        let nodes = self.machines.iter().filter_map(|machine| machine.node.as_ref());
        nodes.map(|node| node.members().voters.len()).min().unwrap_or(0)
    }

    fn clusters(&self) -> Vec<u64> {
        let nodes = self.machines.iter().filter_map(|machine| machine.node.as_ref());
        let mut clusters: Vec<u64> = nodes.map(|node| node.cluster()).collect();
        clusters.sort_unstable();
        clusters.dedup();
        clusters
    }
}

/// Guards: the first configuration is taken well before traffic begins; between
/// two times at which a node is due it has nothing to do.
#[test]
fn five_nodes_found_one_cluster_quickly() {
    for seed in 1..=20 {
        let mut world = World::new(5);
        for at in 0..5 {
            let late = (seed * 37 + at as u64 * 61) % 300;
            world.due(late, Due::Up(at));
        }
        let three =
            world.run(4_000, |w| w.machines.iter().all(|m| m.node.is_some()) && w.voters() >= 3);
        let three = three.expect("three voters, known to all");
        assert!(three < 2_500, "seed {seed}: three voters after {three} ms");
        let five = world.run(6_000, |w| w.voters() == 5).expect("five voters");
        assert!(five < 4_000, "seed {seed}: five voters after {five} ms");
        assert_eq!(world.clusters().len(), 1);
    }
}

/// Guards: a founder that ends while it founds goes on from its disk; nobody
/// else founds, and there is one cluster in the end.
#[test]
fn a_founder_that_crashes_goes_on() {
    for seed in 0..60 {
        let mut world = World::new(5);
        for at in 0..5 {
            world.due(1 + at as u64 * 13, Due::Up(at));
        }
        let crash = 1 + seed * 29;
        world.due(crash, Due::Down(0));
        world.due(crash + 300, Due::Up(0));
        let all = world.run(12_000, |w| w.now > START + crash + 400 && w.voters() == 5);
        assert!(all.is_some(), "seed {seed}: no five voters");
        assert_eq!(world.clusters().len(), 1, "seed {seed}");
    }
}

/// Guards: one cluster is founded between the seeds whatever the weather: nodes
/// begin up to a second and a half apart, any of them end and come back, the founder
/// among them, and messages are lost while it lasts.
#[test]
fn one_cluster_is_founded_in_every_weather() {
    for seed in (1..=400u64).chain([1332]) {
        let mut world = World::new(5);
        world.draws = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        world.loss = world.draw(25);
        for at in 0..5 {
            let late = 1 + world.draw(1_500);
            world.due(late, Due::Up(at));
        }
        for _ in 0..world.draw(4) {
            let at = if world.draw(2) == 0 { 0 } else { world.draw(5) as usize };
            let crash = 1_600 + world.draw(2_000);
            let back = crash + 50 + world.draw(800);
            world.due(crash, Due::Down(at));
            world.due(back, Due::Up(at));
        }
        world.run(5_000, |_| false);
        world.loss = 0;
        let all = world.run(20_000, |w| w.voters() == 5);
        assert!(all.is_some(), "seed {seed}: no five voters");
        assert_eq!(world.clusters().len(), 1, "seed {seed}");
    }
}

/// Guards: a node that lost its disk comes back under a new identity by itself;
/// a late one is let in, too.
#[test]
fn wiped_and_late_nodes_are_let_in() {
    let mut world = World::new(5);
    for at in 0..4 {
        world.due(1, Due::Up(at));
    }
    world.run(6_000, |w| w.voters() == 4).expect("four voters");
    world.due(1, Due::Up(4));
    world.run(9_000, |w| w.machines[4].node.is_some() && w.voters() == 5).expect("five voters");
    world.due(1, Due::Down(0));
    world.run(9_500, |_| false);
    world.machines[0].kept = PersistedState::default();
    world.machines[0].member = member(0, 99);
    // It does not found: that was at the first start.
    world.machines[0].life += 1;
    let node = Node::new(99, Timing::default(), 3, world.now, PersistedState::default());
    world.machines[0].node = Some(node);
    world.due(2 * DELAY, Due::Ask(0));
    let is_back = |w: &World| {
        let leads = w.machines.iter().filter_map(|m| m.node.as_ref());
        let mut leads = leads.filter(|node| node.role() == Role::Leader);
        leads.any(|n| n.members().is_voter(99) && n.members().voters.len() == 5)
    };
    let back = world.run(20_000, is_back).expect("it is a voter again");
    assert!(back < 9_500 + 4_000, "after {back} ms");
    let commands = world.machines[1].kept.entries.iter();
    assert!(commands.filter(|e| matches!(e.payload, EntryPayload::Command(_))).count() == 0);
}
