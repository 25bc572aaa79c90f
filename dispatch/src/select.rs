//! Selecting an engine, with a bounded wait for a free slot.

use crate::dispatcher::Dispatcher;
use crate::engine_tracker::{EngineSlot, Selection};
use placement::SelectionRequest;
use residency::Mapping;
use std::time::Duration;
use transport::now;
use transport::rejection::Rejection;

/// How long an engine may take to be free of a request whose body was ended for others.
const ENDED_UPLOAD_WAIT_MS: u64 = 200;

impl Dispatcher {
    /// Reserves a slot at an engine. Where none is free it waits for one, until
    /// `slot_wait_ms` after `started_ms`, and for as long as there are requests to be ended whose
    /// bodies stand still; where no engine is known, until `discovery_wait_ms` after it; never
    /// past the deadline.
    ///
    /// # Errors
    /// `engines-full` or `no-engine`, both 503.
    pub(crate) async fn select(
        &self,
        mapping: &Mapping,
        request: &SelectionRequest<'_>,
        started_ms: u64,
        deadline_ms: u64,
    ) -> Result<EngineSlot, Rejection> {
        loop {
            // Registered before the selection, so that no release is missed between.
            let capacity_changed = self.engine_tracker.capacity_changed().notified();
            tokio::pin!(capacity_changed);
            capacity_changed.as_mut().enable();
            let view = self.view.borrow().clone();
            let (wait_until_ms, rejection) = match self
                .engine_tracker
                .select_engine(&view, mapping, request)
            {
                Selection::Engine(slot) => return Ok(slot),
                Selection::AtCapacity => (
                    self.wait_for_slot_until_ms(started_ms),
                    Rejection::not_run(503, "engines-full", "every engine allowed is at its limit"),
                ),
                Selection::NoneAvailable => (
                    started_ms + self.options.discovery_wait_ms,
                    Rejection::not_run(503, "no-engine", "no engine allowed is in sight"),
                ),
            };
            let remaining_ms = wait_until_ms.min(deadline_ms).saturating_sub(now());
            if remaining_ms == 0 {
                self.metrics.increment("refused-no-room");
                return Err(rejection);
            }
            // After the last wait there is one more selection.
            let remaining = Duration::from_millis(remaining_ms);
            let _ = tokio::time::timeout(remaining, capacity_changed).await;
        }
    }

    /// Until when a slot may become free.
    fn wait_for_slot_until_ms(&self, started_ms: u64) -> u64 {
        let wait_until_ms = started_ms + self.slot_wait_ms;
        match (self.end_stalled_uploads)() {
            true => wait_until_ms.max(now() + ENDED_UPLOAD_WAIT_MS),
            false => wait_until_ms,
        }
    }
}
