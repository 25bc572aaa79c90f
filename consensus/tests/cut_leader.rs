//! Nodes that are cut off for twenty seconds, one way or both, frozen, or
//! restarted meanwhile: several real nodes in virtual time, with questions and
//! proposals put to every side of the cut throughout.

use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing, Token, Write};
use consensus::{Entry, EntryPayload, HardState, LogIndex, Member, Membership, Message, Term};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const CLUSTER: u64 = 7;
const LATENCY: u64 = 5;
const TICK: u64 = 5;
const CUT: u64 = 20_000;
/// Longer than an election with a few tries takes.
const ELECTED: u64 = 5_000;

fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("node-{identity}"),
        region: "north".into(),
        zone: format!("zone-{identity}"),
        address: String::new(),
        desk: String::new(),
    }
}

/// What a cut network does with a message: drop it, or hand it over when the cut
/// is over, as a connection that outlives it does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Dropped,
    Late,
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    outward: bool,
    inward: bool,
}

const CUTS: [Cut; 3] = [
    Cut { outward: true, inward: true },
    Cut { outward: true, inward: false },
    Cut { outward: false, inward: true },
];

/// A question or proposal that was put to a node.
struct Asked {
    node: u64,
    at: u64,
    /// The highest index that was acknowledged to anybody before.
    floor: LogIndex,
}

struct Machine {
    node: Node,
    disk: PersistedState,
    is_frozen: bool,
    /// What came in while it was frozen.
    inbox: VecDeque<Message>,
}

/// Invariants, checked at every step: one leader a term; one entry an index; a
/// read index is never below what was acknowledged before it was asked for.
struct Cluster {
    now: u64,
    order: u64,
    seed: u64,
    loss: Loss,
    machines: BTreeMap<u64, Machine>,
    queue: BTreeMap<(u64, u64), Message>,
    held: Vec<Message>,
    cuts: BTreeSet<(u64, u64)>,
    tokens: Token,
    asked: BTreeMap<Token, Asked>,
    acknowledged: LogIndex,
    applied: BTreeMap<LogIndex, Entry>,
    leaders: BTreeMap<Term, u64>,
    /// Tokens with an outcome, by which.
    done: BTreeSet<Token>,
    refused: BTreeSet<Token>,
}

