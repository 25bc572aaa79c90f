//! One node of the agreement, as a state machine.
//!
//! A leader is elected by a majority of voters after a pre-vote, which changes no
//! terms; an entry is committed once a majority has it synced; a read index is
//! confirmed by a heartbeat round with a majority that began after the read.

use crate::{
    Entry, EntryPayload, HardState, LogIndex, Member, Membership, Message, MessageBody, NodeId,
    Snapshot, Term,
};
use std::collections::{BTreeMap, VecDeque};

mod election;
mod membership;
mod reads;
mod receive;
mod replication;
mod snapshot;
mod types;

pub use types::{
    Effect, Input, MembershipChangeError, PersistedState, RequestError, Role, SnapshotPolicy,
    Timing, Token, Write,
};

/// How far another node is. Invariant: `matched` is only what that node said
/// is synced, and only rises within a term.
#[derive(Clone, Hash)]
struct Peer {
    next: LogIndex,
    match_index: LogIndex,
    round: u64,
    last_heard: u64,
    /// The round in which a snapshot was sent that is on its way still, however
    /// long that takes. It is sent again when an answer of a later round shows that
    /// it was lost.
    snapshot_sent: Option<u64>,
    /// The last time that the peer's log did not match and `next` went back.
    rewind: Option<Rewind>,
    /// When it last said that it is about to stop.
    leaving_at: Option<u64>,
}

/// A step back of a peer's `next`. Invariant: answers of `round` and before are
/// to messages that were sent before what went out with this step, or to that.
#[derive(Clone, Copy, Hash)]
struct Rewind {
    match_index: LogIndex,
    round: u64,
}

/// A node's state. Invariants: `snapshot.index < entry.index` for all in `log`, which
/// has no gap; `applied <= commit <= last`; `synced <= last`; a message is sent only
/// when the hard state it rests on is synced; `term` never falls.
#[derive(Clone, Hash)]
pub struct Node {
    identity: NodeId,
    timing: Timing,
    seed: u64,
    now: u64,
    role: Role,
    hard_state: HardState,
    leader: Option<NodeId>,
    snapshot: Snapshot,
    log: VecDeque<Entry>,
    members: Membership,
    /// Memberships by the index they came in with, newest last.
    membership_history: Vec<(LogIndex, Membership)>,
    commit: LogIndex,
    applied: LogIndex,
    /// Bytes of the applied commands in `log`.
    applied_bytes: usize,
    synced: LogIndex,
    ticket: u64,
    synced_ticket: u64,
    /// Unsynced writes: ticket, last index then, when.
    writing: VecDeque<(u64, LogIndex, u64)>,
    hard_state_ticket: u64,
    held: VecDeque<(u64, Message)>,
    is_broken: bool,
    leader_heard_at: Option<u64>,
    election_due: u64,
    votes: Vec<NodeId>,
    peers: BTreeMap<NodeId, Peer>,
    round: u64,
    heartbeat_due: u64,
    reads: VecDeque<(u64, LogIndex, Token)>,
    waiting: BTreeMap<LogIndex, (Term, Token)>,
    pending: Vec<Write>,
    effects: Vec<Effect>,
}

impl Node {
    /// A follower with the state read back from disk. `now` is in milliseconds of the
    /// caller's monotonic clock; `seed` determines the random election timeouts.
    pub fn new(
        identity: NodeId,
        timing: Timing,
        seed: u64,
        now: u64,
        kept: PersistedState,
    ) -> Node {
        let snapshot = kept.snapshot.unwrap_or(Snapshot {
            index: 0,
            term: 0,
            cluster: kept.hard_state.cluster,
            members: Membership::default(),
            state: Vec::new(),
        });
        let mut node = Node {
            identity,
            timing,
            seed: seed | 1,
            now,
            role: Role::Follower,
            hard_state: kept.hard_state,
            leader: None,
            members: snapshot.members.clone(),
            membership_history: vec![(snapshot.index, snapshot.members.clone())],
            commit: snapshot.index,
            applied: snapshot.index,
            applied_bytes: 0,
            synced: snapshot.index,
            snapshot,
            log: VecDeque::new(),
            ticket: 0,
            synced_ticket: 0,
            writing: VecDeque::new(),
            hard_state_ticket: 0,
            held: VecDeque::new(),
            is_broken: false,
            leader_heard_at: None,
            election_due: 0,
            votes: Vec::new(),
            peers: BTreeMap::new(),
            round: 0,
            heartbeat_due: 0,
            reads: VecDeque::new(),
            waiting: BTreeMap::new(),
            pending: Vec::new(),
            effects: Vec::new(),
        };
        for entry in kept.entries {
            node.append_in_memory(entry);
        }
        node.synced = node.last_index();
        node.reset_first_election_timer();
        node
    }

