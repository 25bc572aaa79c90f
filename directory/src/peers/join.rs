//! Gets this node into the cluster, and back where it was forgotten.

use crate::control_plane::ControlPlane;
use protocol::{ConnectionKind, Frame};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use transport::{link, now};

/// Without a leader for this long, a node asks whether it is still a member.
const NO_LEADER_TIMEOUT_MS: u64 = 3_000;
/// How often a node without a cluster asks the seeds, plus jitter.
const JOIN_RETRY_MS: u64 = 100;
/// How often a member looks whether it still is one, plus jitter.
const MEMBERSHIP_CHECK_MS: u64 = 2_000;
/// How long one seed's response is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A seed's response.
struct JoinResponse {
    is_admitted: bool,
    text: String,
}

/// Asks the seeds to let this node in until it is a member under its present address. A
/// node that no leader knows asks, too: the entry that let it in may have been lost with
/// the leader that proposed it, or it was removed while it was gone. Runs as long as the
/// node.
pub(crate) async fn join(control: Arc<ControlPlane>) {
    let mut leader_known_at_ms = now();
    loop {
        let cluster_status = control.driver.cluster_status.borrow().clone();
        let recorded = cluster_status.members.get(control.member.identity);
        let has_moved = recorded.is_some_and(|recorded| *recorded != control.member);
        let has_no_cluster = cluster_status.cluster == 0;
        if cluster_status.leader.is_some() {
            leader_known_at_ms = now();
        }
        let is_alone = || now() > leader_known_at_ms + NO_LEADER_TIMEOUT_MS;
        if has_no_cluster || has_moved || is_alone() {
            ask_seeds(&control).await;
        }
        let interval_ms = match has_no_cluster {
            true => JOIN_RETRY_MS,
            false => MEMBERSHIP_CHECK_MS,
        };
        tokio::time::sleep(transport::jitter(interval_ms)).await;
    }
}

/// Asks all seeds at once, so that one that does not respond delays nothing; ends with
/// the first that lets this node in. The tasks end with the call.
async fn ask_seeds(control: &Arc<ControlPlane>) {
    let mut requests = JoinSet::new();
    let is_other = |seed: &SocketAddr| seed.to_string() != control.member.address;
    for seed in control.seeds().into_iter().filter(is_other) {
        let control = Arc::clone(control);
        requests.spawn(async move { (seed, request_join(&control, seed).await) });
    }
    while let Some(response) = requests.join_next().await {
        match response {
            Ok((_, Ok(response))) if response.is_admitted => return,
            Ok((seed, Ok(response))) => {
                log::info!(
                    "The seed {seed} does not let this node in: {}",
                    response.text
                );
            }
            Ok((seed, Err(error))) => log::debug!("The seed {seed} did not respond: {error:#}"),
            Err(_) => {}
        }
    }
}

async fn request_join(control: &ControlPlane, seed: SocketAddr) -> anyhow::Result<JoinResponse> {
    let name = &control.member.name;
    let mut stream = link::dial(control.source, seed, ConnectionKind::Peer, name).await?;
    link::send(&mut stream, &Frame::Join(control.member.clone())).await?;
    let response = link::receive(&mut stream, protocol::MAX_HELLO_BYTES);
    match tokio::time::timeout(RESPONSE_TIMEOUT, response).await?? {
        Some(Frame::Joined { admitted, text }) => Ok(JoinResponse {
            is_admitted: admitted,
            text,
        }),
        Some(Frame::Refused { text }) => Ok(JoinResponse {
            is_admitted: false,
            text,
        }),
        other => anyhow::bail!("an unexpected response: {other:?}"),
    }
}
