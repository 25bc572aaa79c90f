//! Engine selection where engines report nothing of themselves: their load and health are
//! estimated from the requests sent there and from their responses.

mod candidates;
mod engine_load;
mod estimator;
mod gossip;

pub use estimator::{EngineLoadEstimator, EngineLoadStatus, PrefillEstimate, ProbeTarget};
pub use gossip::LoadUpdate;
