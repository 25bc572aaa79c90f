//! The handle of the consensus driver, as the other parts of the node use it.

use super::command::{BootstrapError, DriverCommand, LocalRequest};
use super::command_queue::CommandQueue;
use super::lease::Lease;
use super::pause_detector::PauseDetector;
use super::status::{ClusterStatus, MembershipReport};
use consensus::quorum_read::LogReport;
use consensus::{NodeId, Term};
use parking_lot::RwLock;
use protocol::{PeerRequest, PeerResponse};
use residency::{Mapping, Proposal, State, View};
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use transport::now;
use transport::rejection::Rejection;

/// How long one request to the leader is waited for.
pub(super) const REQUEST_TIMEOUT_MS: u64 = 1_500;
/// Between two attempts to submit a proposal, plus jitter.
const SUBMIT_RETRY_MS: u64 = 120;
/// Between two questions whether this node may stop, plus jitter.
const LEAVE_RETRY_MS: u64 = 80;
/// Without a leader for so long, a node that is to stop does not wait for a confirmation.
const NO_LEADER_WAIT_MS: u64 = 1_000;
/// How long a node that is to stop waits for another one to lead.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The way to the driver's thread, and what that thread publishes. The state, the view
/// and the status are in memory; the log, the hard state and snapshots on disk belong
/// to the disk thread.
pub(crate) struct ConsensusDriver {
    pub(super) commands: CommandQueue,
    /// The replicated state as it is applied here; written by the driver's thread alone.
    pub(crate) state: Arc<RwLock<State>>,
    /// What of it the request path needs, replaced by each change.
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) cluster_status: watch::Receiver<ClusterStatus>,
    pub(super) lease: Arc<Lease>,
    /// How many routers are known here.
    pub(crate) router_count: Arc<AtomicUsize>,
    pub(super) pause_detector: Arc<PauseDetector>,
}

/// Why a tenant's service was not resolved.
pub(crate) enum ResolveError {
    /// This node's state may be old; another node can answer.
    NoLease,
    /// The state has no mapping; the same everywhere.
    NoMapping { code: &'static str, text: String },
}

impl ConsensusDriver {
    /// Sends a command to the driver's thread; false where its queue is full.
    pub(crate) fn send(&self, command: DriverCommand) -> bool {
        self.commands.try_send(command)
    }

    /// Sends a request to the leader, here or elsewhere, and waits for the response.
    pub(crate) async fn request(&self, request: PeerRequest) -> PeerResponse {
        self.send_request(LocalRequest {
            request,
            deadline_ms: now() + REQUEST_TIMEOUT_MS,
            only_term: None,
        })
        .await
    }

    async fn send_request(&self, request: LocalRequest) -> PeerResponse {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Request(request, sender)) {
            return PeerResponse::Busy;
        }
        receiver.await.unwrap_or(PeerResponse::LeadershipLost)
    }

