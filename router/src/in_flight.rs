//! How many requests are in flight.

use std::sync::Arc;

/// Counts the guards that it gave out.
#[derive(Default)]
pub struct InFlight(Arc<()>);

/// Held by a request until the last byte of its response is out.
pub struct InFlightGuard {
    _counted: Arc<()>,
}

impl InFlight {
    /// One more request.
    pub fn begin(&self) -> InFlightGuard {
        InFlightGuard {
            _counted: Arc::clone(&self.0),
        }
    }

    /// Guards that are held.
    pub fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}
