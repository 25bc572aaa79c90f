//! One router's session.

use super::router_list;
use crate::control_plane::ControlPlane;
use crate::driver::{DriverCommand, ResolveError, Subscription, MAX_SILENCE_MS};
use crate::router_registry::WaitingHeartbeat;
use crate::session_queue::{session_queue, SessionReceiver, WeakSessionSender};
use consensus::ClusterId;
use protocol::{EncodedFrame, Frame, LookupResponse};
use residency::Epoch;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use transport::AbortOnDrop;
use transport::{link, now};

/// Frames that wait for one router, at the most. A router whose queue is full when a
/// change comes loses its session and connects again for a snapshot.
const QUEUE_LEN: usize = 1024;
/// How long a router may take to accept a piece of what is sent to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most that a router's frame may hold.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a session was ended here. The router connects again, which is always safe.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("its frames come {silence_ms} ms late")]
    FramesLate { silence_ms: u64 },
    #[error("it fell behind")]
    FellBehind,
    #[error("an unexpected frame from a router: {0:?}")]
    UnexpectedFrame(Box<Frame>),
    #[error("the first frame says no view: {0:?}")]
    NotSubscribed(Box<Frame>),
}

/// Serves a router until it leaves, falls behind, or one of its frames breaks the
/// protocol.
///
/// The task that sends router lists belongs to the session and ends with it.
pub(crate) async fn serve(
    control: Arc<ControlPlane>,
    stream: TcpStream,
    router: String,
) -> anyhow::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let (sender, queue) = session_queue(QUEUE_LEN);
    if let Some(text) = refusal(&control) {
        let text = text.into();
        return Ok(link::send(&mut writer, &Frame::Refused { text }).await?);
    }
    let Some((cluster, epoch)) = receive_view_position(&mut reader).await? else {
        return Ok(());
    };
    // Once it is subscribed, the driver's thread holds the only lasting sender: when it
    // drops it, the session ends.
    let weak_sender = sender.downgrade();
    let subscription = Subscription {
        sender,
        cluster,
        epoch,
    };
    let subscribing = subscribe_when_confirmed(Arc::clone(&control), subscription);
    let subscribing = tokio::spawn(subscribing);
    let _subscribing = AbortOnDrop(subscribing.abort_handle());
    log::info!(router = router.as_str(); "A router's session begins");
    let list_task = tokio::spawn(router_list::send_updates(
        Arc::clone(&control),
        weak_sender.clone(),
    ));
    let _list_task = AbortOnDrop(list_task.abort_handle());
    tokio::select! {
        done = write_frames(queue, writer) => done,
        done = read_frames(&control, reader, weak_sender) => done,
    }
}

/// Why a router is better off with another node; `None` where it is not.
fn refusal(control: &ControlPlane) -> Option<&'static str> {
    if control.driver.cluster_status.borrow().cluster == 0 {
        return Some("this node belongs to no cluster yet");
    }
    let is_empty = control.view().epoch == 0;
    // As after the loss of its disk: it has to catch up first.
    (is_empty && !control.driver.lease_valid()).then_some("this node holds no state yet")
}

/// The cluster and the epoch of the view that a router holds, by its first frame. `None`
/// where it closed before that.
async fn receive_view_position(
    reader: &mut OwnedReadHalf,
) -> anyhow::Result<Option<(ClusterId, Epoch)>> {
    let first = link::receive(reader, protocol::MAX_HELLO_BYTES);
    match tokio::time::timeout(link::HANDSHAKE_TIMEOUT, first).await?? {
        Some(Frame::Subscribe { cluster, epoch }) => Ok(Some((cluster, epoch))),
        Some(other) => Err(SessionError::NotSubscribed(Box::new(other)).into()),
        None => Ok(None),
    }
}

/// Subscribes a router once a majority has confirmed this node's state. Until then the
/// state may be older than the router's, as after a restart of all nodes: a snapshot of it
/// would be refused, and its bytes would hold up the one that counts.
async fn subscribe_when_confirmed(control: Arc<ControlPlane>, subscription: Subscription) {
    control.driver.wait_until_lease_valid().await;
    if !control.driver.send(DriverCommand::Subscribe(subscription)) {
        log::warn!("A router's session ends: the driver's queue is full");
    }
}

async fn write_frames(
    mut queue: SessionReceiver,
    mut writer: OwnedWriteHalf,
) -> anyhow::Result<()> {
    while let Some(frame) = queue.recv().await {
        link::send_steadily(&mut writer, &frame, WRITE_TIMEOUT).await?;
    }
    Ok(())
}

async fn read_frames(
    control: &ControlPlane,
    mut reader: OwnedReadHalf,
    weak_sender: WeakSessionSender,
) -> anyhow::Result<()> {
    let mut received_at_ms = now();
    while let Some(frame) = link::receive(&mut reader, MAX_FRAME_BYTES).await? {
        let silence_ms = now() - std::mem::replace(&mut received_at_ms, now());
        if silence_ms >= MAX_SILENCE_MS {
            return Err(SessionError::FramesLate { silence_ms }.into());
        }
        let Some(sender) = weak_sender.upgrade() else {
            return Err(SessionError::FellBehind.into());
        };
        match frame {
            Frame::Heartbeat { router, demand } => {
                let heartbeat = WaitingHeartbeat {
                    sender,
                    received_at_ms: now(),
                    demand,
                };
                // How old a heartbeat is that waited over a pause can't be told.
                let may_be_old = control.driver.was_paused_recently();
                control.routers.add_heartbeat(router, heartbeat, may_be_old);
            }
            Frame::LookupRequest {
                request_id,
                tenant,
                service,
                region,
            } => {
                control.metrics.increment("resolves");
                let response = resolve(control, &tenant, &service, &region);
                let response = Frame::LookupResponse {
                    request_id,
                    response,
                };
                sender.try_send(EncodedFrame::new(&response));
            }
            other => return Err(SessionError::UnexpectedFrame(Box::new(other)).into()),
        }
    }
    Ok(())
}

fn resolve(control: &ControlPlane, tenant: &str, service: &str, region: &str) -> LookupResponse {
    match control.driver.resolve(tenant, service, region) {
        Ok(mapping) => LookupResponse::Found(mapping),
        Err(ResolveError::NoMapping { code, text }) => LookupResponse::NotFound {
            code: code.into(),
            text: text.as_str().into(),
        },
        Err(ResolveError::NoLease) => LookupResponse::Unavailable,
    }
}
