//! Lookups of mappings at a directory node by the routing key alone, over the session.

use parking_lot::Mutex;
use protocol::{Frame, LookupResponse};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

use crate::conversation_error::ConversationError;

/// A lookup without a response yet.
struct PendingLookup {
    key: String,
    waiter: oneshot::Sender<LookupResponse>,
}

/// The session's outgoing side.
struct Outgoing {
    node: SocketAddr,
    queue: mpsc::Sender<Frame>,
}

/// Lookups in flight, and the outgoing queue while there is a session. Invariant: a
/// number is used once in the life of this process, and a response is passed on only
/// while its lookup waits, and only if it is about that lookup's key.
#[derive(Default)]
pub struct PendingLookups {
    pending: Mutex<HashMap<u64, PendingLookup>>,
    outgoing: Mutex<Option<Outgoing>>,
    next_number: AtomicU64,
}

impl PendingLookups {
    /// From now on lookups go to this node.
    pub fn connect(&self, node: SocketAddr, queue: mpsc::Sender<Frame>) {
        *self.outgoing.lock() = Some(Outgoing { node, queue });
    }

    /// The session ended; what waits is answered with [`LookupResponse::Unavailable`].
    pub fn disconnect(&self) {
        *self.outgoing.lock() = None;
        self.pending.lock().clear();
    }

    /// The directory node of the session.
    pub fn node(&self) -> Option<SocketAddr> {
        self.outgoing.lock().as_ref().map(|outgoing| outgoing.node)
    }

    /// Asks for a key's mapping. [`LookupResponse::Unavailable`] where there is no session, its
    /// queue is full, or no answer comes within `timeout`.
    pub async fn resolve(
        &self,
        tenant: &str,
        service: &str,
        region: &str,
        timeout: Duration,
    ) -> LookupResponse {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (waiter, receiver) = oneshot::channel();
        let queue = self
            .outgoing
            .lock()
            .as_ref()
            .map(|outgoing| outgoing.queue.clone());
        let Some(queue) = queue else {
            return LookupResponse::Unavailable;
        };
        let key = residency::routing_key(tenant, service);
        self.pending
            .lock()
            .insert(number, PendingLookup { key, waiter });
        let frame = Frame::LookupRequest {
            request_id: number,
            tenant: tenant.into(),
            service: service.into(),
            region: region.into(),
        };
        if queue.try_send(frame).is_err() {
            self.pending.lock().remove(&number);
            return LookupResponse::Unavailable;
        }
        let response = tokio::time::timeout(timeout, receiver).await;
        self.pending.lock().remove(&number);
        response
            .ok()
            .and_then(|response| response.ok())
            .unwrap_or(LookupResponse::Unavailable)
    }

    /// Passes a response to the lookup that waits for it. One that is late or repeated
    /// is ignored.
    ///
    /// # Errors
    /// The response is about another key than its lookup: the node can't be relied on.
    pub fn complete(&self, number: u64, response: LookupResponse) -> Result<(), ConversationError> {
        let Some(lookup) = self.pending.lock().remove(&number) else {
            return Ok(());
        };
        if let LookupResponse::Found(mapping) = &response {
            if mapping.routing_key() != lookup.key {
                return Err(ConversationError::WrongKey {
                    expected: lookup.key,
                    seen: mapping.routing_key(),
                });
            }
        }
        // The waiting request may have been cancelled meanwhile.
        drop(lookup.waiter.send(response));
        Ok(())
    }
}
