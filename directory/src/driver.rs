//! The thread that owns the ledger node and applies what was agreed on, and
//! the thread that owns the disk. Everybody else talks to them through one
//! bounded ring.

use crate::forwarding::{is_valid, LeaderClock};
use crate::peers::PeerConnections;
use crate::subscriptions::SILENCE_MS;
use consensus::node::{
    Effect, Input, Node, PersistedState, Refusal as No, Role, SnapshotPolicy, Timing, Write,
};
use consensus::pack::{packed, unpacked};
use consensus::wal::{Folder, WriteAheadLog};
use consensus::{EntryPayload, Member, Membership, Message, NodeId, Term};
use parking_lot::RwLock;
use placement::{Margin, Paces, Pools};
use residency::{Event, Mapping, Outcome, State, Submission, View};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use wire::{Frame, FrontDemand, FrontShares, PeerRequest, PeerResponse, Validity, LEASE_MS};
use yard::counters::Counters;
use yard::now;
use yard::web::Refusal;

const RING: usize = 4096;
/// A snapshot is taken once so many bytes of changes lie past the last one. Invariant:
/// three times this, with two snapshots, is well within a small disk.
const LOG_BYTES: usize = 8 << 20;
const ASK_PATIENCE_MS: u64 = 1_500;
/// The ledger's thread looks around at least this often.
const LONGEST_WAIT_MS: u64 = 500;
/// Between two questions whether this node may stop.
const LEAVE_RETRY_MS: u64 = 80;
/// Without a leader for so long, a node that is to stop does not wait for its word.
const LEADERLESS_MS: u64 = 1_000;

/// What the ledger thread is asked.
pub enum DriverCommand {
    Heard(Message),
    Synced(u64),
    DiskFailed,
    /// The disk takes writes again: what it holds, and the way to it.
    DiskBack(PersistedState, SyncSender<(u64, Vec<Write>)>),
    Ask(Asked, oneshot::Sender<PeerResponse>),
    AskedBy(Forwarded),
    Replied {
        number: u64,
        clock_ms: u64,
        reply: PeerResponse,
    },
    Found(oneshot::Sender<Result<(), String>>),
    Attach(mpsc::Sender<Frame>),
    HandOver,
    /// How the members stand, as their leader knows it.
    Members(oneshot::Sender<MembershipReport>),
}

/// How the leader sees the members. Nothing but defaults where another node leads.
#[derive(Clone, Default)]
pub struct MembershipReport {
    /// Milliseconds since each other member was heard of.
    pub silent_ms: Vec<(NodeId, u64)>,
    /// A change of membership is proposed and not yet committed.
    pub is_changing: bool,
    /// What repair does next, or why it does nothing.
    pub repair: String,
}

/// A question from this process.
pub struct Asked {
    question: PeerRequest,
    /// Nothing is proposed for it past this time.
    until: u64,
    /// Where it is of use only while this node leads in this term.
    only_term: Option<Term>,
}

/// A question from another node, to be answered there.
pub struct Forwarded {
    pub from: NodeId,
    pub number: u64,
    pub validity: Validity,
    pub question: PeerRequest,
}

/// How this node stands, for all to see.
#[derive(Clone, Default)]
pub struct ClusterStatus {
    pub is_leader: bool,
    pub leader: Option<NodeId>,
    pub term: u64,
    pub cluster: u64,
    pub members: Membership,
    pub commit: u64,
    pub applied: u64,
    pub last: u64,
    pub is_stalled: bool,
    pub progress: Vec<(NodeId, u64)>,
}

pub struct ConsensusDriver {
    calls: SyncSender<DriverCommand>,
    pub state: Arc<RwLock<State>>,
    pub view: watch::Receiver<Arc<View>>,
    pub cluster_status: watch::Receiver<ClusterStatus>,
    /// When the question was asked that a majority confirmed last.
    confirmed: Arc<AtomicU64>,
    /// How many routers are known here.
    pub routers: Arc<AtomicUsize>,
    standstill: Arc<Standstill>,
}

