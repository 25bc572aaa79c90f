//! One node of the agreement, as a state machine.
//!
//! A leader is elected by a majority of voters after a sounding that disturbs
//! nobody; entries count once a majority has them synced; a question whether
//! the leader still leads is answered after a round with a majority that began
//! after the question.

use crate::{
    Body, Entry, EntryPayload, HardState, LogIndex, Member, Membership, Message, NodeId, Snapshot,
    Term,
};
use std::collections::{BTreeMap, VecDeque};

/// All times in milliseconds of the caller's monotonic clock. Invariant: a
/// beat is well shorter than an election, an election well shorter than the
/// routers' licence.
#[derive(Clone, Copy, Hash)]
pub struct Timing {
    pub beat: u64,
    /// A follower waits this long, and up to twice as long, for its leader.
    pub election: u64,
    /// A write not synced for this long makes a leader step down.
    pub stall: u64,
    /// How many voters the leader strives for.
    pub voters: usize,
    /// Most entries proposed and not yet committed.
    pub backlog: usize,
    /// Most entries in one message.
    pub batch: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { beat: 80, election: 400, stall: 600, voters: 5, backlog: 512, batch: 256 }
    }
}

pub type Token = u64;

pub enum Input {
    /// Time went by.
    Tick,
    Received(Message),
    /// The write with this ticket, and all before it, are on disk.
    Synced(u64),
    /// The disk failed; nothing more will be synced.
    DiskFailed,
    Bootstrap(Member, u64),
    Propose(Token, Vec<u8>),
    AddLearner(Token, Member),
    RemoveMember(Token, NodeId),
    ReadIndex(Token),
    /// Hand leadership over, if led from here.
    TransferLeadership,
    /// The state machine's snapshot as of an applied index.
    SnapshotTaken(LogIndex, Vec<u8>),
}

#[derive(Debug, Clone, PartialEq, Hash)]
pub enum Refusal {
    NotLeader,
    Busy,
    /// A change of membership is under way, or this one makes no sense.
    Unfit(String),
    /// Leadership was lost with the payload open; it may or may not hold.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Hash)]
pub enum Write {
    HardState(HardState),
    /// Entries from here on are void.
    Truncate(LogIndex),
    Entry(Entry),
    /// A whole new beginning: what was before it is void.
    InstallSnapshot(Snapshot),
    /// A snapshot of what is in the log already.
    Snapshot(Snapshot),
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Effect {
    /// To be written and synced in order, then reported by this ticket.
    Write(u64, Vec<Write>),
    Send(Message),
    /// Entries that count, in order, with the token of a local proposal.
    Apply(Entry, Option<Token>),
    /// The state machine is replaced by this.
    Restore(Snapshot),
    /// The leader led throughout since the question; state up to this index
    /// must be applied before the question is answered.
    ReadReady(Token, LogIndex),
    Refused(Token, Refusal),
}

#[derive(Clone, Copy, PartialEq, Debug, Hash)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// How far another node is. Invariant: `matched` is only what that node said
/// is synced, and only rises within a term.
#[derive(Clone, Hash)]
struct Peer {
    next: LogIndex,
    matched: LogIndex,
    round: u64,
    last_heard: u64,
    /// When a whole snapshot was last sent; none is sent again for a while.
    snapshot_sent: Option<u64>,
}

/// Invariants: `base < entry.index` for all in `log`, which has no gap;
/// `applied <= commit <= last`; `synced <= last`; a message is let out only
/// when the hard_state it rests on is synced; `term` never falls.
#[derive(Clone, Hash)]
pub struct Node {
    identity: NodeId,
    pace: Timing,
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

/// What a disk gave back at the start.
#[derive(Default, Clone, Hash)]
pub struct PersistedState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Node {
    pub fn new(identity: NodeId, pace: Timing, seed: u64, now: u64, kept: PersistedState) -> Node {
        let snapshot = kept.snapshot.unwrap_or(Snapshot {
            index: 0,
            term: 0,
            cluster: kept.hard_state.cluster,
            members: Membership::default(),
            state: Vec::new(),
        });
        let mut node = Node {
            identity,
            pace,
            seed: seed | 1,
            now,
            role: Role::Follower,
            hard_state: kept.hard_state,
            leader: None,
            members: snapshot.members.clone(),
            membership_history: vec![(snapshot.index, snapshot.members.clone())],
            commit: snapshot.index,
            applied: snapshot.index,
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
        node.synced = node.last();
        node.reset_first_election_timer();
        node
    }

    pub fn identity(&self) -> NodeId {
        self.identity
    }
    pub fn role(&self) -> Role {
        self.role
    }
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }
    pub fn term(&self) -> Term {
        self.hard_state.term
    }
    pub fn cluster(&self) -> u64 {
        self.hard_state.cluster
    }
    pub fn members(&self) -> &Membership {
        &self.members
    }
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }
    pub fn commit(&self) -> LogIndex {
        self.commit
    }
    pub fn applied(&self) -> LogIndex {
        self.applied
    }
    pub fn kept(&self) -> usize {
        self.log.len()
    }
    pub fn last(&self) -> LogIndex {
        self.log.back().map_or(self.snapshot.index, |entry| entry.index)
    }
    /// Whether the oldest unsynced write has waited too long.
    pub fn is_stalled(&self) -> bool {
        self.is_broken
            || self.writing.front().is_some_and(|(_, _, since)| self.now - since > self.pace.stall)
    }
    /// What each other node is known, by the leader, to have synced.
    pub fn progress(&self) -> impl Iterator<Item = (NodeId, LogIndex)> + '_ {
        self.peers.iter().map(|(identity, peer)| (*identity, peer.matched))
    }

