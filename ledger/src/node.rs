//! One node of the agreement, as a state machine.
//!
//! A leader is elected by a majority of voters after a sounding that disturbs
//! nobody; entries count once a majority has them synced; a question whether
//! the leader still leads is answered after a round with a majority that began
//! after the question.

use crate::{
    Body, Entry, Identity, Index, Matter, Member, Members, Message, Picture, Pledge, Term,
};
use std::collections::{BTreeMap, VecDeque};

/// All times in milliseconds of the caller's monotonic clock. Invariant: a
/// beat is well shorter than an election, an election well shorter than the
/// routers' licence.
#[derive(Clone, Copy)]
pub struct Pace {
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

impl Default for Pace {
    fn default() -> Self {
        Pace { beat: 80, election: 400, stall: 600, voters: 5, backlog: 512, batch: 256 }
    }
}

pub type Token = u64;

pub enum Input {
    /// Time went by.
    Beat,
    Heard(Message),
    /// The write with this ticket, and all before it, are on disk.
    Synced(u64),
    /// The disk failed; nothing more will be synced.
    DiskFailed,
    Found(Member, u64),
    Propose(Token, Vec<u8>),
    Admit(Token, Member),
    Retire(Token, Identity),
    Confirm(Token),
    /// Hand leadership over, if led from here.
    HandOver,
    /// The state machine's picture as of an applied index.
    Pictured(Index, Vec<u8>),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    NotLeader,
    Busy,
    /// A change of membership is under way, or this one makes no sense.
    Unfit(String),
    /// Leadership was lost with the matter open; it may or may not hold.
    Lost,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    Pledge(Pledge),
    /// Entries from here on are void.
    Cut(Index),
    Entry(Entry),
    /// A whole new beginning: what was before it is void.
    Install(Picture),
    /// A picture of what is in the log already.
    Picture(Picture),
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// To be written and synced in order, then reported by this ticket.
    Write(u64, Vec<Write>),
    Send(Message),
    /// Entries that count, in order, with the token of a local proposal.
    Apply(Entry, Option<Token>),
    /// The state machine is replaced by this.
    Restore(Picture),
    /// The leader led throughout since the question; state up to this index
    /// must be applied before the question is answered.
    Confirmed(Token, Index),
    Refused(Token, Refusal),
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Role {
    Follower,
    Sounding,
    Candidate,
    Leader,
}

/// How far another node is. Invariant: `matched` is only what that node said
/// is synced, and only rises within a term.
struct Peer {
    next: Index,
    matched: Index,
    round: u64,
    heard: u64,
    /// When a whole picture was last sent; none is sent again for a while.
    pictured: Option<u64>,
}

/// Invariants: `base < entry.index` for all in `log`, which has no gap;
/// `applied <= commit <= last`; `synced <= last`; a message is let out only
/// when the pledge it rests on is synced; `term` never falls.
pub struct Node {
    identity: Identity,
    pace: Pace,
    seed: u64,
    now: u64,
    role: Role,
    pledge: Pledge,
    leader: Option<Identity>,
    picture: Picture,
    log: VecDeque<Entry>,
    members: Members,
    /// Memberships by the index they came in with, newest last.
    memberships: Vec<(Index, Members)>,
    commit: Index,
    applied: Index,
    synced: Index,
    ticket: u64,
    synced_ticket: u64,
    /// Unsynced writes: ticket, last index then, when.
    writing: VecDeque<(u64, Index, u64)>,
    pledge_ticket: u64,
    held: VecDeque<(u64, Message)>,
    is_broken: bool,
    heard_leader: Option<u64>,
    expires: u64,
    granted: Vec<Identity>,
    peers: BTreeMap<Identity, Peer>,
    round: u64,
    beat_due: u64,
    confirms: VecDeque<(u64, Index, Token)>,
    waiting: BTreeMap<Index, (Term, Token)>,
    pending: Vec<Write>,
    effects: Vec<Effect>,
}

/// What a disk gave back at the start.
#[derive(Default, Clone)]
pub struct Kept {
    pub pledge: Pledge,
    pub picture: Option<Picture>,
    pub entries: Vec<Entry>,
}

impl Node {
    pub fn new(identity: Identity, pace: Pace, seed: u64, now: u64, kept: Kept) -> Node {
        let picture = kept.picture.unwrap_or(Picture {
            index: 0,
            term: 0,
            cluster: kept.pledge.cluster,
            members: Members::default(),
            state: Vec::new(),
        });
        let mut node = Node {
            identity,
            pace,
            seed: seed | 1,
            now,
            role: Role::Follower,
            pledge: kept.pledge,
            leader: None,
            members: picture.members.clone(),
            memberships: vec![(picture.index, picture.members.clone())],
            commit: picture.index,
            applied: picture.index,
            synced: picture.index,
            picture,
            log: VecDeque::new(),
            ticket: 0,
            synced_ticket: 0,
            writing: VecDeque::new(),
            pledge_ticket: 0,
            held: VecDeque::new(),
            is_broken: false,
            heard_leader: None,
            expires: 0,
            granted: Vec::new(),
            peers: BTreeMap::new(),
            round: 0,
            beat_due: 0,
            confirms: VecDeque::new(),
            waiting: BTreeMap::new(),
            pending: Vec::new(),
            effects: Vec::new(),
        };
        for entry in kept.entries {
            node.keep(entry);
        }
        node.synced = node.last();
        node.rise();
        node
    }