/// Tells whether this process stood still lately (frozen, or without a processor), so
/// that what it reads may have waited in its sockets. Invariant: the thread that
/// watches comes by several times in each `SILENCE_MS`.
struct Standstill {
    watched_at: AtomicU64,
    ended_at: AtomicU64,
}

impl Standstill {
    fn new() -> Standstill {
        Standstill { watched_at: AtomicU64::new(now()), ended_at: AtomicU64::new(0) }
    }

    fn watch(&self) {
        let before = self.watched_at.swap(now(), Ordering::Relaxed);
        if now() > before + SILENCE_MS {
            self.ended_at.store(now(), Ordering::Relaxed);
        }
    }

    fn is_recent(&self) -> bool {
        let newest = self.ended_at.load(Ordering::Relaxed) + SILENCE_MS;
        // Whoever asks may run before the thread that watches.
        now() > self.watched_at.load(Ordering::Relaxed) + SILENCE_MS || now() < newest
    }
}

impl ConsensusDriver {
    pub fn send(&self, call: DriverCommand) -> bool {
        self.calls.try_send(call).is_ok()
    }

    pub async fn ask(&self, question: PeerRequest) -> PeerResponse {
        let until = now() + ASK_PATIENCE_MS;
        self.ask_asked(Asked { question, until, only_term: None }).await
    }

    async fn ask_asked(&self, asked: Asked) -> PeerResponse {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Ask(asked, sender)) {
            return PeerResponse::Busy;
        }
        receiver.await.unwrap_or(PeerResponse::Lost)
    }

    /// Founds a cluster with this node as its one voter.
    pub async fn found(&self) -> Result<(), String> {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Found(sender)) {
            return Err("the ledger's ring is full".into());
        }
        receiver.await.unwrap_or(Err("the ledger ended".into()))
    }

    /// Submits until the outcome is known or `until` has come; past that nothing is
    /// proposed for it any more. The submission's id makes the repeats harmless.
    pub async fn submit(&self, submission: Submission, until: u64) -> PeerResponse {
        self.submit_in(submission, until, None).await
    }

    /// The same, only while this node leads in that term.
    pub async fn submit_as_leader(
        &self,
        submission: Submission,
        term: Term,
        until: u64,
    ) -> PeerResponse {
        self.submit_in(submission, until, Some(term)).await
    }

    async fn submit_in(
        &self,
        submission: Submission,
        until: u64,
        only_term: Option<Term>,
    ) -> PeerResponse {
        let mut reply = PeerResponse::Lost;
        while now() < until {
            let question = PeerRequest::Submit(submission.clone());
            let until_reply = until.min(now() + ASK_PATIENCE_MS);
            let asked = Asked { question, until: until_reply, only_term };
            let left = Duration::from_millis(until.saturating_sub(now()));
            let answer = tokio::time::timeout(left, self.ask_asked(asked)).await;
            reply = answer.unwrap_or(PeerResponse::Lost);
            let is_deposed = only_term.is_some() && reply == PeerResponse::NotLeader;
            if is_deposed || matches!(reply, PeerResponse::Submitted(_)) {
                return reply;
            }
            tokio::time::sleep(yard::jitter(120)).await;
        }
        reply
    }

    /// Whether what this node holds is known to be recent.
    pub fn is_recent(&self) -> bool {
        now() < self.confirmed.load(Ordering::Relaxed) + LEASE_MS
    }

    /// Whether what is read from sockets may date from before a standstill.
    pub fn stood_still(&self) -> bool {
        self.standstill.is_recent()
    }

    /// Resolves a key from a state that is known to be recent; `None` where it is
    /// not. The lease is looked at under the state's lock: when a node falls back to
    /// what its disk holds, the lease ends before the state is replaced.
    pub fn resolve(
        &self,
        tenant: &str,
        service: &str,
        region: &str,
    ) -> Option<Result<Mapping, (&'static str, String)>> {
        let state = self.state.read();
        self.is_recent().then(|| state.resolve(tenant, service, region))
    }

    /// Leave to dispatch a forwarded job, in the last moment.
    pub fn leave(&self, mapping: &Mapping) -> Result<(), Refusal> {
        let asker = mapping.regions.first().map_or("", |region| region.0.as_str());
        let Some(resolved) = self.resolve(&mapping.tenant, &mapping.service, asker) else {
            return Err(cut_off());
        };
        match resolved {
            Ok(now) if mapping.regions.iter().all(|region| now.regions.contains(region)) => Ok(()),
            _ => Err(Refusal::not_run(503, "mapping-void", "homes changed meanwhile")),
        }
    }

    /// How the members stand, by the leader's own account if it is here.
    pub async fn membership(&self) -> MembershipReport {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Members(sender)) {
            return MembershipReport::default();
        }
        receiver.await.unwrap_or_default()
    }

    /// Before this node stops: hands leadership over, and waits until the others hold
    /// all that counts and, where a learner stands ready, one has taken its place.
    pub async fn prepare_to_stop(&self, identity: NodeId, patience: Duration) {
        let is_alone = self.cluster_status.borrow().members.all().all(|m| m.identity == identity);
        if is_alone {
            return;
        }
        self.transfer_leadership().await;
        let until = tokio::time::Instant::now() + patience;
        let mut led_at = now();
        while tokio::time::Instant::now() < until && now() < led_at + LEADERLESS_MS {
            if matches!(
                self.ask(PeerRequest::Leave { identity }).await,
                PeerResponse::Confirmed { .. }
            ) {
                return;
            }
            if self.cluster_status.borrow().leader.is_some() {
                led_at = now();
            }
            tokio::time::sleep(yard::jitter(LEAVE_RETRY_MS)).await;
        }
        log::warn!("stops though the others may lack what counts: no leader says otherwise");
    }

    /// Hands leadership over, if it is here, and waits for a new leader.
    async fn transfer_leadership(&self) {
        if self.cluster_status.borrow().is_leader && self.send(DriverCommand::HandOver) {
            let mut cluster_status = self.cluster_status.clone();
            let gone = cluster_status.wait_for(|cluster_status| !cluster_status.is_leader);
            drop(tokio::time::timeout(Duration::from_millis(1_500), gone).await);
        }
    }
}

