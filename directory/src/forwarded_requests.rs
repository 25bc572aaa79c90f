//! Forwarded jobs: one connection each. The mapping goes back first, then the
//! engine's answer, then an end frame; without it the answer is broken.

use crate::driver::no_lease_refusal;
use crate::ControlPlane;
use anyhow::{anyhow, bail};
use bytes::Bytes;
use dispatch::{
    apply_event, headers_from_frame, headers_to_frame, ChannelBody, RequestBody, RequestParts,
};
use http_body_util::BodyExt;
use placement::{ExecutionOutcome, RequestEvent, RequestStateMachine};
use policy::{ExtractedKey, KeyField, Prompt, RequestHead};
use protocol::{ForwardedRequest, Frame};
use residency::Mapping;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use transport::rejection::{self, Rejection};
use transport::{link, now};

/// A body whose key is not found within this is refused.
const SEARCH_CAP: usize = 1 << 20;
/// How long a job waits for the leader's word on its quota.
const QUOTA_PATIENCE: Duration = Duration::from_millis(2_500);

fn declined(refusal: &Rejection) -> Frame {
    Frame::Rejected {
        status: refusal.status,
        code: refusal.code.clone(),
        text: refusal.text.clone(),
        not_run: refusal.outcome == ExecutionOutcome::NotRun,
        retry_after_ms: refusal.retry_after_ms.unwrap_or(0),
    }
}

pub async fn serve(control: Arc<ControlPlane>, stream: TcpStream) -> anyhow::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    if !control.driver.lease_valid() {
        let text = "this directory node is cut off from a majority".into();
        return link::send(&mut writer, &Frame::Refused { text }).await;
    }
    link::send(&mut writer, &Frame::Ready).await?;
    let first = tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::receive(&mut reader, 1 << 20))
        .await??;
    let Some(Frame::RequestHead(head)) = first else {
        bail!("a job's connection begins with the job")
    };
    control.metrics.increment("jobs-forwarded");
    log::info!(job = head.id.as_str(); "its body is here");
    let read = tokio::time::timeout(
        Duration::from_secs(10),
        read_key(&control, &head, &mut reader),
    );
    let found = match read.await {
        Ok(found) => found?,
        Err(_) => Err(Rejection::not_run(
            408,
            "slow-body",
            "the body came too slowly",
        )),
    };
    let Found {
        mapping,
        extract,
        key,
        held,
        is_ended,
        route,
    } = match found {
        Ok(found) => found,
        Err(refusal) => return link::send(&mut writer, &declined(&refusal)).await,
    };
    if head.is_quota_charged == 0 {
        let view = control.driver.view.borrow().clone();
        let terms = view
            .tenants
            .get(&mapping.tenant)
            .map_or((0, 0), |t| (t.requests_per_s, t.burst));
        if let Err(refusal) = control
            .quota
            .admit(&mapping.tenant, terms, 0, QUOTA_PATIENCE)
            .await
        {
            control.metrics.increment("refused-quota");
            return link::send(&mut writer, &declined(&refusal)).await;
        }
        log::info!(job = head.id.as_str(); "admitted");
    }
    link::send(&mut writer, &Frame::Mapping(mapping.clone())).await?;
    // Past its budget a node still answers with the mapping alone.
    let place = Arc::clone(&control.forwarding_slots).try_acquire_owned();
    let weight = (held.len() + 64 * 1024) as u32;
    let bytes = Arc::clone(&control.forwarding_bytes).try_acquire_many_owned(weight);
    let (Ok(_place), Ok(_bytes)) = (place, bytes) else {
        control.metrics.increment("jobs-over-budget");
        let refusal =
            Rejection::not_run(503, "directory-full", "take the job to an engine yourself");
        return link::send(&mut writer, &declined(&refusal)).await;
    };
    let is_repeatable = control
        .driver
        .view
        .borrow()
        .program
        .routes
        .get(route)
        .is_some_and(|route| route.is_idempotent);
    let mut job = RequestStateMachine::new(is_repeatable);
    apply_event(&mut job, RequestEvent::RoutingKeyExtracted);
    apply_event(&mut job, RequestEvent::MappingResolved);
    let (pieces, rest) = mpsc::channel::<anyhow::Result<Bytes>>(8);
    let mut carried = RequestBody::new(held, (!is_ended).then(|| ChannelBody(rest).boxed_unsync()));
    if !is_ended {
        link::send(&mut writer, &Frame::Continue).await?;
    }
    let parts = RequestParts {
        id: head.id.clone(),
        method: head.method.parse()?,
        target: head.target.clone(),
        headers: headers_from_frame(&head.headers)?,
        key,
        deadline: now().saturating_add(head.remaining_ms),
        prompt: Prompt::default(),
        urgency: None,
        aim_ms: 0,
    };
    let prefix = extract.prefix_hash.unwrap_or(0);
    let mut upload = pin!(upload(&mut reader, pieces, is_ended));
    let answer = {
        let mut work =
            pin!(control
                .dispatcher
                .dispatch(&mut job, &parts, &mut carried, &mapping, prefix));
        tokio::select! {
            answer = &mut work => answer,
            gone = &mut upload => {
                gone?;
                bail!("the router left before an answer began");
            }
        }
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(refusal) => return link::send(&mut writer, &declined(&refusal)).await,
    };
    let head = Frame::ResponseHead {
        status: answer.status.as_u16(),
        headers: headers_to_frame(&answer.headers),
    };
    link::send(&mut writer, &head).await?;
    let mut body = answer.body;
    loop {
        tokio::select! {
            piece = body.frame() => match piece {
                Some(piece) => {
                    if let Ok(data) = piece?.into_data() {
                        link::send(&mut writer, &Frame::ResponseBody(data.to_vec())).await?;
                    }
                }
                None => {
                    return link::send(&mut writer, &Frame::ResponseEnd).await;
                }
            },
            gone = &mut upload => {
                gone?;
                bail!("the router left while the answer was on its way");
            }
        }
    }
}

