//! Connections to the other directory nodes, one for each address.

use crate::pending_requests::PendingRequests;
use consensus::{Member, NodeId};
use parking_lot::Mutex;
use protocol::{ConnectionKind, EncodedFrame, Frame};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use telemetry::queues::{self, Queue};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use transport::{link, link::LinkError, now};

/// Frames that wait for one peer, at the most. A full queue drops the frame, as a slow
/// network would; what matters is sent again.
const QUEUE_LEN: usize = 1024;
/// A frame that can't be sent waits for the other side to come up for so long.
const MAX_UNSENT_AGE_MS: u64 = 600;
/// Before the next attempt to connect, plus jitter.
const DIAL_RETRY_MS: u64 = 30;
/// After a connection ended, plus jitter.
const RECONNECT_DELAY_MS: u64 = 60;
/// A piece of a frame that the other side does not accept for so long ends the connection.
/// A snapshot may take longer than that as a whole.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// After the other side refused this node.
const REFUSED_DELAY: Duration = Duration::from_secs(2);

/// A frame that waits for its connection.
struct QueuedFrame {
    frame: Frame,
    queued_at_ms: u64,
}

/// The outgoing connections to peers. Invariant: a frame is sent once or dropped; a
/// requester that needs a response retries.
///
/// Each address has a task that sends its queue. The tasks are started here and end with
/// the runtime: a peer's address may always be sent to again.
pub(crate) struct PeerConnections {
    local_member: Member,
    /// Connections go out from this address.
    source: SocketAddr,
    /// The driver's thread sends, too, and is not one of the runtime's.
    runtime: tokio::runtime::Handle,
    queues: Mutex<HashMap<String, mpsc::Sender<QueuedFrame>>>,
    /// Where those who introduced themselves are reached.
    addresses: Mutex<HashMap<NodeId, String>>,
    /// Which request was sent where.
    pending_requests: Mutex<PendingRequests>,
}

impl PeerConnections {
    /// Without connections as yet. Has to be called within the runtime.
    pub(crate) fn new(local_member: Member, source: SocketAddr) -> Arc<PeerConnections> {
        Arc::new(PeerConnections {
            local_member,
            source,
            runtime: tokio::runtime::Handle::current(),
            queues: Mutex::default(),
            addresses: Mutex::default(),
            pending_requests: Mutex::default(),
        })
    }

    /// Records where a peer that introduced itself is reached.
    pub(crate) fn learn_address(&self, member: Member) {
        let mut addresses = self.addresses.lock();
        addresses.insert(member.identity, member.address);
    }

    /// Sends a frame to a node that introduced itself; drops it where none did.
    pub(crate) fn send_to(self: &Arc<PeerConnections>, to: NodeId, frame: Frame) {
        let address = self.addresses.lock().get(&to).cloned();
        if let Some(address) = address {
            self.send(&address, frame);
        }
    }

    /// Queues a frame for an address; the first one starts the connection's task.
    pub(crate) fn send(self: &Arc<PeerConnections>, address: &str, frame: Frame) {
        if let Frame::PeerRequest { request_id, .. } = &frame {
            let mut pending = self.pending_requests.lock();
            pending.record_sent(now(), *request_id, address);
        }
        let mut queues = self.queues.lock();
        let queue = queues.entry(address.to_string()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LEN);
            let connection = Arc::clone(self).run_connection(address.to_string(), receiver);
            self.runtime.spawn(connection);
            sender
        });
        let queued = QueuedFrame {
            frame,
            queued_at_ms: now(),
        };
        if queue.try_send(queued).is_err() {
            queues::record_dropped(Queue::PeerFrames);
        }
    }

    /// Whether a response to this request is awaited from `peer`. Not so for one
    /// that is late, comes a second time, or is meant for an earlier process at this
    /// address.
    pub(crate) fn accept_response(&self, request_id: u64, peer: &Member) -> bool {
        let mut pending = self.pending_requests.lock();
        pending.accept_response(now(), request_id, &peer.address)
    }

    /// Sends the frames of one queue, connecting as often as it takes.
    async fn run_connection(
        self: Arc<PeerConnections>,
        address: String,
        mut frames: mpsc::Receiver<QueuedFrame>,
    ) {
        let Ok(to) = address.parse() else { return };
        // A frame that waits for the other side to come up.
        let mut unsent: Option<QueuedFrame> = None;
        loop {
            let first = match unsent.take() {
                Some(unsent) => unsent,
                None => match frames.recv().await {
                    Some(frame) => frame,
                    None => return,
                },
            };
            match link::dial(
                self.source,
                to,
                ConnectionKind::Peer,
                &self.local_member.name,
            )
            .await
            {
                Ok(stream) => {
                    if let Err(error) = self.exchange_frames(to, stream, first, &mut frames).await {
                        log::debug!(peer = address.as_str(); "The connection to a peer ended: {error:#}");
                    }
                    tokio::time::sleep(transport::jitter(RECONNECT_DELAY_MS)).await;
                    // What waited all that time is stale by now.
                    while frames.try_recv().is_ok() {}
                }
                Err(error) => {
                    log::debug!(peer = address.as_str(); "A peer can't be reached: {error:#}");
                    tokio::time::sleep(transport::jitter(DIAL_RETRY_MS)).await;
                    unsent = newest_unsent(first, &mut frames);
                }
            }
        }
    }

    /// Sends frames until the connection ends or the other side refuses this node.
    async fn exchange_frames(
        &self,
        to: SocketAddr,
        mut stream: TcpStream,
        first: QueuedFrame,
        frames: &mut mpsc::Receiver<QueuedFrame>,
    ) -> anyhow::Result<()> {
        let (mut reader, mut writer) = stream.split();
        send(&mut writer, &Frame::Introduce(self.local_member.clone())).await?;
        send_queued(&mut writer, &first).await?;
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    send_queued(&mut writer, &frame).await?;
                }
                back = link::receive(&mut reader, protocol::MAX_HELLO_BYTES) => {
                    match back? {
                        Some(Frame::Refused { text }) => {
                            log::warn!("The peer at {to} refuses this node: {text}");
                            tokio::time::sleep(REFUSED_DELAY).await;
                            return Ok(());
                        }
                        _ => anyhow::bail!("the other side closed"),
                    }
                }
            }
        }
    }
}

async fn send_queued(
    to: &mut (impl AsyncWrite + Unpin),
    queued: &QueuedFrame,
) -> Result<(), LinkError> {
    let waited_ms = now().saturating_sub(queued.queued_at_ms);
    queues::record_wait(Queue::PeerFrames, waited_ms);
    send(to, &queued.frame).await
}

async fn send(to: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> Result<(), LinkError> {
    link::send_steadily(to, &EncodedFrame::new(frame), WRITE_TIMEOUT).await
}

/// The newest frame that waits; it is sent as soon as the other side is there, unless it
/// is stale by then. Older ones are dropped.
fn newest_unsent(
    first: QueuedFrame,
    frames: &mut mpsc::Receiver<QueuedFrame>,
) -> Option<QueuedFrame> {
    let mut newest = first;
    while let Ok(newer) = frames.try_recv() {
        newest = newer;
    }
    Some(newest).filter(|queued| now() < queued.queued_at_ms + MAX_UNSENT_AGE_MS)
}
