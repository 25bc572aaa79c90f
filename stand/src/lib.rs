//! Stand-ins and proof: engines, callers, a whole fleet on one machine, the
//! rules' checker. For development only; no daemon uses this package.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod journal;
