//! The thread that owns the consensus node and applies what was agreed on.

mod requests;
mod status;

use super::disk::run_disk_thread;
use super::{ClusterStatus, ConsensusDriver, DriverCommand, PauseDetector};
use crate::leader_clock::LeaderClock;
use crate::peers::PeerConnections;
use consensus::codec::from_bytes;
use consensus::node::{
    Effect, Input, Node, PersistedState, RequestError, SnapshotPolicy, Timing, Write,
};
use consensus::wal::{DiskStorage, WriteAheadLog};
use consensus::{EntryPayload, Member, NodeId, Term};
use parking_lot::RwLock;
use placement::{QuotaLeaseAllocator, QuotaTolerance, TokenAllocator};
use protocol::{Frame, PeerResponse, RouterGrants};
use residency::{Event, Proposal, State, View};
use status::describe;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use telemetry::metrics::Metrics;
use tokio::sync::{mpsc, oneshot, watch};
use transport::now;

pub(super) const COMMAND_QUEUE_LEN: usize = 4096;

/// A snapshot is taken once so many bytes of changes lie past the last one. Invariant:
/// three times this, with two snapshots, is well within a small disk.
const MAX_LOG_BYTES_PAST_SNAPSHOT: usize = 8 << 20;

/// The driver's thread looks around at least this often.
const LONGEST_WAIT_MS: u64 = 500;

/// How the leader hands out tenants' quotas.
enum QuotaGrants {
    Tokens(TokenAllocator),
    Leases(QuotaLeaseAllocator),
}

impl QuotaGrants {
    fn new(margin: Option<QuotaTolerance>) -> QuotaGrants {
        match margin {
            None => QuotaGrants::Tokens(TokenAllocator::new(now())),
            Some(margin) => QuotaGrants::Leases(QuotaLeaseAllocator::new(now(), margin)),
        }
    }
}

/// A question that was sent to the leader.
struct Sent {
    leader: NodeId,
    term: Term,
    asked_at_ms: u64,
    deadline_ms: u64,
    reply: oneshot::Sender<PeerResponse>,
}

/// Who waits for an answer.
enum Waiter {
    /// A task of this process; the question came in at `asked_at_ms`.
    Local {
        sender: oneshot::Sender<PeerResponse>,
        asked_at_ms: u64,
    },
    /// Another node, with its own number of the question.
    Peer(NodeId, u64),
}

/// Invariants: only this thread steps the node and changes the state; events
/// go to the sessions in the order of the log, before anything that rests
/// on them.
struct DriverThread {
    node: Node,
    timing: Timing,
    /// The driver's own: it is void when what is held here is put back.
    confirmed_at_ms: Arc<AtomicU64>,
    local_member: Member,
    state: Arc<RwLock<State>>,
    view: watch::Sender<Arc<View>>,
    cluster_status: watch::Sender<ClusterStatus>,
    disk: SyncSender<(u64, Vec<Write>)>,
    peers: Arc<PeerConnections>,
    metrics: Arc<Metrics>,
    subscribers: Vec<mpsc::Sender<Frame>>,
    last_token: u64,
    /// Matters handed to the node here, by token.
    waiters: HashMap<u64, Waiter>,
    /// Questions sent to the leader, by number.
    sent_requests: HashMap<u64, Sent>,
    leader_clock: LeaderClock,
    /// Confirmed by the leader; answered once this index is applied here.
    confirmed_reads: Vec<(u64, Waiter, Vec<RouterGrants>)>,
    /// Shares that go out with a confirmation under way, by its token.
    granted_shares: HashMap<u64, Vec<RouterGrants>>,
    grants: QuotaGrants,
    /// The term that `grants` belongs to: another leader lends anew.
    grants_term: Term,
    quota_margin: Option<QuotaTolerance>,
    /// Routers that are known to this node.
    routers: Arc<AtomicUsize>,
    pause_detector: Arc<PauseDetector>,
    snapshot_every: u64,
    /// Nothing is proposed for operators before so many voters count.
    min_voters: usize,
}

