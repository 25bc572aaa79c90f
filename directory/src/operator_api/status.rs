//! What operators read: the node's health, the cluster's status, the topology.

use super::error::ApiError;
use super::identity::hex;
use crate::control_plane::ControlPlane;
use crate::driver::{ClusterStatus, MembershipReport};
use consensus::Member;
use http::header::{HeaderValue, CONTENT_TYPE};
use protocol::RouterStatus;
use residency::{DrainTarget, State};
use simd_json::{json, OwnedValue};
use std::time::Duration;
use telemetry::prometheus::{self, Gauge};
use transport::http_server::{self, Body, Response};

/// How long a majority is waited for before the topology is read.
const READ_BARRIER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether this node is of use: 200 where it is, else 503.
pub(super) fn health(control: &ControlPlane) -> Response {
    let cluster_status = control.driver.cluster_status.borrow().clone();
    let is_healthy = control.driver.lease_valid() && !cluster_status.is_disk_stalled;
    let value = json!({
        "name": control.member.name.clone(),
        "well": is_healthy,
        "recent": control.driver.lease_valid(),
        "disk_stalled": cluster_status.is_disk_stalled,
        "founded": cluster_status.cluster != 0,
        "leads": cluster_status.is_leader,
        "epoch": control.driver.view.borrow().epoch,
    });
    http_server::json(if is_healthy { 200 } else { 503 }, &value)
}

/// This node's figures in the Prometheus text format.
pub(super) fn metrics(control: &ControlPlane) -> Response {
    let cluster_status = control.driver.cluster_status.borrow().clone();
    let gauges = [
        ("epoch", control.driver.view.borrow().epoch),
        ("lease_valid", u64::from(control.driver.lease_valid())),
        ("leads", u64::from(cluster_status.is_leader)),
        ("disk_stalled", u64::from(cluster_status.is_disk_stalled)),
        ("term", cluster_status.term),
        ("log_commit_index", cluster_status.commit_index),
        ("log_applied_index", cluster_status.applied_index),
        ("log_last_index", cluster_status.last_index),
        ("voters", cluster_status.members.voters.len() as u64),
        ("learners", cluster_status.members.learners.len() as u64),
        ("routers", control.routers.list().len() as u64),
    ];
    let gauges = gauges.map(|(name, value)| Gauge { name, value });
    let text = prometheus::to_text(&control.metrics, &gauges);
    let mut response = Response::new(Body::with_content(text));
    let content_type = HeaderValue::from_static(prometheus::CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// The status of this node and its cluster, and what is registered in the state.
pub(super) async fn status(control: &ControlPlane) -> Response {
    let report = control.driver.membership().await;
    let cluster_status = control.driver.cluster_status.borrow().clone();
    let routers: Vec<OwnedValue> = control.routers.list().iter().map(router).collect();
    let state = control.driver.state.read();
    let value = json!({
        "node": control.member.name.clone(),
        "cluster": hex(cluster_status.cluster),
        "leads": cluster_status.is_leader,
        "leader": cluster_status.leader.map(hex),
        "term": cluster_status.term,
        "commit": cluster_status.commit_index,
        "applied": cluster_status.applied_index,
        "last": cluster_status.last_index,
        "epoch": state.epoch(),
        "recent": control.driver.lease_valid(),
        "disk_stalled": cluster_status.is_disk_stalled,
        "members": members(&cluster_status, &report),
        "membership_changing": report.is_changing,
        "membership_repair": report.repair,
        "routers": routers,
        "engines": engines(&state),
        "evacuated": state.view.evacuated.iter().cloned().collect::<Vec<String>>(),
        "moves": moves(&state),
        "windows": windows(&state),
        "keys": state.view.keys.len(),
    });
    http_server::json(200, &value)
}

/// The topology in force, never one older than what was acknowledged before it was
/// asked for.
pub(super) async fn topology(control: &ControlPlane) -> Result<Response, ApiError> {
    let read = |state: &State| {
        let document = residency::parse_json(&state.document()).unwrap_or_default();
        json!({ "epoch": state.epoch(), "book": document })
    };
    match control.read_in_force(READ_BARRIER_TIMEOUT, read).await {
        Some(value) => Ok(http_server::json(200, &value)),
        None => Err(ApiError::NoMajority),
    }
}

fn members(cluster_status: &ClusterStatus, report: &MembershipReport) -> OwnedValue {
    let members = &cluster_status.members;
    let voters = members.voters.iter().map(|member| (member, "voter"));
    let learners = members.learners.iter().map(|member| (member, "learner"));
    let all = voters.chain(learners);
    let list = all.map(|(each, kind)| member(each, kind, cluster_status, report));
    OwnedValue::from(list.collect::<Vec<_>>())
}

fn member(
    member: &Member,
    kind: &str,
    cluster_status: &ClusterStatus,
    report: &MembershipReport,
) -> OwnedValue {
    let of_member = |list: &[(u64, u64)]| {
        let mut list = list.iter();
        let found = list.find(|(identity, _)| *identity == member.identity);
        found.map(|(_, value)| *value)
    };
    json!({
        "name": member.name.clone(),
        "identity": hex(member.identity),
        "kind": kind,
        "region": member.region.clone(),
        "zone": member.zone.clone(),
        "address": member.address.clone(),
        "desk": member.operator_address.clone(),
        "leads": cluster_status.leader == Some(member.identity),
        "synced": of_member(&cluster_status.progress),
        "silent_ms": of_member(&report.silent_ms),
    })
}

fn router(router: &RouterStatus) -> OwnedValue {
    json!({
        "name": router.name.clone(),
        "region": router.region.clone(),
        "zone": router.zone.clone(),
        "door": router.client_address.clone(),
        "epoch": router.epoch,
        "age_ms": router.age_ms,
        "leaving": router.is_draining(),
    })
}

fn engines(state: &State) -> Vec<OwnedValue> {
    let engine = |engine: &residency::Engine| {
        json!({
            "name": engine.name.clone(),
            "cell": engine.cell.clone(),
            "address": engine.address.clone(),
            "state": engine.state.to_string(),
            "open": state.view.is_open(engine),
        })
    };
    state.view.engines.values().map(engine).collect()
}

fn moves(state: &State) -> Vec<OwnedValue> {
    state
        .moves()
        .map(|moved| json!({ "key": moved.routing_key, "cell": moved.cell, "settled": !moved.is_moving }))
        .collect()
}

fn windows(state: &State) -> Vec<OwnedValue> {
    let windows = state.windows().map(|scheduled| {
        let window = &scheduled.window;
        let (zone, engine) = match &window.target {
            DrainTarget::Zone(zone) => (Some(zone.0.clone()), None),
            DrainTarget::Engine(engine) => (None, Some(engine.0.clone())),
        };
        json!({
            "id": window.id.0.clone(), "zone": zone, "engine": engine,
            "from": window.starts_at_s, "until": window.ends_at_s, "begun": scheduled.has_begun,
        })
    });
    windows.collect()
}
