//! Several real nodes in virtual time, with a network that can be cut, disks in
//! memory, and the rules that are checked at every step.

use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing, Token, Write};
use consensus::{Entry, EntryPayload, HardState, LogIndex, Member, Membership, Message, Term};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const CLUSTER: u64 = 7;
pub const LATENCY: u64 = 5;
pub const TICK: u64 = 5;
pub const CUT: u64 = 20_000;
/// Longer than an election with a few tries takes.
pub const ELECTED: u64 = 5_000;

pub fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{identity}"),
        region: "north".into(),
        zone: format!("zone-{identity}"),
        address: String::new(),
        operator_address: String::new(),
    }
}

/// What a cut network does with a message: drop it, or hand it over when the cut
/// is over, as a connection that outlives it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    Dropped,
    Late,
}

#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub outward: bool,
    pub inward: bool,
}

pub const CUTS: [Cut; 3] = [
    Cut {
        outward: true,
        inward: true,
    },
    Cut {
        outward: true,
        inward: false,
    },
    Cut {
        outward: false,
        inward: true,
    },
];

/// A question or proposal that was put to a node.
pub struct Asked {
    pub node: u64,
    pub at: u64,
    /// The highest index that was acknowledged to anybody before.
    pub floor: LogIndex,
}

pub struct Machine {
    pub node: Node,
    pub disk: PersistedState,
    pub is_frozen: bool,
    /// What came in while it was frozen.
    pub inbox: VecDeque<Message>,
}

/// Invariants, checked at every step: one leader a term; one entry an index; a
/// read index is never below what was acknowledged before it was asked for.
pub struct Cluster {
    pub now: u64,
    pub order: u64,
    pub seed: u64,
    pub loss: Loss,
    pub machines: BTreeMap<u64, Machine>,
    pub queue: BTreeMap<(u64, u64), Message>,
    pub held: Vec<Message>,
    pub cuts: BTreeSet<(u64, u64)>,
    pub tokens: Token,
    pub asked: BTreeMap<Token, Asked>,
    pub acknowledged: LogIndex,
    pub applied: BTreeMap<LogIndex, Entry>,
    pub leaders: BTreeMap<Term, u64>,
    /// Tokens with an outcome, by which.
    pub done: BTreeSet<Token>,
    pub refused: BTreeSet<Token>,
}

impl Cluster {
    pub fn new(count: u64, seed: u64, loss: Loss) -> Cluster {
        let voters = (1..=count).map(member).collect();
        let members = Membership {
            voters,
            ..Membership::default()
        };
        let entry = Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Membership(members),
        };
        let hard_state = HardState {
            term: 1,
            vote: 0,
            cluster: CLUSTER,
        };
        let disk = PersistedState {
            hard_state,
            snapshot: None,
            entries: vec![entry],
        };
        let mut cluster = Cluster {
            now: 1_000,
            order: 0,
            seed,
            loss,
            machines: BTreeMap::new(),
            queue: BTreeMap::new(),
            held: Vec::new(),
            cuts: BTreeSet::new(),
            tokens: 0,
            asked: BTreeMap::new(),
            acknowledged: 0,
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            done: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        for identity in 1..=count {
            cluster.begin(identity, disk.clone());
        }
        cluster.run(ELECTED);
        cluster
    }

    pub fn begin(&mut self, identity: u64, disk: PersistedState) {
        self.seed += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let node = Node::new(identity, Timing::default(), seed, self.now, disk.clone());
        let inbox = VecDeque::new();
        self.machines.insert(
            identity,
            Machine {
                node,
                disk,
                is_frozen: false,
                inbox,
            },
        );
    }

    /// Ends a node and starts it again from its disk.
    pub fn restart(&mut self, identity: u64) {
        let disk = self.machines[&identity].disk.clone();
        let is_its = |token: &Token| self.asked[token].node == identity;
        let lost: Vec<Token> = self.asked.keys().copied().filter(is_its).collect();
        self.refused
            .extend(lost.into_iter().filter(|token| !self.done.contains(token)));
        self.begin(identity, disk);
    }

    pub fn node(&self, identity: u64) -> &Node {
        &self.machines[&identity].node
    }

    pub fn identities(&self) -> Vec<u64> {
        self.machines.keys().copied().collect()
    }

    /// Who leads in the highest term, of those outside a cut.
    pub fn leader_but(&self, cut: Option<u64>) -> Option<u64> {
        let leads = |identity: &u64| {
            self.node(*identity).role() == Role::Leader && !self.machines[identity].is_frozen
        };
        let found = self
            .identities()
            .into_iter()
            .filter(|node| Some(*node) != cut)
            .filter(leads);
        found.max_by_key(|identity| self.node(*identity).term())
    }

    pub fn leader(&self) -> u64 {
        self.leader_but(None).expect("somebody leads")
    }

