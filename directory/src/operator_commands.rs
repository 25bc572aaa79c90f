//! Orders of operators: each is held against what it was built on.
//!
//! A try may be held back by a cut and reach the log long after whoever sent it
//! has gone on to something else. So an order that states no base gets one here,
//! read after contact with a majority. The log refuses it if its subject changed
//! meanwhile, and it is then decided anew, as long as its caller waits.

use crate::ControlPlane;
use consensus::Term;
use protocol::PeerResponse;
use residency::{Command, Outcome, Proposal};
use std::time::Duration;

/// The base of a change that is built on nothing: index 1 founds the cluster.
const FOUNDED: u64 = 1;

impl ControlPlane {
    /// Submits a change on top of what is in force until its outcome is known or
    /// patience ends; of that, `contact` for a majority's confirmation of what is in
    /// force, also where the order is decided anew. A conflict is never its outcome. Dropping the future, as when the caller
    /// leaves, ends it; past its end nothing more is proposed for it.
    pub async fn execute(
        &self,
        id: String,
        command: Command,
        contact: Duration,
        patience: Duration,
    ) -> PeerResponse {
        let now = transport::now();
        let (until, contact_until) = (
            now + patience.as_millis() as u64,
            now + contact.as_millis() as u64,
        );
        if !self.read_barrier_within(contact).await {
            return PeerResponse::NotLeader;
        }
        loop {
            let base = self.base();
            let proposal = Proposal {
                id: id.clone(),
                base_epoch: base,
                command: command.clone(),
            };
            match self.driver.submit(proposal, until).await {
                PeerResponse::Proposed(Outcome::Conflict { .. }) => {}
                reply => return reply,
            }
            // A caller that has heard nothing for longer than that may have gone to
            // another node, and on to an order to the contrary.
            let is_late = transport::now() >= contact_until;
            if is_late || !self.read_barrier_within(left(contact_until)).await {
                return PeerResponse::NotLeader;
            }
        }
    }

    /// Submits a change that states what it was built on, until its outcome is known
    /// or patience ends.
    pub async fn submit(&self, proposal: Proposal, patience: Duration) -> PeerResponse {
        self.driver
            .submit(proposal, transport::now() + patience.as_millis() as u64)
            .await
    }

    /// Submits what this node found due as the leader of a term, until the outcome is
    /// known or patience ends. No other term's leader proposes it.
    pub async fn submit_as_leader(
        &self,
        proposal: Proposal,
        term: Term,
        patience: Duration,
    ) -> PeerResponse {
        let until = transport::now() + patience.as_millis() as u64;
        self.driver.submit_as_leader(proposal, term, until).await
    }

    /// The term that this node leads in, if it does.
    pub fn leader_term(&self) -> Option<Term> {
        let cluster_status = self.driver.cluster_status.borrow();
        cluster_status.is_leader.then_some(cluster_status.term)
    }

    /// What a change is built on that goes by the state as it is applied here.
    pub(crate) fn base(&self) -> u64 {
        self.with_state(|state| state.epoch().max(FOUNDED))
    }
}

fn left(until: u64) -> Duration {
    Duration::from_millis(until.saturating_sub(transport::now()))
}