    /// When time alone next changes something here: a beat before then finds
    /// nothing to do.
    pub fn due(&self) -> u64 {
        let stall = self.pace.stall;
        let stalls = self.writing.front().map_or(u64::MAX, |(_, _, since)| since + stall + 1);
        if self.role != Role::Leader {
            return self.election_due;
        }
        // The moment at which fewer than a majority were last_heard lately.
        let last_heard = |voter: &Member| match voter.identity == self.identity {
            true => u64::MAX,
            false => self.peers.get(&voter.identity).map_or(0, |peer| peer.last_heard),
        };
        let mut last_heard: Vec<u64> = self.members.voters.iter().map(last_heard).collect();
        last_heard.sort_unstable_by(|a, b| b.cmp(a));
        let last = last_heard.get(self.members.majority() - 1).copied().unwrap_or(0);
        self.heartbeat_due.min(stalls).min(last.saturating_add(self.pace.election))
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

    /// The first wait after a start is a shorter one: a leader that is there beats
    /// well within it, and a sounding disturbs nobody.
    fn reset_first_election_timer(&mut self) {
        self.election_due = self.now + self.pace.election / 3 + self.random(self.pace.election / 2);
    }

    /// Begins a new wait for a leader.
    fn reset_election_timer(&mut self) {
        self.election_due = self.now + self.pace.election + self.random(self.pace.election);
    }

    fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let first = self.log.front()?.index;
        self.log.get(index.checked_sub(first)? as usize).map(|entry| entry.term)
    }

    fn last_term(&self) -> Term {
        self.log.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Takes an entry into memory; a membership is in force from here on.
    fn append_in_memory(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last() + 1, "the log has no gap");
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
        while self.membership_history.last().is_some_and(|(index, _)| *index >= from) {
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
        assert!(hard_state.term >= self.hard_state.term, "a term never falls");
        self.hard_state = hard_state;
        self.pending.push(Write::HardState(hard_state));
    }

    fn send(&mut self, to: NodeId, body: Body) {
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
        let rests_on_pledge = self.pending.iter().any(|write| matches!(write, Write::HardState(_)));
        let ticket = if rests_on_pledge { self.ticket + 1 } else { self.hard_state_ticket };
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
        if self.pending.iter().any(|write| matches!(write, Write::HardState(_))) {
            self.hard_state_ticket = self.ticket;
        }
        self.writing.push_back((self.ticket, self.last(), self.now));
        let writes = std::mem::take(&mut self.pending);
        self.effects.push(Effect::Write(self.ticket, writes));
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
            Input::ReadIndex(token) => self.read_index(token),
            Input::TransferLeadership => self.transfer_leadership(),
            Input::SnapshotTaken(index, state) => self.snapshot_sent(index, state),
        }
        self.advance_commit();
        self.flush();
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self) {
        if self.role == Role::Leader {
            let in_touch = |peer: &Peer| self.now - peer.last_heard < self.pace.election;
            let live = self.members.voters.iter().filter(|voter| {
                voter.identity == self.identity
                    || self.peers.get(&voter.identity).is_some_and(in_touch)
            });
            if live.count() < self.members.majority() || self.is_stalled() {
                return self.step_down();
            }
            self.promote();
            if self.now >= self.heartbeat_due {
                self.broadcast();
            }
        } else if self.now >= self.election_due {
            // A sounding whose messages were lost is made again before long: it
            // disturbs nobody.
            self.election_due =
                self.now + self.pace.election / 2 + self.random(self.pace.election / 2);
            self.leader = None;
            if self.members.is_voter(self.identity) && !self.is_stalled() {
                self.role = Role::PreCandidate;
                self.votes = vec![self.identity];
                let body = Body::PreVote { last_index: self.last(), last_term: self.last_term() };
                self.send_to_voters(body);
                self.tally();
            }
        }
    }