#[allow(clippy::too_many_arguments)]
pub fn start(
    local_member: Member,
    timing: Timing,
    snapshot_every: u64,
    min_voters: usize,
    quota_margin: Option<QuotaTolerance>,
    segments: WriteAheadLog<DiskStorage>,
    kept: PersistedState,
    peers: Arc<PeerConnections>,
    metrics: Arc<Metrics>,
) -> anyhow::Result<Arc<ConsensusDriver>> {
    let node = Node::new(local_member.identity, timing, rand::random(), now(), kept);
    let state = State::restore(&node.snapshot().state)
        .map_err(|text| anyhow::anyhow!("the picture can't be read: {text}"))?;
    let (command_sender, commands) = sync_channel(COMMAND_QUEUE_LEN);
    let (disk, writes) = sync_channel(COMMAND_QUEUE_LEN);
    let (view, view_out) = watch::channel(Arc::new(state.view.clone()));
    let (cluster_status, cluster_status_out) = watch::channel(ClusterStatus::default());
    let state = Arc::new(RwLock::new(state));
    let confirmed_at_ms = Arc::new(AtomicU64::new(0));
    let driver = Arc::new(ConsensusDriver {
        commands: command_sender.clone(),
        state: Arc::clone(&state),
        view: view_out,
        cluster_status: cluster_status_out,
        confirmed_at_ms: Arc::clone(&confirmed_at_ms),
        routers: Arc::default(),
        pause_detector: Arc::new(PauseDetector::new()),
    });
    std::thread::Builder::new()
        .name("disk".into())
        .spawn(move || run_disk_thread(segments, writes, &command_sender))?;
    let mut thread = DriverThread {
        node,
        timing,
        confirmed_at_ms,
        local_member,
        state,
        view,
        cluster_status,
        disk,
        peers,
        metrics,
        subscribers: Vec::new(),
        // Far from the numbers of any earlier process.
        last_token: rand::random::<u64>() >> 1,
        waiters: HashMap::new(),
        sent_requests: HashMap::new(),
        leader_clock: LeaderClock::default(),
        confirmed_reads: Vec::new(),
        granted_shares: HashMap::new(),
        grants: QuotaGrants::new(quota_margin),
        grants_term: 0,
        quota_margin,
        routers: Arc::clone(&driver.routers),
        pause_detector: Arc::clone(&driver.pause_detector),
        snapshot_every,
        min_voters,
    };
    thread.publish_status();
    std::thread::Builder::new()
        .name("consensus".into())
        .spawn(move || thread.run(&commands))?;
    Ok(driver)
}

