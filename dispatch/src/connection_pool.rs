//! Idle connections to engines.

use crate::body::OutgoingBody;
use crate::guard::GuardSlot;
use parking_lot::Mutex;
use placement::{ConnectionDemand, ConnectionReuse, ReuseMode};
use std::collections::HashMap;
use std::sync::Arc;
use transport::{now, AbortOnDrop};

/// The most idle connections that are kept for one engine.
const MAX_IDLE_PER_ENGINE: usize = 8;

/// What a connection was used for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionHistory {
    /// It carries its first request.
    New,
    /// It carried other requests before; a surplus response to one of them may come where
    /// the next one is due.
    Reused,
}

/// One HTTP/1.1 connection. Invariant: it carries one request at a time.
pub struct PooledConnection {
    /// Sends requests on it.
    pub sender: hyper::client::conn::http1::SendRequest<OutgoingBody>,
    /// Takes the guard of the next request.
    pub guard_slot: Arc<GuardSlot>,
    /// Ends the connection when dropped.
    pub driver: AbortOnDrop,
    /// What it was used for.
    pub history: ConnectionHistory,
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
    reuse: Mutex<ConnectionReuse>,
}

impl ConnectionPool {
    /// An empty pool.
    pub fn new(mode: ReuseMode) -> ConnectionPool {
        ConnectionPool {
            idle: Mutex::default(),
            reuse: Mutex::new(ConnectionReuse::new(mode)),
        }
    }

    /// The connection to an engine that was used last and is still alive, if the request
    /// may use it.
    pub fn acquire(&self, engine: &str, demand: ConnectionDemand) -> Option<PooledConnection> {
        if !self.reuse.lock().may_reuse(now(), engine, demand) {
            return None;
        }
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
            connection: PooledConnection {
                history: ConnectionHistory::Reused,
                ..connection
            },
            expires_at_ms: now() + idle_timeout_ms,
        });
        if connections.len() > MAX_IDLE_PER_ENGINE {
            connections.remove(0);
        }
    }

    /// A request that was sent to the engine over a connection of such a history got no
    /// response of its own.
    pub fn record_loss(&self, engine: &str, history: ConnectionHistory) {
        if history == ConnectionHistory::Reused {
            self.reuse.lock().record_loss(now(), engine);
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