    fn send_to_voters(&mut self, body: Body) {
        let voters: Vec<NodeId> = self.members.voters.iter().map(|v| v.identity).collect();
        for voter in voters {
            self.send(voter, body.clone());
        }
    }

    fn campaign(&mut self, is_transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes = vec![self.identity];
        self.reset_election_timer();
        let hard_state =
            HardState { term: self.hard_state.term + 1, vote: self.identity, ..self.hard_state };
        self.persist_hard_state(hard_state);
        let body = Body::Vote { last_index: self.last(), last_term: self.last_term(), is_transfer };
        self.send_to_voters(body);
        self.tally();
    }

    fn tally(&mut self) {
        let votes = self.members.voters.iter().filter(|v| self.votes.contains(&v.identity)).count();
        if votes < self.members.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false),
            // Its own vote counts only when synced; a majority of others may
            // have been quicker, but leading rests on the hard_state all the same.
            Role::Candidate
                if self.hard_state_ticket <= self.synced_ticket && !self.has_unsynced_pledge() =>
            {
                self.become_leader()
            }
            _ => {}
        }
    }

    fn has_unsynced_pledge(&self) -> bool {
        self.pending.iter().any(|write| matches!(write, Write::HardState(_)))
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.identity);
        self.peers.clear();
        self.reads.clear();
        let entry = Entry {
            index: self.last() + 1,
            term: self.hard_state.term,
            payload: EntryPayload::Blank,
        };
        self.append(entry);
        self.broadcast();
    }

    fn step_down(&mut self) {
        if self.role == Role::Leader {
            for (_, _, token) in std::mem::take(&mut self.reads) {
                self.effects.push(Effect::Refused(token, Refusal::NotLeader));
            }
            for (_, (_, token)) in std::mem::take(&mut self.waiting) {
                self.effects.push(Effect::Refused(token, Refusal::Lost));
            }
        }
        self.role = Role::Follower;
        self.leader = None;
        self.leader_heard_at = None;
        self.reset_election_timer();
    }

    /// Brings every other member up, by entries, a snapshot or an empty beat.
    fn broadcast(&mut self) {
        self.round += 1;
        self.heartbeat_due = self.now + self.pace.beat;
        let others: Vec<NodeId> =
            self.members.all().map(|m| m.identity).filter(|id| *id != self.identity).collect();
        self.peers.retain(|identity, _| others.contains(identity));
        for other in others {
            self.replicate_to(other);
        }
    }

    fn replicate_to(&mut self, to: NodeId) {
        let (last, now, round) = (self.last(), self.now, self.round);
        let peer = self.peers.entry(to).or_insert(Peer {
            next: last + 1,
            matched: 0,
            round: 0,
            last_heard: now,
            snapshot_sent: None,
        });
        let prior_index = peer.next - 1;
        let Some(prior_term) = self.term_at(prior_index) else {
            let peer = self.peers.get_mut(&to).expect("entered above");
            if peer.snapshot_sent.is_none_or(|at| now - at > 2_000) {
                peer.snapshot_sent = Some(now);
                let snapshot = self.snapshot.clone();
                self.send(to, Body::InstallSnapshot { round, snapshot });
            } else {
                // The snapshot is on its way; the beat keeps the peer from
                // standing for election meanwhile.
                let (prior_index, prior_term) = (last, self.last_term());
                let entries = Vec::new();
                let commit = 0;
                self.send(
                    to,
                    Body::AppendEntries { prior_index, prior_term, commit, round, entries },
                );
            }
            return;
        };
        let first = self.log.front().map_or(0, |entry| entry.index);
        let from = (prior_index + 1).saturating_sub(first) as usize;
        let mut size = 0;
        let entries: Vec<Entry> = self
            .log
            .iter()
            .skip(if self.log.is_empty() { 0 } else { from })
            .take(self.pace.batch)
            .take_while(|entry| {
                let is_match = size < 2 << 20;
                if let EntryPayload::Command(bytes) = &entry.payload {
                    size += bytes.len();
                }
                is_match
            })
            .cloned()
            .collect();
        if let Some(entry) = entries.last() {
            self.peers.get_mut(&to).expect("entered above").next = entry.index + 1;
        }
        let commit = self.commit;
        self.send(to, Body::AppendEntries { prior_index, prior_term, commit, round, entries });
    }

    fn receive(&mut self, message: Message) {
        let Message { from, to, cluster, term, body } = message;
        // A blank node follows whichever cluster admitted it, and no other.
        let is_leading = matches!(body, Body::AppendEntries { .. } | Body::InstallSnapshot { .. });
        let is_joining = self.hard_state.cluster == 0 && is_leading && cluster != 0;
        if to != self.identity || (cluster != self.hard_state.cluster && !is_joining) {
            return;
        }
        let is_steady = self.leader_heard_at.is_some_and(|at| self.now - at < self.pace.election)
            || self.role == Role::Leader;
        match body {
            Body::PreVote { last_index, last_term } => {
                let granted = term >= self.hard_state.term
                    && !is_steady
                    && (last_term, last_index) >= (self.last_term(), self.last());
                return self.send(from, Body::PreVoteResponse { granted });
            }
            Body::Vote { is_transfer: false, .. } if is_steady => return,
            _ => {}
        }
        if term > self.hard_state.term || is_joining {
            // A sounding's refusal from a later term teaches the term, too.
            let was_sounding = matches!(body, Body::PreVoteResponse { granted: true });
            if !was_sounding {
                if self.role != Role::Follower {
                    self.step_down();
                }
                self.leader = None;
                let term = term.max(self.hard_state.term);
                self.persist_hard_state(HardState { term, vote: 0, cluster });
            }
        }
        if term < self.hard_state.term {
            // Who sounds may be ahead of those it asks, by a vote that was lost: a
            // grant counts all the same.
            if matches!(body, Body::PreVoteResponse { granted: true })
                && self.role == Role::PreCandidate
            {
                return self.grant(from);
            }
            // The stale sender learns of the newer term from any answer.
            if is_leading {
                let body =
                    Body::AppendEntriesResponse { is_match: false, matched: self.last(), round: 0 };
                self.send(from, body);
            }
            return;
        }
        match body {
            Body::PreVote { .. } => {}
            Body::PreVoteResponse { granted } => {
                if granted && self.role == Role::PreCandidate {
                    self.grant(from);
                }
            }
            Body::Vote { last_index, last_term, .. } => {
                let is_free = self.hard_state.vote == 0 || self.hard_state.vote == from;
                let is_behind = (last_term, last_index) < (self.last_term(), self.last());
                let granted = is_free && !is_behind && !self.is_stalled();
                if granted {
                    if self.hard_state.vote == 0 {
                        let hard_state = HardState { vote: from, ..self.hard_state };
                        self.persist_hard_state(hard_state);
                    }
                    self.reset_election_timer();
                }
                self.send(from, Body::VoteResponse { granted });
            }
            Body::VoteResponse { granted } => {
                if granted && self.role == Role::Candidate {
                    self.grant(from);
                }
            }
            Body::AppendEntries { prior_index, prior_term, commit, round, entries } => {
                self.follow(from);
                self.handle_append_entries(from, prior_index, prior_term, commit, round, entries);
            }
            Body::InstallSnapshot { round, snapshot } => {
                self.follow(from);
                self.install(from, round, snapshot);
            }
            Body::AppendEntriesResponse { is_match, matched, round } => {
                if self.role == Role::Leader {
                    self.on_answer(from, is_match, matched, round);
                }
            }
            Body::TimeoutNow => {
                if self.members.is_voter(self.identity) && !self.is_stalled() {
                    self.campaign(true);
                }
            }
        }
    }

    fn grant(&mut self, from: NodeId) {
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        self.tally();
    }

    fn follow(&mut self, leader: NodeId) {
        assert!(self.role != Role::Leader, "a term has one leader");
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = Some(self.now);
        self.reset_election_timer();
    }

    fn handle_append_entries(
        &mut self,
        from: NodeId,
        prior_index: LogIndex,
        prior_term: Term,
        commit: LogIndex,
        round: u64,
        entries: Vec<Entry>,
    ) {
        let is_whole = entries.iter().zip(prior_index + 1..).all(|(e, index)| e.index == index);
        if !is_whole {
            return;
        }
        // What the snapshot covers is known to count; skip over it.
        let floor = self.snapshot.index;
        let is_known = prior_index < floor || self.term_at(prior_index) == Some(prior_term);
        if !is_known {
            let matched = self.last().min(prior_index.saturating_sub(1)).max(self.commit);
            return self
                .send(from, Body::AppendEntriesResponse { is_match: false, matched, round });
        }
        let reach = entries.last().map_or(prior_index, |entry| entry.index);
        for entry in entries {
            if entry.index <= floor || self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.last() {
                self.cut(entry.index);
            }
            self.append(entry);
        }
        self.commit = self.commit.max(commit.min(reach));
        let matched = reach.max(floor).min(self.synced);
        self.send(from, Body::AppendEntriesResponse { is_match: true, matched, round });
    }

    fn install(&mut self, from: NodeId, round: u64, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            // It says nothing new.
        } else if self.term_at(snapshot.index) == Some(snapshot.term) {
            // The log leads to the snapshot, and what comes after it may have been
            // answered for: it stays.
            self.commit = snapshot.index;
        } else {
            self.log.clear();
            self.members = snapshot.members.clone();
            self.membership_history = vec![(snapshot.index, snapshot.members.clone())];
            self.commit = snapshot.index;
            self.applied = snapshot.index;
            self.synced = self.snapshot.index;
            for (_, last, _) in &mut self.writing {
                *last = (*last).min(self.synced);
            }
            self.snapshot = snapshot.clone();
            self.pending.push(Write::InstallSnapshot(snapshot.clone()));
            self.effects.push(Effect::Restore(snapshot));
        }
        let matched = self.synced.min(self.commit);
        self.send(from, Body::AppendEntriesResponse { is_match: true, matched, round });
    }

    fn on_answer(&mut self, from: NodeId, is_match: bool, matched: LogIndex, round: u64) {
        let last = self.last();
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.last_heard = now;
        peer.round = peer.round.max(round);
        if is_match {
            peer.matched = peer.matched.max(matched.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            if peer.matched > 0 {
                peer.snapshot_sent = None;
            }
        } else {
            peer.next = (matched + 1).min(last + 1).max(peer.matched + 1);
        }
        let (next, snapshot_sent) = (self.peers[&from].next, self.peers[&from].snapshot_sent);
        // While a snapshot is on its way nothing is pushed out of turn.
        let has_matter = self.term_at(next - 1).is_some() || snapshot_sent.is_none();
        if has_matter && (!is_match || next <= last) {
            self.replicate_to(from);
        }
        self.settle_reads();
    }

    fn on_synced(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket);
        let mut synced = self.synced;
        while self.writing.front().is_some_and(|(t, _, _)| *t <= ticket) {
            let (_, last, _) = self.writing.pop_front().expect("looked at above");
            synced = synced.max(last);
        }
        self.synced = synced;
        while self.held.front().is_some_and(|(t, _)| *t <= ticket) {
            let (_, message) = self.held.pop_front().expect("looked at above");
            if message.term == self.hard_state.term {
                self.effects.push(Effect::Send(message));
            }
        }
        match (self.role, self.leader) {
            (Role::Candidate, _) => self.tally(),
            (Role::Follower, Some(leader)) => {
                // Nothing past the commit is claimed without the leader's own
                // word for it, which `take` has checked up to the last append.
                let matched = self.synced;
                let claim = self.claim(matched);
                self.send(
                    leader,
                    Body::AppendEntriesResponse { is_match: true, matched: claim, round: 0 },
                );
            }
            _ => {}
        }
    }

    /// Entries of the leader's own term can only have come from it; they and
    /// all before them are the same as its own. Otherwise only the commit is.
    fn claim(&self, synced: LogIndex) -> LogIndex {
        match self.term_at(synced) {
            Some(term) if term == self.hard_state.term => synced,
            _ => synced.min(self.commit),
        }
    }

    /// Counts what a majority has synced, and applies what counts.
    fn advance_commit(&mut self) {
        if self.role == Role::Leader {
            let mut marks: Vec<LogIndex> = self
                .members
                .voters
                .iter()
                .map(|voter| match voter.identity == self.identity {
                    true => self.synced,
                    false => self.peers.get(&voter.identity).map_or(0, |peer| peer.matched),
                })
                .collect();
            marks.sort_unstable_by(|a, b| b.cmp(a));
            let mark = marks.get(self.members.majority() - 1).copied().unwrap_or(0);
            if mark > self.commit && self.term_at(mark) == Some(self.hard_state.term) {
                self.commit = mark;
                self.heartbeat_due = self.now;
                self.settle_reads();
            }
        }
        while self.applied < self.commit {
            let index = self.applied + 1;
            let first = self.log.front().expect("what counts is in the log").index;
            let entry = self.log[(index - first) as usize].clone();
            let token = match self.waiting.remove(&index) {
                Some((term, token)) if term == entry.term => Some(token),
                Some((_, token)) => {
                    self.effects.push(Effect::Refused(token, Refusal::Lost));
                    None
                }
                None => None,
            };
            self.applied = index;
            // A node that comes back applies membership_history again that were before it.
            let was_removed = matches!(&entry.payload, EntryPayload::Membership(_))
                && self.membership_history.last().is_some_and(|(newest, _)| *newest == index)
                && self.members.get(self.identity).is_none();
            self.effects.push(Effect::Apply(entry, token));
            if was_removed && self.role == Role::Leader {
                self.broadcast();
                self.step_down();
            }
        }
    }

    fn bootstrap(&mut self, member: Member, cluster: u64) {
        assert!(self.hard_state.cluster == 0, "a cluster is founded once, by a blank node");
        self.persist_hard_state(HardState { term: 1, vote: 0, cluster });
        let members = Membership { voters: vec![member], ..Membership::default() };
        self.append(Entry { index: 1, term: 1, payload: EntryPayload::Membership(members) });
        self.campaign(true);
    }

    fn propose(&mut self, token: Token, payload: EntryPayload) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if (self.last() - self.commit) as usize >= self.pace.backlog || self.is_stalled() {
            return self.effects.push(Effect::Refused(token, Refusal::Busy));
        }
        let entry = Entry { index: self.last() + 1, term: self.hard_state.term, payload };
        self.waiting.insert(entry.index, (entry.term, token));
        self.append(entry);
        // Entries go out with the next beat, which is now: those proposed in
        // one turn of the edge's loop travel together.
        self.heartbeat_due = self.now;
    }

    /// A membership may change only when the one before it counts and the
    /// leader has committed in its own term.
    pub fn is_settled(&self) -> bool {
        let newest = self.membership_history.last().map_or(0, |(index, _)| *index);
        newest <= self.commit && self.term_at(self.commit) == Some(self.hard_state.term)
    }

    fn change(&mut self, token: Option<Token>, members: Membership) {
        match token {
            Some(token) => self.propose(token, EntryPayload::Membership(members)),
            None => {
                let payload = EntryPayload::Membership(members);
                let entry = Entry { index: self.last() + 1, term: self.hard_state.term, payload };
                self.append(entry);
                self.heartbeat_due = self.now;
            }
        }
    }

    fn add_learner(&mut self, token: Token, member: Member) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if let Some(known) = self.members.get(member.identity) {
            if *known == member {
                return self.effects.push(Effect::ReadReady(token, self.commit));
            }
        }
        if !self.is_settled() {
            let text = "a change of membership is under way".into();
            return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
        }
        if self.members.retired.contains(&member.identity) {
            let text = "this identity was retired; the node may come as a blank one".into();
            return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
        }
        let mut members = self.members.clone();
        if let Some(known) = members
            .voters
            .iter_mut()
            .chain(&mut members.learners)
            .find(|known| known.identity == member.identity)
        {
            *known = member;
            return self.change(Some(token), members);
        }
        // A blank node under a known name lost its folder: the old identity
        // goes first, by itself, and the node asks again.
        let namesake = members.all().find(|known| known.name == member.name);
        if let Some(old) = namesake.map(|known| known.identity) {
            let is_alive = old == self.identity
                || self
                    .peers
                    .get(&old)
                    .is_some_and(|p| self.now - p.last_heard < 2 * self.pace.election);
            if is_alive {
                let text = format!("a node named {} is alive", member.name);
                return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
            }
            return self.remove_member(token, old);
        }
        members.learners.push(member);
        self.change(Some(token), members);
    }

    fn remove_member(&mut self, token: Token, identity: NodeId) {
        let refuse = |text: &str| Effect::Refused(token, Refusal::Unfit(text.into()));
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if !self.is_settled() {
            return self.effects.push(refuse("a change of membership is under way"));
        }
        if self.members.get(identity).is_none() {
            return self.effects.push(refuse("there is no such member"));
        }
        if identity == self.identity {
            return self.effects.push(refuse("the leader retires only after handing over"));
        }
        let mut members = self.members.clone();
        members.voters.retain(|member| member.identity != identity);
        members.learners.retain(|member| member.identity != identity);
        members.retired.push(identity);
        self.change(Some(token), members);
    }

    /// Makes a voter of a learner that has caught up, from the zone with the
    /// fewest voters first. It must have synced the very entry that let it in,
    /// and with it which cluster it belongs to: a voter that might still be
    /// blank could not vote.
    fn promote(&mut self) {
        if self.members.voters.len() >= self.pace.voters || !self.is_settled() {
            return;
        }
        let admitted = self.membership_history.last().map_or(0, |(index, _)| *index);
        let in_zone = |zone: &str| self.members.voters.iter().filter(|v| v.zone == zone).count();
        let ready = self.members.learners.iter().filter(|learner| {
            self.peers.get(&learner.identity).is_some_and(|peer| {
                peer.matched >= admitted.max(self.commit.saturating_sub(8))
                    && self.now - peer.last_heard < self.pace.election
            })
        });
        let Some(elect) = ready.min_by_key(|learner| in_zone(&learner.zone)).cloned() else {
            return;
        };
        let mut members = self.members.clone();
        members.learners.retain(|learner| learner.identity != elect.identity);
        members.voters.push(elect);
        self.change(None, members);
    }

    fn read_index(&mut self, token: Token) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if self.reads.len() >= self.pace.backlog * 4 {
            return self.effects.push(Effect::Refused(token, Refusal::Busy));
        }
        self.reads.push_back((self.round + 1, self.commit, token));
        self.heartbeat_due = self.now;
        self.settle_reads();
    }

    fn settle_reads(&mut self) {
        // Before its first own entry counts, a leader does not know how far
        // its predecessors had come.
        if self.role != Role::Leader || self.term_at(self.commit) != Some(self.hard_state.term) {
            return;
        }
        let mut rounds: Vec<u64> = self
            .members
            .voters
            .iter()
            .map(|voter| match voter.identity == self.identity {
                true => self.round + 1,
                false => self.peers.get(&voter.identity).map_or(0, |peer| peer.round),
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let reached = rounds.get(self.members.majority() - 1).copied().unwrap_or(0);
        while self.reads.front().is_some_and(|(round, _, _)| *round <= reached) {
            let (_, index, token) = self.reads.pop_front().expect("looked at above");
            self.effects.push(Effect::ReadReady(token, index.max(self.commit)));
        }
    }

    fn transfer_leadership(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let heir = self
            .members
            .voters
            .iter()
            .filter_map(|voter| Some((voter.identity, self.peers.get(&voter.identity)?)))
            .filter(|(_, peer)| now - peer.last_heard < self.pace.election)
            .max_by_key(|(_, peer)| peer.matched)
            .map(|(identity, _)| identity);
        if let Some(heir) = heir {
            self.send(heir, Body::TimeoutNow);
        }
    }

    fn snapshot_sent(&mut self, index: LogIndex, state: Vec<u8>) {
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let term =
            self.term_at(index).expect("what is applied and past the snapshot is in the log");
        let members = self
            .membership_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, members)| members.clone())
            .expect("a membership stands at the snapshot or before it");
        self.membership_history.retain(|(at, _)| *at > index);
        self.membership_history.insert(0, (index, members.clone()));
        while self.log.front().is_some_and(|entry| entry.index <= index) {
            self.log.pop_front();
        }
        self.snapshot = Snapshot { index, term, cluster: self.hard_state.cluster, members, state };
        self.pending.push(Write::Snapshot(self.snapshot.clone()));
    }
}
