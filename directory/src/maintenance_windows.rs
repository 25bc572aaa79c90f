//! Maintenance windows: whoever leads begins and ends them in their time. The
//! state makes each turn happen once.

use crate::ControlPlane;
use protocol::PeerResponse;
use residency::{Outcome, Proposal};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PATIENCE: Duration = Duration::from_secs(2);

pub async fn run(control: Arc<ControlPlane>) {
    let mut cluster_status = control.driver.cluster_status.clone();
    while cluster_status
        .wait_for(|cluster_status| cluster_status.is_leader)
        .await
        .is_ok()
    {
        tokio::time::sleep(transport::jitter(400)).await;
        // The one place where the wall clock decides something.
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |age| age.as_secs());
        let Some(term) = control.leader_term() else {
            continue;
        };
        // One at a time: the next is built on what this one makes.
        while let Some((base, command)) = control.with_state(|state| {
            let next = state.due(now).into_iter().next();
            next.map(|command| (state.epoch(), command))
        }) {
            log::info!("a maintenance window turns: {command:?}");
            // Late where the windows were changed meanwhile, by operators or by
            // another leader: then it is a conflict.
            let id = format!("{:016x}", rand::random::<u64>());
            let proposal = Proposal {
                id,
                base_epoch: base,
                command,
            };
            let reply = control.submit_as_leader(proposal, term, PATIENCE).await;
            if !matches!(reply, PeerResponse::Proposed(Outcome::Applied { .. })) {
                break;
            }
        }
    }
}
