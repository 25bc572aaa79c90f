//! Stand-ins and proof: engines, callers, a whole fleet on one machine, the
//! rules' checker. For development only; no daemon uses this package.

pub mod caller;
pub mod checker;
pub mod children;
pub mod day;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod hollow;
pub mod journal;
pub mod linearizability;
pub mod plot;
pub mod relay;
pub mod replay;
pub mod simulator;