/// The refusal of a node that no majority has confirmed lately.
pub fn cut_off() -> Refusal {
    Refusal::not_run(503, "no-lease", "this directory node is cut off from a majority")
}

/// How the leader hands out tenants' quotas.
enum Grants {
    Paces(Paces),
    Pools(Pools),
}

impl Grants {
    fn new(margin: Option<Margin>) -> Grants {
        match margin {
            None => Grants::Paces(Paces::new(now())),
            Some(margin) => Grants::Pools(Pools::new(now(), margin)),
        }
    }
}

/// A question that was sent to the leader.
struct Sent {
    leader: NodeId,
    term: Term,
    asked_at: u64,
    until: u64,
    reply: oneshot::Sender<PeerResponse>,
}

/// Who waits for an answer.
enum Waiter {
    /// A task of this process; the question came in at `asked_at`.
    Here { sender: oneshot::Sender<PeerResponse>, asked_at: u64 },
    /// Another node, with its own number of the question.
    There(NodeId, u64),
}

/// Invariants: only this thread steps the node and changes the state; events
/// go to the sessions in the order of the ledger, before anything that rests
/// on them.
struct Thread {
    node: Node,
    timing: Timing,
    /// The driver's own: it is void when what is held here is put back.
    confirmed: Arc<AtomicU64>,
    me: Member,
    state: Arc<RwLock<State>>,
    view: watch::Sender<Arc<View>>,
    cluster_status: watch::Sender<ClusterStatus>,
    disk: SyncSender<(u64, Vec<Write>)>,
    peers: Arc<PeerConnections>,
    counters: Arc<Counters>,
    sessions: Vec<mpsc::Sender<Frame>>,
    next: u64,
    /// Matters handed to the node here, by token.
    tokens: HashMap<u64, Waiter>,
    /// Questions sent to the leader, by number.
    asked: HashMap<u64, Sent>,
    leader_clock: LeaderClock,
    /// Confirmed by the leader; answered once this index is applied here.
    confirms: Vec<(u64, Waiter, Vec<FrontShares>)>,
    /// Shares that go out with a confirmation under way, by its token.
    granted: HashMap<u64, Vec<FrontShares>>,
    grants: Grants,
    margin: Option<Margin>,
    /// Routers that are known to this node.
    routers: Arc<AtomicUsize>,
    standstill: Arc<Standstill>,
    picture_every: u64,
    /// Nothing is proposed for operators before so many voters count.
    is_confirmed_by: usize,
}

