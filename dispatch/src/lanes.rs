//! Connections to engines that lie ready for the next job.

use crate::gate::Slot;
use crate::roster::Aborting;
use crate::Flow;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use transport::now;

/// The most that lie ready for one engine.
const MOST: usize = 8;

/// One connection. Invariant: it carries one job at a time.
pub struct Lane {
    pub sender: hyper::client::conn::http1::SendRequest<Flow>,
    pub slot: Arc<Slot>,
    pub driver: Aborting,
}

/// Invariant: a lane lies here only between two jobs, and is not used past the
/// time that its engine keeps it.
#[derive(Default)]
pub struct Lanes {
    ready: Mutex<HashMap<String, Vec<(u64, Lane)>>>,
}

impl Lanes {
    /// The lane to an engine that was used last and is still sound.
    pub fn take(&self, engine: &str) -> Option<Lane> {
        let mut ready = self.ready.lock();
        let lanes = ready.get_mut(engine)?;
        lanes.retain(|(until, lane)| now() < *until && !lane.sender.is_closed());
        let place = lanes.iter().rposition(|(_, lane)| lane.sender.is_ready())?;
        Some(lanes.remove(place).1)
    }

    pub fn give(&self, engine: &str, kept_ms: u64, lane: Lane) {
        if kept_ms == 0 || lane.sender.is_closed() {
            return;
        }
        let mut ready = self.ready.lock();
        let lanes = ready.entry(engine.to_string()).or_default();
        lanes.push((now() + kept_ms, lane));
        if lanes.len() > MOST {
            lanes.remove(0);
        }
    }

    /// Lets go of the lanes to an engine that failed: they may hang as well.
    pub fn forget(&self, engine: &str) {
        drop(self.ready.lock().remove(engine));
    }

    /// Lets go of the lanes to engines that are gone, and of those past their time.
    pub fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        self.ready.lock().retain(|engine, lanes| {
            lanes.retain(|(until, lane)| now() < *until && !lane.sender.is_closed());
            is_known(engine) && !lanes.is_empty()
        });
    }
}
