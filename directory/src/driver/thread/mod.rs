//! The thread that owns the consensus node and applies what was agreed on.

mod requests;
mod status;

use super::disk::keep;
use super::{ClusterStatus, ConsensusDriver, DriverCommand, Standstill};
use crate::leader_clock::LeaderClock;
use crate::peers::PeerConnections;
use consensus::node::{
    Effect, Input, Node, PersistedState, Refusal as No, SnapshotPolicy, Timing, Write,
};
use consensus::pack::unpacked;
use consensus::wal::{Folder, WriteAheadLog};
use consensus::{EntryPayload, Member, NodeId, Term};
use parking_lot::RwLock;
use placement::{Margin, Paces, Pools};
use protocol::{Frame, FrontShares, PeerResponse};
use residency::{Event, Proposal, State, View};
use status::describe;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use transport::counters::Counters;
use transport::now;

pub(super) const RING: usize = 4096;

/// A snapshot is taken once so many bytes of changes lie past the last one. Invariant:
/// three times this, with two snapshots, is well within a small disk.
const LOG_BYTES: usize = 8 << 20;

/// The driver's thread looks around at least this often.
const LONGEST_WAIT_MS: u64 = 500;

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
    Here {
        sender: oneshot::Sender<PeerResponse>,
        asked_at: u64,
    },
    /// Another node, with its own number of the question.
    There(NodeId, u64),
}

/// Invariants: only this thread steps the node and changes the state; events
/// go to the sessions in the order of the log, before anything that rests
/// on them.
struct DriverThread {
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
    /// The term that `grants` belongs to: another leader lends anew.
    grants_term: Term,
    margin: Option<Margin>,
    /// Routers that are known to this node.
    routers: Arc<AtomicUsize>,
    standstill: Arc<Standstill>,
    snapshot_every: u64,
    /// Nothing is proposed for operators before so many voters count.
    min_voters: usize,
}

#[allow(clippy::too_many_arguments)]
pub fn start(
    me: Member,
    timing: Timing,
    snapshot_every: u64,
    min_voters: usize,
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
    let mut thread = DriverThread {
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
        grants_term: 0,
        margin,
        routers: Arc::clone(&driver.routers),
        standstill: Arc::clone(&driver.standstill),
        snapshot_every,
        min_voters,
    };
    thread.publish();
    std::thread::Builder::new()
        .name("consensus".into())
        .spawn(move || thread.run(&ring))?;
    Ok(driver)
}

impl DriverThread {
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
            self.take_due_snapshot();
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
            DriverCommand::Replied {
                number,
                clock_ms,
                reply,
            } => {
                let Some(sent) = self.asked.remove(&number) else {
                    return;
                };
                self.leader_clock
                    .learn(sent.leader, sent.term, clock_ms, now());
                let waiter = Waiter::Here {
                    sender: sent.reply,
                    asked_at: sent.asked_at,
                };
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
                    cluster => Err(format!(
                        "this node belongs to cluster {cluster:016x} already"
                    )),
                };
                drop(reply.send(answer));
            }
            DriverCommand::Attach(session) => {
                let state = self.state.read();
                let picture = Frame::Picture {
                    epoch: state.epoch(),
                    events: state.view.snapshot(),
                };
                drop(state);
                if session.try_send(picture).is_ok() {
                    self.sessions.push(session);
                }
            }
            DriverCommand::HandOver => self.step(Input::TransferLeadership),
            DriverCommand::Members(reply) => drop(reply.send(self.membership_report())),
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
                        Some(member) => self.peers.send(&member.address, Frame::Consensus(message)),
                        None => self.peers.send_to(to, Frame::Consensus(message)),
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
        let proposal: Proposal =
            unpacked(bytes).expect("what was proposed here or by an equal can be read");
        let mut state = self.state.write();
        let prior = state.epoch();
        let (outcome, events) = state.apply(index, &proposal);
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
        let frame = Frame::Change {
            prior,
            epoch,
            events,
        };
        // A session that can't keep up is let go; it comes again for a picture.
        self.sessions
            .retain(|session| session.try_send(frame.clone()).is_ok());
    }

    fn take_due_snapshot(&mut self) {
        let policy = SnapshotPolicy {
            entries: self.snapshot_every,
            bytes: LOG_BYTES,
        };
        if self.node.is_snapshot_due(policy) {
            let state = self.state.read().snapshot();
            let index = self.node.applied();
            self.step(Input::SnapshotTaken(index, state));
        }
    }
}