#[allow(clippy::too_many_arguments)]
pub fn start(
    me: Member,
    timing: Timing,
    picture_every: u64,
    is_confirmed_by: usize,
    margin: Option<Margin>,
    segments: WriteAheadLog<Folder>,
    kept: PersistedState,
    peers: Arc<PeerConnections>,
    counters: Arc<Counters>,
) -> anyhow::Result<Arc<ConsensusDriver>> {
    let node = Node::new(me.identity, timing, rand::random(), now(), kept);
    let state = State::restore(&node.snapshot().state)
        .map_err(|text| anyhow::anyhow!("the picture can't be read: {text}"))?;
    let (calls, ring) = sync_channel(RING);
    let (disk, writes) = sync_channel(RING);
    let (view, view_out) = watch::channel(Arc::new(state.view.clone()));
    let (cluster_status, cluster_status_out) = watch::channel(ClusterStatus::default());
    let state = Arc::new(RwLock::new(state));
    let confirmed = Arc::new(AtomicU64::new(0));
    let driver = Arc::new(ConsensusDriver {
        calls: calls.clone(),
        state: Arc::clone(&state),
        view: view_out,
        cluster_status: cluster_status_out,
        confirmed: Arc::clone(&confirmed),
        routers: Arc::default(),
        standstill: Arc::new(Standstill::new()),
    });
    std::thread::Builder::new()
        .name("disk".into())
        .spawn(move || keep(segments, writes, &calls))?;
    let mut thread = Thread {
        node,
        timing,
        confirmed,
        me,
        state,
        view,
        cluster_status,
        disk,
        peers,
        counters,
        sessions: Vec::new(),
        // Far from the numbers of any earlier process.
        next: rand::random::<u64>() >> 1,
        tokens: HashMap::new(),
        asked: HashMap::new(),
        leader_clock: LeaderClock::default(),
        confirms: Vec::new(),
        granted: HashMap::new(),
        grants: Grants::new(margin),
        margin,
        routers: Arc::clone(&driver.routers),
        standstill: Arc::clone(&driver.standstill),
        picture_every,
        is_confirmed_by,
    };
    thread.publish();
    std::thread::Builder::new().name("ledger".into()).spawn(move || thread.run(&ring))?;
    Ok(driver)
}

/// How often a disk that failed is tried again.
const RETRY: Duration = Duration::from_millis(1_000);

/// The disk's thread: what has piled up is written and synced as one. After a
/// failure what is on disk is not known; nothing is built on it until all that
/// was not synced before is cut off, and the rest read back.
fn keep(
    mut segments: WriteAheadLog<Folder>,
    mut writes: Receiver<(u64, Vec<Write>)>,
    calls: &SyncSender<DriverCommand>,
) {
    while let Ok((mut ticket, mut batch)) = writes.recv() {
        while let Ok((later, more)) = writes.try_recv() {
            ticket = later;
            batch.extend(more);
        }
        let call = match segments.write(&batch) {
            Ok(()) => DriverCommand::Synced(ticket),
            Err(error) => {
                log::error!("the disk failed, nothing more is written: {error}");
                if calls.send(DriverCommand::DiskFailed).is_err() {
                    return;
                }
                let (kept, disk);
                (segments, kept) = loop {
                    std::thread::sleep(RETRY);
                    // What the node has said since its disk failed is void.
                    while writes.try_recv().is_ok() {}
                    match segments.reopened() {
                        Ok(reopened) => break reopened,
                        Err(error) => log::debug!("the disk is not back yet: {error:#}"),
                    }
                };
                (disk, writes) = sync_channel(RING);
                DriverCommand::DiskBack(kept, disk)
            }
        };
        if calls.send(call).is_err() {
            return;
        }
    }
}

