//! The operators' API.

use crate::driver::{ClusterStatus, MembershipReport};
use crate::ControlPlane;
use protocol::{PeerRequest, PeerResponse};
use residency::{
    Command, DrainTarget, Engine, EngineState, MaintenanceWindow, Name, Outcome, Proposal,
    TenantKey, UpdateMode,
};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use transport::http_server::{self, Request, Response};

type Server = dropshot::HttpServer<http_server::Handler>;

/// The most that a proposal may hold.
const SUBMISSION_CAP: usize = 8 << 20;
/// How long a majority is waited for before the document is read.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a proposal is tried for, over changes of leader.
const PATIENCE: Duration = Duration::from_millis(3_500);

pub fn serve(control: Arc<ControlPlane>, address: SocketAddr) -> anyhow::Result<Server> {
    let handler: http_server::Handler = Arc::new(move |request| {
        let control = Arc::clone(&control);
        Box::pin(async move { answer(&control, request).await })
    });
    http_server::serve(address, SUBMISSION_CAP, handler)
}

fn refused(status: u16, code: &str, text: impl Into<String>) -> Response {
    http_server::json(status, &json!({ "code": code, "text": text.into() }))
}

async fn answer(control: &ControlPlane, request: Request) -> Response {
    let path = request.uri().path().to_string();
    match (request.method().as_str(), path.as_str()) {
        ("GET", "/vitals") => vitals(control),
        ("GET", "/counters") => http_server::json(200, &control.metrics.to_json()),
        ("GET", "/traffic") => http_server::json(200, &telemetry::traffic::to_json()),
        ("GET", "/status") => status(control).await,
        ("GET", "/book") => book(control).await,
        ("GET", "/explain") => explain(control, &request),
        ("POST", "/found") => found(control).await,
        ("POST", "/retire") => retire(control, request).await,
        ("POST", "/submit") => submit(control, request).await,
        _ => refused(
            404,
            "no-such-page",
            format!("there is no {path} for this method"),
        ),
    }
}

fn hex(identity: u64) -> String {
    format!("{identity:016x}")
}

fn vitals(control: &ControlPlane) -> Response {
    let cluster_status = control.driver.cluster_status.borrow().clone();
    let is_well = control.driver.lease_valid() && !cluster_status.is_disk_stalled;
    let value = json!({
        "name": control.member.name.clone(),
        "well": is_well,
        "recent": control.driver.lease_valid(),
        "disk_stalled": cluster_status.is_disk_stalled,
        "founded": cluster_status.cluster != 0,
        "leads": cluster_status.is_leader,
        "epoch": control.driver.view.borrow().epoch,
    });
    http_server::json(if is_well { 200 } else { 503 }, &value)
}

fn members(cluster_status: &ClusterStatus, report: &MembershipReport) -> OwnedValue {
    let describe = |member: &consensus::Member, kind: &str| {
        let silent = report
            .silent_ms
            .iter()
            .find(|(id, _)| *id == member.identity);
        let synced = cluster_status
            .progress
            .iter()
            .find(|(id, _)| *id == member.identity);
        json!({
            "name": member.name.clone(),
            "identity": hex(member.identity),
            "kind": kind,
            "region": member.region.clone(),
            "zone": member.zone.clone(),
            "address": member.address.clone(),
            "desk": member.operator_address.clone(),
            "leads": cluster_status.leader == Some(member.identity),
            "synced": synced.map(|(_, index)| *index),
            "silent_ms": silent.map(|(_, silent_ms)| *silent_ms),
        })
    };
    let voters = cluster_status
        .members
        .voters
        .iter()
        .map(|member| describe(member, "voter"));
    let learners = cluster_status
        .members
        .learners
        .iter()
        .map(|member| describe(member, "learner"));
    OwnedValue::from(voters.chain(learners).collect::<Vec<_>>())
}

