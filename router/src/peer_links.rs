//! Outgoing connections to other routers: requests with their responses, and frames that
//! need none. Opened on first use, one for each router.

use crate::conversation_error::ConversationError;
use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame, QuotaDecision};
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

/// The response to a request.
enum PeerResponse {
    /// What the other router's part of the cache has.
    Cached(Option<Mapping>),
    /// Whether a request is admitted.
    Quota(QuotaDecision),
}

/// Requests without a response yet, by their number.
type OpenRequests = Arc<Mutex<HashMap<u64, oneshot::Sender<PeerResponse>>>>;

/// The other router did not respond in time, or can't be reached.
#[derive(Debug, thiserror::Error)]
#[error("no response from the other router")]
pub struct PeerSilent;

/// A connection, as its users hold it. It ends when all of these are dropped.
#[derive(Clone)]
struct PeerLink {
    queue: mpsc::Sender<Frame>,
    open_requests: OpenRequests,
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
        let request = |request_id| Frame::CacheLookup {
            request_id,
            key: key.into(),
            epoch,
        };
        match self.request(to, timeout, request).await? {
            PeerResponse::Cached(mapping) => Ok(mapping),
            PeerResponse::Quota(_) => Err(PeerSilent),
        }
    }

    /// Has the owner of a tenant's quota lease decide on a request.
    ///
    /// # Errors
    /// No response within `timeout`: the request may or may not be counted.
    pub async fn admit(
        &self,
        to: SocketAddr,
        tenant: &str,
        timeout: Duration,
    ) -> Result<QuotaDecision, PeerSilent> {
        let request = |request_id| Frame::QuotaRequest {
            request_id,
            tenant: tenant.into(),
        };
        match self.request(to, timeout, request).await? {
            PeerResponse::Quota(decision) => Ok(decision),
            PeerResponse::Cached(_) => Err(PeerSilent),
        }
    }

    async fn request(
        &self,
        to: SocketAddr,
        timeout: Duration,
        request: impl Fn(u64) -> Frame,
    ) -> Result<PeerResponse, PeerSilent> {
        let link = self.link(to);
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        link.open_requests.lock().insert(number, sender);
        let is_queued = link.queue.try_send(request(number)).is_ok();
        let response = match is_queued {
            true => tokio::time::timeout(timeout, receiver).await.ok(),
            false => None,
        };
        link.open_requests.lock().remove(&number);
        match response {
            Some(Ok(response)) => Ok(response),
            Some(Err(_)) | None => Err(PeerSilent),
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
            open_requests: OpenRequests::default(),
        };
        links.insert(to, link.clone());
        let connection = Connection {
            name: self.name.clone(),
            source: self.source,
            to,
            queue,
            open_requests: Arc::clone(&link.open_requests),
        };
        let open_requests = Arc::clone(&link.open_requests);
        tokio::spawn(async move {
            let result = connection.run().await;
            // No response comes any more; those who wait for one are told so.
            open_requests.lock().clear();
            if let Err(error) = result {
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
    open_requests: OpenRequests,
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
                    Some(Frame::CacheResult { request_id, mapping }) => {
                        let mapping = mapping.into_iter().next();
                        self.respond(request_id, PeerResponse::Cached(mapping));
                    }
                    Some(Frame::QuotaResponse { request_id, decision }) => {
                        self.respond(request_id, PeerResponse::Quota(decision));
                    }
                    Some(other) => return Err(ConversationError::unexpected(other)),
                    None => return Err(ConversationError::Closed),
                },
            }
        }
    }

    /// Passes a response on. One that is late or repeated is passed over.
    fn respond(&self, request_id: u64, response: PeerResponse) {
        if let Some(sender) = self.open_requests.lock().remove(&request_id) {
            drop(sender.send(response));
        }
    }
}
