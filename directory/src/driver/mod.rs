//! The handle of the consensus driver: what other parts of the node ask it for.
//!
//! One thread owns the consensus node and applies what was agreed on, another owns the
//! disk. Everybody else talks to them through one bounded command queue.

mod disk;
mod thread;

pub use thread::start;

use crate::subscriptions::MAX_SILENCE_MS;
use consensus::node::{PersistedState, Write};
use consensus::{Membership, Message, NodeId, Term};
use parking_lot::RwLock;
use protocol::{Frame, PeerRequest, PeerResponse, Validity, LEASE_MS};
use residency::{Mapping, Proposal, State, View};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use transport::now;
use transport::rejection::Rejection;

const REQUEST_TIMEOUT_MS: u64 = 1_500;
/// Between two questions whether this node may stop.
const LEAVE_RETRY_MS: u64 = 80;
/// Without a leader for so long, a node that is to stop does not wait for its word.
const NO_LEADER_WAIT_MS: u64 = 1_000;

/// What the driver's thread is asked.
pub enum DriverCommand {
    Received(Message),
    WritesSynced(u64),
    DiskFailed,
    /// The disk takes writes again: what it holds, and the way to it.
    DiskRecovered(PersistedState, SyncSender<(u64, Vec<Write>)>),
    Request(LocalRequest, oneshot::Sender<PeerResponse>),
    ForwardedRequest(ForwardedRequest),
    PeerResponse {
        number: u64,
        clock_ms: u64,
        reply: PeerResponse,
    },
    Bootstrap(oneshot::Sender<Result<(), String>>),
    Subscribe(mpsc::Sender<Frame>),
    TransferLeadership,
    /// How the members stand, as their leader knows it.
    MembershipReport(oneshot::Sender<MembershipReport>),
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
pub struct LocalRequest {
    question: PeerRequest,
    /// Nothing is proposed for it past this time.
    deadline_ms: u64,
    /// Where it is of use only while this node leads in this term.
    only_term: Option<Term>,
}

/// A question from another node, to be answered there.
pub struct ForwardedRequest {
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
    pub commit_index: u64,
    pub applied_index: u64,
    pub last_index: u64,
    pub is_disk_stalled: bool,
    pub progress: Vec<(NodeId, u64)>,
}

pub struct ConsensusDriver {
    commands: SyncSender<DriverCommand>,
    pub state: Arc<RwLock<State>>,
    pub view: watch::Receiver<Arc<View>>,
    pub cluster_status: watch::Receiver<ClusterStatus>,
    /// When the question was asked that a majority confirmed last.
    confirmed_at_ms: Arc<AtomicU64>,
    /// How many routers are known here.
    pub routers: Arc<AtomicUsize>,
    pause_detector: Arc<PauseDetector>,
}

/// Tells whether this process stood still lately (frozen, or without a processor), so
/// that what it reads may have waited in its sockets. Invariant: the thread that
/// watches comes by several times in each `MAX_SILENCE_MS`.
struct PauseDetector {
    watched_at_ms: AtomicU64,
    pause_ended_at_ms: AtomicU64,
}

impl PauseDetector {
    fn new() -> PauseDetector {
        PauseDetector {
            watched_at_ms: AtomicU64::new(now()),
            pause_ended_at_ms: AtomicU64::new(0),
        }
    }

    fn watch(&self) {
        let before = self.watched_at_ms.swap(now(), Ordering::Relaxed);
        if now() > before + MAX_SILENCE_MS {
            self.pause_ended_at_ms.store(now(), Ordering::Relaxed);
        }
    }

    fn paused_recently(&self) -> bool {
        let newest = self.pause_ended_at_ms.load(Ordering::Relaxed) + MAX_SILENCE_MS;
        // Whoever asks may run before the thread that watches.
        now() > self.watched_at_ms.load(Ordering::Relaxed) + MAX_SILENCE_MS || now() < newest
    }
}

impl ConsensusDriver {
    pub fn send(&self, command: DriverCommand) -> bool {
        self.commands.try_send(command).is_ok()
    }

    pub async fn ask(&self, question: PeerRequest) -> PeerResponse {
        let deadline_ms = now() + REQUEST_TIMEOUT_MS;
        self.send_request(LocalRequest {
            question,
            deadline_ms,
            only_term: None,
        })
        .await
    }

    async fn send_request(&self, asked: LocalRequest) -> PeerResponse {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Request(asked, sender)) {
            return PeerResponse::Busy;
        }
        receiver.await.unwrap_or(PeerResponse::LeadershipLost)
    }

