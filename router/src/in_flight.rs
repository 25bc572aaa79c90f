//! How many requests are in flight, and which of them were accepted late in a drain.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// A request that was accepted after the first part of the draining.
#[derive(Clone, Debug)]
pub struct LateRequest {
    /// The request's id.
    pub id: String,
    /// How long after the signal to stop it was accepted.
    pub accepted_after_ms: u64,
    /// How much time it had to its deadline then.
    pub remaining_ms: u64,
}

impl fmt::Display for LateRequest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "request {} was accepted {} ms after the signal to stop, with {} ms left",
            self.id, self.accepted_after_ms, self.remaining_ms
        )
    }
}

#[derive(Default)]
struct LateRequests {
    requests: HashMap<u64, LateRequest>,
    next: u64,
}

/// Counts the guards that it gave out.
#[derive(Default)]
pub struct InFlight {
    counted: Arc<()>,
    late: Arc<Mutex<LateRequests>>,
}

/// Held by a request until the last byte of its response is out.
pub struct InFlightGuard {
    _counted: Arc<()>,
}

/// Held, too, by a request that was accepted late.
pub struct LateRequestGuard {
    number: u64,
    late: Arc<Mutex<LateRequests>>,
}

impl InFlight {
    /// One more request.
    pub fn begin(&self) -> InFlightGuard {
        InFlightGuard {
            _counted: Arc::clone(&self.counted),
        }
    }

    /// Guards that are held.
    pub fn count(&self) -> usize {
        Arc::strong_count(&self.counted) - 1
    }

    /// Notes that a request was accepted late.
    pub fn note_late(&self, request: LateRequest) -> LateRequestGuard {
        let mut late = self.late.lock();
        let number = late.next;
        late.next += 1;
        late.requests.insert(number, request);
        LateRequestGuard {
            number,
            late: Arc::clone(&self.late),
        }
    }

    /// Requests that were accepted late and are still in flight.
    pub fn late_requests(&self) -> Vec<LateRequest> {
        self.late.lock().requests.values().cloned().collect()
    }
}

impl Drop for LateRequestGuard {
    fn drop(&mut self) {
        self.late.lock().requests.remove(&self.number);
    }
}