async fn status(control: &ControlPlane) -> Response {
    let report = control.driver.membership().await;
    let cluster_status = control.driver.cluster_status.borrow().clone();
    let fronts: Vec<OwnedValue> = control
        .routers
        .lock()
        .list(false)
        .iter()
        .map(|front| {
            json!({
                "name": front.name.clone(),
                "region": front.region.clone(),
                "zone": front.zone.clone(),
                "door": front.client_address.clone(),
                "epoch": front.epoch,
                "age_ms": front.age_ms,
                "leaving": front.is_draining != 0,
            })
        })
        .collect();
    let state = control.driver.state.read();
    let engines: Vec<OwnedValue> = state
        .view
        .engines
        .values()
        .map(|engine| {
            json!({
                "name": engine.name.clone(),
                "cell": engine.cell.clone(),
                "address": engine.address.clone(),
                "state": engine.state.to_string(),
                "open": state.view.is_open(engine),
            })
        })
        .collect();
    let moves: Vec<OwnedValue> = state
        .moves()
        .map(|(key, cell, is_moving)| json!({ "key": key, "cell": cell, "settled": !is_moving }))
        .collect();
    let windows: Vec<OwnedValue> = state
        .windows()
        .map(|(window, has_begun)| {
            let (zone, engine) = match &window.target {
                DrainTarget::Zone(zone) => (Some(zone.0.clone()), None),
                DrainTarget::Engine(engine) => (None, Some(engine.0.clone())),
            };
            json!({
                "id": window.id.0.clone(), "zone": zone, "engine": engine,
                "from": window.starts_at_s, "until": window.ends_at_s, "begun": has_begun,
            })
        })
        .collect();
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
        "routers": fronts,
        "engines": engines,
        "evacuated": state.view.evacuated.iter().cloned().collect::<Vec<String>>(),
        "moves": moves,
        "windows": windows,
        "keys": state.view.keys.len(),
    });
    http_server::json(200, &value)
}

/// The document in force, never one older than what was acknowledged before it
/// was asked for.
async fn book(control: &ControlPlane) -> Response {
    if !control.read_barrier_within(CONFIRM_PATIENCE).await {
        return refused(503, "no-majority", "no majority confirms what is newest");
    }
    let state = control.driver.state.read();
    let document = residency::parse_json(&state.document()).unwrap_or_default();
    http_server::json(200, &json!({ "epoch": state.epoch(), "book": document }))
}

/// Which engine a key gets, and why; from what this node sees.
fn explain(control: &ControlPlane, request: &Request) -> Response {
    let field = |name: &str| http_server::query_parameter(request.uri(), name);
    let (Some(tenant), Some(service)) = (field("tenant"), field("service")) else {
        return refused(400, "bad-question", "tenant and service are needed");
    };
    let region = field("region").unwrap_or(control.member.region.clone());
    let prefix = field("prefix")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let resolved = control
        .driver
        .state
        .read()
        .resolve(&tenant, &service, &region);
    let mapping = match resolved {
        Ok(mapping) => mapping,
        Err((code, text)) => return refused(404, code, text),
    };
    let view = control.driver.view.borrow().clone();
    let prompt = policy::Prompt::default();
    let wanted = placement::SelectionRequest {
        prompt: &prompt,
        prefix,
        tried: &[],
    };
    let (engine, why) = match control
        .dispatcher
        .engine_tracker
        .select_engine(&view, &mapping, &wanted)
    {
        dispatch::engine_tracker::Selection::Engine(seat) => (
            Some(seat.name.clone()),
            "ranks first for this prefix among those with room",
        ),
        dispatch::engine_tracker::Selection::AtCapacity => {
            (None, "all that are allowed are at their limit")
        }
        dispatch::engine_tracker::Selection::NoneAvailable => {
            (None, "none that is allowed is in sight")
        }
    };
    let list = |names: &[Name]| {
        names
            .iter()
            .map(|name| name.0.clone())
            .collect::<Vec<String>>()
    };
    let value = json!({
        "tenant": tenant,
        "service": service,
        "asked_from": region,
        "regions": list(&mapping.regions),
        "cells": list(&mapping.cells),
        "fresh_ms": mapping.fresh_ms,
        "expire_ms": mapping.expire_ms,
        "epoch": mapping.epoch,
        "recent": control.driver.lease_valid(),
        "engine": engine,
        "why": why,
        "engines": control.dispatcher.engine_tracker.to_json(view.program.set_points.target_utilization),
    });
    http_server::json(200, &value)
}

