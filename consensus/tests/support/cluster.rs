//! A cluster in virtual time: real nodes over real write-ahead logs on disks in
//! memory, and links with a delay, loss, duplicates and reordering.
//!
//! Checked at every step: no two nodes apply different entries at one index, a
//! state that is restored is the one that the entries make, and there is one
//! leader a term.

use super::disk::MemoryDisk;
use super::members::{member_on_machine, membership};
use super::random::Random;
use super::state::Applied;
use super::traffic::Traffic;
use consensus::node::{
    Effect, Input, Node, PersistedState, Role, SnapshotPolicy, Timing, Token, Write,
};
use consensus::wal::WriteAheadLog;
use consensus::{
    Entry, EntryPayload, HardState, LogIndex, Member, Message, MessageBody, NodeId, Term,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the platform's control nodes run with.
pub fn platform_timing(voters: usize) -> Timing {
    Timing {
        heartbeat_ms: 120,
        election_timeout_ms: 500,
        voters,
        ..Timing::default()
    }
}

/// Links, disks and documents of a cluster.
#[derive(Clone)]
pub struct Conditions {
    pub link_ms: u64,
    /// A message takes up to so much longer; messages pass each other then.
    pub jitter_ms: u64,
    /// Of a thousand messages.
    pub lost: u64,
    pub duplicated: u64,
    pub sync_ms: u64,
    pub change_bytes: usize,
    pub state_bytes: usize,
    pub policy: SnapshotPolicy,
    pub seed: u64,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            link_ms: 55,
            jitter_ms: 0,
            lost: 0,
            duplicated: 0,
            sync_ms: 3,
            change_bytes: 1_000,
            state_bytes: 20_000,
            policy: SnapshotPolicy {
                entries: 256,
                bytes: 8 << 20,
            },
            seed: 1,
        }
    }
}

enum Event {
    Deliver(Message),
    DiskDone(usize, u64),
    DiskRetry(usize, u64),
    Start(usize),
    Propose(u64),
}

struct Running {
    node: Node,
    log: WriteAheadLog<MemoryDisk>,
    queued: VecDeque<(u64, Vec<Write>)>,
    writing: Option<(u64, Vec<Write>)>,
    is_disk_failed: bool,
    applied: Applied,
}

pub struct Machine {
    pub member: Member,
    pub disk: MemoryDisk,
    pub sync_ms: u64,
    running: Option<Running>,
    starts: u64,
}

pub struct Cluster {
    pub now: u64,
    pub conditions: Conditions,
    pub machines: Vec<Machine>,
    /// Links that carry nothing, by sender and receiver.
    pub cut: BTreeSet<(usize, usize)>,
    /// Loses the next snapshot that is sent, so many times.
    pub snapshots_to_lose: u64,
    /// What each machine was sent.
    pub traffic: Vec<Traffic>,
    pub acknowledged: LogIndex,
    pub proposed: u64,
    /// How many reads were let through.
    pub reads: u64,
    timing: Timing,
    order: u64,
    queue: BTreeMap<(u64, u64), Event>,
    sums: BTreeMap<LogIndex, u64>,
    leaders: BTreeMap<Term, NodeId>,
    random: Random,
}

const CLUSTER: u64 = 7;
const ADMISSION: Token = u64::MAX;
const DISK_RETRY_MS: u64 = 1_000;

