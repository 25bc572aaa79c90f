//! How long commands wait for the consensus thread, and a warning where that is too long.

use protocol::LEASE_MS;
use telemetry::queues::{self, Queue};

/// Commands that wait longer than this are warned of: renewals need several round trips
/// within a lease.
const MAX_WAIT_MS: u64 = LEASE_MS / 4;
/// Between two warnings, at the least.
const WARNING_INTERVAL_MS: u64 = 1_000;

/// The longest wait since the last warning.
struct LongestWait {
    kind: Queue,
    waited_ms: u64,
}

/// Measures waits; owned by the consensus thread.
#[derive(Default)]
pub(super) struct QueueWatch {
    longest: Option<LongestWait>,
    next_warning_ms: u64,
}

impl QueueWatch {
    /// Records that a command waited.
    pub(super) fn record(&mut self, kind: Queue, waited_ms: u64) {
        queues::record_wait(kind, waited_ms);
        let is_longest = |longest: &LongestWait| waited_ms > longest.waited_ms;
        if waited_ms > MAX_WAIT_MS && self.longest.as_ref().is_none_or(is_longest) {
            self.longest = Some(LongestWait { kind, waited_ms });
        }
    }

    /// Logs the longest wait, where it was too long and no warning came lately. `waiting` is
    /// how many commands wait now.
    pub(super) fn warn_if_overloaded(&mut self, now_ms: u64, waiting: usize) {
        if now_ms < self.next_warning_ms {
            return;
        }
        if let Some(longest) = self.longest.take() {
            self.next_warning_ms = now_ms + WARNING_INTERVAL_MS;
            log::warn!(
                kind = longest.kind.name(),
                waited_ms = longest.waited_ms,
                waiting = waiting;
                "Commands waited long for the consensus thread: this node is overloaded, or was paused"
            );
        }
    }
}
