//! What the daemons share at their edge: settings, logs, counters, framed
//! links, HTTP, and the carriage of a job to an engine.

pub mod boot;
pub mod counters;
pub mod dispatch;
pub mod link;
pub mod logs;
pub mod roster;
pub mod web;

use std::sync::OnceLock;
use std::time::Instant;

/// Milliseconds of this process's monotonic clock, from an hour before its
/// start, so that "long ago" can be told from "never", which is 0.
pub fn now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    3_600_000 + START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// A time with up to a quarter of itself added, so that many don't act as one.
pub fn jitter(ms: u64) -> std::time::Duration {
    std::time::Duration::from_millis(ms + rand::random_range(0..=ms / 4))
}