/// Carries the rest of the body over, then watches for the router's leaving;
/// it ends only when the router is gone.
async fn upload(
    reader: &mut (impl AsyncRead + Unpin),
    pieces: mpsc::Sender<anyhow::Result<Bytes>>,
    mut is_ended: bool,
) -> anyhow::Result<()> {
    let mut pieces = Some(pieces);
    loop {
        let frame = link::receive(reader, 1 << 20).await;
        match frame {
            Ok(Some(Frame::RequestBody(bytes))) if !is_ended => {
                if let Some(sender) = &pieces {
                    // The engine may stop listening; the answer says why.
                    drop(sender.send(Ok(bytes.into())).await);
                }
            }
            Ok(Some(Frame::RequestEnd)) if !is_ended => {
                is_ended = true;
                pieces = None;
            }
            Ok(Some(_)) => bail!("an unexpected frame within a job"),
            Ok(None) | Err(_) => {
                if let Some(sender) = pieces.filter(|_| !is_ended) {
                    drop(sender.send(Err(anyhow!("the body broke off"))).await);
                }
                return frame.map(|_| ());
            }
        }
    }
}

/// A job whose key was found and resolved.
struct Found {
    mapping: Mapping,
    extract: ExtractedKey,
    key: String,
    held: Bytes,
    is_ended: bool,
    route: usize,
}

/// Reads as much of the body as the key needs, and resolves it.
async fn read_key(
    control: &ControlPlane,
    head: &ForwardedRequest,
    reader: &mut (impl AsyncRead + Unpin),
) -> anyhow::Result<Result<Found, Rejection>> {
    if !control.driver.lease_valid() {
        return Ok(Err(no_lease_refusal()));
    }
    // Never from an older state than the router's own.
    let mut views = control.driver.view.clone();
    let is_there = views.wait_for(|view| view.epoch >= head.epoch);
    let Ok(Ok(view)) = tokio::time::timeout(Duration::from_millis(500), is_there)
        .await
        .map(|found| found.map(|view| view.clone()))
    else {
        let text = "this directory node is behind the router";
        return Ok(Err(Rejection::not_run(503, "behind", text)));
    };
    let headers = headers_from_frame(&head.headers)?;
    // The door's own view of the job, as the rules read it.
    let with_head = |ask: &mut dyn FnMut(&RequestHead)| {
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let header = |name: &str| headers.get(name)?.to_str().ok().map(String::from);
        let split_seed = policy::stable_hash(head.id.as_bytes());
        ask(&RequestHead {
            method: &head.method,
            path,
            query,
            header: &header,
            split_seed,
        });
    };
    let mut route = None;
    with_head(&mut |head| route = view.program.match_route(head));
    let Some(route) = route else {
        return Ok(Err(Rejection::not_run(
            404,
            "no-route",
            "no route is_match this method and path",
        )));
    };
    let mut held = Vec::new();
    let mut is_ended = false;
    let extract = loop {
        match link::receive(reader, 1 << 20).await? {
            Some(Frame::RequestBody(bytes)) => held.extend_from_slice(&bytes),
            Some(Frame::RequestEnd) => is_ended = true,
            Some(_) => bail!("an unexpected frame within a body"),
            None => bail!("the router left within the body"),
        }
        let mut extract = None;
        with_head(&mut |head| {
            extract = Some(
                view.program
                    .extract_key(route, head, &held, is_ended, SEARCH_CAP),
            );
        });
        match extract {
            Some(extract) if is_ended || held.len() >= SEARCH_CAP || extract.is_complete() => {
                break extract
            }
            _ => {}
        }
    };
    let refuse = |status, code, text: &str| Ok(Err(Rejection::not_run(status, code, text)));
    let KeyField::Known(key) = &extract.tenant else {
        return refuse(401, "no-key", "no tenant key is to be found in this job");
    };
    let key = policy::sha256_hex(key);
    let Some(tenant) = view.keys.get(&key) else {
        return refuse(401, "unknown-key", "this tenant key is not known");
    };
    let KeyField::Known(service) = &extract.service else {
        return refuse(400, "no-model", "no model is to be found in this job");
    };
    // Looked at after the body, which may have taken long to come.
    let Some(resolved) = control.driver.resolve(tenant, service, &head.client_region) else {
        return Ok(Err(no_lease_refusal()));
    };
    Ok(match resolved {
        Ok(mapping) => Ok(Found {
            mapping,
            extract,
            key,
            held: held.into(),
            is_ended,
            route,
        }),
        Err((code, text)) => Err(rejection::lookup_rejection(code, text)),
    })
}
