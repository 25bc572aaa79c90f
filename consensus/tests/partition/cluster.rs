//! Several real nodes in virtual time, with a network that can be partitioned, disks in
//! memory, and the invariants that are checked at every step.

use crate::support::members::{member, membership};
use crate::support::persisted::apply_write;
use consensus::node::{Effect, Input, Node, PersistedState, RequestError, Role, Timing, Token};
use consensus::{Entry, EntryPayload, HardState, LogIndex, Message, Term};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const CLUSTER: u64 = 7;
pub const LINK_DELAY_MS: u64 = 5;
pub const TICK_MS: u64 = 5;
pub const PARTITION_MS: u64 = 20_000;
/// Longer than an election with a few attempts takes.
pub const ELECTION_MS: u64 = 5_000;

/// What a partition does with a message: drop it, or deliver it when the partition is
/// over, as a connection that outlives the partition does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Loss {
    Dropped,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
pub struct Partition {
    pub outbound: bool,
    pub inbound: bool,
}

pub const PARTITIONS: [Partition; 3] = [
    Partition {
        outbound: true,
        inbound: true,
    },
    Partition {
        outbound: true,
        inbound: false,
    },
    Partition {
        outbound: false,
        inbound: true,
    },
];

/// A read or proposal that was sent to a node.
pub struct Request {
    pub node: u64,
    pub at: u64,
    /// The highest index that was acknowledged to anybody before.
    pub floor: LogIndex,
}

pub struct Machine {
    pub node: Node,
    pub disk: PersistedState,
    pub is_paused: bool,
    /// Messages that arrived while it was paused.
    pub inbox: VecDeque<Message>,
}

/// Invariants, checked at every step: one leader a term; one entry an index; a
/// read index is never below what was acknowledged before the read.
pub struct Cluster {
    pub now: u64,
    pub order: u64,
    pub seed: u64,
    pub loss: Loss,
    pub machines: BTreeMap<u64, Machine>,
    pub queue: BTreeMap<(u64, u64), Message>,
    pub delayed: Vec<Message>,
    pub cut_links: BTreeSet<(u64, u64)>,
    pub tokens: Token,
    pub requests: BTreeMap<Token, Request>,
    pub acknowledged: LogIndex,
    pub applied: BTreeMap<LogIndex, Entry>,
    pub leaders: BTreeMap<Term, u64>,
    /// Tokens of requests that completed, and of those that were rejected.
    pub completed: BTreeSet<Token>,
    pub rejected: BTreeSet<Token>,
    /// Why requests were rejected.
    pub rejections: BTreeMap<Token, RequestError>,
}