impl DriverThread {
    fn run(&mut self, commands: &Receiver<DriverCommand>) {
        loop {
            let next = commands.recv_timeout(self.time_to_next_event());
            self.pause_detector.watch();
            match next {
                Ok(command) => {
                    self.handle(command);
                    // What waits in the ring travels together.
                    for _ in 0..256 {
                        match commands.try_recv() {
                            Ok(command) => self.handle(command),
                            Err(_) => break,
                        }
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.step(Input::Tick);
            self.expire_sent_requests();
            self.take_due_snapshot();
            self.publish_status();
        }
    }

    /// How long nothing happens here by itself.
    fn time_to_next_event(&self) -> Duration {
        let asked = self
            .sent_requests
            .values()
            .map(|sent| sent.deadline_ms)
            .min();
        let due = self.node.next_deadline().min(asked.unwrap_or(u64::MAX));
        Duration::from_millis(due.saturating_sub(now()).min(LONGEST_WAIT_MS))
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn handle(&mut self, command: DriverCommand) {
        match command {
            DriverCommand::Received(message) => self.step(Input::Received(message)),
            DriverCommand::WritesSynced(ticket) => self.step(Input::Synced(ticket)),
            DriverCommand::DiskFailed => self.step(Input::DiskFailed),
            DriverCommand::DiskRecovered(kept, disk) => self.restart_from_disk(kept, disk),
            DriverCommand::Request(asked, reply) => self.handle_local_request(asked, reply),
            DriverCommand::ForwardedRequest(forwarded) => self.handle_forwarded_request(forwarded),
            DriverCommand::PeerResponse {
                number,
                clock_ms,
                reply,
            } => {
                let Some(sent) = self.sent_requests.remove(&number) else {
                    return;
                };
                self.leader_clock
                    .learn(sent.leader, sent.term, clock_ms, now());
                let waiter = Waiter::Local {
                    sender: sent.reply,
                    asked_at_ms: sent.asked_at_ms,
                };
                match reply {
                    PeerResponse::ReadIndex {
                        index,
                        grants: shares,
                    } => {
                        self.confirmed_reads.push((index, waiter, shares));
                        self.complete_reads();
                    }
                    reply => self.respond(waiter, reply),
                }
            }
            DriverCommand::Bootstrap(reply) => {
                let answer = match self.node.cluster() {
                    0 => {
                        self.step(Input::Bootstrap(
                            self.local_member.clone(),
                            rand::random::<u64>() | 1,
                        ));
                        Ok(())
                    }
                    cluster => Err(format!(
                        "this node belongs to cluster {cluster:016x} already"
                    )),
                };
                drop(reply.send(answer));
            }
            DriverCommand::Subscribe(session) => {
                let state = self.state.read();
                let picture = Frame::Snapshot {
                    epoch: state.epoch(),
                    events: state.view.snapshot(),
                };
                drop(state);
                if session.try_send(picture).is_ok() {
                    self.subscribers.push(session);
                }
            }
            DriverCommand::TransferLeadership => self.step(Input::TransferLeadership),
            DriverCommand::MembershipReport(reply) => drop(reply.send(self.membership_report())),
        }
    }

    /// Goes on from what a disk that had failed holds, as after a restart: what
    /// was promised is on it, and nothing else was.
    fn restart_from_disk(&mut self, kept: PersistedState, disk: SyncSender<(u64, Vec<Write>)>) {
        self.disk = disk;
        let node = Node::new(
            self.local_member.identity,
            self.timing,
            rand::random(),
            now(),
            kept,
        );
        let state = match State::restore(&node.snapshot().state) {
            Ok(state) => state,
            Err(text) => return log::error!("the picture can't be read: {text}"),
        };
        log::warn!("the disk takes writes again; this node goes on from what it holds");
        self.confirmed_at_ms.store(0, Ordering::Relaxed);
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            self.respond(waiter, PeerResponse::LeadershipLost);
        }
        for (_, waiter, _) in std::mem::take(&mut self.confirmed_reads) {
            self.respond(waiter, PeerResponse::LeadershipLost);
        }
        for (_, sent) in std::mem::take(&mut self.sent_requests) {
            drop(sent.reply.send(PeerResponse::LeadershipLost));
        }
        self.granted_shares.clear();
        self.node = node;
        self.view.send_replace(Arc::new(state.view.clone()));
        *self.state.write() = state;
        // Routers come again, and get a picture of their own.
        self.subscribers.clear();
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
                    let waiter = token.and_then(|token| self.waiters.remove(&token));
                    let reply = match &entry.payload {
                        EntryPayload::Noop => None,
                        EntryPayload::Membership(members) => {
                            log::info!(index = entry.index; "{}", describe(members));
                            Some(PeerResponse::MembershipChanged)
                        }
                        EntryPayload::Command(bytes) => Some(self.apply(entry.index, bytes)),
                    };
                    if let (Some(waiter), Some(reply)) = (waiter, reply) {
                        self.respond(waiter, reply);
                    }
                }
                Effect::Restore(picture) => {
                    let state = State::restore(&picture.state)
                        .expect("a picture that another node took can be read");
                    log::info!(index = picture.index; "took over a picture");
                    self.view.send_replace(Arc::new(state.view.clone()));
                    *self.state.write() = state;
                    // Routers come again, and get a picture of their own.
                    self.subscribers.clear();
                }
                Effect::ReadReady(token, index) => {
                    let shares = self.granted_shares.remove(&token).unwrap_or_default();
                    if let Some(waiter) = self.waiters.remove(&token) {
                        self.confirmed_reads.push((index, waiter, shares));
                    }
                }
                Effect::Rejected(token, no) => {
                    self.granted_shares.remove(&token);
                    if let Some(waiter) = self.waiters.remove(&token) {
                        let reply = match no {
                            RequestError::NotLeader => PeerResponse::NotLeader,
                            RequestError::Busy => PeerResponse::Busy,
                            RequestError::InvalidMembershipChange(error) => {
                                PeerResponse::Rejected(residency::Name(error.to_string()))
                            }
                            RequestError::LeadershipLost => PeerResponse::LeadershipLost,
                        };
                        self.respond(waiter, reply);
                    }
                }
            }
        }
        self.complete_reads();
    }

    fn apply(&mut self, index: u64, bytes: &[u8]) -> PeerResponse {
        let proposal: Proposal =
            from_bytes(bytes).expect("what was proposed here or by an equal can be read");
        let mut state = self.state.write();
        let prior = state.epoch();
        let (outcome, events) = state.apply(index, &proposal);
        let view = Arc::new(state.view.clone());
        drop(state);
        self.metrics.increment("applied");
        if matches!(outcome, residency::Outcome::Applied { .. }) {
            self.publish_events(prior, index, events);
            self.view.send_replace(view);
        }
        PeerResponse::Proposed(outcome)
    }

    fn publish_events(&mut self, prior: u64, epoch: u64, events: Vec<Event>) {
        let frame = Frame::Change {
            base_epoch: prior,
            epoch,
            events,
        };
        // A session that can't keep up is let go; it comes again for a picture.
        self.subscribers
            .retain(|subscriber| subscriber.try_send(frame.clone()).is_ok());
    }

    fn take_due_snapshot(&mut self) {
        let policy = SnapshotPolicy {
            entries: self.snapshot_every,
            bytes: MAX_LOG_BYTES_PAST_SNAPSHOT,
        };
        if self.node.is_snapshot_due(policy) {
            let state = self.state.read().snapshot();
            let index = self.node.applied_index();
            self.step(Input::SnapshotTaken(index, state));
        }
    }
}
