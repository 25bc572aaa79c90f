//! Recorded workloads: what clients, operators and machines do, and when. JSON lines in the
//! order of their times; docs/replay.md describes the format.

mod action;
mod error;
mod format;
mod generate;
mod scenario;

pub use action::{
    Action, MachineOperation, Prompt, RecordedRequest, TimedAction, SHARED_PREFIX_BYTES,
};
pub use error::{LineError, NumberedLineError, WorkloadError};
pub use format::parse;
pub use generate::{generate, Generation};
pub use scenario::{read_scenarios, Scenario};