    pub fn step(&mut self, identity: u64, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let machine = self.machines.get_mut(&identity).expect("a known node");
            for effect in machine.node.step(self.now, input) {
                match effect {
                    Effect::Write(ticket, writes) => {
                        let disk = &mut self.machines.get_mut(&identity).expect("known").disk;
                        writes.into_iter().for_each(|write| keep(disk, write));
                        inputs.push_back(Input::Synced(ticket));
                    }
                    Effect::Send(message) => self.send(message),
                    Effect::Apply(entry, token) => self.apply(entry, token),
                    Effect::ReadReady(token, index) => self.read_ready(token, index),
                    Effect::Rejected(token, _) => {
                        self.refused.insert(token);
                    }
                    Effect::Restore(_) => {}
                }
            }
        }
        let node = self.node(identity);
        if node.role() == Role::Leader {
            let (term, known) = (node.term(), self.leaders.get(&node.term()).copied());
            assert!(
                known.is_none_or(|known| known == identity),
                "term {term} has two leaders"
            );
            self.leaders.insert(term, identity);
        }
    }

    pub fn send(&mut self, message: Message) {
        if self.cuts.contains(&(message.from, message.to)) {
            if self.loss == Loss::Late {
                self.held.push(message);
            }
            return;
        }
        self.order += 1;
        self.queue.insert((self.now + LATENCY, self.order), message);
    }

    pub fn apply(&mut self, entry: Entry, token: Option<Token>) {
        let index = entry.index;
        let known = self.applied.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "one entry stands at index {index}");
        if let Some(token) = token {
            self.done.insert(token);
            self.acknowledged = self.acknowledged.max(index);
        }
    }

    pub fn read_ready(&mut self, token: Token, index: LogIndex) {
        self.done.insert(token);
        let asked = &self.asked[&token];
        assert!(
            index >= asked.floor,
            "node {} was asked at {} and read {index}; {} was acknowledged before",
            asked.node,
            asked.at,
            asked.floor,
        );
    }

    pub fn ask(&mut self, node: u64, input: impl FnOnce(Token) -> Input) -> Token {
        self.tokens += 1;
        let (token, at, floor) = (self.tokens, self.now, self.acknowledged);
        self.asked.insert(token, Asked { node, at, floor });
        self.step(node, input(token));
        token
    }

    pub fn propose(&mut self, node: u64) -> Token {
        self.ask(node, |token| {
            Input::Propose(token, token.to_be_bytes().to_vec())
        })
    }

    pub fn read(&mut self, node: u64) -> Token {
        self.ask(node, Input::ReadIndex)
    }

    /// Lets time go by, a tick at a time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            while let Some(first) = self.queue.first_entry() {
                if first.key().0 > self.now {
                    break;
                }
                let message = first.remove();
                let machine = self.machines.get_mut(&message.to).expect("a known node");
                match machine.is_frozen {
                    true => machine.inbox.push_back(message),
                    false => self.step(message.to, Input::Received(message)),
                }
            }
            for identity in self.identities() {
                if !self.machines[&identity].is_frozen {
                    self.step(identity, Input::Tick);
                }
            }
        }
    }

    pub fn cut(&mut self, identity: u64, cut: Cut) {
        for other in self
            .identities()
            .into_iter()
            .filter(|other| *other != identity)
        {
            if cut.outward {
                self.cuts.insert((identity, other));
            }
            if cut.inward {
                self.cuts.insert((other, identity));
            }
        }
    }

    /// The cut is over; what was held back arrives now, before anything newer.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for message in std::mem::take(&mut self.held) {
            self.step(message.to, Input::Received(message));
        }
    }

    /// All nodes hold the same, with everything that was acknowledged.
    pub fn agree(&mut self) {
        self.run(ELECTED);
        let leader = self.leader();
        let token = self.propose(leader);
        self.run(ELECTED);
        assert!(self.done.contains(&token), "a healed cluster takes changes");
        for identity in self.identities() {
            let applied = self.node(identity).applied_index();
            assert!(
                applied >= self.acknowledged,
                "node {identity} has {applied}"
            );
        }
    }

    pub fn none_done(&self, tokens: &[Token], what: &str) {
        let done: Vec<&Token> = tokens
            .iter()
            .filter(|token| self.done.contains(token))
            .collect();
        assert!(done.is_empty(), "{what}: {done:?}");
    }
}

pub fn keep(disk: &mut PersistedState, write: Write) {
    match write {
        Write::HardState(hard_state) => disk.hard_state = hard_state,
        Write::Truncate(from) => disk.entries.retain(|entry| entry.index < from),
        Write::Entry(entry) => disk.entries.push(entry),
        Write::InstallSnapshot(snapshot) => {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
        Write::Snapshot(snapshot) => {
            disk.entries.retain(|entry| entry.index > snapshot.index);
            disk.snapshot = Some(snapshot);
        }
    }
}
