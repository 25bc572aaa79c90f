//! Takes one forwarded request to an engine and its response back to the router.

use super::body::{upload, MAX_FRAME_BYTES};
use super::key::{read_key, ResolvedRequest};
use crate::control_plane::ControlPlane;
use anyhow::bail;
use dispatch::{
    apply_event, headers_from_frame, headers_to_frame, ChannelBody, EngineResponse, RequestBody,
    RequestParts,
};
use http_body_util::BodyExt;
use placement::{ExecutionOutcome, RateLimit, RequestEvent, RequestStateMachine};
use policy::Prompt;
use protocol::{ForwardedRequest, Frame};
use residency::Mapping;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use transport::rejection::Rejection;
use transport::{link, now, sleep_until};

/// How long a request waits for the leader's grant of quota.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A router ends its request at the deadline, and knows whether it may have run. What it doesn't
/// end is ended this much later: the time left is told in whole milliseconds.
const DEADLINE_MARGIN_MS: u64 = 20;
/// How long the body may take to bring the key.
const KEY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that a request takes in memory beside what of its body was read.
const REQUEST_OVERHEAD_BYTES: usize = 64 * 1024;
/// Chunks of the body that wait for the engine, at the most.
const CHUNK_QUEUE_LEN: usize = 8;

/// Bounds what this node forwards; released when the request ends.
struct ForwardingPermits {
    _slot: OwnedSemaphorePermit,
    _bytes: OwnedSemaphorePermit,
}

/// Serves one forwarded request.
///
/// # Errors
/// The connection broke or a frame broke the protocol; the router sees a broken response.
pub(crate) async fn serve(control: Arc<ControlPlane>, stream: TcpStream) -> anyhow::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    if !control.driver.lease_valid() {
        let text = "this directory node is cut off from a majority".into();
        link::send(&mut writer, &Frame::Refused { text }).await?;
        return Ok(());
    }
    link::send(&mut writer, &Frame::Ready).await?;
    let head = receive_head(&mut reader).await?;
    let deadline_ms = now().saturating_add(head.remaining_ms);
    control.metrics.increment("jobs-forwarded");
    log::info!(job = head.id.as_str(); "the request is received");
    tokio::select! {
        biased;
        served = serve_request(&control, &head, deadline_ms, &mut reader, &mut writer) => served,
        () = sleep_until(deadline_ms.saturating_add(DEADLINE_MARGIN_MS)) => {
            // The router's own deadline came first.
            control.metrics.increment("forwards-ended-at-deadline");
            log::info!(job = head.id.as_str(); "the request's deadline passed");
            Ok(())
        }
    }
}

/// Serves a request whose head was read; the caller drops this at the deadline.
async fn serve_request(
    control: &ControlPlane,
    head: &ForwardedRequest,
    deadline_ms: u64,
    reader: &mut OwnedReadHalf,
    writer: &mut OwnedWriteHalf,
) -> anyhow::Result<()> {
    let resolved = match resolve_in_time(control, head, reader).await? {
        Ok(resolved) => resolved,
        Err(refusal) => return Ok(link::send(writer, &refused(&refusal)).await?),
    };
    if let Err(refusal) = admit(control, head, &resolved.mapping).await {
        return Ok(link::send(writer, &refused(&refusal)).await?);
    }
    link::send(writer, &Frame::Mapping(resolved.mapping.clone())).await?;
    // Past its budget a node still answers with the mapping alone.
    let _permits = match acquire_permits(control, resolved.body_start.len()) {
        Ok(permits) => permits,
        Err(refusal) => return Ok(link::send(writer, &refused(&refusal)).await?),
    };
    forward(control, head, deadline_ms, resolved, reader, writer).await
}

async fn receive_head(reader: &mut (impl AsyncRead + Unpin)) -> anyhow::Result<ForwardedRequest> {
    let first = link::receive(reader, MAX_FRAME_BYTES);
    match tokio::time::timeout(link::HANDSHAKE_TIMEOUT, first).await?? {
        Some(Frame::RequestHead(head)) => Ok(head),
        _ => bail!("a job's connection begins with the job"),
    }
}

async fn resolve_in_time(
    control: &ControlPlane,
    head: &ForwardedRequest,
    reader: &mut (impl AsyncRead + Unpin),
) -> anyhow::Result<Result<ResolvedRequest, Rejection>> {
    match tokio::time::timeout(KEY_TIMEOUT, read_key(control, head, reader)).await {
        Ok(resolved) => resolved,
        Err(_) => Ok(Err(Rejection::not_run(
            408,
            "slow-body",
            "the body came too slowly",
        ))),
    }
}

