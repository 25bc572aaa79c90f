//! Reads as much of a forwarded request's body as its key needs, and resolves the key.

use super::body::MAX_FRAME_BYTES;
use crate::control_plane::ControlPlane;
use crate::driver::{no_lease_refusal, ResolveError};
use anyhow::bail;
use bytes::Bytes;
use dispatch::headers_from_frame;
use http::HeaderMap;
use policy::{ExtractedKey, KeyField, RequestHead};
use protocol::{ForwardedRequest, Frame};
use residency::{Mapping, View};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncRead;
use transport::link;
use transport::rejection::{self, Rejection};

/// A body whose key is not found within this is refused.
const MAX_SEARCH_BYTES: usize = 1 << 20;
/// How long this node waits to catch up with the router's state.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// A request whose key was found and resolved.
pub(super) struct ResolvedRequest {
    pub(super) mapping: Mapping,
    pub(super) extract: ExtractedKey,
    /// The digest of the tenant key.
    pub(super) key: String,
    /// What of the body was read so far.
    pub(super) body_start: Bytes,
    /// All of the body was read.
    pub(super) is_ended: bool,
    /// The index of the route in the program.
    pub(super) route: usize,
}

/// What of the body was read, and what the rules extract from it.
struct BodyStart {
    bytes: Vec<u8>,
    is_ended: bool,
    extract: ExtractedKey,
}

/// Reads the key and resolves it.
///
/// # Errors
/// Outer: the connection is broken or a frame breaks the protocol. Inner: the request
/// is rejected and did not run.
pub(super) async fn read_key(
    control: &ControlPlane,
    head: &ForwardedRequest,
    reader: &mut (impl AsyncRead + Unpin),
) -> anyhow::Result<Result<ResolvedRequest, Rejection>> {
    if !control.driver.lease_valid() {
        return Ok(Err(no_lease_refusal()));
    }
    let Some(view) = view_as_new_as(control, head.epoch).await else {
        let text = "this directory node is behind the router";
        return Ok(Err(Rejection::not_run(503, "behind", text)));
    };
    let headers = headers_from_frame(&head.headers)?;
    let mut route = None;
    with_head(head, &headers, &mut |head| {
        route = view.program.match_route(head)
    });
    let Some(route) = route else {
        return Ok(Err(Rejection::not_run(
            404,
            "no-route",
            "no route fits this method and path",
        )));
    };
    let start = read_body_start(&view, route, head, &headers, reader).await?;
    Ok(resolve(control, &view, head, start, route))
}

/// The view, never from an older state than the router's own; `None` where this node
/// does not catch up in time.
async fn view_as_new_as(control: &ControlPlane, epoch: u64) -> Option<Arc<View>> {
    let mut views = control.driver.view.clone();
    let is_new_enough = views.wait_for(|view| view.epoch >= epoch);
    let waited = tokio::time::timeout(CATCH_UP_TIMEOUT, is_new_enough).await;
    let view = waited.ok()?.ok()?;
    Some(Arc::clone(&view))
}

/// Shows the request's head to the rules, as the router's ingress does.
fn with_head(head: &ForwardedRequest, headers: &HeaderMap, read: &mut dyn FnMut(&RequestHead)) {
    let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
    let header = |name: &str| headers.get(name)?.to_str().ok().map(String::from);
    let split_seed = policy::stable_hash(head.id.as_bytes());
    read(&RequestHead {
        method: &head.method,
        path,
        query,
        header: &header,
        split_seed,
    });
}

/// Reads until the rules have what they need, the body ends, or the cap is reached.
async fn read_body_start(
    view: &View,
    route: usize,
    head: &ForwardedRequest,
    headers: &HeaderMap,
    reader: &mut (impl AsyncRead + Unpin),
) -> anyhow::Result<BodyStart> {
    let mut bytes = Vec::new();
    let mut is_ended = false;
    loop {
        match link::receive(reader, MAX_FRAME_BYTES).await? {
            Some(Frame::RequestBody(chunk)) => bytes.extend_from_slice(&chunk),
            Some(Frame::RequestEnd) => is_ended = true,
            Some(_) => bail!("an unexpected frame within a body"),
            None => bail!("the router left within the body"),
        }
        let mut extract = None;
        with_head(head, headers, &mut |head| {
            let program = &view.program;
            extract = Some(program.extract_key(route, head, &bytes, is_ended, MAX_SEARCH_BYTES));
        });
        let is_complete = is_ended || bytes.len() >= MAX_SEARCH_BYTES;
        if let Some(extract) = extract.filter(|extract| is_complete || extract.is_complete()) {
            return Ok(BodyStart {
                bytes,
                is_ended,
                extract,
            });
        }
    }
}

/// Resolves the key, after the body, which may have taken long to come.
fn resolve(
    control: &ControlPlane,
    view: &View,
    head: &ForwardedRequest,
    start: BodyStart,
    route: usize,
) -> Result<ResolvedRequest, Rejection> {
    let refuse = |status, code, text: &str| Err(Rejection::not_run(status, code, text));
    let KeyField::Known(key) = &start.extract.tenant else {
        return refuse(401, "no-key", "no tenant key is to be found in this job");
    };
    let key = policy::sha256_hex(key);
    let Some(tenant) = view.keys.get(&key) else {
        return refuse(401, "unknown-key", "this tenant key is not known");
    };
    let KeyField::Known(service) = &start.extract.service else {
        return refuse(400, "no-model", "no model is to be found in this job");
    };
    match control.driver.resolve(tenant, service, &head.client_region) {
        Ok(mapping) => Ok(ResolvedRequest {
            mapping,
            extract: start.extract,
            key,
            body_start: start.bytes.into(),
            is_ended: start.is_ended,
            route,
        }),
        Err(ResolveError::NoLease) => Err(no_lease_refusal()),
        Err(ResolveError::NoMapping { code, text }) => Err(rejection::lookup_rejection(code, text)),
    }
}
