//! Outgoing connections to other routers: cache lookups with their responses, and
//! frames that need none. Opened on first use, one for each router.

use crate::conversation_error::ConversationError;
use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame};
use residency::Mapping;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use transport::link;

/// Frames that wait for one connection; more are dropped.
const QUEUE_FRAMES: usize = 256;
/// The longest frame that a router accepts from another one.
pub const PEER_FRAME_CAP_BYTES: usize = 1 << 20;

/// Cache lookups without a response yet, by their number.
type OpenLookups = Arc<Mutex<HashMap<u64, oneshot::Sender<Option<Mapping>>>>>;

/// The other router did not respond in time, or can't be reached.
#[derive(Debug, thiserror::Error)]
#[error("no response from the other router")]
pub struct PeerSilent;

/// A connection, as its users hold it. It ends when all of these are dropped.
#[derive(Clone)]
struct PeerLink {
    queue: mpsc::Sender<Frame>,
    open_lookups: OpenLookups,
}

/// The connections, by address.
pub struct PeerLinks {
    /// This router's name, for the handshake.
    name: String,
    /// The address to connect from.
    source: SocketAddr,
    links: Mutex<HashMap<SocketAddr, PeerLink>>,
}

impl PeerLinks {
    /// None is open; they will be opened under this name, from this address.
    pub fn new(name: &str, source: SocketAddr) -> PeerLinks {
        PeerLinks {
            name: name.into(),
            source,
            links: Mutex::default(),
        }
    }

    /// Queues a frame for another router. It is dropped where the queue is full.
    pub fn send(&self, to: SocketAddr, frame: Frame) {
        drop(self.link(to).queue.try_send(frame));
    }

    /// Looks a key up in another router's part of the region's cache. `epoch` is
    /// that of the view here; a router that is behind it responds with no mapping.
    ///
    /// # Errors
    /// No response within `timeout`: there may or may not be a mapping.
    pub async fn look_up(
        &self,
        to: SocketAddr,
        key: &str,
        epoch: u64,
        timeout: Duration,
    ) -> Result<Option<Mapping>, PeerSilent> {
        let link = self.link(to);
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        link.open_lookups.lock().insert(number, sender);
        // Where the queue is full, the lookup times out.
        drop(link.queue.try_send(Frame::CacheLookup {
            request_id: number,
            key: key.into(),
            epoch,
        }));
        let response = tokio::time::timeout(timeout, receiver).await;
        link.open_lookups.lock().remove(&number);
        match response {
            Ok(Ok(mapping)) => Ok(mapping),
            Ok(Err(_)) | Err(_) => Err(PeerSilent),
        }
    }

    /// The open connection to a router, or a new one.
    fn link(&self, to: SocketAddr) -> PeerLink {
        let mut links = self.links.lock();
        if let Some(known) = links.get(&to).filter(|known| !known.queue.is_closed()) {
            return known.clone();
        }
        let (sender, queue) = mpsc::channel(QUEUE_FRAMES);
        let link = PeerLink {
            queue: sender,
            open_lookups: OpenLookups::default(),
        };
        links.insert(to, link.clone());
        let connection = Connection {
            name: self.name.clone(),
            source: self.source,
            to,
            queue,
            open_lookups: Arc::clone(&link.open_lookups),
        };
        tokio::spawn(async move {
            if let Err(error) = connection.run().await {
                log::debug!(peer = to.to_string(); "the connection to a router ended: {error}");
            }
        });
        link
    }
}

/// What the task of one connection owns.
struct Connection {
    name: String,
    source: SocketAddr,
    to: SocketAddr,
    queue: mpsc::Receiver<Frame>,
    open_lookups: OpenLookups,
}

impl Connection {
    async fn run(mut self) -> Result<(), ConversationError> {
        let stream = link::dial(
            self.source,
            self.to,
            ConnectionKind::CacheSharing,
            &self.name,
        )
        .await?;
        let (mut reader, mut writer) = stream.into_split();
        loop {
            tokio::select! {
                frame = self.queue.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    link::send(&mut writer, &frame).await?;
                }
                frame = link::receive(&mut reader, PEER_FRAME_CAP_BYTES) => match frame? {
                    Some(Frame::CacheResult { request_id: number, mapping }) => {
                        // Answers that are late or repeated are passed over.
                        if let Some(sender) = self.open_lookups.lock().remove(&number) {
                            drop(sender.send(mapping.into_iter().next()));
                        }
                    }
                    Some(other) => return Err(ConversationError::unexpected(other)),
                    None => return Err(ConversationError::Closed),
                },
            }
        }
    }
}
