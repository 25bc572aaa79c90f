//! Logs, counters and the traffic of framed links.

pub mod counters;
pub mod logs;
pub mod traffic;
