//! Slow start: the concurrency limit of an engine that is warming up.

/// Responses after which an engine counts as warmed up.
pub const SLOW_START_RESPONSES: u32 = 24;

/// How far an engine has warmed up. Its concurrency limit grows with the responses that
/// it completed, from an eighth to the whole, and not with time: an engine that serves
/// nothing does not warm up.
#[derive(Clone, Copy)]
pub struct SlowStart {
    completed: u32,
}

impl SlowStart {
    /// An engine that has warmed up.
    pub fn complete() -> SlowStart {
        SlowStart::after_responses(SLOW_START_RESPONSES)
    }

    /// An engine that completed this many responses since it started cold.
    pub fn after_responses(completed: u32) -> SlowStart {
        SlowStart {
            completed: completed.min(SLOW_START_RESPONSES),
        }
    }

    /// Whether the engine has warmed up.
    pub fn is_complete(&self) -> bool {
        self.completed == SLOW_START_RESPONSES
    }

    /// The share of `limit` that the engine may run now, in concurrent requests; at least
    /// one, unless `limit` is 0.
    pub fn limit(&self, limit: u32) -> u32 {
        let progress = f64::from(self.completed) / f64::from(SLOW_START_RESPONSES);
        ((f64::from(limit) * (0.125 + 0.875 * progress)).round() as u32).clamp(1.min(limit), limit)
    }
}
