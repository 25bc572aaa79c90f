//! One router's session.

use super::router_list;
use crate::control_plane::ControlPlane;
use crate::driver::{DriverCommand, ResolveError, MAX_SILENCE_MS};
use crate::router_registry::WaitingHeartbeat;
use protocol::{Frame, LookupResponse};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use transport::AbortOnDrop;
use transport::{link, now};

/// Frames that wait for one router, at the most. A router whose queue is full when a
/// change comes loses its session and connects again for a snapshot.
const QUEUE_LEN: usize = 1024;
/// How often a session that waits looks whether the node's state is confirmed.
const CONFIRMATION_POLL: Duration = Duration::from_millis(20);
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
    let (reader, mut writer) = stream.into_split();
    let (sender, queue) = mpsc::channel::<Frame>(QUEUE_LEN);
    if let Some(text) = refusal(&control) {
        let text = text.into();
        return Ok(link::send(&mut writer, &Frame::Refused { text }).await?);
    }
    // Once it is subscribed, the driver's thread holds the only lasting sender: when it
    // drops it, the session ends.
    let weak_sender = sender.downgrade();
    let subscribing = subscribe_when_confirmed(Arc::clone(&control), sender);
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

/// Subscribes a router once a majority has confirmed this node's state. Until then the
/// state may be older than the router's, as after a restart of all nodes: a snapshot of it
/// would be refused, and its bytes would hold up the one that counts.
async fn subscribe_when_confirmed(control: Arc<ControlPlane>, sender: mpsc::Sender<Frame>) {
    while !control.driver.lease_valid() {
        tokio::time::sleep(CONFIRMATION_POLL).await;
    }
    if !control.driver.send(DriverCommand::Subscribe(sender)) {
        log::warn!("A router's session ends: the driver's queue is full");
    }
}

async fn write_frames(
    mut queue: mpsc::Receiver<Frame>,
    mut writer: OwnedWriteHalf,
) -> anyhow::Result<()> {
    while let Some(frame) = queue.recv().await {
        tokio::time::timeout(link::HANDSHAKE_TIMEOUT * 2, link::send(&mut writer, &frame))
            .await??;
    }
    Ok(())
}

async fn read_frames(
    control: &ControlPlane,
    mut reader: OwnedReadHalf,
    weak_sender: mpsc::WeakSender<Frame>,
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
                drop(sender.try_send(Frame::LookupResponse {
                    request_id,
                    response,
                }));
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