    /// This node's identity.
    pub fn identity(&self) -> NodeId {
        self.identity
    }
    /// Its role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }
    /// The leader of the current term, where it is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }
    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }
    /// The cluster it belongs to; 0 for none yet.
    pub fn cluster(&self) -> u64 {
        self.hard_state.cluster
    }
    /// The membership in force: the newest in the log, committed or not.
    pub fn members(&self) -> &Membership {
        &self.members
    }
    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }
    /// The commit index.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }
    /// Index of the last applied entry.
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }
    /// Number of log entries held after the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }
    /// Index of the last entry in the log, synced or not.
    pub fn last_index(&self) -> LogIndex {
        self.log
            .back()
            .map_or(self.snapshot.index, |entry| entry.index)
    }
    /// Whether the oldest unsynced write has waited too long.
    pub fn is_stalled(&self) -> bool {
        self.is_broken
            || self
                .writing
                .front()
                .is_some_and(|(_, _, since)| self.now - since > self.timing.write_stall_ms)
    }
    /// What each other node is known, by the leader, to have synced.
    pub fn progress(&self) -> impl Iterator<Item = (NodeId, LogIndex)> + '_ {
        self.peers
            .iter()
            .map(|(identity, peer)| (*identity, peer.match_index))
    }

    /// When time alone next changes something here: a tick before then finds
    /// nothing to do.
    pub fn next_deadline(&self) -> u64 {
        let stall = self.timing.write_stall_ms;
        let stalls = self
            .writing
            .front()
            .map_or(u64::MAX, |(_, _, since)| since + stall + 1);
        if self.role != Role::Leader {
            return self.election_due;
        }
        // The moment at which fewer than a majority were heard from lately.
        let last_heard = |voter: &Member| match voter.identity == self.identity {
            true => u64::MAX,
            false => self
                .peers
                .get(&voter.identity)
                .map_or(0, |peer| peer.last_heard),
        };
        let mut last_heard: Vec<u64> = self.members.voters.iter().map(last_heard).collect();
        last_heard.sort_unstable_by(|a, b| b.cmp(a));
        let last = last_heard
            .get(self.members.majority() - 1)
            .copied()
            .unwrap_or(0);
        self.heartbeat_due
            .min(stalls)
            .min(last.saturating_add(self.timing.election_timeout_ms))
    }

    fn random(&mut self, below: u64) -> u64 {
        if below <= 1 {
            return 0;
        }
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }

    /// The first election timeout after a start is a shorter one: a live leader sends a
    /// heartbeat well within it, and a pre-vote changes no terms.
    fn reset_first_election_timer(&mut self) {
        self.election_due = self.now
            + self.timing.election_timeout_ms / 3
            + self.random(self.timing.election_timeout_ms / 2);
    }

    /// Begins a new wait for a leader.
    fn reset_election_timer(&mut self) {
        self.election_due = self.now
            + self.timing.election_timeout_ms
            + self.random(self.timing.election_timeout_ms);
    }

    fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let first = self.log.front()?.index;
        self.log
            .get(index.checked_sub(first)? as usize)
            .map(|entry| entry.term)
    }

    fn last_term(&self) -> Term {
        self.log
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Takes an entry into memory; a membership is in force from here on.
    fn append_in_memory(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has no gap");
        if let EntryPayload::Membership(members) = &entry.payload {
            self.members = members.clone();
            self.membership_history.push((entry.index, members.clone()));
        }
        self.log.push_back(entry);
    }

    fn append(&mut self, entry: Entry) {
        self.pending.push(Write::Entry(entry.clone()));
        self.append_in_memory(entry);
    }

    fn cut(&mut self, from: LogIndex) {
        assert!(from > self.commit, "what counts is never cut");
        while self.log.back().is_some_and(|entry| entry.index >= from) {
            self.log.pop_back();
        }
        while self
            .membership_history
            .last()
            .is_some_and(|(index, _)| *index >= from)
        {
            self.membership_history.pop();
        }
        if let Some((_, members)) = self.membership_history.last() {
            self.members = members.clone();
        }
        self.synced = self.synced.min(from - 1);
        for (_, last, _) in &mut self.writing {
            *last = (*last).min(from - 1);
        }
        self.pending.push(Write::Truncate(from));
    }

    fn persist_hard_state(&mut self, hard_state: HardState) {
        assert!(
            hard_state.term >= self.hard_state.term,
            "a term never falls"
        );
        self.hard_state = hard_state;
        self.pending.push(Write::HardState(hard_state));
    }

    fn send(&mut self, to: NodeId, body: MessageBody) {
        if to == self.identity {
            return;
        }
        let message = Message {
            from: self.identity,
            to,
            cluster: self.hard_state.cluster,
            term: self.hard_state.term,
            body,
        };
        let rests_on_hard_state = self
            .pending
            .iter()
            .any(|write| matches!(write, Write::HardState(_)));
        let ticket = if rests_on_hard_state {
            self.ticket + 1
        } else {
            self.hard_state_ticket
        };
        if ticket > self.synced_ticket {
            self.held.push_back((ticket, message));
        } else {
            self.effects.push(Effect::Send(message));
        }
    }

    /// Turns what piled up into one write with one ticket.
    fn flush(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        self.ticket += 1;
        if self
            .pending
            .iter()
            .any(|write| matches!(write, Write::HardState(_)))
        {
            self.hard_state_ticket = self.ticket;
        }
        self.writing
            .push_back((self.ticket, self.last_index(), self.now));
        let writes = std::mem::take(&mut self.pending);
        // After a failure what is written next would leave a gap before it. The
        // ticket is never synced, so nothing is sent that rests on it.
        if !self.is_broken {
            self.effects.push(Effect::Write(self.ticket, writes));
        }
    }

    /// The one way in. `now` never falls.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Received(message) => self.receive(message),
            Input::Synced(ticket) => self.on_synced(ticket),
            Input::DiskFailed => {
                self.is_broken = true;
                self.step_down();
            }
            Input::Bootstrap(member, cluster) => self.bootstrap(member, cluster),
            Input::Propose(token, bytes) => self.propose(token, EntryPayload::Command(bytes)),
            Input::AddLearner(token, member) => self.add_learner(token, member),
            Input::RemoveMember(token, identity) => self.remove_member(token, identity),
            Input::Leave(token, identity) => self.leave(token, identity),
            Input::ReadIndex(token) => self.read_index(token),
            Input::TransferLeadership => self.transfer_leadership(),
            Input::SnapshotTaken(index, state) => self.take_snapshot(index, state),
        }
        self.advance_commit();
        self.flush();
        std::mem::take(&mut self.effects)
    }

    fn propose(&mut self, token: Token, payload: EntryPayload) {
        if self.role != Role::Leader {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::NotLeader));
        }
        if (self.last_index() - self.commit) as usize >= self.timing.max_uncommitted
            || self.is_stalled()
        {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::Busy));
        }
        let entry = Entry {
            index: self.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        self.waiting.insert(entry.index, (entry.term, token));
        self.append(entry);
        // Entries go out with the next heartbeat, which is now: those proposed in
        // one turn of the edge's loop travel together.
        self.heartbeat_due = self.now;
    }
}