fn describe(members: &Membership) -> String {
    let names = |members: &[Member]| {
        let names: Vec<&str> = members.iter().map(|member| member.name.as_str()).collect();
        names.join(", ")
    };
    format!("voters: {}; learners: {}", names(&members.voters), names(&members.learners))
}

impl Thread {
    fn run(&mut self, ring: &Receiver<DriverCommand>) {
        loop {
            let next = ring.recv_timeout(self.wait());
            self.standstill.watch();
            match next {
                Ok(call) => {
                    self.handle(call);
                    // What waits in the ring travels together.
                    for _ in 0..256 {
                        match ring.try_recv() {
                            Ok(call) => self.handle(call),
                            Err(_) => break,
                        }
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.step(Input::Tick);
            self.expire();
            self.picture();
            self.publish();
        }
    }

    /// How long nothing happens here by itself.
    fn wait(&self) -> Duration {
        let asked = self.asked.values().map(|sent| sent.until).min();
        let due = self.node.due().min(asked.unwrap_or(u64::MAX));
        Duration::from_millis(due.saturating_sub(now()).min(LONGEST_WAIT_MS))
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn handle(&mut self, call: DriverCommand) {
        match call {
            DriverCommand::Heard(message) => self.step(Input::Received(message)),
            DriverCommand::Synced(ticket) => self.step(Input::Synced(ticket)),
            DriverCommand::DiskFailed => self.step(Input::DiskFailed),
            DriverCommand::DiskBack(kept, disk) => self.begin_again(kept, disk),
            DriverCommand::Ask(asked, reply) => self.ask(asked, reply),
            DriverCommand::AskedBy(forwarded) => self.asked_by(forwarded),
            DriverCommand::Replied { number, clock_ms, reply } => {
                let Some(sent) = self.asked.remove(&number) else { return };
                self.leader_clock.learn(sent.leader, sent.term, clock_ms, now());
                let waiter = Waiter::Here { sender: sent.reply, asked_at: sent.asked_at };
                match reply {
                    PeerResponse::Confirmed { index, shares } => {
                        self.confirms.push((index, waiter, shares));
                        self.settle();
                    }
                    reply => self.deliver(waiter, reply),
                }
            }
            DriverCommand::Found(reply) => {
                let answer = match self.node.cluster() {
                    0 => {
                        self.step(Input::Bootstrap(self.me.clone(), rand::random::<u64>() | 1));
                        Ok(())
                    }
                    cluster => Err(format!("this node belongs to cluster {cluster:016x} already")),
                };
                drop(reply.send(answer));
            }
            DriverCommand::Attach(session) => {
                let state = self.state.read();
                let picture = Frame::Picture { epoch: state.epoch(), events: state.view.picture() };
                drop(state);
                if session.try_send(picture).is_ok() {
                    self.sessions.push(session);
                }
            }
            DriverCommand::HandOver => self.step(Input::TransferLeadership),
            DriverCommand::Members(reply) => drop(reply.send(self.membership_report())),
        }
    }

    fn membership_report(&self) -> MembershipReport {
        if self.node.role() != Role::Leader {
            return MembershipReport::default();
        }
        let members = self.node.members();
        let voters = self.node.health_of(&members.voters);
        let learners = self.node.health_of(&members.learners);
        let health = voters.iter().chain(&learners);
        MembershipReport {
            silent_ms: health.map(|known| (known.member.identity, known.silent_ms)).collect(),
            is_changing: !self.node.is_settled(),
            repair: match self.node.next_change() {
                Ok(change) => format!("{change:?}"),
                Err(standstill) => standstill.to_string(),
            },
        }
    }

    /// Goes on from what a disk that had failed holds, as after a restart: what
    /// was promised is on it, and nothing else was.
    fn begin_again(&mut self, kept: PersistedState, disk: SyncSender<(u64, Vec<Write>)>) {
        self.disk = disk;
        let node = Node::new(self.me.identity, self.timing, rand::random(), now(), kept);
        let state = match State::restore(&node.snapshot().state) {
            Ok(state) => state,
            Err(text) => return log::error!("the picture can't be read: {text}"),
        };
        log::warn!("the disk takes writes again; this node goes on from what it holds");
        self.confirmed.store(0, Ordering::Relaxed);
        for (_, waiter) in std::mem::take(&mut self.tokens) {
            self.deliver(waiter, PeerResponse::Lost);
        }
        for (_, waiter, _) in std::mem::take(&mut self.confirms) {
            self.deliver(waiter, PeerResponse::Lost);
        }
        for (_, sent) in std::mem::take(&mut self.asked) {
            drop(sent.reply.send(PeerResponse::Lost));
        }
        self.granted.clear();
        self.node = node;
        self.view.send_replace(Arc::new(state.view.clone()));
        *self.state.write() = state;
        // Routers come again, and get a picture of their own.
        self.sessions.clear();
    }

    /// A question from this process: answered here by the leader, else there.
    fn ask(&mut self, asked: Asked, sender: oneshot::Sender<PeerResponse>) {
        let Asked { question, until, only_term } = asked;
        let is_leader = self.node.role() == Role::Leader;
        let (term, asked_at) = (self.node.term(), now());
        let waiter = Waiter::Here { sender, asked_at };
        if only_term.is_some_and(|only| !is_leader || only != term) {
            return self.deliver(waiter, PeerResponse::NotLeader);
        }
        // This process may have stood still meanwhile.
        if asked_at >= until {
            return self.deliver(waiter, PeerResponse::Lost);
        }
        if is_leader {
            return self.lead(question, waiter);
        }
        let leader = self.node.leader().and_then(|id| self.node.members().get(id)).cloned();
        let Some(leader) = leader else {
            return self.deliver(waiter, PeerResponse::NotLeader);
        };
        let Waiter::Here { sender, .. } = waiter else { return };
        let number = self.number();
        let validity = self.leader_clock.validity(leader.identity, term, until);
        let sent = Sent { leader: leader.identity, term, asked_at, until, reply: sender };
        self.asked.insert(number, sent);
        let frame = Frame::Ask { from: self.me.identity, number, validity, question };
        self.peers.send(&leader.address, frame);
    }

    /// A question from another node. What is late is not acted on; whoever still
    /// waits asks anew.
    fn asked_by(&mut self, forwarded: Forwarded) {
        let Forwarded { from, number, validity, question } = forwarded;
        let waiter = Waiter::There(from, number);
        let is_leader = self.node.role() == Role::Leader;
        match is_leader && is_valid(&question, validity, self.node.term(), now()) {
            true => self.lead(question, waiter),
            false => self.deliver(waiter, PeerResponse::NotLeader),
        }
    }

    fn lead(&mut self, question: PeerRequest, waiter: Waiter) {
        let token = self.number();
        let input = match question {
            PeerRequest::Confirm { demands } => {
                let shares = self.grant(&demands);
                self.granted.insert(token, shares);
                Input::ReadIndex(token)
            }
            PeerRequest::Submit(submission) => {
                // That a submission was applied stays true and needs no entry. A
                // conflict or a refusal may rest on old state, at a leader that has
                // just been elected or is cut off: it is decided where it is applied.
                let known = self.state.read().check(&submission);
                if let Some(outcome @ Outcome::Repeated { .. }) = known {
                    return self.deliver(waiter, PeerResponse::Submitted(outcome));
                }
                // What too few hold might go with the loss of one.
                if self.node.members().voters.len() < self.is_confirmed_by {
                    return self.deliver(waiter, PeerResponse::Busy);
                }
                Input::Propose(token, packed(&submission))
            }
            PeerRequest::Admit(member) => Input::AddLearner(token, member),
            PeerRequest::Retire { identity } => Input::RemoveMember(token, identity),
            PeerRequest::Leave { identity } => Input::Leave(token, identity),
        };
        self.tokens.insert(token, waiter);
        self.step(input);
    }

    /// Shares of the tenants' paces, for all that a node speaks for.
    fn grant(&mut self, demands: &[FrontDemand]) -> Vec<FrontShares> {
        let state = self.state.read();
        let terms =
            |tenant: &str| state.view.tenants.get(tenant).map(|terms| (terms.pace, terms.burst));
        let routers = self.routers.load(Ordering::Relaxed).max(state.view.fleet as usize);
        let answer = |demand| match &mut self.grants {
            Grants::Paces(paces) => paces.answer(now(), demand, terms),
            Grants::Pools(pools) => pools.answer(now(), demand, routers, terms),
        };
        demands.iter().map(answer).collect()
    }

    fn deliver(&self, waiter: Waiter, reply: PeerResponse) {
        match waiter {
            // Who asked may have left; then nobody needs the answer.
            Waiter::Here { sender, .. } => drop(sender.send(reply)),
            Waiter::There(to, number) => {
                self.peers.send_to(to, Frame::PeerResponse { number, clock_ms: now(), reply });
            }
        }
    }

    fn step(&mut self, input: Input) {
        for effect in self.node.step(now(), input) {
            match effect {
                Effect::Write(ticket, writes) => match self.disk.try_send((ticket, writes)) {
                    Ok(()) => {}
                    Err(TrySendError::Full(_)) => {
                        log::error!("the ring to the disk is full");
                        self.step(Input::DiskFailed);
                    }
                    Err(TrySendError::Disconnected(_)) => self.step(Input::DiskFailed),
                },
                Effect::Send(message) => {
                    let to = message.to;
                    match self.node.members().get(to) {
                        Some(member) => self.peers.send(&member.address, Frame::Ledger(message)),
                        None => self.peers.send_to(to, Frame::Ledger(message)),
                    }
                }
                Effect::Apply(entry, token) => {
                    let waiter = token.and_then(|token| self.tokens.remove(&token));
                    let reply = match &entry.payload {
                        EntryPayload::Blank => None,
                        EntryPayload::Membership(members) => {
                            log::info!(index = entry.index; "{}", describe(members));
                            Some(PeerResponse::Changed)
                        }
                        EntryPayload::Command(bytes) => Some(self.apply(entry.index, bytes)),
                    };
                    if let (Some(waiter), Some(reply)) = (waiter, reply) {
                        self.deliver(waiter, reply);
                    }
                }
                Effect::Restore(picture) => {
                    let state = State::restore(&picture.state)
                        .expect("a picture that another node took can be read");
                    log::info!(index = picture.index; "took over a picture");
                    self.view.send_replace(Arc::new(state.view.clone()));
                    *self.state.write() = state;
                    // Routers come again, and get a picture of their own.
                    self.sessions.clear();
                }
                Effect::ReadReady(token, index) => {
                    let shares = self.granted.remove(&token).unwrap_or_default();
                    if let Some(waiter) = self.tokens.remove(&token) {
                        self.confirms.push((index, waiter, shares));
                    }
                }
                Effect::Refused(token, no) => {
                    self.granted.remove(&token);
                    if let Some(waiter) = self.tokens.remove(&token) {
                        let reply = match no {
                            No::NotLeader => PeerResponse::NotLeader,
                            No::Busy => PeerResponse::Busy,
                            No::Unfit(text) => PeerResponse::Unfit(residency::Name(text)),
                            No::Lost => PeerResponse::Lost,
                        };
                        self.deliver(waiter, reply);
                    }
                }
            }
        }
        self.settle();
    }

    fn apply(&mut self, index: u64, bytes: &[u8]) -> PeerResponse {
        let submission: Submission =
            unpacked(bytes).expect("what was proposed here or by an equal can be read");
        let mut state = self.state.write();
        let prior = state.epoch();
        let (outcome, events) = state.apply(index, &submission);
        let view = Arc::new(state.view.clone());
        drop(state);
        self.counters.one("applied");
        if matches!(outcome, residency::Outcome::Applied { .. }) {
            self.announce(prior, index, events);
            self.view.send_replace(view);
        }
        PeerResponse::Submitted(outcome)
    }

    fn announce(&mut self, prior: u64, epoch: u64, events: Vec<Event>) {
        let frame = Frame::Change { prior, epoch, events };
        // A session that can't keep up is let go; it comes again for a picture.
        self.sessions.retain(|session| session.try_send(frame.clone()).is_ok());
    }

    /// Answers confirmed questions once what counted then is applied here.
    fn settle(&mut self) {
        if self.confirms.is_empty() {
            return;
        }
        let applied = self.node.applied();
        let (done, open) = std::mem::take(&mut self.confirms)
            .into_iter()
            .partition(|(index, _, _)| *index <= applied);
        self.confirms = open;
        let epoch = self.state.read().epoch();
        for (index, waiter, shares) in done {
            // Here the epoch is of use, to another node the index.
            let index = match &waiter {
                Waiter::Here { asked_at, .. } => {
                    self.confirmed.fetch_max(*asked_at, Ordering::Relaxed);
                    epoch
                }
                Waiter::There(..) => index,
            };
            self.deliver(waiter, PeerResponse::Confirmed { index, shares });
        }
    }

    fn expire(&mut self) {
        let now = now();
        let late: Vec<u64> =
            self.asked.iter().filter(|(_, sent)| sent.until <= now).map(|(n, _)| *n).collect();
        for number in late {
            if let Some(sent) = self.asked.remove(&number) {
                drop(sent.reply.send(PeerResponse::Lost));
            }
        }
    }

    fn picture(&mut self) {
        let policy = SnapshotPolicy { entries: self.picture_every, bytes: LOG_BYTES };
        if self.node.is_snapshot_due(policy) {
            let state = self.state.read().picture();
            let index = self.node.applied();
            self.step(Input::SnapshotTaken(index, state));
        }
    }

    /// Tells all how this node stands, where that has changed.
    fn publish(&mut self) {
        let node = &self.node;
        let is_same = {
            let before = self.cluster_status.borrow();
            before.is_leader == (node.role() == Role::Leader)
                && before.leader == node.leader()
                && before.term == node.term()
                && before.cluster == node.cluster()
                && before.commit == node.commit()
                && before.applied == node.applied()
                && before.last == node.last()
                && before.is_stalled == node.is_stalled()
                && before.progress.iter().copied().eq(node.progress())
                && before.members == *node.members()
        };
        if is_same {
            return;
        }
        let cluster_status = ClusterStatus {
            is_leader: node.role() == Role::Leader,
            leader: node.leader(),
            term: node.term(),
            cluster: node.cluster(),
            members: node.members().clone(),
            commit: node.commit(),
            applied: node.applied(),
            last: node.last(),
            is_stalled: node.is_stalled(),
            progress: node.progress().collect(),
        };
        let before = self.cluster_status.send_replace(cluster_status);
        let cluster_status = self.cluster_status.borrow();
        if cluster_status.is_leader && !before.is_leader {
            self.grants = Grants::new(self.margin);
        }
        if before.leader != cluster_status.leader {
            // What was asked of the former leader is asked again elsewhere.
            for (_, sent) in std::mem::take(&mut self.asked) {
                drop(sent.reply.send(PeerResponse::Lost));
            }
            log::info!(term = cluster_status.term; "leader is {}",
                cluster_status.leader.and_then(|id| cluster_status.members.get(id)).map_or("not known".into(), |m| m.to_string()));
        }
    }
}
