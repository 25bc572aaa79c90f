//! Keeps the number of routers in the replicated state, where quotas are leased from
//! pools by it.

use crate::control_plane::ControlPlane;
use residency::{Command, Proposal};
use std::sync::Arc;
use std::time::Duration;
use transport::now;

/// Between two looks at the routers, in milliseconds, plus jitter.
const CHECK_INTERVAL_MS: u64 = 900;
/// How long fewer routers are seen before the lower number is submitted.
const FEWER_ROUTERS_MS: u64 = 60_000;
/// How long one submission is tried for.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Submits the number of routers while this node leads: a higher one at once, a lower
/// one when it has lasted. Runs as long as the node.
pub(crate) async fn run(control: Arc<ControlPlane>) {
    let mut cluster_status = control.driver.cluster_status.clone();
    let mut fewer_since_ms = None;
    while cluster_status
        .wait_for(|cluster_status| cluster_status.is_leader)
        .await
        .is_ok()
    {
        tokio::time::sleep(transport::jitter(CHECK_INTERVAL_MS)).await;
        // Based on the count that it differs from.
        let base = control.current_base();
        let seen = control.routers.count() as u32;
        let recorded = control.with_state(|state| state.view.router_count);
        if seen >= recorded {
            fewer_since_ms = None;
        }
        let since_ms = *fewer_since_ms.get_or_insert(now());
        let is_due = seen > recorded || seen < recorded && now() > since_ms + FEWER_ROUTERS_MS;
        if let Some(term) = control.leader_term().filter(|_| is_due) {
            let proposal = Proposal {
                id: format!("fleet-{:016x}", rand::random::<u64>()),
                base_epoch: base,
                command: Command::SetRouterCount(seen),
            };
            // A submission that fails is repeated at the next look.
            drop(
                control
                    .submit_as_leader(proposal, term, SUBMIT_TIMEOUT)
                    .await,
            );
        }
    }
}
