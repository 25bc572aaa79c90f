//! Engine selection where engines report nothing of themselves: their load and health are
//! estimated from the requests sent there and from their responses.

mod aggregator;
mod aggregators;
mod candidates;
mod engine_load;
mod estimator;
mod gossip;

pub use aggregator::LoadAggregator;
pub use aggregators::{Aggregator, AggregatorChoice, LoadAggregators};
pub use estimator::{EngineLoadEstimator, EngineLoadStatus, PrefillEstimate, ProbeTarget};
pub use gossip::LoadUpdate;
