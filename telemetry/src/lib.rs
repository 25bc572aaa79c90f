//! What a process tells of itself: logs, counters, violated invariants, and the traffic of
//! its framed links.

pub mod invariants;
pub mod logging;
pub mod metrics;
pub mod traffic;