impl Cluster {
    pub fn new(count: u64, seed: u64, loss: Loss) -> Cluster {
        let members = membership((1..=count).map(member));
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
            delayed: Vec::new(),
            cut_links: BTreeSet::new(),
            tokens: 0,
            requests: BTreeMap::new(),
            acknowledged: 0,
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            completed: BTreeSet::new(),
            rejected: BTreeSet::new(),
            rejections: BTreeMap::new(),
        };
        for identity in 1..=count {
            cluster.begin(identity, disk.clone());
        }
        cluster.run(ELECTION_MS);
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
                is_paused: false,
                inbox,
            },
        );
    }

    /// Ends a node and starts it again from its disk.
    pub fn restart(&mut self, identity: u64) {
        let disk = self.machines[&identity].disk.clone();
        let is_its = |token: &Token| self.requests[token].node == identity;
        let lost: Vec<Token> = self.requests.keys().copied().filter(is_its).collect();
        self.rejected.extend(
            lost.into_iter()
                .filter(|token| !self.completed.contains(token)),
        );
        self.begin(identity, disk);
    }

    pub fn node(&self, identity: u64) -> &Node {
        &self.machines[&identity].node
    }

    pub fn identities(&self) -> Vec<u64> {
        self.machines.keys().copied().collect()
    }

    /// The leader with the highest term, of those outside the partition.
    pub fn leader_outside(&self, cut: Option<u64>) -> Option<u64> {
        let leads = |identity: &u64| {
            self.node(*identity).role() == Role::Leader && !self.machines[identity].is_paused
        };
        let found = self
            .identities()
            .into_iter()
            .filter(|node| Some(*node) != cut)
            .filter(leads);
        found.max_by_key(|identity| self.node(*identity).term())
    }

    pub fn leader(&self) -> u64 {
        self.leader_outside(None).expect("somebody leads")
    }

    pub fn step(&mut self, identity: u64, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let machine = self.machines.get_mut(&identity).expect("a known node");
            for effect in machine.node.step(self.now, input) {
                match effect {
                    Effect::Write(ticket, writes) => {
                        let disk = &mut self.machines.get_mut(&identity).expect("known").disk;
                        writes.iter().for_each(|write| apply_write(disk, write));
                        inputs.push_back(Input::Synced(ticket));
                    }
                    Effect::Send(message) => self.send(message),
                    Effect::Apply(entry, token) => self.apply(entry, token),
                    Effect::ReadReady(token, index) => self.read_ready(token, index),
                    Effect::Rejected(token, error) => {
                        self.rejected.insert(token);
                        self.rejections.insert(token, error);
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
        if self.cut_links.contains(&(message.from, message.to)) {
            if self.loss == Loss::Delayed {
                self.delayed.push(message);
            }
            return;
        }
        self.order += 1;
        self.queue
            .insert((self.now + LINK_DELAY_MS, self.order), message);
    }

    pub fn apply(&mut self, entry: Entry, token: Option<Token>) {
        let index = entry.index;
        let known = self.applied.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "one entry stands at index {index}");
        if let Some(token) = token {
            self.completed.insert(token);
            self.acknowledged = self.acknowledged.max(index);
        }
    }

    pub fn read_ready(&mut self, token: Token, index: LogIndex) {
        self.completed.insert(token);
        let requests = &self.requests[&token];
        assert!(
            index >= requests.floor,
            "node {} was requests at {} and read {index}; {} was acknowledged before",
            requests.node,
            requests.at,
            requests.floor,
        );
    }

    pub fn request(&mut self, node: u64, input: impl FnOnce(Token) -> Input) -> Token {
        self.tokens += 1;
        let (token, at, floor) = (self.tokens, self.now, self.acknowledged);
        self.requests.insert(token, Request { node, at, floor });
        self.step(node, input(token));
        token
    }

    pub fn propose(&mut self, node: u64) -> Token {
        self.request(node, |token| {
            Input::Propose(token, token.to_be_bytes().to_vec())
        })
    }

    pub fn read(&mut self, node: u64) -> Token {
        self.request(node, Input::ReadIndex)
    }

    /// Lets time go by, a tick at a time.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            while let Some(first) = self.queue.first_entry() {
                if first.key().0 > self.now {
                    break;
                }
                let message = first.remove();
                let machine = self.machines.get_mut(&message.to).expect("a known node");
                match machine.is_paused {
                    true => machine.inbox.push_back(message),
                    false => self.step(message.to, Input::Received(message)),
                }
            }
            for identity in self.identities() {
                if !self.machines[&identity].is_paused {
                    self.step(identity, Input::Tick);
                }
            }
        }
    }

    pub fn partition(&mut self, identity: u64, partition: Partition) {
        for other in self
            .identities()
            .into_iter()
            .filter(|other| *other != identity)
        {
            if partition.outbound {
                self.cut_links.insert((identity, other));
            }
            if partition.inbound {
                self.cut_links.insert((other, identity));
            }
        }
    }

    /// Ends the partition; delayed messages arrive now, before anything newer.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        for message in std::mem::take(&mut self.delayed) {
            self.step(message.to, Input::Received(message));
        }
    }

    /// All nodes converge, with everything that was acknowledged.
    pub fn assert_converges(&mut self) {
        self.run(ELECTION_MS);
        let leader = self.leader();
        let token = self.propose(leader);
        self.run(ELECTION_MS);
        assert!(
            self.completed.contains(&token),
            "a healed cluster takes changes"
        );
        for identity in self.identities() {
            let applied = self.node(identity).applied_index();
            assert!(
                applied >= self.acknowledged,
                "node {identity} has {applied}"
            );
        }
    }

    pub fn assert_none_completed(&self, tokens: &[Token], what: &str) {
        let done: Vec<&Token> = tokens
            .iter()
            .filter(|token| self.completed.contains(token))
            .collect();
        assert!(done.is_empty(), "{what}: {done:?}");
    }
}
