//! Founding the cluster, and removing a member from it.

use super::error::ApiError;
use super::identity::hex;
use crate::command_result::membership_result;
use crate::control_plane::ControlPlane;
use protocol::PeerRequest;
use simd_json::json;
use std::time::Duration;
use transport::http_server::{self, Request, Response};

/// How long a node that founded a cluster is waited for to lead it.
const LEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Founds a cluster with this node as its only voter.
pub(super) async fn bootstrap(control: &ControlPlane) -> Result<Response, ApiError> {
    if let Err(error) = control.driver.bootstrap().await {
        return Err(ApiError::NotBootstrapped(error.to_string()));
    }
    let mut cluster_status = control.driver.cluster_status.clone();
    let leads = cluster_status.wait_for(|cluster_status| cluster_status.is_leader);
    let led = tokio::time::timeout(LEAD_TIMEOUT, leads).await;
    let cluster = led.ok().and_then(|led| led.ok()).map(|led| led.cluster);
    let cluster = cluster.ok_or(ApiError::NotLeadingYet)?;
    Ok(http_server::json(200, &json!({ "cluster": hex(cluster) })))
}

/// Removes the member that the query names by its identity.
pub(super) async fn remove_member(
    control: &ControlPlane,
    request: &Request,
) -> Result<Response, ApiError> {
    let identity = http_server::query_parameter(request.uri(), "identity");
    let identity = identity
        .and_then(|text| u64::from_str_radix(&text, 16).ok())
        .ok_or(ApiError::BadQuery("identity is 16 hexadecimal digits"))?;
    let response = control
        .driver
        .request(PeerRequest::RemoveMember { identity })
        .await;
    membership_result(response).map_err(|error| ApiError::MembershipChange { error })?;
    Ok(http_server::json(200, &json!({ "retired": hex(identity) })))
}