/// Charges the tenant's quota, where the router did not.
async fn admit(
    control: &ControlPlane,
    head: &ForwardedRequest,
    mapping: &Mapping,
) -> Result<(), Rejection> {
    if head.is_quota_charged {
        return Ok(());
    }
    let view = control.view();
    let limits = view.tenants.get(&mapping.tenant);
    let limits = limits.map_or(RateLimit::default(), |limits| RateLimit {
        requests_per_s: limits.requests_per_s,
        burst: limits.burst,
    });
    let admitted = control
        .quota
        .admit(&mapping.tenant, limits, 0, QUOTA_TIMEOUT);
    if let Err(refusal) = admitted.await {
        control.metrics.increment("refused-quota");
        return Err(refusal);
    }
    log::info!(job = head.id.as_str(); "admitted");
    Ok(())
}

fn acquire_permits(
    control: &ControlPlane,
    body_start_bytes: usize,
) -> Result<ForwardingPermits, Rejection> {
    let slot = Arc::clone(&control.forwarding_slots).try_acquire_owned();
    let bytes = (body_start_bytes + REQUEST_OVERHEAD_BYTES) as u32;
    let bytes = Arc::clone(&control.forwarding_bytes).try_acquire_many_owned(bytes);
    match (slot, bytes) {
        (Ok(slot), Ok(bytes)) => Ok(ForwardingPermits {
            _slot: slot,
            _bytes: bytes,
        }),
        _ => {
            control.metrics.increment("jobs-over-budget");
            let text = "take the job to an engine yourself";
            Err(Rejection::not_run(503, "directory-full", text))
        }
    }
}

/// Dispatches the request and streams the response back, while the rest of the body
/// goes to the engine.
async fn forward(
    control: &ControlPlane,
    head: &ForwardedRequest,
    deadline_ms: u64,
    resolved: ResolvedRequest,
    reader: &mut OwnedReadHalf,
    writer: &mut OwnedWriteHalf,
) -> anyhow::Result<()> {
    let mut request = RequestStateMachine::new(is_repeatable(control, resolved.route));
    apply_event(&mut request, RequestEvent::RoutingKeyExtracted);
    apply_event(&mut request, RequestEvent::MappingResolved);
    let is_ended = resolved.is_ended;
    let (chunks, rest) = mpsc::channel(CHUNK_QUEUE_LEN);
    let rest = (!is_ended).then(|| ChannelBody(rest).boxed_unsync());
    let mut body = RequestBody::new(resolved.body_start, rest);
    if !is_ended {
        link::send(writer, &Frame::Continue).await?;
    }
    let parts = request_parts(head, resolved.key, deadline_ms)?;
    let prefix = resolved.extract.prefix_hash.unwrap_or(0);
    let mut upload = pin!(upload(reader, chunks, is_ended));
    let response = {
        let dispatcher = &control.dispatcher;
        let mut dispatch =
            pin!(dispatcher.dispatch(&mut request, &parts, &mut body, &resolved.mapping, prefix));
        tokio::select! {
            response = &mut dispatch => response,
            gone = &mut upload => {
                gone?;
                bail!("the router left before an answer began");
            }
        }
    };
    match response {
        Ok(response) => send_response(response, writer, upload).await,
        Err(refusal) => Ok(link::send(writer, &refused(&refusal)).await?),
    }
}

fn is_repeatable(control: &ControlPlane, route: usize) -> bool {
    let view = control.driver.view.borrow();
    let route = view.program.routes.get(route);
    route.is_some_and(|route| route.is_idempotent)
}

fn request_parts(
    head: &ForwardedRequest,
    key: String,
    deadline_ms: u64,
) -> anyhow::Result<RequestParts> {
    Ok(RequestParts {
        id: head.id.clone(),
        method: head.method.parse()?,
        target: head.target.clone(),
        headers: headers_from_frame(&head.headers)?,
        key_digest: key,
        deadline_ms,
        prompt: Prompt::default(),
        urgency: None,
        latency_slo_ms: 0,
    })
}

/// Streams the engine's response; the router knows by the end frame that it is complete.
async fn send_response(
    response: EngineResponse,
    writer: &mut OwnedWriteHalf,
    mut upload: Pin<&mut impl Future<Output = anyhow::Result<()>>>,
) -> anyhow::Result<()> {
    let head = Frame::ResponseHead {
        status: response.status.as_u16(),
        headers: headers_to_frame(&response.headers),
    };
    link::send(writer, &head).await?;
    let mut body = response.body;
    loop {
        tokio::select! {
            chunk = body.frame() => match chunk {
                Some(chunk) => {
                    if let Ok(data) = chunk?.into_data() {
                        link::send(writer, &Frame::ResponseBody(data.to_vec())).await?;
                    }
                }
                None => return Ok(link::send(writer, &Frame::ResponseEnd).await?),
            },
            gone = &mut upload => {
                gone?;
                bail!("the router left while the answer was on its way");
            }
        }
    }
}

/// A refusal as the router gets it.
fn refused(refusal: &Rejection) -> Frame {
    Frame::Rejected {
        status: refusal.status,
        code: refusal.code.clone(),
        text: refusal.text.clone(),
        not_run: refusal.outcome == ExecutionOutcome::NotRun,
        retry_after_ms: refusal.retry_after_ms.unwrap_or(0),
    }
}
