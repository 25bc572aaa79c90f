//! The miss path: a job handed to a directory node of the caller's own region
//! or of a home region, over a connection of its own.

use crate::{cache_tiers::LookupPermit, membership, Router};
use bytes::Bytes;
use dispatch::{
    apply_event, headers_from_frame, headers_to_frame, strip_connection_headers, BodyStream,
    ChannelBody, RequestBody, RequestParts, STREAM_IDLE_TIMEOUT,
};
use dropshot::Body;
use http_body_util::BodyExt;
use placement::{ExecutionOutcome, RequestEvent, RequestStateMachine};
use protocol::{ConnectionKind, ForwardedRequest, Frame};
use residency::Mapping;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use transport::http_server::Response;
use transport::rejection::Rejection;
use transport::AbortOnDrop;
use transport::{link, now};

/// How long a node has to say that it is there.
const WELCOME_PATIENCE: Duration = Duration::from_millis(400);

/// What came of handing a job on.
pub enum ForwardOutcome {
    Response(Response),
    /// The node left the dispatch to this router, which has the mapping now.
    Mapping(Mapping),
    /// No node could be reached; nothing was sent.
    Unreachable,
    Refused(Rejection),
}

/// Directory nodes that may see the body, as things are now: of this region,
/// then of the tenant's homes.
pub fn permitted(router: &Router, tenant: Option<&str>) -> Vec<SocketAddr> {
    let view = router.view.borrow().clone();
    let terms = tenant.and_then(|tenant| view.tenants.get(tenant));
    let homes = terms.map_or(&[][..], |terms| &terms.homes[..]);
    let membership = router.membership.read();
    let place = |region: &str| match region == router.settings.region {
        true => Some(0),
        false => homes
            .iter()
            .position(|home| home.0 == region)
            .map(|at| at + 1),
    };
    let mut nodes: Vec<(usize, u32, SocketAddr)> = membership
        .directories()
        .iter()
        .filter_map(|member| {
            Some((
                place(&member.region)?,
                rand::random(),
                member.address.parse().ok()?,
            ))
        })
        .collect();
    nodes.sort();
    nodes.into_iter().map(|(_, _, address)| address).collect()
}

/// Hands a job in state `Keyed` to the first node that may see its body and can
/// be reached.
pub async fn forward(
    router: &Arc<Router>,
    job: &mut RequestStateMachine,
    parts: &RequestParts,
    carried: &mut RequestBody,
    tenant: Option<&str>,
    permit: Option<&LookupPermit>,
) -> ForwardOutcome {
    for node in permitted(router, tenant) {
        match welcomed(router, node).await {
            Ok(stream) => {
                let (reader, writer) = stream.into_split();
                if let Err(refusal) = router.check_lease() {
                    return ForwardOutcome::Refused(refusal);
                }
                // Homes may have changed while the node was asked.
                if !permitted(router, tenant).contains(&node) {
                    continue;
                }
                let is_known = parts.key_digest.is_empty()
                    || router.view.borrow().keys.contains_key(&parts.key_digest);
                if !is_known {
                    let text = "this tenant key was taken away meanwhile";
                    return ForwardOutcome::Refused(Rejection::not_run(401, "unknown-key", text));
                }
                apply_event(job, RequestEvent::Forwarded);
                router.metrics.increment("forwards");
                log::info!(job = parts.id.as_str(), directory = node.to_string(); "handed on");
                let conversation = converse(router, job, parts, carried, permit, reader, writer);
                let left = Duration::from_millis(parts.deadline_ms.saturating_sub(now()));
                return match tokio::time::timeout(left, conversation).await {
                    Ok(Ok(handed)) => handed,
                    Ok(Err(error)) => {
                        log::info!(job = parts.id.as_str(); "lost at {node}: {error:#}");
                        apply_event(job, RequestEvent::ResponseLost);
                        lost(502, "directory-lost", "the directory node broke off")
                    }
                    Err(_) => lost(504, "deadline", "the job's deadline passed"),
                };
            }
            Err(error) => {
                router.metrics.increment("nodes-silent");
                log::info!(job = parts.id.as_str(); "{error:#}");
            }
        }
    }
    ForwardOutcome::Unreachable
}

