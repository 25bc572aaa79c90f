//! Tells whether this process was paused lately (frozen, or without a processor).

use std::sync::atomic::{AtomicU64, Ordering};
use transport::now;

/// The longest silence on a connection. After more, the connection or this process was
/// paused and the age of the next report is not known: the connection is closed, and the
/// other side reconnects. Invariant: longer than a router keeps a session that brings it
/// no lease.
pub(crate) const MAX_SILENCE_MS: u64 = 1_300;

/// Records when the driver's thread last ran, so that frames that may have waited in
/// sockets over a pause are told apart. Invariant: the driver's thread calls `tick`
/// several times in each `MAX_SILENCE_MS`.
pub(super) struct PauseDetector {
    ticked_at_ms: AtomicU64,
    pause_ended_at_ms: AtomicU64,
}

impl PauseDetector {
    pub(super) fn new() -> PauseDetector {
        PauseDetector {
            ticked_at_ms: AtomicU64::new(now()),
            pause_ended_at_ms: AtomicU64::new(0),
        }
    }

    pub(super) fn tick(&self) {
        let before = self.ticked_at_ms.swap(now(), Ordering::Relaxed);
        if now() > before + MAX_SILENCE_MS {
            self.pause_ended_at_ms.store(now(), Ordering::Relaxed);
        }
    }

    pub(super) fn paused_recently(&self) -> bool {
        let newest = self.pause_ended_at_ms.load(Ordering::Relaxed) + MAX_SILENCE_MS;
        // The caller may run before the driver's thread does.
        now() > self.ticked_at_ms.load(Ordering::Relaxed) + MAX_SILENCE_MS || now() < newest
    }
}
