//! The lease: until when this router may accept and dispatch work.
//!
//! A directory node renews it in response to heartbeats (`session.rs`). Past its
//! end the router goes on for the grace of the settings, and longer while what it observes
//! of the directory nodes allows it (`directory_watch.rs`). Then it
//! refuses requests with [`RouterRejection::LeaseEnded`] and logs that the lease ended.

use crate::rejection::RouterRejection;
use placement::LeaseGrace;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use transport::now;

/// Invariant: once a lease was granted, `until_ms` is never 0 again.
pub struct Lease {
    /// Until when it is valid, on this process's clock; 0 until the first one.
    until_ms: AtomicU64,
    grace: LeaseGrace,
    /// Until when what it observes of the directory nodes allows it to go on; 0 if nothing
    /// does.
    extended_until_ms: AtomicU64,
    /// The end of the latest lease was logged.
    is_end_logged: AtomicBool,
}

impl Lease {
    /// None is granted yet.
    pub fn new(grace: LeaseGrace) -> Lease {
        Lease {
            until_ms: AtomicU64::new(0),
            grace,
            extended_until_ms: AtomicU64::new(0),
            is_end_logged: AtomicBool::new(false),
        }
    }

    /// Until when it is valid, in milliseconds on this process's clock; 0 until the
    /// first one.
    pub fn until_ms(&self) -> u64 {
        self.until_ms.load(Ordering::Relaxed)
    }

    /// Sets until when it is valid, in milliseconds on this process's clock.
    pub fn renew(&self, until_ms: u64) {
        if self.until_ms.swap(until_ms, Ordering::Relaxed) < until_ms {
            self.is_end_logged.store(false, Ordering::Relaxed);
        }
    }

    /// Sets until when what the router observes allows it to go on, if anything does.
    pub fn extend(&self, until_ms: Option<u64>) {
        self.extended_until_ms
            .store(until_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Until when a router goes on past a lease that ended at `until_ms`.
    fn grace_until_ms(&self, until_ms: u64) -> u64 {
        let extended_until_ms = self.extended_until_ms.load(Ordering::Relaxed);
        self.grace.until_ms(until_ms, extended_until_ms)
    }

    /// Whether work may be accepted and dispatched now.
    ///
    /// # Errors
    /// [`RouterRejection::Starting`] before the first lease, then
    /// [`RouterRejection::LeaseEnded`] past the end and the grace.
    pub fn check(&self) -> Result<(), RouterRejection> {
        let until_ms = self.until_ms();
        let grace_until_ms = self.grace_until_ms(until_ms);
        let now = now();
        if now < grace_until_ms {
            return Ok(());
        }
        if until_ms == 0 {
            return Err(RouterRejection::Starting);
        }
        self.log_end(until_ms);
        let ended_for_ms = now - grace_until_ms;
        Err(RouterRejection::LeaseEnded { ended_for_ms })
    }

    /// Logs once for each lease that it ended.
    fn log_end(&self, until_ms: u64) {
        if !self.is_end_logged.swap(true, Ordering::Relaxed) {
            let past_end_ms = now().saturating_sub(until_ms);
            log::warn!(past_end_ms = past_end_ms, grace_ms = self.grace.unconditional_ms;
                "the lease ended: requests are refused until a directory node renews it");
        }
    }
}