/// A connection on which a node has said that it is there. Nothing of a job has
/// been sent on it.
async fn welcomed(router: &Router, node: SocketAddr) -> anyhow::Result<TcpStream> {
    let name = &router.settings.name;
    let mut stream = link::dial(
        router.settings.peer_listen_address,
        node,
        ConnectionKind::Forwarding,
        name,
    )
    .await?;
    let answer = link::receive(&mut stream, protocol::MAX_HELLO_BYTES);
    match tokio::time::timeout(WELCOME_PATIENCE, answer).await {
        Ok(Ok(Some(Frame::Ready))) => Ok(stream),
        Ok(Ok(Some(Frame::Refused { text }))) => anyhow::bail!("{node} refuses: {text}"),
        Ok(Ok(_)) => anyhow::bail!("{node} does not take a job"),
        Ok(Err(error)) => Err(error.context(format!("connecting to {node}"))),
        Err(_) => anyhow::bail!("{node} is silent"),
    }
}

fn lost(status: u16, code: &'static str, text: &str) -> ForwardOutcome {
    let refusal = Rejection::not_run(status, code, text);
    ForwardOutcome::Refused(Rejection {
        outcome: ExecutionOutcome::Unknown,
        ..refusal
    })
}

async fn converse(
    router: &Arc<Router>,
    job: &mut RequestStateMachine,
    parts: &RequestParts,
    carried: &mut RequestBody,
    permit: Option<&LookupPermit>,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) -> anyhow::Result<ForwardOutcome> {
    let mut headers = parts.headers.clone();
    strip_connection_headers(&mut headers);
    let head = ForwardedRequest {
        id: parts.id.clone(),
        method: parts.method.to_string(),
        target: parts.target.clone(),
        headers: headers_to_frame(&headers),
        client_region: router.settings.region.clone(),
        epoch: router.view.borrow().epoch,
        remaining_ms: parts.deadline_ms.saturating_sub(now()),
        is_quota_charged: permit.is_some(),
    };
    link::send(&mut writer, &Frame::RequestHead(head)).await?;
    link::send(&mut writer, &Frame::RequestBody(carried.buffered.to_vec())).await?;
    // A job whose key this router read waits for the node's word before the
    // rest follows; one whose key is still to be found is sent on whole.
    let mut way = Some(writer);
    let mut upload = None;
    if !carried.has_remainder() {
        send_end(&mut way).await?;
    } else if permit.is_none() {
        let rest = carried.take_remainder();
        upload = rest
            .zip(way.take())
            .map(|(rest, writer)| send_rest(rest, writer));
    }
    let mut mapping: Option<Mapping> = None;
    let service = permit
        .and_then(|permit| permit.key().split_once('/'))
        .map_or("", |pair| pair.1);
    let has_budget = || (router.dispatcher.retry_budget)(service);
    loop {
        match link::receive(&mut reader, protocol::MAX_FRAME_BYTES).await? {
            Some(Frame::Mapping(found)) => {
                if let Some(permit) = permit {
                    anyhow::ensure!(found.routing_key() == permit.key(), "it mapped another key");
                    permit.publish(&found);
                }
                membership::keep(router, &found);
                mapping = Some(found);
            }
            Some(Frame::Continue) => {
                if let Some(rest) = carried.take_remainder() {
                    upload = way.take().map(|writer| send_rest(rest, writer));
                }
            }
            // Neither the node nor an engine has room, or it can't reach the
            // engine that it elected: the latter's next round is one more, and
            // needs the budget.
            Some(Frame::Rejected {
                not_run: true,
                code,
                ..
            }) if carried.is_intact()
                && mapping.is_some()
                && (code == "directory-full"
                    || code == "engines-full"
                    || code == "engines-unreachable" && has_budget()) =>
            {
                apply_event(job, RequestEvent::ForwardNotRun);
                router.metrics.increment("handed-back");
                if code == "engines-unreachable" {
                    log::info!(job = parts.id.as_str(); "a further round");
                }
                return Ok(ForwardOutcome::Mapping(mapping.expect("looked at above")));
            }
            Some(Frame::Rejected {
                not_run,
                status,
                code,
                text,
                retry_after_ms,
            }) => {
                let mut refusal = Rejection::not_run(status, &code, text);
                if !not_run {
                    apply_event(job, RequestEvent::ResponseLost);
                    refusal.outcome = ExecutionOutcome::Unknown;
                }
                refusal.retry_after_ms = Some(retry_after_ms).filter(|ms| *ms > 0);
                return Ok(ForwardOutcome::Refused(refusal));
            }
            Some(Frame::ResponseHead { status, headers }) => {
                let (status, headers) = (
                    http::StatusCode::from_u16(status)?,
                    headers_from_frame(&headers)?,
                );
                apply_event(job, RequestEvent::ResponseStarted);
                let (pieces, body) = mpsc::channel(8);
                let relay = Relay {
                    reader,
                    pieces,
                    _way: way,
                    _upload: upload,
                };
                let (id, metrics) = (parts.id.clone(), Arc::clone(&router.metrics));
                tokio::spawn(async move {
                    match relay.run().await {
                        Ok(()) => metrics.increment("relays-whole"),
                        Err(error) => {
                            metrics.increment("relays-broken");
                            log::info!(job = id.as_str(); "the relay broke: {error:#}");
                        }
                    }
                });
                let mut response = hyper::Response::new(Body::wrap(ChannelBody(body)));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return Ok(ForwardOutcome::Response(response));
            }
            Some(other) => anyhow::bail!("an unexpected frame: {other:?}"),
            None => anyhow::bail!("it closed"),
        }
    }
}

