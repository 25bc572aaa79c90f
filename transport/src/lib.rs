//! What the daemons share at their edge: the HTTP listener and client, framed
//! links, and the clock.

pub mod http_client;
pub mod http_listener;
pub mod http_server;
pub mod link;
pub mod rejection;

use nix::time::{clock_gettime, ClockId};
use std::sync::OnceLock;
use std::time::Duration;

/// Milliseconds from an hour before this process's start, so that "long ago" can
/// be told from "never", which is 0. Invariant: it never falls, and it goes on
/// while the machine is suspended, so that a lease runs out meanwhile.
pub fn now() -> u64 {
    static START: OnceLock<Duration> = OnceLock::new();
    let clock = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
    let clock = Duration::from(clock);
    // Of two threads that ask first, the one that began may be the later one.
    let start = *START.get_or_init(|| clock);
    3_600_000 + clock.saturating_sub(start).as_millis() as u64
}

/// Waits until the process is asked to stop.
pub async fn shutdown_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut int) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// A time with up to a quarter of itself added, so that many don't act as one.
pub fn jitter(ms: u64) -> std::time::Duration {
    std::time::Duration::from_millis(ms + rand::random_range(0..=ms / 4))
}

/// Aborts a task when dropped.
pub struct AbortOnDrop(pub tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
