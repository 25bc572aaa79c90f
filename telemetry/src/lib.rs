//! Logging, metrics and the traffic of framed links.

pub mod logging;
pub mod metrics;
pub mod traffic;
