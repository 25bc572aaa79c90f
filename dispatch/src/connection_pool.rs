//! Idle connections to engines, kept for idempotent requests.

use crate::body::OutgoingBody;
use crate::guard::GuardSlot;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use transport::{now, AbortOnDrop};

/// The most idle connections that are kept for one engine.
const MAX_IDLE_PER_ENGINE: usize = 8;

/// One HTTP/1.1 connection. Invariant: it carries one request at a time.
pub struct PooledConnection {
    /// Sends requests on it.
    pub sender: hyper::client::conn::http1::SendRequest<OutgoingBody>,
    /// Takes the guard of the next request.
    pub guard_slot: Arc<GuardSlot>,
    /// Ends the connection when dropped.
    pub driver: AbortOnDrop,
}

struct IdleConnection {
    connection: PooledConnection,
    expires_at_ms: u64,
}

impl IdleConnection {
    fn is_alive(&self) -> bool {
        now() < self.expires_at_ms && !self.connection.sender.is_closed()
    }
}

/// Invariant: a connection is in here only between two requests, and is not used past
/// the time that its engine keeps it.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// The connection to an engine that was used last and is still alive.
    pub fn acquire(&self, engine: &str) -> Option<PooledConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(engine)?;
        connections.retain(IdleConnection::is_alive);
        let last_ready = connections
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(connections.remove(last_ready).connection)
    }

    /// Takes a connection back after a complete response. Keeps it for
    /// `idle_timeout_ms`, where that isn't 0; the oldest one goes if there are too many.
    pub fn release(&self, engine: &str, idle_timeout_ms: u64, connection: PooledConnection) {
        if idle_timeout_ms == 0 || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let connections = idle.entry(engine.to_string()).or_default();
        connections.push(IdleConnection {
            connection,
            expires_at_ms: now() + idle_timeout_ms,
        });
        if connections.len() > MAX_IDLE_PER_ENGINE {
            connections.remove(0);
        }
    }

    /// Closes the idle connections to an engine that failed: they may hang as well.
    pub fn discard(&self, engine: &str) {
        drop(self.idle.lock().remove(engine));
    }

    /// Closes the connections to engines that are not known any more, and those past
    /// their time.
    pub fn evict_expired(&self, is_known: impl Fn(&str) -> bool) {
        self.idle.lock().retain(|engine, connections| {
            connections.retain(IdleConnection::is_alive);
            is_known(engine) && !connections.is_empty()
        });
    }
}
