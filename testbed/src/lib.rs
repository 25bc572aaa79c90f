//! A whole fleet of real processes on one machine, with simulated engines and clients,
//! injected faults, and the replay of recorded workloads. For development only; no daemon
//! uses this package.

pub mod child_process;
pub mod client;
pub mod fault_plan;
pub mod fleet;
pub mod journal;
pub mod plot;
pub mod random;
pub mod relay;
pub mod renamed_options;
pub mod replay;
pub mod simulated_engine;
pub mod simulated_router;
pub mod workload;
