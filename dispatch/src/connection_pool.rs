//! Connections to engines that lie ready for the next job.

use crate::guard::GuardSlot;
use crate::OutgoingBody;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use transport::{now, AbortOnDrop};

/// The most that lie ready for one engine.
const MOST: usize = 8;

/// One connection. Invariant: it carries one job at a time.
pub struct PooledConnection {
    pub sender: hyper::client::conn::http1::SendRequest<OutgoingBody>,
    pub slot: Arc<GuardSlot>,
    pub driver: AbortOnDrop,
}

/// Invariant: a lane lies here only between two jobs, and is not used past the
/// time that its engine keeps it.
#[derive(Default)]
pub struct ConnectionPool {
    ready: Mutex<HashMap<String, Vec<(u64, PooledConnection)>>>,
}

impl ConnectionPool {
    /// The lane to an engine that was used last and is still sound.
    pub fn acquire(&self, engine: &str) -> Option<PooledConnection> {
        let mut ready = self.ready.lock();
        let connections = ready.get_mut(engine)?;
        connections.retain(|(until, lane)| now() < *until && !lane.sender.is_closed());
        let place = connections
            .iter()
            .rposition(|(_, lane)| lane.sender.is_ready())?;
        Some(connections.remove(place).1)
    }

    pub fn release(&self, engine: &str, idle_timeout_ms: u64, lane: PooledConnection) {
        if idle_timeout_ms == 0 || lane.sender.is_closed() {
            return;
        }
        let mut ready = self.ready.lock();
        let connections = ready.entry(engine.to_string()).or_default();
        connections.push((now() + idle_timeout_ms, lane));
        if connections.len() > MOST {
            connections.remove(0);
        }
    }

    /// Lets go of the connections to an engine that failed: they may hang as well.
    pub fn discard(&self, engine: &str) {
        drop(self.ready.lock().remove(engine));
    }

    /// Lets go of the connections to engines that are gone, and of those past their time.
    pub fn evict_expired(&self, is_known: impl Fn(&str) -> bool) {
        self.ready.lock().retain(|engine, connections| {
            connections.retain(|(until, lane)| now() < *until && !lane.sender.is_closed());
            is_known(engine) && !connections.is_empty()
        });
    }
}
