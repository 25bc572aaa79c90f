//! The evidence as it was recorded.

use simd_json::OwnedValue;

/// The journals of a run: JSON objects with a time in `at`.
#[derive(Default)]
pub struct Journals {
    /// What engines received, ran and ended.
    pub engines: Vec<OwnedValue>,
    /// What clients sent, and the responses that they got.
    pub clients: Vec<OwnedValue>,
    /// What operators asked for, and when it was acknowledged.
    pub operators: Vec<OwnedValue>,
    /// The faults that were injected into machines.
    pub machines: Vec<OwnedValue>,
    /// The logs of routers and directory nodes, with their times turned into `at`.
    pub nodes: Vec<OwnedValue>,
}

/// The log messages of routers and directory nodes that rules are judged by. Without them
/// a rule would find nothing, so tests look for each in the daemons' sources and logs.
pub mod log_messages {
    /// A request was admitted by its tenant's quota.
    pub const ADMITTED: &str = "admitted";
    /// A request is sent to an engine.
    pub const DISPATCHED: &str = "dispatched";
    /// A retry was granted.
    pub const RETRIED: &str = "retrying the request";
    /// A node has a request's body in memory.
    pub const BODY_RECEIVED: &str = "the request is received";
    /// Written by the testbed for a process's panic message.
    pub const PANICKED: &str = "panicked";
}