impl Cluster {
    fn new(count: u64, seed: u64, loss: Loss) -> Cluster {
        let voters = (1..=count).map(member).collect();
        let members = Membership { voters, ..Membership::default() };
        let entry = Entry { index: 1, term: 1, payload: EntryPayload::Membership(members) };
        let hard_state = HardState { term: 1, vote: 0, cluster: CLUSTER };
        let disk = PersistedState { hard_state, snapshot: None, entries: vec![entry] };
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

    fn begin(&mut self, identity: u64, disk: PersistedState) {
        self.seed += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let node = Node::new(identity, Timing::default(), seed, self.now, disk.clone());
        let inbox = VecDeque::new();
        self.machines.insert(identity, Machine { node, disk, is_frozen: false, inbox });
    }

    /// Ends a node and starts it again from its disk.
    fn restart(&mut self, identity: u64) {
        let disk = self.machines[&identity].disk.clone();
        let is_its = |token: &Token| self.asked[token].node == identity;
        let lost: Vec<Token> = self.asked.keys().copied().filter(is_its).collect();
        self.refused.extend(lost.into_iter().filter(|token| !self.done.contains(token)));
        self.begin(identity, disk);
    }

    fn node(&self, identity: u64) -> &Node {
        &self.machines[&identity].node
    }

    fn identities(&self) -> Vec<u64> {
        self.machines.keys().copied().collect()
    }

    /// Who leads in the highest term, of those outside a cut.
    fn leader_but(&self, cut: Option<u64>) -> Option<u64> {
        let leads = |identity: &u64| {
            self.node(*identity).role() == Role::Leader && !self.machines[identity].is_frozen
        };
        let found = self.identities().into_iter().filter(|node| Some(*node) != cut).filter(leads);
        found.max_by_key(|identity| self.node(*identity).term())
    }

    fn leader(&self) -> u64 {
        self.leader_but(None).expect("somebody leads")
    }

    fn step(&mut self, identity: u64, input: Input) {
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
                    Effect::Refused(token, _) => {
                        self.refused.insert(token);
                    }
                    Effect::Restore(_) => {}
                }
            }
        }
        let node = self.node(identity);
        if node.role() == Role::Leader {
            let (term, known) = (node.term(), self.leaders.get(&node.term()).copied());
            assert!(known.is_none_or(|known| known == identity), "term {term} has two leaders");
            self.leaders.insert(term, identity);
        }
    }

    fn send(&mut self, message: Message) {
        if self.cuts.contains(&(message.from, message.to)) {
            if self.loss == Loss::Late {
                self.held.push(message);
            }
            return;
        }
        self.order += 1;
        self.queue.insert((self.now + LATENCY, self.order), message);
    }

    fn apply(&mut self, entry: Entry, token: Option<Token>) {
        let index = entry.index;
        let known = self.applied.entry(index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "one entry stands at index {index}");
        if let Some(token) = token {
            self.done.insert(token);
            self.acknowledged = self.acknowledged.max(index);
        }
    }

    fn read_ready(&mut self, token: Token, index: LogIndex) {
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

    fn ask(&mut self, node: u64, input: impl FnOnce(Token) -> Input) -> Token {
        self.tokens += 1;
        let (token, at, floor) = (self.tokens, self.now, self.acknowledged);
        self.asked.insert(token, Asked { node, at, floor });
        self.step(node, input(token));
        token
    }

    fn propose(&mut self, node: u64) -> Token {
        self.ask(node, |token| Input::Propose(token, token.to_be_bytes().to_vec()))
    }

    fn read(&mut self, node: u64) -> Token {
        self.ask(node, Input::ReadIndex)
    }

    /// Lets time go by, a tick at a time.
    fn run(&mut self, ms: u64) {
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

    fn cut(&mut self, identity: u64, cut: Cut) {
        for other in self.identities().into_iter().filter(|other| *other != identity) {
            if cut.outward {
                self.cuts.insert((identity, other));
            }
            if cut.inward {
                self.cuts.insert((other, identity));
            }
        }
    }

    /// The cut is over; what was held back arrives now, before anything newer.
    fn heal(&mut self) {
        self.cuts.clear();
        for message in std::mem::take(&mut self.held) {
            self.step(message.to, Input::Received(message));
        }
    }

    /// All nodes hold the same, with everything that was acknowledged.
    fn agree(&mut self) {
        self.run(ELECTED);
        let leader = self.leader();
        let token = self.propose(leader);
        self.run(ELECTED);
        assert!(self.done.contains(&token), "a healed cluster takes changes");
        for identity in self.identities() {
            let applied = self.node(identity).applied();
            assert!(applied >= self.acknowledged, "node {identity} has {applied}");
        }
    }

    fn none_done(&self, tokens: &[Token], what: &str) {
        let done: Vec<&Token> = tokens.iter().filter(|token| self.done.contains(token)).collect();
        assert!(done.is_empty(), "{what}: {done:?}");
    }
}

fn keep(disk: &mut PersistedState, write: Write) {
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

/// Every side of every cut, with messages dropped and with messages that come late.
fn each(mut run: impl FnMut(Cluster, Cut, &str)) {
    for seed in [1, 200, 3_000] {
        for count in [3, 5] {
            for cut in CUTS {
                for loss in [Loss::Dropped, Loss::Late] {
                    let what = format!("seed {seed}, {count} nodes, {cut:?}, {loss:?}");
                    run(Cluster::new(count, seed, loss), cut, &what);
                }
            }
        }
    }
}

/// Guards: a leader that is cut off, whichever way, confirms nothing and
/// acknowledges nothing from the moment of the cut on, also not by answers that
/// reach it late; it steps down within an election's time; the others go on; what
/// it took is never lost to them, and its return disturbs nobody.
#[test]
fn a_leader_that_is_cut_off_serves_nothing_old() {
    each(|mut cluster, cut, what| {
        let old = cluster.leader();
        let first = cluster.propose(old);
        cluster.run(1_000);
        assert!(cluster.done.contains(&first), "{what}");
        cluster.cut(old, cut);
        let begun = cluster.now;
        let (mut at_old, mut stepped_down, mut acknowledged) = (Vec::new(), None, 0);
        while cluster.now < begun + CUT {
            let before = cluster.acknowledged;
            at_old.extend([cluster.read(old), cluster.propose(old)]);
            if let Some(leader) = cluster.leader_but(Some(old)) {
                cluster.propose(leader);
                cluster.read(leader);
            }
            cluster.run(50);
            acknowledged += usize::from(cluster.acknowledged > before);
            if cluster.node(old).role() != Role::Leader {
                stepped_down.get_or_insert(cluster.now - begun);
            } else {
                assert!(stepped_down.is_none(), "{what}: it leads again");
            }
        }
        cluster.none_done(&at_old, what);
        let bound = Timing::default().election + 4 * LATENCY + 50;
        assert!(stepped_down.is_some_and(|after| after <= bound), "{what}: {stepped_down:?}");
        assert!(acknowledged > 100, "{what}: the others acknowledged {acknowledged} times");
        let leader = cluster.leader_but(Some(old)).expect("the others have a leader");
        let term = cluster.node(leader).term();
        cluster.heal();
        cluster.agree();
        assert_eq!((cluster.leader(), cluster.node(old).term()), (leader, term), "{what}");
        cluster.none_done(&at_old, what);
        let is_open = |token: &&Token| !cluster.refused.contains(token);
        let open: Vec<&Token> = at_old.iter().filter(is_open).collect();
        assert!(open.is_empty(), "{what}: nobody was told of {open:?}");
    });
}

/// Guards: a follower that is cut off, whichever way, for however long, neither
/// answers for the leader nor unseats it when it is back.
#[test]
fn a_follower_that_is_cut_off_disturbs_nobody() {
    each(|mut cluster, cut, what| {
        let leader = cluster.leader();
        let term = cluster.node(leader).term();
        let follower = cluster.identities().into_iter().find(|node| *node != leader).expect("one");
        cluster.cut(follower, cut);
        let begun = cluster.now;
        let (mut at_follower, mut at_leader) = (Vec::new(), Vec::new());
        while cluster.now < begun + CUT {
            at_follower.extend([cluster.read(follower), cluster.propose(follower)]);
            at_leader.extend([cluster.read(leader), cluster.propose(leader)]);
            cluster.run(50);
        }
        cluster.heal();
        cluster.agree();
        cluster.none_done(&at_follower, what);
        assert!(at_leader.iter().all(|token| cluster.done.contains(token)), "{what}");
        let now = (cluster.leader(), cluster.node(follower).term());
        assert_eq!(now, (leader, term), "{what}: leader and term stay");
    });
}

/// Guards: a follower that misses its leader alone, and is heard by all the others,
/// neither unseats the leader nor raises the term, with its log as long as theirs.
#[test]
fn a_follower_that_misses_the_leader_alone_disturbs_nobody() {
    each(|mut cluster, cut, what| {
        let leader = cluster.leader();
        let term = cluster.node(leader).term();
        let follower = cluster.identities().into_iter().find(|node| *node != leader).expect("one");
        if cut.outward {
            cluster.cuts.insert((follower, leader));
        }
        if cut.inward {
            cluster.cuts.insert((leader, follower));
        }
        cluster.run(CUT);
        cluster.heal();
        cluster.agree();
        let now = (cluster.leader(), cluster.node(follower).term());
        assert_eq!(now, (leader, term), "{what}: leader and term stay");
    });
}

/// Guards: restarts in the midst of a cut, of the node that is cut off and of those
/// that went on without it, change nothing of this.
#[test]
fn restarts_within_a_cut_bring_nothing_old_back() {
    each(|mut cluster, cut, what| {
        let old = cluster.leader();
        cluster.cut(old, cut);
        // Entries that only the cut-off leader has, on its disk.
        let mut at_old: Vec<Token> = (0..5).map(|_| cluster.propose(old)).collect();
        cluster.run(ELECTED);
        for _ in 0..3 {
            cluster.restart(old);
            at_old.extend([cluster.read(old), cluster.propose(old)]);
            cluster.run(500);
            let leader = cluster.leader_but(Some(old)).expect("the others have a leader");
            let token = cluster.propose(leader);
            cluster.run(500);
            assert!(cluster.done.contains(&token), "{what}");
            at_old.extend([cluster.read(old), cluster.propose(old)]);
            cluster.restart(leader);
            cluster.run(ELECTED);
        }
        cluster.heal();
        cluster.agree();
        cluster.none_done(&at_old, what);
    });
}

/// Guards: a leader that stood still for nine seconds and finds the answers from
/// before in its sockets, ahead of any look at the clock, confirms nothing and
/// acknowledges nothing.
#[test]
fn a_leader_that_wakes_serves_nothing_old() {
    for seed in 1..=20 {
        for count in [3, 5] {
            let mut cluster = Cluster::new(count, seed, Loss::Dropped);
            let old = cluster.leader();
            // A proposal's round is under way, so that answers to it will be queued.
            cluster.propose(old);
            cluster.run(TICK);
            cluster.machines.get_mut(&old).expect("known").is_frozen = true;
            cluster.run(9_000);
            let leader = cluster.leader_but(Some(old)).expect("the others have a leader");
            let token = cluster.propose(leader);
            cluster.run(1_000);
            assert!(cluster.done.contains(&token), "seed {seed}: the others go on");

            let machine = cluster.machines.get_mut(&old).expect("known");
            machine.is_frozen = false;
            let inbox = std::mem::take(&mut machine.inbox);
            assert!(!inbox.is_empty(), "seed {seed}: answers wait in its sockets");
            let mut at_old = vec![cluster.read(old), cluster.propose(old)];
            for message in inbox {
                cluster.step(old, Input::Received(message));
                at_old.extend([cluster.read(old), cluster.propose(old)]);
            }
            cluster.none_done(&at_old, "at once");
            cluster.agree();
            cluster.none_done(&at_old, "in the end");
        }
    }
}

/// Guards: a leader that has just been elected confirms nothing before it knows
/// how far its predecessors came, whose last acknowledgements no follower had
/// heard of.
#[test]
fn a_new_leader_confirms_nothing_before_it_knows_what_was_acknowledged() {
    for seed in 1..=20 {
        for count in [3, 5] {
            let mut cluster = Cluster::new(count, seed, Loss::Dropped);
            for _ in 0..5 {
                let old = cluster.leader();
                let token = cluster.propose(old);
                while !cluster.done.contains(&token) {
                    cluster.run(TICK);
                }
                // Before a follower learns that the entry counts.
                cluster.queue.clear();
                cluster.cut(old, CUTS[0]);
                let before = cluster.done.len();
                while cluster.done.len() < before + 10 {
                    for identity in cluster.identities() {
                        cluster.read(identity);
                    }
                    cluster.run(TICK);
                }
                cluster.heal();
                cluster.agree();
            }
        }
    }
}

/// Guards: answers to an earlier life of a leader, with rounds and indexes that are
/// higher than its own now, count for nothing when it leads again.
#[test]
fn answers_of_an_earlier_term_count_for_nothing() {
    for seed in 1..=5 {
        let mut cluster = Cluster::new(3, seed, Loss::Late);
        let old = cluster.leader();
        // Many rounds, so that the counter of a new life is far below.
        cluster.run(CUT);
        cluster.cut(old, Cut { outward: false, inward: true });
        cluster.propose(old);
        cluster.run(2_000);
        let late: Vec<Message> = std::mem::take(&mut cluster.held);
        assert!(!late.is_empty(), "seed {seed}: answers are on their way");
        cluster.cuts.clear();
        cluster.restart(old);
        cluster.agree();
        for _ in 0..20 {
            let leader = cluster.leader();
            if leader == old {
                break;
            }
            cluster.cut(leader, CUTS[0]);
            cluster.run(2_000);
            cluster.cuts.clear();
            cluster.agree();
        }
        assert_eq!(cluster.leader(), old, "seed {seed}: it leads again");
        cluster.cut(old, CUTS[0]);
        let mut at_old = vec![cluster.read(old), cluster.propose(old)];
        cluster.run(2 * TICK);
        assert_eq!(cluster.node(old).role(), Role::Leader, "it believes so for a while");
        for message in late {
            cluster.step(old, Input::Received(message));
            at_old.push(cluster.read(old));
        }
        cluster.run(CUT);
        cluster.none_done(&at_old, &format!("seed {seed}"));
    }
}