async fn found(control: &ControlPlane) -> Response {
    if let Err(text) = control.driver.bootstrap().await {
        return refused(409, "founded-already", text);
    }
    let mut cluster_status = control.driver.cluster_status.clone();
    let leads = cluster_status.wait_for(|cluster_status| cluster_status.is_leader);
    let led = tokio::time::timeout(Duration::from_secs(5), leads).await;
    let cluster = led
        .ok()
        .and_then(|led| led.ok())
        .map(|cluster_status| cluster_status.cluster);
    match cluster {
        Some(cluster) => http_server::json(200, &json!({ "cluster": hex(cluster) })),
        None => refused(
            503,
            "not-yet",
            "founded, and not leading yet; ask for the status",
        ),
    }
}

async fn retire(control: &ControlPlane, request: Request) -> Response {
    let identity = http_server::query_parameter(request.uri(), "identity");
    let Some(identity) = identity.and_then(|text| u64::from_str_radix(&text, 16).ok()) else {
        return refused(400, "bad-question", "identity is 16 hexadecimal digits");
    };
    match control
        .driver
        .ask(PeerRequest::RemoveMember { identity })
        .await
    {
        PeerResponse::MembershipChanged => {
            http_server::json(200, &json!({ "retired": hex(identity) }))
        }
        PeerResponse::Rejected(text) => refused(409, "unfit", text.0),
        PeerResponse::LeadershipLost => refused(
            503,
            "unknown",
            "leadership changed meanwhile; look at the members",
        ),
        _ => refused(
            503,
            "no-leader",
            "no leader can be reached; nothing was changed",
        ),
    }
}

fn read_windows(value: &OwnedValue) -> Result<Vec<MaintenanceWindow>, String> {
    let list = value.get("windows").and_then(|v| v.as_array());
    let list = list.ok_or("windows: a list should stand here")?;
    let read = |(at, window): (usize, &OwnedValue)| {
        let text = |name: &str| window.get(name).and_then(|v| v.as_str()).map(Name::from);
        let time = |name: &str| {
            let found = window.get(name).and_then(|v| v.as_u64());
            found.ok_or(format!(
                "windows[{at}].{name}: seconds since 1970 should stand here"
            ))
        };
        let target = match (text("zone"), text("engine")) {
            (Some(zone), None) => DrainTarget::Zone(zone),
            (None, Some(engine)) => DrainTarget::Engine(engine),
            _ => {
                return Err(format!(
                    "windows[{at}]: a zone or an engine should stand here"
                ))
            }
        };
        let id = text("id").ok_or(format!("windows[{at}].id: a text should stand here"))?;
        Ok(MaintenanceWindow {
            id,
            target,
            starts_at_s: time("from")?,
            ends_at_s: time("until")?,
        })
    };
    list.iter().enumerate().map(read).collect()
}