    pub fn identity(&self) -> Identity {
        self.identity
    }
    pub fn role(&self) -> Role {
        self.role
    }
    pub fn leader(&self) -> Option<Identity> {
        self.leader
    }
    pub fn term(&self) -> Term {
        self.pledge.term
    }
    pub fn cluster(&self) -> u64 {
        self.pledge.cluster
    }
    pub fn members(&self) -> &Members {
        &self.members
    }
    pub fn picture(&self) -> &Picture {
        &self.picture
    }
    pub fn commit(&self) -> Index {
        self.commit
    }
    pub fn applied(&self) -> Index {
        self.applied
    }
    pub fn kept(&self) -> usize {
        self.log.len()
    }
    pub fn last(&self) -> Index {
        self.log.back().map_or(self.picture.index, |entry| entry.index)
    }
    /// Whether the oldest unsynced write has waited too long.
    pub fn is_stalled(&self) -> bool {
        self.is_broken
            || self.writing.front().is_some_and(|(_, _, since)| self.now - since > self.pace.stall)
    }
    /// What each other node is known, by the leader, to have synced.
    pub fn progress(&self) -> impl Iterator<Item = (Identity, Index)> + '_ {
        self.peers.iter().map(|(identity, peer)| (*identity, peer.matched))
    }

    /// When time alone next changes something here: a beat before then finds
    /// nothing to do.
    pub fn due(&self) -> u64 {
        let stall = self.pace.stall;
        let stalls = self.writing.front().map_or(u64::MAX, |(_, _, since)| since + stall + 1);
        if self.role != Role::Leader {
            return self.expires;
        }
        // The moment at which fewer than a majority were heard lately.
        let heard = |voter: &Member| match voter.identity == self.identity {
            true => u64::MAX,
            false => self.peers.get(&voter.identity).map_or(0, |peer| peer.heard),
        };
        let mut heard: Vec<u64> = self.members.voters.iter().map(heard).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let last = heard.get(self.members.majority() - 1).copied().unwrap_or(0);
        self.beat_due.min(stalls).min(last.saturating_add(self.pace.election))
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below.max(1)
    }

    /// The first wait after a start is a shorter one: a leader that is there beats
    /// well within it, and a sounding disturbs nobody.
    fn rise(&mut self) {
        self.expires = self.now + self.pace.election / 3 + self.random(self.pace.election / 2);
    }

    /// Begins a new wait for a leader.
    fn rest(&mut self) {
        self.expires = self.now + self.pace.election + self.random(self.pace.election);
    }

    fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.picture.index {
            return Some(self.picture.term);
        }
        let first = self.log.front()?.index;
        self.log.get(index.checked_sub(first)? as usize).map(|entry| entry.term)
    }

    fn last_term(&self) -> Term {
        self.log.back().map_or(self.picture.term, |entry| entry.term)
    }

    /// Takes an entry into memory; a membership is in force from here on.
    fn keep(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last() + 1, "the log has no gap");
        if let Matter::Members(members) = &entry.matter {
            self.members = members.clone();
            self.memberships.push((entry.index, members.clone()));
        }
        self.log.push_back(entry);
    }

    fn append(&mut self, entry: Entry) {
        self.pending.push(Write::Entry(entry.clone()));
        self.keep(entry);
    }

    fn cut(&mut self, from: Index) {
        assert!(from > self.commit, "what counts is never cut");
        while self.log.back().is_some_and(|entry| entry.index >= from) {
            self.log.pop_back();
        }
        while self.memberships.last().is_some_and(|(index, _)| *index >= from) {
            self.memberships.pop();
        }
        if let Some((_, members)) = self.memberships.last() {
            self.members = members.clone();
        }
        self.synced = self.synced.min(from - 1);
        for (_, last, _) in &mut self.writing {
            *last = (*last).min(from - 1);
        }
        self.pending.push(Write::Cut(from));
    }

    fn promise(&mut self, pledge: Pledge) {
        assert!(pledge.term >= self.pledge.term, "a term never falls");
        self.pledge = pledge;
        self.pending.push(Write::Pledge(pledge));
    }

    fn send(&mut self, to: Identity, body: Body) {
        if to == self.identity {
            return;
        }
        let message = Message {
            from: self.identity,
            to,
            cluster: self.pledge.cluster,
            term: self.pledge.term,
            body,
        };
        let rests_on_pledge = self.pending.iter().any(|write| matches!(write, Write::Pledge(_)));
        let ticket = if rests_on_pledge { self.ticket + 1 } else { self.pledge_ticket };
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
        if self.pending.iter().any(|write| matches!(write, Write::Pledge(_))) {
            self.pledge_ticket = self.ticket;
        }
        self.writing.push_back((self.ticket, self.last(), self.now));
        let writes = std::mem::take(&mut self.pending);
        self.effects.push(Effect::Write(self.ticket, writes));
    }

    /// The one way in. `now` never falls.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        match input {
            Input::Beat => self.beat(),
            Input::Heard(message) => self.hear(message),
            Input::Synced(ticket) => self.on_synced(ticket),
            Input::DiskFailed => {
                self.is_broken = true;
                self.step_down();
            }
            Input::Found(member, cluster) => self.found(member, cluster),
            Input::Propose(token, bytes) => self.propose(token, Matter::Command(bytes)),
            Input::Admit(token, member) => self.admit(token, member),
            Input::Retire(token, identity) => self.retire(token, identity),
            Input::Confirm(token) => self.confirm(token),
            Input::HandOver => self.hand_over(),
            Input::Pictured(index, state) => self.pictured(index, state),
        }
        self.count();
        self.flush();
        std::mem::take(&mut self.effects)
    }

    fn beat(&mut self) {
        if self.role == Role::Leader {
            let in_touch = |peer: &Peer| self.now - peer.heard < self.pace.election;
            let live = self.members.voters.iter().filter(|voter| {
                voter.identity == self.identity
                    || self.peers.get(&voter.identity).is_some_and(in_touch)
            });
            if live.count() < self.members.majority() || self.is_stalled() {
                return self.step_down();
            }
            self.promote();
            if self.now >= self.beat_due {
                self.broadcast();
            }
        } else if self.now >= self.expires {
            // A sounding whose messages were lost is made again before long: it
            // disturbs nobody.
            self.expires = self.now + self.pace.election / 2 + self.random(self.pace.election / 2);
            self.leader = None;
            if self.members.is_voter(self.identity) && !self.is_stalled() {
                self.role = Role::Sounding;
                self.granted = vec![self.identity];
                let body = Body::Sound { last_index: self.last(), last_term: self.last_term() };
                self.ask_voters(body);
                self.tally();
            }
        }
    }

    fn ask_voters(&mut self, body: Body) {
        let voters: Vec<Identity> = self.members.voters.iter().map(|v| v.identity).collect();
        for voter in voters {
            self.send(voter, body.clone());
        }
    }

    fn stand(&mut self, handed: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.granted = vec![self.identity];
        self.rest();
        let pledge = Pledge { term: self.pledge.term + 1, vote: self.identity, ..self.pledge };
        self.promise(pledge);
        let body = Body::Vote { last_index: self.last(), last_term: self.last_term(), handed };
        self.ask_voters(body);
        self.tally();
    }

    fn tally(&mut self) {
        let votes =
            self.members.voters.iter().filter(|v| self.granted.contains(&v.identity)).count();
        if votes < self.members.majority() {
            return;
        }
        match self.role {
            Role::Sounding => self.stand(false),
            // Its own vote counts only when synced; a majority of others may
            // have been quicker, but leading rests on the pledge all the same.
            Role::Candidate
                if self.pledge_ticket <= self.synced_ticket && !self.has_unsynced_pledge() =>
            {
                self.lead()
            }
            _ => {}
        }
    }

    fn has_unsynced_pledge(&self) -> bool {
        self.pending.iter().any(|write| matches!(write, Write::Pledge(_)))
    }

    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.identity);
        self.peers.clear();
        self.confirms.clear();
        let entry = Entry { index: self.last() + 1, term: self.pledge.term, matter: Matter::Blank };
        self.append(entry);
        self.broadcast();
    }

    fn step_down(&mut self) {
        if self.role == Role::Leader {
            for (_, _, token) in std::mem::take(&mut self.confirms) {
                self.effects.push(Effect::Refused(token, Refusal::NotLeader));
            }
            for (_, (_, token)) in std::mem::take(&mut self.waiting) {
                self.effects.push(Effect::Refused(token, Refusal::Lost));
            }
        }
        self.role = Role::Follower;
        self.leader = None;
        self.heard_leader = None;
        self.rest();
    }

    /// Brings every other member up, by entries, a picture or an empty beat.
    fn broadcast(&mut self) {
        self.round += 1;
        self.beat_due = self.now + self.pace.beat;
        let others: Vec<Identity> =
            self.members.all().map(|m| m.identity).filter(|id| *id != self.identity).collect();
        self.peers.retain(|identity, _| others.contains(identity));
        for other in others {
            self.feed(other);
        }
    }

    fn feed(&mut self, to: Identity) {
        let (last, now, round) = (self.last(), self.now, self.round);
        let peer = self.peers.entry(to).or_insert(Peer {
            next: last + 1,
            matched: 0,
            round: 0,
            heard: now,
            pictured: None,
        });
        let prior_index = peer.next - 1;
        let Some(prior_term) = self.term_at(prior_index) else {
            let peer = self.peers.get_mut(&to).expect("entered above");
            if peer.pictured.is_none_or(|at| now - at > 2_000) {
                peer.pictured = Some(now);
                let picture = self.picture.clone();
                self.send(to, Body::Install { round, picture });
            } else {
                // The picture is on its way; the beat keeps the peer from
                // standing for election meanwhile.
                let (prior_index, prior_term) = (last, self.last_term());
                let entries = Vec::new();
                let commit = 0;
                self.send(to, Body::Append { prior_index, prior_term, commit, round, entries });
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
                let fits = size < 2 << 20;
                if let Matter::Command(bytes) = &entry.matter {
                    size += bytes.len();
                }
                fits
            })
            .cloned()
            .collect();
        if let Some(entry) = entries.last() {
            self.peers.get_mut(&to).expect("entered above").next = entry.index + 1;
        }
        let commit = self.commit;
        self.send(to, Body::Append { prior_index, prior_term, commit, round, entries });
    }

    fn hear(&mut self, message: Message) {
        let Message { from, to, cluster, term, body } = message;
        // A blank node follows whichever cluster admitted it, and no other.
        let is_leading = matches!(body, Body::Append { .. } | Body::Install { .. });
        let is_joining = self.pledge.cluster == 0 && is_leading && cluster != 0;
        if to != self.identity || (cluster != self.pledge.cluster && !is_joining) {
            return;
        }
        let is_steady = self.heard_leader.is_some_and(|at| self.now - at < self.pace.election)
            || self.role == Role::Leader;
        match body {
            Body::Sound { last_index, last_term } => {
                let granted = term >= self.pledge.term
                    && !is_steady
                    && (last_term, last_index) >= (self.last_term(), self.last());
                return self.send(from, Body::SoundAnswer { granted });
            }
            Body::Vote { handed: false, .. } if is_steady => return,
            _ => {}
        }
        if term > self.pledge.term || is_joining {
            // A sounding's refusal from a later term teaches the term, too.
            let was_sounding = matches!(body, Body::SoundAnswer { granted: true });
            if !was_sounding {
                if self.role != Role::Follower {
                    self.step_down();
                }
                self.leader = None;
                let term = term.max(self.pledge.term);
                self.promise(Pledge { term, vote: 0, cluster });
            }
        }
        if term < self.pledge.term {
            // Who sounds may be ahead of those it asks, by a vote that was lost: a
            // grant counts all the same.
            if matches!(body, Body::SoundAnswer { granted: true }) && self.role == Role::Sounding {
                return self.grant(from);
            }
            // The stale sender learns of the newer term from any answer.
            if is_leading {
                let body = Body::AppendAnswer { fits: false, matched: self.last(), round: 0 };
                self.send(from, body);
            }
            return;
        }
        match body {
            Body::Sound { .. } => {}
            Body::SoundAnswer { granted } => {
                if granted && self.role == Role::Sounding {
                    self.grant(from);
                }
            }
            Body::Vote { last_index, last_term, .. } => {
                let is_free = self.pledge.vote == 0 || self.pledge.vote == from;
                let is_behind = (last_term, last_index) < (self.last_term(), self.last());
                let granted = is_free && !is_behind && !self.is_stalled();
                if granted {
                    if self.pledge.vote == 0 {
                        let pledge = Pledge { vote: from, ..self.pledge };
                        self.promise(pledge);
                    }
                    self.rest();
                }
                self.send(from, Body::VoteAnswer { granted });
            }
            Body::VoteAnswer { granted } => {
                if granted && self.role == Role::Candidate {
                    self.grant(from);
                }
            }
            Body::Append { prior_index, prior_term, commit, round, entries } => {
                self.follow(from);
                self.take(from, prior_index, prior_term, commit, round, entries);
            }
            Body::Install { round, picture } => {
                self.follow(from);
                self.install(from, round, picture);
            }
            Body::AppendAnswer { fits, matched, round } => {
                if self.role == Role::Leader {
                    self.on_answer(from, fits, matched, round);
                }
            }
            Body::Stand => {
                if self.members.is_voter(self.identity) && !self.is_stalled() {
                    self.stand(true);
                }
            }
        }
    }

    fn grant(&mut self, from: Identity) {
        if !self.granted.contains(&from) {
            self.granted.push(from);
        }
        self.tally();
    }

    fn follow(&mut self, leader: Identity) {
        assert!(self.role != Role::Leader, "a term has one leader");
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.heard_leader = Some(self.now);
        self.rest();
    }

    fn take(
        &mut self,
        from: Identity,
        prior_index: Index,
        prior_term: Term,
        commit: Index,
        round: u64,
        entries: Vec<Entry>,
    ) {
        let is_whole = entries.iter().zip(prior_index + 1..).all(|(e, index)| e.index == index);
        if !is_whole {
            return;
        }
        // What the picture covers is known to count; skip over it.
        let floor = self.picture.index;
        let is_known = prior_index < floor || self.term_at(prior_index) == Some(prior_term);
        if !is_known {
            let matched = self.last().min(prior_index.saturating_sub(1)).max(self.commit);
            return self.send(from, Body::AppendAnswer { fits: false, matched, round });
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
        self.send(from, Body::AppendAnswer { fits: true, matched, round });
    }

    fn install(&mut self, from: Identity, round: u64, picture: Picture) {
        if picture.index <= self.commit {
            // It says nothing new.
        } else if self.term_at(picture.index) == Some(picture.term) {
            // The log leads to the picture, and what comes after it may have been
            // answered for: it stays.
            self.commit = picture.index;
        } else {
            self.log.clear();
            self.members = picture.members.clone();
            self.memberships = vec![(picture.index, picture.members.clone())];
            self.commit = picture.index;
            self.applied = picture.index;
            self.synced = self.picture.index;
            for (_, last, _) in &mut self.writing {
                *last = (*last).min(self.synced);
            }
            self.picture = picture.clone();
            self.pending.push(Write::Install(picture.clone()));
            self.effects.push(Effect::Restore(picture));
        }
        let matched = self.synced.min(self.commit);
        self.send(from, Body::AppendAnswer { fits: true, matched, round });
    }

    fn on_answer(&mut self, from: Identity, fits: bool, matched: Index, round: u64) {
        let last = self.last();
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = now;
        peer.round = peer.round.max(round);
        if fits {
            peer.matched = peer.matched.max(matched.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            if peer.matched > 0 {
                peer.pictured = None;
            }
        } else {
            peer.next = (matched + 1).min(last + 1).max(peer.matched + 1);
        }
        let (next, pictured) = (self.peers[&from].next, self.peers[&from].pictured);
        // While a picture is on its way nothing is pushed out of turn.
        let has_matter = self.term_at(next - 1).is_some() || pictured.is_none();
        if has_matter && (!fits || next <= last) {
            self.feed(from);
        }
        self.settle_confirms();
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
            if message.term == self.pledge.term {
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
                self.send(leader, Body::AppendAnswer { fits: true, matched: claim, round: 0 });
            }
            _ => {}
        }
    }

    /// Entries of the leader's own term can only have come from it; they and
    /// all before them are the same as its own. Otherwise only the commit is.
    fn claim(&self, synced: Index) -> Index {
        match self.term_at(synced) {
            Some(term) if term == self.pledge.term => synced,
            _ => synced.min(self.commit),
        }
    }

    /// Counts what a majority has synced, and applies what counts.
    fn count(&mut self) {
        if self.role == Role::Leader {
            let mut marks: Vec<Index> = self
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
            if mark > self.commit && self.term_at(mark) == Some(self.pledge.term) {
                self.commit = mark;
                self.beat_due = self.now;
                self.settle_confirms();
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
            // A node that comes back applies memberships again that were before it.
            let was_removed = matches!(&entry.matter, Matter::Members(_))
                && self.memberships.last().is_some_and(|(newest, _)| *newest == index)
                && self.members.get(self.identity).is_none();
            self.effects.push(Effect::Apply(entry, token));
            if was_removed && self.role == Role::Leader {
                self.broadcast();
                self.step_down();
            }
        }
    }

    fn found(&mut self, member: Member, cluster: u64) {
        assert!(self.pledge.cluster == 0, "a cluster is founded once, by a blank node");
        self.promise(Pledge { term: 1, vote: 0, cluster });
        let members = Members { voters: vec![member], ..Members::default() };
        self.append(Entry { index: 1, term: 1, matter: Matter::Members(members) });
        self.stand(true);
    }

    fn propose(&mut self, token: Token, matter: Matter) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if (self.last() - self.commit) as usize >= self.pace.backlog || self.is_stalled() {
            return self.effects.push(Effect::Refused(token, Refusal::Busy));
        }
        let entry = Entry { index: self.last() + 1, term: self.pledge.term, matter };
        self.waiting.insert(entry.index, (entry.term, token));
        self.append(entry);
        // Entries go out with the next beat, which is now: those proposed in
        // one turn of the edge's loop travel together.
        self.beat_due = self.now;
    }

    /// A membership may change only when the one before it counts and the
    /// leader has committed in its own term.
    pub fn is_settled(&self) -> bool {
        let newest = self.memberships.last().map_or(0, |(index, _)| *index);
        newest <= self.commit && self.term_at(self.commit) == Some(self.pledge.term)
    }

    fn change(&mut self, token: Option<Token>, members: Members) {
        match token {
            Some(token) => self.propose(token, Matter::Members(members)),
            None => {
                let matter = Matter::Members(members);
                let entry = Entry { index: self.last() + 1, term: self.pledge.term, matter };
                self.append(entry);
                self.beat_due = self.now;
            }
        }
    }

    fn admit(&mut self, token: Token, member: Member) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if let Some(known) = self.members.get(member.identity) {
            if *known == member {
                return self.effects.push(Effect::Confirmed(token, self.commit));
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
                    .is_some_and(|p| self.now - p.heard < 2 * self.pace.election);
            if is_alive {
                let text = format!("a node named {} is alive", member.name);
                return self.effects.push(Effect::Refused(token, Refusal::Unfit(text)));
            }
            return self.retire(token, old);
        }
        members.learners.push(member);
        self.change(Some(token), members);
    }

    fn retire(&mut self, token: Token, identity: Identity) {
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
        let admitted = self.memberships.last().map_or(0, |(index, _)| *index);
        let in_zone = |zone: &str| self.members.voters.iter().filter(|v| v.zone == zone).count();
        let ready = self.members.learners.iter().filter(|learner| {
            self.peers.get(&learner.identity).is_some_and(|peer| {
                peer.matched >= admitted.max(self.commit.saturating_sub(8))
                    && self.now - peer.heard < self.pace.election
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

    fn confirm(&mut self, token: Token) {
        if self.role != Role::Leader {
            return self.effects.push(Effect::Refused(token, Refusal::NotLeader));
        }
        if self.confirms.len() >= self.pace.backlog * 4 {
            return self.effects.push(Effect::Refused(token, Refusal::Busy));
        }
        self.confirms.push_back((self.round + 1, self.commit, token));
        self.beat_due = self.now;
        self.settle_confirms();
    }

    fn settle_confirms(&mut self) {
        // Before its first own entry counts, a leader does not know how far
        // its predecessors had come.
        if self.role != Role::Leader || self.term_at(self.commit) != Some(self.pledge.term) {
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
        while self.confirms.front().is_some_and(|(round, _, _)| *round <= reached) {
            let (_, index, token) = self.confirms.pop_front().expect("looked at above");
            self.effects.push(Effect::Confirmed(token, index.max(self.commit)));
        }
    }

    fn hand_over(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let heir = self
            .members
            .voters
            .iter()
            .filter_map(|voter| Some((voter.identity, self.peers.get(&voter.identity)?)))
            .filter(|(_, peer)| now - peer.heard < self.pace.election)
            .max_by_key(|(_, peer)| peer.matched)
            .map(|(identity, _)| identity);
        if let Some(heir) = heir {
            self.send(heir, Body::Stand);
        }
    }

    fn pictured(&mut self, index: Index, state: Vec<u8>) {
        if index <= self.picture.index || index > self.applied {
            return;
        }
        let term = self.term_at(index).expect("what is applied and past the picture is in the log");
        let members = self
            .memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, members)| members.clone())
            .expect("a membership stands at the picture or before it");
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, (index, members.clone()));
        while self.log.front().is_some_and(|entry| entry.index <= index) {
            self.log.pop_front();
        }
        self.picture = Picture { index, term, cluster: self.pledge.cluster, members, state };
        self.pending.push(Write::Picture(self.picture.clone()));
    }
}
