//! Forwarding: a request handed to a directory node of the client's own region or of
//! a home region, over a connection of its own.

mod conversation;
mod outcome;
mod relay;

pub use outcome::ForwardOutcome;

use crate::cache_tiers::LookupPermit;
use crate::conversation_error::ConversationError;
use crate::rejection::RouterRejection;
use crate::router::Router;
use conversation::Conversation;
use dispatch::{apply_event, RequestBody, RequestParts};
use placement::{RequestEvent, RequestStateMachine};
use protocol::{ConnectionKind, Frame};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use transport::{link, now};

/// How long a node may take to welcome a connection.
const WELCOME_TIMEOUT: Duration = Duration::from_millis(400);

/// Directory nodes that may see the body, as things are now: of this region, then of
/// the tenant's home regions.
fn permitted_nodes(router: &Router, tenant: Option<&str>) -> Vec<SocketAddr> {
    let view = router.view.borrow().clone();
    let limits = tenant.and_then(|tenant| view.tenants.get(tenant));
    let homes = limits.map_or(&[][..], |limits| &limits.homes[..]);
    let membership = router.membership.read();
    let preference = |region: &str| match region == router.settings.region {
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
                preference(&member.region)?,
                rand::random(),
                member.address.parse().ok()?,
            ))
        })
        .collect();
    nodes.sort();
    nodes.into_iter().map(|(_, _, address)| address).collect()
}

/// Forwards a request in state `Keyed` to the first node that may see its body and
/// can be reached. With a permit the routing key is known here, and the node's
/// mapping goes to those who wait for it.
pub async fn forward(
    router: &Router,
    state: &mut RequestStateMachine,
    parts: &RequestParts,
    body: &mut RequestBody,
    tenant: Option<&str>,
    permit: Option<&LookupPermit>,
) -> ForwardOutcome {
    for node in permitted_nodes(router, tenant) {
        let stream = match tokio::time::timeout(remaining(parts), connect(router, node)).await {
            Ok(Ok(stream)) => stream,
            Err(_) => return deadline_passed(state),
            Ok(Err(error)) => {
                router.metrics.increment("nodes-silent");
                log::info!(job = parts.id.as_str(), directory = node.to_string();
                    "the directory node takes no request: {error}");
                continue;
            }
        };
        if let Err(rejection) = router.lease.check() {
            return rejection.into();
        }
        // Homes may have changed while the node was connected to.
        if !permitted_nodes(router, tenant).contains(&node) {
            continue;
        }
        if !is_key_valid(router, &parts.key_digest) {
            return RouterRejection::TenantKeyRevoked.into();
        }
        apply_event(state, RequestEvent::Forwarded);
        router.metrics.increment("forwards");
        log::info!(job = parts.id.as_str(), directory = node.to_string(); "forwarded");
        let conversation = Conversation::new(router, state, parts, body, permit, stream).run();
        return match tokio::time::timeout(remaining(parts), conversation).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                log::info!(job = parts.id.as_str(), directory = node.to_string();
                    "the directory node was lost: {error}");
                apply_event(state, RequestEvent::ResponseLost);
                RouterRejection::DirectoryLost.into()
            }
            Err(_) => deadline_passed(state),
        };
    }
    ForwardOutcome::Unreachable
}

/// The time until the request's deadline.
fn remaining(parts: &RequestParts) -> Duration {
    Duration::from_millis(parts.deadline_ms.saturating_sub(now()))
}

fn deadline_passed(state: &mut RequestStateMachine) -> ForwardOutcome {
    apply_event(state, RequestEvent::DeadlinePassed);
    let outcome = state.outcome();
    RouterRejection::DeadlinePassed { outcome }.into()
}

/// Whether the key that let a request in is still known; a public route has none.
fn is_key_valid(router: &Router, key_fingerprint: &str) -> bool {
    key_fingerprint.is_empty() || router.view.borrow().keys.contains_key(key_fingerprint)
}

/// A connection that a node has welcomed. Nothing of a request was sent on it.
async fn connect(router: &Router, node: SocketAddr) -> Result<TcpStream, ConversationError> {
    let settings = &router.settings;
    let mut stream = link::dial(
        settings.peer_listen_address,
        node,
        ConnectionKind::Forwarding,
        &settings.name,
    )
    .await?;
    let welcome = link::receive(&mut stream, protocol::MAX_HELLO_BYTES);
    match tokio::time::timeout(WELCOME_TIMEOUT, welcome).await {
        Ok(Ok(Some(Frame::Ready))) => Ok(stream),
        Ok(Ok(Some(Frame::Refused { text }))) => Err(ConversationError::Refused { text }),
        Ok(Ok(Some(other))) => Err(ConversationError::unexpected(other)),
        Ok(Ok(None)) => Err(ConversationError::Closed),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(ConversationError::TimedOut {
            waiting_for: "waiting for its welcome",
        }),
    }
}