/// Reads a proposal; its base is 0 where none is stated. Complaints name the
/// field.
fn read_submission(value: &OwnedValue) -> Result<Proposal, String> {
    let text = |name: &str| {
        value
            .get(name)
            .and_then(|v| v.as_str())
            .map(String::from)
            .ok_or(format!("{name}: a text should stand here"))
    };
    let name = |field: &str| text(field).map(Name);
    let known = [
        "id", "base", "do", "whole", "book", "key", "tenant", "name", "address", "cell",
        "services", "slots", "state", "zone", "service", "windows",
    ];
    let Some(object) = value.as_object() else {
        return Err("an object should stand here".into());
    };
    if let Some((field, _)) = object
        .iter()
        .find(|(field, _)| !known.contains(&field.as_str()))
    {
        return Err(format!("{field}: no such field is known here"));
    }
    let digest = || {
        let key = text("key")?;
        match (8..=256).contains(&key.len()) {
            true => Ok(policy::sha256_hex(&key)),
            false => Err("key: a tenant key has 8 to 256 characters".to_string()),
        }
    };
    let state = || match text("state")?.as_str() {
        "coming" => Ok(EngineState::Coming),
        "serving" => Ok(EngineState::Serving),
        "draining" => Ok(EngineState::Draining),
        other => Err(format!(
            "state: {other} is none of coming, serving, draining"
        )),
    };
    let command = match text("do")?.as_str() {
        "revise" => Command::UpdateTopology {
            mode: match value
                .get("whole")
                .and_then(|v| v.as_bool())
                .ok_or("whole: true or false should stand here")?
            {
                true => UpdateMode::Replace,
                false => UpdateMode::Patch,
            },
            text: value.get("book").ok_or("book: it is missing")?.encode(),
        },
        "key" => Command::AddKey(TenantKey {
            digest: digest()?,
            tenant: text("tenant")?,
        }),
        "key-gone" => Command::RemoveKey(Name(digest()?)),
        "engine" => {
            let services = value
                .get("services")
                .and_then(|v| v.as_array())
                .map(|list| {
                    list.iter()
                        .map(|item| item.as_str().map(Name::from))
                        .collect::<Option<Vec<Name>>>()
                });
            Command::AddEngine(Engine {
                name: text("name")?,
                address: text("address")?,
                cell: text("cell")?,
                services: services
                    .flatten()
                    .ok_or("services: a list of texts should stand here")?,
                slots: value
                    .get("slots")
                    .and_then(|v| v.as_u32())
                    .ok_or("slots: a number should stand here")?,
                state: state()?,
                warm_up_ms: 0,
            })
        }
        "engine-state" => Command::SetEngineState {
            name: name("name")?,
            state: state()?,
        },
        "engine-gone" => Command::RemoveEngine(name("name")?),
        "evacuate" => Command::EvacuateZone(name("zone")?),
        "give-back" => Command::ReinstateZone(name("zone")?),
        "move" => Command::MoveKey {
            tenant: name("tenant")?,
            service: name("service")?,
            cell: name("cell")?,
        },
        "settle" => Command::CompleteMove {
            tenant: name("tenant")?,
            service: name("service")?,
        },
        "unpin" => Command::UndoMove {
            tenant: name("tenant")?,
            service: name("service")?,
        },
        "schedule" => Command::ScheduleMaintenance(read_windows(value)?),
        other => return Err(format!("do: {other} is nothing that can be done")),
    };
    let id = text("id")?;
    if id.is_empty() || id.len() > 64 || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("id: 1 to 64 visible characters should stand here".into());
    }
    let base = match value.get("base") {
        None => 0,
        Some(base) => base.as_u64().ok_or("base: an epoch should stand here")?,
    };
    Ok(Proposal {
        id,
        base_epoch: base,
        command,
    })
}

async fn submit(control: &ControlPlane, request: Request) -> Response {
    let value = match http_server::read_json(request.into_body(), SUBMISSION_CAP).await {
        Ok(value) => value,
        Err(text) => return refused(400, "bad-json", text),
    };
    let proposal = match read_submission(&value) {
        Ok(proposal) => proposal,
        Err(text) => return refused(400, "bad-proposal", text),
    };
    let id = proposal.id.clone();
    let reply = match proposal.base_epoch {
        0 => {
            control
                .execute(proposal.id, proposal.command, PATIENCE, PATIENCE)
                .await
        }
        _ => control.submit(proposal, PATIENCE).await,
    };
    if let PeerResponse::Proposed(outcome) = &reply {
        log::info!(proposal = id.as_str(); "{outcome:?}");
    }
    match reply {
        PeerResponse::Proposed(Outcome::Applied { epoch }) => {
            http_server::json(200, &json!({ "id": id, "epoch": epoch, "repeated": false }))
        }
        PeerResponse::Proposed(Outcome::Duplicate { epoch }) => {
            http_server::json(200, &json!({ "id": id, "epoch": epoch, "repeated": true }))
        }
        PeerResponse::Proposed(Outcome::Conflict { epoch }) => refused(
            409,
            "conflict",
            format!("something of this kind changed at epoch {epoch}, past the base; nothing was changed"),
        ),
        PeerResponse::Proposed(Outcome::Rejected(text)) => refused(422, "refused", text),
        PeerResponse::LeadershipLost => refused(
            503,
            "unknown",
            format!("leadership changed meanwhile; submit again with the same id {id}"),
        ),
        _ => refused(
            503,
            "no-leader",
            format!("no leader took it in time; submit again with the same id {id}"),
        ),
    }
}
