//! Renews the lease of this node and of the routers whose sessions are here.
//!
//! A lease is `LEASE_MS` long, counted from the request to the leader; the leader
//! responds once a majority confirmed that it still leads (ReadIndex, section 6.4 of the
//! Raft thesis).

use crate::control_plane::ControlPlane;
use crate::router_registry::WaitingHeartbeat;
use protocol::{
    EncodedFrame, Frame, PeerRequest, PeerResponse, QuotaGrant, RouterDemand, RouterGrants,
    LEASE_MS,
};
use std::sync::Arc;
use std::time::Duration;
use telemetry::queues::{self, Queue};
use transport::now;

/// How long a renewal is put off for more heartbeats to come along.
const HEARTBEAT_BATCH_DELAY: Duration = Duration::from_millis(10);
/// How often this node renews its own lease where no heartbeat comes.
const LEASE_RENEWAL_MS: u64 = 500;
/// Between a renewal that failed and the next attempt.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Renews leases for as long as the node runs; one request to the leader is under way
/// at a time.
pub(crate) async fn renew_leases(control: Arc<ControlPlane>) {
    let (mut renewed_at_ms, mut number) = (0, 0);
    loop {
        wait_for_cause(&control, renewed_at_ms).await;
        let heartbeats = control.routers.take_heartbeats();
        let now_ms = now();
        let is_due = now_ms >= renewed_at_ms + LEASE_RENEWAL_MS;
        if heartbeats.is_empty() && !control.quota.has_waiters() && !is_due {
            continue;
        }
        renewed_at_ms = now_ms;
        number += 1;
        renew(&control, heartbeats, number, now_ms).await;
    }
}

/// Waits for a heartbeat, for a request that needs quota, or until a renewal is due.
async fn wait_for_cause(control: &ControlPlane, renewed_at_ms: u64) {
    let until_due = Duration::from_millis((renewed_at_ms + LEASE_RENEWAL_MS).saturating_sub(now()));
    tokio::select! {
        _ = control.routers.heartbeat_arrived.notified() => {
            tokio::time::sleep(HEARTBEAT_BATCH_DELAY).await;
        }
        _ = control.quota.urgent.notified() => {}
        _ = tokio::time::sleep(until_due) => {}
    }
}

async fn renew(
    control: &ControlPlane,
    heartbeats: Vec<WaitingHeartbeat>,
    number: u64,
    asked_at_ms: u64,
) {
    let identity = format!("{:016x}", control.member.identity);
    let own_demand = control.quota.lease_demands(&identity, number);
    // Where quotas are leased from pools a router counts as alive also without a demand.
    let is_sent = |demand: &&RouterDemand| control.has_quota_margin || !demand.demands.is_empty();
    let demands = heartbeats.iter().map(|heartbeat| &heartbeat.demand);
    let demands = demands.chain([&own_demand]).filter(is_sent).cloned();
    let request = PeerRequest::ReadIndex {
        demands: demands.collect(),
    };
    let response = control.driver.request(request).await;
    queues::record_wait(Queue::LeaseRenewals, now().saturating_sub(asked_at_ms));
    match response {
        PeerResponse::ReadIndex { index, grants } => {
            let own_grants = grants_for(&own_demand, &grants);
            control
                .quota
                .apply_grants(number, asked_at_ms + LEASE_MS, &own_grants);
            for heartbeat in heartbeats {
                let lease = Frame::Lease {
                    heartbeat: heartbeat.demand.heartbeat,
                    epoch: index,
                    grants: grants_for(&heartbeat.demand, &grants),
                };
                heartbeat.sender.try_send(EncodedFrame::new(&lease));
            }
        }
        _ => {
            // Heartbeats wait on while a lease counted from them is of any use.
            let is_of_use =
                |heartbeat: &WaitingHeartbeat| asked_at_ms < heartbeat.received_at_ms + LEASE_MS;
            control
                .routers
                .requeue(heartbeats.into_iter().filter(is_of_use));
            tokio::time::sleep(RENEWAL_RETRY_DELAY).await;
        }
    }
}

/// What the leader granted to one router's demand.
fn grants_for(demand: &RouterDemand, granted: &[RouterGrants]) -> Vec<QuotaGrant> {
    let is_for = |granted: &&RouterGrants| {
        granted.router == demand.router && granted.heartbeat == demand.heartbeat
    };
    let granted = granted.iter().find(is_for);
    granted.map_or(Vec::new(), |granted| granted.grants.clone())
}
