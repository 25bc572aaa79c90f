//! The process's clock, and random delays.

use nix::time::{clock_gettime, ClockId};
use std::sync::OnceLock;
use std::time::Duration;

/// The clock's time at the start of the process. Not 0, so that "long ago" can be told
/// from "never".
const START_MS: u64 = 3_600_000;

/// Milliseconds of this process's clock, which begins at an hour when the process starts.
///
/// Invariant: it never falls, and it goes on while the machine is suspended, so that a
/// lease expires meanwhile.
pub fn now() -> u64 {
    static START: OnceLock<Duration> = OnceLock::new();
    let clock = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
    let clock = Duration::from(clock);
    // Of two threads that ask first, the one that set the start may have read the clock
    // later.
    let start = *START.get_or_init(|| clock);
    START_MS + clock.saturating_sub(start).as_millis() as u64
}

/// Ends at this time of the process's clock; at once where it has passed.
pub fn sleep_until(time_ms: u64) -> tokio::time::Sleep {
    tokio::time::sleep(Duration::from_millis(time_ms.saturating_sub(now())))
}

/// A delay of `ms` milliseconds with up to a quarter of it added at random, so that many
/// processes don't act at the same moment.
pub fn jitter(ms: u64) -> Duration {
    Duration::from_millis(ms + rand::random_range(0..=ms / 4))
}
