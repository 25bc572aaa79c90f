//! What a process tells of itself: logs, counters, and the traffic of its framed links.

pub mod logging;
pub mod metrics;
pub mod traffic;