    /// Founds a cluster with this node as its one voter.
    pub async fn bootstrap(&self) -> Result<(), String> {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Bootstrap(sender)) {
            return Err("the driver's ring is full".into());
        }
        receiver.await.unwrap_or(Err("the driver ended".into()))
    }

    /// Submits until the outcome is known or `until` has come; past that nothing is
    /// proposed for it any more. The proposal's id makes the repeats harmless.
    pub async fn submit(&self, proposal: Proposal, deadline_ms: u64) -> PeerResponse {
        self.submit_in(proposal, deadline_ms, None).await
    }

    /// The same, only while this node leads in that term.
    pub async fn submit_as_leader(
        &self,
        proposal: Proposal,
        term: Term,
        deadline_ms: u64,
    ) -> PeerResponse {
        self.submit_in(proposal, deadline_ms, Some(term)).await
    }

    async fn submit_in(
        &self,
        proposal: Proposal,
        deadline_ms: u64,
        only_term: Option<Term>,
    ) -> PeerResponse {
        let mut reply = PeerResponse::LeadershipLost;
        while now() < deadline_ms {
            let question = PeerRequest::Propose(proposal.clone());
            let attempt_deadline_ms = deadline_ms.min(now() + REQUEST_TIMEOUT_MS);
            let asked = LocalRequest {
                question,
                deadline_ms: attempt_deadline_ms,
                only_term,
            };
            let left = Duration::from_millis(deadline_ms.saturating_sub(now()));
            let answer = tokio::time::timeout(left, self.send_request(asked)).await;
            reply = answer.unwrap_or(PeerResponse::LeadershipLost);
            let is_deposed = only_term.is_some() && reply == PeerResponse::NotLeader;
            if is_deposed || matches!(reply, PeerResponse::Proposed(_)) {
                return reply;
            }
            tokio::time::sleep(transport::jitter(120)).await;
        }
        reply
    }

    /// Whether what this node holds is known to be recent.
    pub fn lease_valid(&self) -> bool {
        now() < self.confirmed_at_ms.load(Ordering::Relaxed) + LEASE_MS
    }

    /// Whether what is read from sockets may date from before a standstill.
    pub fn was_paused_recently(&self) -> bool {
        self.pause_detector.paused_recently()
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
        self.lease_valid()
            .then(|| state.resolve(tenant, service, region))
    }

    /// Leave to dispatch a forwarded job, in the last moment.
    pub fn check_dispatch(&self, mapping: &Mapping) -> Result<(), Rejection> {
        let asker = mapping
            .regions
            .first()
            .map_or("", |region| region.0.as_str());
        let Some(resolved) = self.resolve(&mapping.tenant, &mapping.service, asker) else {
            return Err(no_lease_refusal());
        };
        match resolved {
            Ok(now)
                if mapping
                    .regions
                    .iter()
                    .all(|region| now.regions.contains(region)) =>
            {
                Ok(())
            }
            _ => Err(Rejection::not_run(
                503,
                "mapping-void",
                "homes changed meanwhile",
            )),
        }
    }

    /// How the members stand, by the leader's own account if it is here.
    pub async fn membership(&self) -> MembershipReport {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::MembershipReport(sender)) {
            return MembershipReport::default();
        }
        receiver.await.unwrap_or_default()
    }

    /// Before this node stops: hands leadership over, and waits until the others hold
    /// all that counts and, where a learner stands ready, one has taken its place.
    pub async fn prepare_to_stop(&self, identity: NodeId, patience: Duration) {
        let is_alone = self
            .cluster_status
            .borrow()
            .members
            .all()
            .all(|m| m.identity == identity);
        if is_alone {
            return;
        }
        self.transfer_leadership().await;
        let deadline_ms = tokio::time::Instant::now() + patience;
        let mut led_at = now();
        while tokio::time::Instant::now() < deadline_ms && now() < led_at + NO_LEADER_WAIT_MS {
            if matches!(
                self.ask(PeerRequest::PrepareToStop { identity }).await,
                PeerResponse::ReadIndex { .. }
            ) {
                return;
            }
            if self.cluster_status.borrow().leader.is_some() {
                led_at = now();
            }
            tokio::time::sleep(transport::jitter(LEAVE_RETRY_MS)).await;
        }
        log::warn!("stops though the others may lack what counts: no leader says otherwise");
    }

    /// Hands leadership over, if it is here, and waits for a new leader.
    async fn transfer_leadership(&self) {
        if self.cluster_status.borrow().is_leader && self.send(DriverCommand::TransferLeadership) {
            let mut cluster_status = self.cluster_status.clone();
            let gone = cluster_status.wait_for(|cluster_status| !cluster_status.is_leader);
            drop(tokio::time::timeout(Duration::from_millis(1_500), gone).await);
        }
    }
}

/// The refusal of a node that no majority has confirmed lately.
pub fn no_lease_refusal() -> Rejection {
    Rejection::not_run(
        503,
        "no-lease",
        "this directory node is cut off from a majority",
    )
}
