//! Submits operators' commands, each with the state that it was built on.
//!
//! A forwarded command may be delayed by a network partition and reach the log long
//! after its sender has gone on to something else. So a command that states no base gets
//! one here, read after contact with a majority. The log refuses it if its subject
//! changed meanwhile; it is then rebuilt on the new state, as long as its client waits.

use crate::command_result::{command_result, CommandError, Committed, Retry};
use crate::control_plane::ControlPlane;
use consensus::Term;
use residency::{Command, Proposal};
use std::time::Duration;
use transport::now;

/// The base of a change that is built on nothing: index 1 founds the cluster.
const FOUNDING_EPOCH: u64 = 1;

impl ControlPlane {
    /// Submits a change on top of what is in force until its outcome is known or
    /// `timeout` ends; of that, `barrier_timeout` for a majority's confirmation of what
    /// is in force, also where the command is rebuilt. Dropping the future, as when the
    /// client leaves, ends it; past its end nothing more is proposed for it.
    ///
    /// # Errors
    /// The command is not known to be applied; never as a conflict.
    pub async fn execute(
        &self,
        id: String,
        command: Command,
        barrier_timeout: Duration,
        timeout: Duration,
    ) -> Result<Committed, CommandError> {
        let now_ms = now();
        let deadline_ms = now_ms + timeout.as_millis() as u64;
        let barrier_deadline_ms = now_ms + barrier_timeout.as_millis() as u64;
        if !self.read_barrier_within(barrier_timeout).await {
            return Err(CommandError::NoLeader);
        }
        loop {
            let proposal = Proposal {
                id: id.clone(),
                base_epoch: self.current_base(),
                command: command.clone(),
            };
            let response = self.driver.submit(proposal, deadline_ms).await;
            match command_result(response) {
                Err(error) if error.retry() == Retry::OnNewBase => {}
                result => return result,
            }
            // A client that has heard nothing for longer than that may have gone to
            // another node, and on to a command to the contrary.
            let is_late = now() >= barrier_deadline_ms;
            if is_late
                || !self
                    .read_barrier_within(time_until(barrier_deadline_ms))
                    .await
            {
                return Err(CommandError::NoLeader);
            }
        }
    }

    /// Submits a change that states what it was built on, until its outcome is known
    /// or the time-out ends.
    ///
    /// # Errors
    /// The command is not known to be applied.
    pub async fn submit(
        &self,
        proposal: Proposal,
        timeout: Duration,
    ) -> Result<Committed, CommandError> {
        let deadline_ms = now() + timeout.as_millis() as u64;
        command_result(self.driver.submit(proposal, deadline_ms).await)
    }

    /// Submits what this node found due as the leader of a term, until the outcome is
    /// known or the time-out ends. No other term's leader proposes it.
    ///
    /// # Errors
    /// The command is not known to be applied; `NoLeader` where this node does not lead
    /// in that term.
    pub async fn submit_as_leader(
        &self,
        proposal: Proposal,
        term: Term,
        timeout: Duration,
    ) -> Result<Committed, CommandError> {
        let deadline_ms = now() + timeout.as_millis() as u64;
        let submitted = self.driver.submit_as_leader(proposal, term, deadline_ms);
        command_result(submitted.await)
    }

    /// The term that this node leads in, if it does.
    pub fn leader_term(&self) -> Option<Term> {
        let cluster_status = self.driver.cluster_status.borrow();
        cluster_status.is_leader.then_some(cluster_status.term)
    }

    /// The base of a change that is built on the state as it is applied here.
    pub(crate) fn current_base(&self) -> u64 {
        self.with_state(|state| state.epoch().max(FOUNDING_EPOCH))
    }
}

fn time_until(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(now()))
}
