//! Explains which engine a tenant's request gets, and why; from what this node sees.

use super::error::ApiError;
use crate::control_plane::ControlPlane;
use dispatch::engine_tracker::Selection;
use residency::{Mapping, Name};
use simd_json::json;
use transport::http_server::{self, Request, Response};

/// Explains the query's tenant and service, for a region and the hash of a prefix.
pub(super) fn explain(control: &ControlPlane, request: &Request) -> Result<Response, ApiError> {
    let field = |name: &str| http_server::query_parameter(request.uri(), name);
    let (Some(tenant), Some(service)) = (field("tenant"), field("service")) else {
        return Err(ApiError::BadQuery("tenant and service are needed"));
    };
    let region = field("region").unwrap_or(control.member.region.clone());
    let prefix = field("prefix").and_then(|text| text.parse().ok());
    let mapping = control
        .with_state(|state| state.resolve(&tenant, &service, &region))
        .map_err(|error| ApiError::NoMapping {
            code: error.code(),
            text: error.to_string(),
        })?;
    let (engine, why) = select_engine(control, &mapping, prefix.unwrap_or(0));
    let target_utilization = control.view().program.set_points.target_utilization;
    let value = json!({
        "tenant": tenant,
        "service": service,
        "asked_from": region,
        "regions": texts(&mapping.regions),
        "cells": texts(&mapping.cells),
        "fresh_ms": mapping.fresh_ms,
        "expire_ms": mapping.expire_ms,
        "epoch": mapping.epoch,
        "recent": control.driver.lease_valid(),
        "engine": engine,
        "why": why,
        "engines": control.dispatcher.engine_tracker.to_json(target_utilization),
    });
    Ok(http_server::json(200, &value))
}

/// The engine that this node would send the request to, and why that one or none.
fn select_engine(
    control: &ControlPlane,
    mapping: &Mapping,
    prefix: u64,
) -> (Option<String>, &'static str) {
    let prompt = policy::Prompt::default();
    let wanted = placement::SelectionRequest {
        prompt: &prompt,
        prefix,
        tried: &[],
    };
    let engine_tracker = &control.dispatcher.engine_tracker;
    match engine_tracker.select_engine(&control.view(), mapping, &wanted) {
        Selection::Engine(slot) => (
            Some(slot.name.clone()),
            "ranks first for this prefix among those with room",
        ),
        Selection::AtCapacity => (None, "all that are allowed are at their limit"),
        Selection::NoneAvailable => (None, "none that is allowed is in sight"),
    }
}

fn texts(names: &[Name]) -> Vec<String> {
    names.iter().map(|name| name.0.clone()).collect()
}
