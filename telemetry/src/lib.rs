//! What a process tells of itself: logs, counters, violated invariants, the traffic of its
//! framed links, the waits in its queues, and why it ended.

pub mod exit;
pub mod invariants;
pub mod logging;
pub mod metrics;
pub mod prometheus;
pub mod queues;
pub mod traffic;