async fn send_end(way: &mut Option<OwnedWriteHalf>) -> anyhow::Result<()> {
    match way {
        Some(writer) => link::send(writer, &Frame::RequestEnd).await,
        None => Ok(()),
    }
}

/// Sends the rest of a body, then keeps the way open: its closing would say
/// that this router is gone.
fn send_rest(mut rest: BodyStream, mut writer: OwnedWriteHalf) -> AbortOnDrop {
    let task = tokio::spawn(async move {
        let done = async {
            while let Some(frame) = rest.frame().await {
                if let Ok(data) = frame?.into_data() {
                    for piece in data.chunks(512 << 10) {
                        link::send(&mut writer, &Frame::RequestBody(piece.to_vec())).await?;
                    }
                }
            }
            link::send(&mut writer, &Frame::RequestEnd).await
        };
        // A body that broke off closes the way without its end.
        if done.await.is_ok() {
            std::future::pending::<()>().await;
        }
    });
    AbortOnDrop(task.abort_handle())
}

/// An answer on its way through a directory node. Invariant: the caller's body
/// ends well only after the end frame.
struct Relay {
    reader: OwnedReadHalf,
    pieces: mpsc::Sender<anyhow::Result<Bytes>>,
    _way: Option<OwnedWriteHalf>,
    _upload: Option<AbortOnDrop>,
}

impl Relay {
    async fn run(mut self) -> anyhow::Result<()> {
        let end = loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(STREAM_IDLE_TIMEOUT, link::receive(&mut self.reader, protocol::MAX_FRAME_BYTES)) => frame,
                () = self.pieces.closed() => anyhow::bail!("the client left"),
            };
            match frame {
                Ok(Ok(Some(Frame::ResponseBody(bytes)))) => {
                    if self.pieces.send(Ok(bytes.into())).await.is_err() {
                        anyhow::bail!("the client left");
                    }
                }
                Ok(Ok(Some(Frame::ResponseEnd))) => return Ok(()),
                Ok(Ok(Some(other))) => break anyhow::anyhow!("an unexpected frame: {other:?}"),
                Ok(Ok(None)) => break anyhow::anyhow!("it closed before the end"),
                Ok(Err(error)) => break error,
                Err(_) => break anyhow::anyhow!("it fell silent"),
            }
        };
        let text = end.to_string();
        drop(self.pieces.send(Err(end)).await);
        anyhow::bail!(text)
    }
}