    /// Founds a cluster with this node as its only voter.
    ///
    /// # Errors
    /// This node is in a cluster already, or its driver can't be reached.
    pub(crate) async fn bootstrap(&self) -> Result<(), BootstrapError> {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::Bootstrap(sender)) {
            return Err(BootstrapError::QueueFull);
        }
        receiver.await.unwrap_or(Err(BootstrapError::DriverEnded))
    }

    /// Submits until the outcome is known or `deadline_ms` has come; past that nothing
    /// is proposed for it any more. The proposal's id makes the repeats harmless.
    pub(crate) async fn submit(&self, proposal: Proposal, deadline_ms: u64) -> PeerResponse {
        self.submit_in(proposal, deadline_ms, None).await
    }

    /// The same, only while this node leads in that term.
    pub(crate) async fn submit_as_leader(
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
        let mut response = PeerResponse::LeadershipLost;
        while now() < deadline_ms {
            let request = LocalRequest {
                request: PeerRequest::Propose(proposal.clone()),
                deadline_ms: deadline_ms.min(now() + REQUEST_TIMEOUT_MS),
                only_term,
            };
            let left = Duration::from_millis(deadline_ms.saturating_sub(now()));
            let attempt = tokio::time::timeout(left, self.send_request(request)).await;
            response = attempt.unwrap_or(PeerResponse::LeadershipLost);
            let is_deposed = only_term.is_some() && response == PeerResponse::NotLeader;
            if is_deposed || matches!(response, PeerResponse::Proposed(_)) {
                return response;
            }
            tokio::time::sleep(transport::jitter(SUBMIT_RETRY_MS)).await;
        }
        response
    }

    /// Whether a majority confirmed this node's state within `LEASE_MS`.
    pub(crate) fn lease_valid(&self) -> bool {
        self.lease.is_valid()
    }

    /// Returns once a majority has confirmed this node's state within `LEASE_MS`.
    pub(crate) async fn wait_until_lease_valid(&self) {
        self.lease.wait_until_valid().await;
    }

    /// Whether what is read from sockets may date from before a pause of this process.
    pub(crate) fn was_paused_recently(&self) -> bool {
        self.pause_detector.paused_recently()
    }

    /// Resolves a tenant's service from a state that is known to be recent. The lease is
    /// checked under the state's lock: when a node falls back to what its disk holds,
    /// the lease ends before the state is replaced.
    ///
    /// # Errors
    /// The lease has ended, or the state has no mapping.
    pub(crate) fn resolve(
        &self,
        tenant: &str,
        service: &str,
        region: &str,
    ) -> Result<Mapping, ResolveError> {
        let state = self.state.read();
        if !self.lease_valid() {
            return Err(ResolveError::NoLease);
        }
        state
            .resolve(tenant, service, region)
            .map_err(|error| ResolveError::NoMapping {
                code: error.code(),
                text: error.to_string(),
            })
    }

    /// The last check before a forwarded request is sent to an engine: whether its
    /// mapping still allows all the regions that it was resolved to.
    ///
    /// # Errors
    /// The lease has ended or the mapping is void; the request did not run.
    pub(crate) fn check_dispatch(&self, mapping: &Mapping) -> Result<(), Rejection> {
        let first_region = mapping.regions.first();
        let region = first_region.map_or("", |region| region.0.as_str());
        let is_allowed = |current: &Mapping| {
            let mut regions = mapping.regions.iter();
            regions.all(|region| current.regions.contains(region))
        };
        match self.resolve(&mapping.tenant, &mapping.service, region) {
            Err(ResolveError::NoLease) => Err(no_lease_refusal()),
            Ok(current) if is_allowed(&current) => Ok(()),
            _ => Err(Rejection::not_run(
                503,
                "mapping-void",
                "homes changed meanwhile",
            )),
        }
    }

    /// What this node's log holds, some time after this was called; `None` where the
    /// driver is overloaded.
    pub(crate) async fn log_report(&self) -> Option<LogReport> {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::LogReport(sender)) {
            return None;
        }
        receiver.await.ok()
    }

    /// The health of the members, as the leader knows it; defaults where it is elsewhere.
    pub(crate) async fn membership(&self) -> MembershipReport {
        let (sender, receiver) = oneshot::channel();
        if !self.send(DriverCommand::MembershipReport(sender)) {
            return MembershipReport::default();
        }
        receiver.await.unwrap_or_default()
    }

    /// Before this node stops: transfers leadership, and waits until the others hold
    /// all that is committed and, where a learner is ready, one has taken its place.
    pub(crate) async fn prepare_to_stop(&self, identity: NodeId, timeout: Duration) {
        if self.is_only_member(identity) {
            return;
        }
        self.transfer_leadership().await;
        let until = tokio::time::Instant::now() + timeout;
        let mut leader_known_at_ms = now();
        while tokio::time::Instant::now() < until && now() < leader_known_at_ms + NO_LEADER_WAIT_MS
        {
            let response = self.request(PeerRequest::PrepareToStop { identity }).await;
            if matches!(response, PeerResponse::ReadIndex { .. }) {
                return;
            }
            if self.cluster_status.borrow().leader.is_some() {
                leader_known_at_ms = now();
            }
            tokio::time::sleep(transport::jitter(LEAVE_RETRY_MS)).await;
        }
        log::warn!(
            "This node stops though no leader confirmed that the others hold all committed entries"
        );
    }

    fn is_only_member(&self, identity: NodeId) -> bool {
        let cluster_status = self.cluster_status.borrow();
        let mut members = cluster_status.members.all();
        members.all(|member| member.identity == identity)
    }

    /// Transfers leadership, if it is here, and waits for a new leader.
    async fn transfer_leadership(&self) {
        let is_leader = self.cluster_status.borrow().is_leader;
        if is_leader && self.send(DriverCommand::TransferLeadership) {
            let mut cluster_status = self.cluster_status.clone();
            let is_deposed = cluster_status.wait_for(|cluster_status| !cluster_status.is_leader);
            drop(tokio::time::timeout(TRANSFER_TIMEOUT, is_deposed).await);
        }
    }
}

/// The refusal of a node that no majority has confirmed lately.
pub(crate) fn no_lease_refusal() -> Rejection {
    Rejection::not_run(
        503,
        "no-lease",
        "this directory node is cut off from a majority",
    )
}
