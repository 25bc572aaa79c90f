//! A cluster in virtual time: real nodes over real write-ahead logs on disks in
//! memory, and links with a delay, loss, duplicates and reordering.
//!
//! Checked at every step: no two nodes apply different entries at one index, a
//! state that is restored is the one that the entries make, and there is one
//! leader a term.

mod effects;
mod process;

use super::disk::MemoryDisk;
use super::members::{member_on_machine, membership};
use super::random::Random;
use super::state::Applied;
use super::traffic::Traffic;
use consensus::node::{Input, Node, Role, SnapshotPolicy, Timing, Token, Write};
use consensus::wal::WriteAheadLog;
use consensus::{Entry, EntryPayload, HardState, LogIndex, Member, Message, NodeId, Term};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Timing of the platform's control nodes.
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
    /// What each link carries a second, one message after the other; `None`: any amount
    /// at once.
    pub link_bytes_per_s: Option<u64>,
    /// A message takes up to this much longer, so that messages overtake each other.
    pub jitter_ms: u64,
    /// Messages lost, of a thousand.
    pub lost_permille: u64,
    /// Messages duplicated, of a thousand.
    pub duplicated_permille: u64,
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
            link_bytes_per_s: None,
            jitter_ms: 0,
            lost_permille: 0,
            duplicated_permille: 0,
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
    WriteFinished(usize, u64),
    ReopenLog(usize, u64),
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
    incarnation: u64,
}

pub struct Cluster {
    pub now: u64,
    pub conditions: Conditions,
    pub machines: Vec<Machine>,
    /// Links that carry nothing, by sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// When each link has carried all that was sent over it, by sender and receiver.
    link_free_at_ms: BTreeMap<(usize, usize), u64>,
    /// How many of the next snapshots sent are lost.
    pub snapshots_to_lose: u64,
    /// What each machine was sent.
    pub traffic: Vec<Traffic>,
    pub acknowledged: LogIndex,
    pub proposed: u64,
    /// Number of confirmed reads.
    pub reads: u64,
    timing: Timing,
    order: u64,
    queue: BTreeMap<(u64, u64), Event>,
    checksums: BTreeMap<LogIndex, u64>,
    leaders: BTreeMap<Term, NodeId>,
    random: Random,
}

const CLUSTER: u64 = 7;
const ADD_LEARNER: Token = u64::MAX;
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
                incarnation: 0,
            }
        };
        Cluster {
            now: 1_000,
            machines: (0..nodes).map(machine).collect(),
            cut_links: BTreeSet::new(),
            link_free_at_ms: BTreeMap::new(),
            snapshots_to_lose: 0,
            traffic: vec![Traffic::default(); nodes],
            acknowledged: 0,
            proposed: 0,
            reads: 0,
            timing,
            order: 0,
            queue: BTreeMap::new(),
            checksums: BTreeMap::new(),
            leaders: BTreeMap::new(),
            random: Random::new(conditions.seed),
            conditions,
        }
    }

    /// A cluster in which all voters run and one leads.
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

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after_ms, self.order), event);
    }

    /// Schedules this many proposals at even times.
    pub fn schedule_proposals(&mut self, changes: u64, every_ms: u64) {
        for number in 0..changes {
            self.schedule(number * every_ms, Event::Propose(0));
        }
    }

    /// Cancels the scheduled proposals.
    pub fn stop_proposals(&mut self) {
        self.queue
            .retain(|_, event| !matches!(event, Event::Propose(_)));
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

    /// Whether a machine has applied everything that is acknowledged.
    pub fn is_up_to_date(&self, at: usize) -> bool {
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

    /// Runs for this many milliseconds.
    pub fn run(&mut self, duration: u64) {
        self.run_until(duration, |_| false);
    }

    /// Runs until the condition holds and returns how long that took, in milliseconds;
    /// `None` if it did not hold in time.
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
            Event::WriteFinished(at, start) if self.machines[at].incarnation == start => {
                self.finish_write(at)
            }
            Event::ReopenLog(at, start) if self.machines[at].incarnation == start => {
                self.reopen_log(at)
            }
            Event::WriteFinished(..) | Event::ReopenLog(..) => {}
            Event::Start(at) => self.start(at),
            Event::Propose(attempts) => self.propose(attempts),
        }
    }

    /// Proposes a change to the leader; without a leader, again later.
    fn propose(&mut self, attempts: u64) {
        let Some(leader) = self.leader() else {
            return self.schedule(100, Event::Propose(attempts + 1));
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

    /// Adds a machine as a learner.
    pub fn add_learner(&mut self, at: usize) {
        let leader = self.leader().expect("one leads");
        let member = self.machines[at].member.clone();
        self.step(leader, Input::AddLearner(ADD_LEARNER, member));
    }

    /// Asks the leader how far the state must be that answers a read now.
    pub fn read_index(&mut self) {
        let leader = self.leader().expect("one leads");
        self.step(leader, Input::ReadIndex(self.acknowledged));
    }
}