impl Cluster {
    /// Voters that begin with the same membership, and blank machines after them,
    /// all down.
    pub fn new(voters: usize, blank: usize, conditions: Conditions) -> Cluster {
        let nodes = voters + blank;
        let timing = platform_timing(nodes);
        let first_voters = voters;
        let member = |at: usize| member_on_machine(at, at as u64 + 1);
        let members = membership((0..voters).map(member));
        let first = Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Membership(members),
        };
        let begin = [
            Write::HardState(HardState {
                term: 1,
                vote: 0,
                cluster: CLUSTER,
            }),
            Write::Entry(first),
        ];
        let machine = |at: usize| {
            let disk = MemoryDisk::default();
            let (mut log, _) = WriteAheadLog::open(disk.clone()).expect("a blank disk opens");
            if at < first_voters {
                log.write(&begin).expect("there is room");
            }
            let sync_ms = conditions.sync_ms;
            Machine {
                member: member(at),
                disk,
                sync_ms,
                running: None,
                starts: 0,
            }
        };
        Cluster {
            now: 1_000,
            machines: (0..nodes).map(machine).collect(),
            cut: BTreeSet::new(),
            snapshots_to_lose: 0,
            traffic: vec![Traffic::default(); nodes],
            acknowledged: 0,
            proposed: 0,
            reads: 0,
            timing,
            order: 0,
            queue: BTreeMap::new(),
            sums: BTreeMap::new(),
            leaders: BTreeMap::new(),
            random: Random::new(conditions.seed),
            conditions,
        }
    }

    /// One in which all voters run and a leader leads.
    pub fn led(voters: usize, conditions: Conditions) -> Cluster {
        Cluster::led_with_blank(voters, 0, conditions)
    }

    /// The same with blank machines that are down.
    pub fn led_with_blank(voters: usize, blank: usize, conditions: Conditions) -> Cluster {
        let mut cluster = Cluster::new(voters, blank, conditions);
        for at in 0..voters {
            cluster.start(at);
        }
        let is_led = cluster.run_until(10_000, |cluster| cluster.settled_leader().is_some());
        assert!(is_led.is_some(), "a leader is elected");
        cluster
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.below(below)
    }

    fn at(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    /// Proposes one change after the other, so many in all, at even times.
    pub fn storm(&mut self, changes: u64, every_ms: u64) {
        for number in 0..changes {
            self.at(number * every_ms, Event::Propose(0));
        }
    }

    /// Forgets what was to be proposed.
    pub fn stop_storm(&mut self) {
        self.queue
            .retain(|_, event| !matches!(event, Event::Propose(_)));
    }

    pub fn start_after(&mut self, after: u64, at: usize) {
        self.at(after, Event::Start(at));
    }

    pub fn start(&mut self, at: usize) {
        if self.machines[at].running.is_some() {
            return;
        }
        match WriteAheadLog::open(self.machines[at].disk.clone()) {
            Ok((log, kept)) => self.begin(at, log, kept),
            Err(_) if self.machines[at].disk.is_full() => self.start_after(DISK_RETRY_MS, at),
            Err(error) => panic!("node {at} can't start: {error}"),
        }
    }

    fn begin(&mut self, at: usize, log: WriteAheadLog<MemoryDisk>, kept: PersistedState) {
        let state = kept
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |taken| taken.state.clone());
        let seed = self.draw(u64::MAX);
        let identity = self.machines[at].member.identity;
        let machine = &mut self.machines[at];
        machine.starts += 1;
        machine.running = Some(Running {
            node: Node::new(identity, self.timing, seed, self.now, kept),
            log,
            queued: VecDeque::new(),
            writing: None,
            is_disk_failed: false,
            applied: Applied::restored(&state),
        });
    }

    /// The process or the power ends; of what is being written some is there.
    pub fn crash(&mut self, at: usize) {
        let operations = self.draw(8) as u32;
        let (kept, share) = (self.draw(u64::MAX), self.draw(1_001) as usize);
        let machine = &mut self.machines[at];
        let Some(mut running) = machine.running.take() else {
            return;
        };
        if let Some((_, batch)) = running.writing.take() {
            machine.disk.fail_after(Some(operations));
            drop(running.log.write(&batch));
        }
        machine.disk.lose_power(kept, share);
    }

    pub fn node(&self, at: usize) -> Option<&Node> {
        self.machines[at]
            .running
            .as_ref()
            .map(|running| &running.node)
    }

    /// The newest leader.
    pub fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| {
            self.node(*at)
                .is_some_and(|node| node.role() == Role::Leader)
        };
        (0..self.machines.len())
            .filter(leads)
            .max_by_key(|at| self.node(*at).map(Node::term))
    }

    /// A leader whose own first entry is committed.
    pub fn settled_leader(&self) -> Option<usize> {
        self.leader()
            .filter(|at| self.node(*at).is_some_and(Node::can_change_membership))
    }

    /// Whether a machine's state is that of the newest acknowledged change.
    pub fn is_current(&self, at: usize) -> bool {
        self.node(at)
            .is_some_and(|node| node.applied_index() >= self.acknowledged)
    }

    pub fn total_traffic(&self) -> Traffic {
        self.traffic
            .iter()
            .fold(Traffic::default(), |sum, one| Traffic {
                messages: sum.messages + one.messages,
                bytes: sum.bytes + one.bytes,
                snapshots: sum.snapshots + one.snapshots,
                entries: sum.entries + one.entries,
            })
    }

    /// Runs for so long.
    pub fn run(&mut self, duration: u64) {
        self.run_until(duration, |_| false);
    }

    /// Runs until the condition holds; how long that took. `None`: it did not.
    pub fn run_until(&mut self, duration: u64, is_done: impl Fn(&Cluster) -> bool) -> Option<u64> {
        let begin = self.now;
        loop {
            if is_done(self) {
                return Some(self.now - begin);
            }
            let next = self.next_time();
            if next > begin + duration {
                self.now = begin + duration;
                return None;
            }
            self.now = next;
            while self
                .queue
                .first_key_value()
                .is_some_and(|((at, _), _)| *at <= self.now)
            {
                let (_, event) = self.queue.pop_first().expect("looked at above");
                self.handle(event);
            }
            for at in 0..self.machines.len() {
                if self
                    .node(at)
                    .is_some_and(|node| node.next_deadline() <= self.now)
                {
                    self.step(at, Input::Tick);
                }
            }
        }
    }

    fn next_time(&self) -> u64 {
        let queued = self.queue.keys().next().map_or(u64::MAX, |(at, _)| *at);
        let nodes = (0..self.machines.len()).filter_map(|at| self.node(at));
        let due = nodes.map(Node::next_deadline).min().unwrap_or(u64::MAX);
        queued.min(due.max(self.now + 1))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(message) => {
                let to = message.to as usize - 1;
                self.step(to, Input::Received(message));
            }
            Event::DiskDone(at, start) if self.machines[at].starts == start => {
                self.finish_write(at)
            }
            Event::DiskRetry(at, start) if self.machines[at].starts == start => self.retry_disk(at),
            Event::DiskDone(..) | Event::DiskRetry(..) => {}
            Event::Start(at) => self.start(at),
            Event::Propose(tries) => self.propose(tries),
        }
    }

    /// Gives a change to the leader; without one it is tried again.
    fn propose(&mut self, tries: u64) {
        let Some(leader) = self.leader() else {
            return self.at(100, Event::Propose(tries + 1));
        };
        self.proposed += 1;
        let mut bytes = vec![b'd'; self.conditions.change_bytes];
        bytes[..8].copy_from_slice(&self.proposed.to_be_bytes());
        self.step(leader, Input::Propose(self.proposed, bytes));
    }

    /// Proposes one change now.
    pub fn propose_now(&mut self) {
        self.propose(0);
    }

    pub fn transfer_leadership(&mut self) {
        if let Some(leader) = self.leader() {
            self.step(leader, Input::TransferLeadership);
        }
    }

    /// Lets a machine in as a learner.
    pub fn admit(&mut self, at: usize) {
        let leader = self.leader().expect("one leads");
        let member = self.machines[at].member.clone();
        self.step(leader, Input::AddLearner(ADMISSION, member));
    }

    /// Asks the leader how far the state must be that answers a read now.
    pub fn read_index(&mut self) {
        let leader = self.leader().expect("one leads");
        self.step(leader, Input::ReadIndex(self.acknowledged));
    }

    fn finish_write(&mut self, at: usize) {
        let Some(running) = self.machines[at].running.as_mut() else {
            return;
        };
        let Some((ticket, batch)) = running.writing.take() else {
            return;
        };
        if running.log.write(&batch).is_ok() {
            self.begin_write(at);
            return self.step(at, Input::Synced(ticket));
        }
        running.is_disk_failed = true;
        running.queued.clear();
        let start = self.machines[at].starts;
        self.at(DISK_RETRY_MS, Event::DiskRetry(at, start));
        self.step(at, Input::DiskFailed);
    }

    fn retry_disk(&mut self, at: usize) {
        let Some(running) = self.machines[at].running.as_mut() else {
            return;
        };
        match running.log.reopen() {
            Ok((log, kept)) => self.begin(at, log, kept),
            Err(_) => {
                let start = self.machines[at].starts;
                self.at(DISK_RETRY_MS, Event::DiskRetry(at, start));
            }
        }
    }

    /// What has piled up is written as one.
    fn begin_write(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        let (start, sync_ms) = (machine.starts, machine.sync_ms);
        let Some(running) = machine.running.as_mut() else {
            return;
        };
        if running.writing.is_some() || running.queued.is_empty() {
            return;
        }
        let ticket = running.queued.back().map_or(0, |(ticket, _)| *ticket);
        let batch = running
            .queued
            .drain(..)
            .flat_map(|(_, writes)| writes)
            .collect();
        running.writing = Some((ticket, batch));
        self.at(sync_ms, Event::DiskDone(at, start));
    }

    pub fn step(&mut self, at: usize, input: Input) {
        let now = self.now;
        let Some(running) = self.machines[at].running.as_mut() else {
            return;
        };
        let effects = running.node.step(now, input);
        for effect in effects {
            self.carry_out(at, effect);
        }
        self.take_snapshot(at);
        self.check_leader(at);
    }

    fn take_snapshot(&mut self, at: usize) {
        let (policy, state_bytes) = (self.conditions.policy, self.conditions.state_bytes);
        let Some(running) = self.machines[at].running.as_ref() else {
            return;
        };
        if running.node.is_snapshot_due(policy) {
            let state = running.applied.snapshot(state_bytes);
            self.step(at, Input::SnapshotTaken(running.applied.index, state));
        }
    }

    fn check_leader(&mut self, at: usize) {
        let Some(node) = self.node(at).filter(|node| node.role() == Role::Leader) else {
            return;
        };
        let (term, identity) = (node.term(), node.identity());
        let known = *self.leaders.entry(term).or_insert(identity);
        assert_eq!(known, identity, "one leader in term {term}");
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Write(ticket, writes) => {
                let running = self.machines[at].running.as_mut().expect("it just stepped");
                if !running.is_disk_failed {
                    running.queued.push_back((ticket, writes));
                    self.begin_write(at);
                }
            }
            Effect::Send(message) => self.send(at, message),
            Effect::Apply(entry, token) => self.apply(at, &entry, token),
            Effect::Restore(snapshot) => {
                let applied = Applied::restored(&snapshot.state);
                assert_eq!(
                    Some(&applied.sum),
                    self.sums.get(&applied.index),
                    "restored at {at}"
                );
                let running = self.machines[at].running.as_mut().expect("it just stepped");
                assert!(
                    applied.index > running.applied.index,
                    "a state is never undone"
                );
                running.applied = applied;
            }
            Effect::ReadReady(acknowledged, index) => {
                assert!(
                    index >= acknowledged,
                    "a read at {index} misses {acknowledged}"
                );
                self.reads += 1;
            }
            Effect::Rejected(..) => {}
        }
    }

    fn apply(&mut self, at: usize, entry: &Entry, token: Option<Token>) {
        let running = self.machines[at].running.as_mut().expect("it just stepped");
        assert_eq!(
            entry.index,
            running.applied.index + 1,
            "node {at} applies in order"
        );
        running.applied = running.applied.after(entry);
        let sum = running.applied.sum;
        let known = *self.sums.entry(entry.index).or_insert(sum);
        assert_eq!(
            known, sum,
            "node {at} applies another entry {}",
            entry.index
        );
        if token.is_some_and(|token| token != ADMISSION) {
            self.acknowledged = self.acknowledged.max(entry.index);
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        let to = message.to as usize - 1;
        self.traffic[to].count(&message);
        let is_snapshot = matches!(message.body, MessageBody::InstallSnapshot { .. });
        if is_snapshot && self.snapshots_to_lose > 0 {
            self.snapshots_to_lose -= 1;
            return;
        }
        if self.cut.contains(&(from, to)) || self.draw(1_000) < self.conditions.lost {
            return;
        }
        let copies = if self.draw(1_000) < self.conditions.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.conditions.link_ms + self.draw(self.conditions.jitter_ms + 1);
            self.at(delay, Event::Deliver(message.clone()));
        }
    }
}
