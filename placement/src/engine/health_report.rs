//! What an engine reports of itself.

use super::slow_start::SlowStart;

/// The last health report of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it has queued.
    pub queued: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it has warmed up.
    pub is_warm: bool,
    /// Whether it is shutting down and takes no new requests.
    pub is_draining: bool,
    /// Responses that it completed since it started cold.
    pub completed: u32,
    /// Time since its start, by its own clock.
    pub uptime_ms: u64,
    /// When this process received the report, by this process's clock.
    pub received_at_ms: u64,
}

impl HealthReport {
    /// How far the engine has warmed up.
    pub fn slow_start(&self) -> SlowStart {
        match self.is_warm {
            true => SlowStart::complete(),
            false => SlowStart::after_responses(self.completed),
        }
    }

    /// Whether the engine is still warming up.
    pub fn is_warming_up(&self) -> bool {
        !self.slow_start().is_complete()
    }
}
