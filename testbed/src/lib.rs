//! A whole fleet of real processes on one machine, with simulated engines and clients,
//! injected faults, and the replay of recorded days. For development only; no daemon
//! uses this package.

pub mod caller;
pub mod children;
pub mod day;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod hollow;
pub mod journal;
pub mod plot;
pub mod random;
pub mod relay;
pub mod replay;
