//! The bytes that the bodies of all requests of a process hold. What is decided is decided in
//! [`placement::BodyBudget`]; here reservations wait.

use super::upload_body::UploadSignal;
use super::WIDE_RECEIVE_BUFFER_BYTES;
use crate::now;
use parking_lot::Mutex;
use placement::UploadId;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a reservation waits for room. Longer than a body may stand still while others wait.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often a reservation that waits looks whether a body has come to stand still.
const RESERVATION_POLL: Duration = Duration::from_millis(50);

/// The bodies of other requests hold all that may be held. Nothing was done for this one.
#[derive(Debug, thiserror::Error)]
#[error("the bodies of other requests take all memory that they may")]
pub struct BudgetExhausted;

/// The bytes that the bodies of a process's requests may hold together; clones share them.
#[derive(Clone)]
pub struct BodyBudget(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Notified when bytes were given back.
    released: Notify,
}

struct State {
    decisions: placement::BodyBudget,
    /// Invariant: it has the uploads that `decisions` may end.
    signals: HashMap<UploadId, Arc<UploadSignal>>,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> BodyBudget {
        BodyBudget(Arc::new(Shared {
            state: Mutex::new(State {
                decisions: placement::BodyBudget::new(max_bytes),
                signals: HashMap::new(),
            }),
            released: Notify::new(),
        }))
    }

    /// The bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.0.state.lock().decisions.held_bytes()
    }

    /// Ends bodies that stand still. Their requests are refused, or break off where they were sent
    /// on. `false` if there is none, so that nothing is about to be free.
    pub fn end_stalled(&self) -> bool {
        let (signals, is_releasing) = {
            let mut state = self.0.state.lock();
            let now_ms = now();
            let ended = state.decisions.end_stalled(now_ms);
            let signals: Vec<Arc<UploadSignal>> = ended
                .iter()
                .filter_map(|upload| state.signals.remove(upload))
                .collect();
            (signals, state.decisions.is_releasing(now_ms))
        };
        signals.iter().for_each(|signal| signal.end());
        is_releasing
    }

    /// Nothing is held yet.
    pub(super) fn hold_nothing(&self) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            bytes: 0,
        }
    }

    pub(super) fn begin_upload(&self, signal: Arc<UploadSignal>) -> UploadId {
        let mut state = self.0.state.lock();
        let upload = state.decisions.begin_upload();
        state.signals.insert(upload, signal);
        upload
    }

    pub(super) fn finish_upload(&self, upload: UploadId) {
        let mut state = self.0.state.lock();
        state.decisions.finish_upload(upload);
        state.signals.remove(&upload);
    }

    pub(super) fn record_waiting(&self, upload: UploadId) {
        self.0.state.lock().decisions.record_waiting(upload, now());
    }

    pub(super) fn record_received(&self, upload: UploadId) {
        self.0.state.lock().decisions.record_received(upload);
    }

    fn try_grow(&self, from_bytes: usize, to_bytes: usize) -> bool {
        self.0.state.lock().decisions.try_grow(from_bytes, to_bytes)
    }

    async fn grow(&self, from_bytes: usize, to_bytes: usize) -> Result<(), BudgetExhausted> {
        let until = Instant::now() + RESERVATION_TIMEOUT;
        while !self.try_grow(from_bytes, to_bytes) {
            if Instant::now() >= until {
                return Err(BudgetExhausted);
            }
            self.end_stalled();
            let released = self.0.released.notified();
            drop(tokio::time::timeout(RESERVATION_POLL, released).await);
        }
        Ok(())
    }
}

/// Bytes that are reserved in a budget, until this is dropped.
pub struct HeldBytes {
    budget: BodyBudget,
    bytes: usize,
}

impl HeldBytes {
    /// Holds so many bytes, once there is room for them.
    ///
    /// # Errors
    /// There was none for two seconds, nor a body that stood still for one of them. What was held
    /// before still is.
    pub(super) async fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        if bytes > self.bytes {
            self.budget.grow(self.bytes, bytes).await?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Holds so many bytes if there is room for them now; `false` if there isn't.
    pub(super) fn try_grow_to(&mut self, bytes: usize) -> bool {
        let is_granted = bytes <= self.bytes || self.budget.try_grow(self.bytes, bytes);
        self.bytes = match is_granted {
            true => self.bytes.max(bytes),
            false => self.bytes,
        };
        is_granted
    }

    /// The body is sent on and nothing is kept of it any more, but for what waits in the kernel.
    pub fn release_kept(&mut self) {
        self.shrink_to(WIDE_RECEIVE_BUFFER_BYTES);
    }

    /// Gives back what is beyond so many bytes.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        let Some(released) = self.bytes.checked_sub(bytes).filter(|freed| *freed > 0) else {
            return;
        };
        self.bytes = bytes;
        self.budget.0.state.lock().decisions.release(released);
        self.budget.0.released.notify_one();
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
