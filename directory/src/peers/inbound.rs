//! The listener of a node: it accepts peers, routers and forwarded requests.

use super::sender_check::{check_sender, PeerFrameError};
use crate::control_plane::ControlPlane;
use crate::driver::{DriverCommand, RequestFromPeer, MAX_SILENCE_MS};
use crate::{forwarded_requests, state_watch, subscriptions};
use consensus::Member;
use protocol::{ConnectionKind, Frame, PeerRequest, PeerResponse};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use transport::{link, now};

/// Accepts connections for as long as the node runs.
pub(crate) async fn accept(control: Arc<ControlPlane>, listener: TcpListener) {
    link::accept(listener, |stream| {
        serve_connection(Arc::clone(&control), stream)
    })
    .await;
}

async fn serve_connection(control: Arc<ControlPlane>, mut stream: TcpStream) -> anyhow::Result<()> {
    let (kind, name) = link::accept_handshake(&mut stream).await?;
    match kind {
        ConnectionKind::Peer => receive_from_peer(control, stream).await,
        ConnectionKind::RouterSession => subscriptions::serve(control, stream, name).await,
        ConnectionKind::Forwarding => forwarded_requests::serve(control, stream).await,
        ConnectionKind::StateWatch => state_watch::serve(control, stream).await,
        ConnectionKind::CacheSharing => anyhow::bail!("{name} takes this for a router"),
    }
}

/// Receives frames of another directory node until one of them breaks the protocol.
async fn receive_from_peer(
    control: Arc<ControlPlane>,
    mut stream: TcpStream,
) -> anyhow::Result<()> {
    let mut peer = None;
    let mut received_at_ms = now();
    // Whether frames may have waited on their way. Those of the consensus carry terms
    // and read rounds and may be late; reports of routers say only how old they were
    // when they were sent.
    let mut may_be_late = false;
    while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
        let silence_ms = now() - std::mem::replace(&mut received_at_ms, now());
        may_be_late |= silence_ms >= MAX_SILENCE_MS;
        check_sender(&mut peer, &frame)?;
        match frame {
            Frame::Introduce(member) => control.peers.learn_address(member),
            Frame::Routers { .. } if may_be_late => return Err(PeerFrameError::ReportsLate.into()),
            Frame::Routers { routers, .. } => {
                if !control.driver.was_paused_recently() {
                    control.routers.merge_peer_reports(routers);
                }
            }
            Frame::Join(member) => {
                let response = add_learner(&control, member).await;
                link::send(&mut stream, &response).await?;
            }
            frame => pass_to_driver(&control, peer.as_ref(), frame)?,
        }
    }
    Ok(())
}

/// Passes a consensus message, a request or a response to the driver's thread. A
/// frame that finds its queue full is dropped; the peer sends it again.
fn pass_to_driver(
    control: &ControlPlane,
    peer: Option<&Member>,
    frame: Frame,
) -> Result<(), PeerFrameError> {
    let command = match frame {
        Frame::Consensus(message) => DriverCommand::Received(message),
        Frame::PeerRequest {
            from,
            request_id,
            validity,
            request,
        } => DriverCommand::PeerRequest(RequestFromPeer {
            from,
            request_id,
            validity,
            request,
        }),
        Frame::PeerResponse {
            request_id,
            clock_ms,
            response,
        } => {
            let is_awaited = |peer| control.peers.accept_response(request_id, peer);
            if !peer.is_some_and(is_awaited) {
                return Ok(());
            }
            DriverCommand::PeerResponse {
                request_id,
                clock_ms,
                response,
            }
        }
        other => return Err(PeerFrameError::UnexpectedFrame(Box::new(other))),
    };
    control.driver.send(command);
    Ok(())
}

/// Adds a node that asks to join as a learner; the response says whether it was.
async fn add_learner(control: &ControlPlane, member: Member) -> Frame {
    let response = control
        .driver
        .request(PeerRequest::AddLearner(member))
        .await;
    let text = match &response {
        PeerResponse::Rejected(text) => text.0.clone(),
        other => format!("{other:?}"),
    };
    let admitted = matches!(
        response,
        PeerResponse::ReadIndex { .. } | PeerResponse::MembershipChanged
    );
    Frame::Joined { admitted, text }
}
