//! Maintenance windows: the leader begins and ends them in their time. The windows are
//! in the replicated state, which makes each turn happen once.

use crate::control_plane::ControlPlane;
use consensus::Term;
use residency::Proposal;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Between two looks at the windows, in milliseconds, plus jitter.
const CHECK_INTERVAL_MS: u64 = 400;
/// How long one turn is submitted for.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Begins and ends windows while this node leads; runs as long as the node.
pub(crate) async fn run(control: Arc<ControlPlane>) {
    let mut cluster_status = control.driver.cluster_status.clone();
    while cluster_status
        .wait_for(|cluster_status| cluster_status.is_leader)
        .await
        .is_ok()
    {
        tokio::time::sleep(transport::jitter(CHECK_INTERVAL_MS)).await;
        // The one place where the wall clock decides something.
        let now_s = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_secs());
        if let Some(term) = control.leader_term() {
            submit_due_turns(&control, term, now_s).await;
        }
    }
}

/// Submits one turn at a time: the next is built on what this one makes.
async fn submit_due_turns(control: &ControlPlane, term: Term, now_s: u64) {
    let next_due = || {
        control.with_state(|state| {
            let next = state.due(now_s).into_iter().next();
            next.map(|command| (state.epoch(), command))
        })
    };
    while let Some((base, command)) = next_due() {
        log::info!("A maintenance window begins or ends: {command:?}");
        // A conflict where the windows were changed meanwhile, by operators or by
        // another leader.
        let id = format!("{:016x}", rand::random::<u64>());
        let proposal = Proposal {
            id,
            base_epoch: base,
            command,
        };
        let result = control
            .submit_as_leader(proposal, term, SUBMIT_TIMEOUT)
            .await;
        if !result.is_ok_and(|committed| !committed.is_repeated) {
            break;
        }
    }
}
