//! Runs the control plane in virtual time under drawn faults, and checks its rules.
//!
//! Every node's consensus, write-ahead log and replicated state are the real ones. Clock,
//! network, disks and machines are simulated; their faults are drawn from a seed, so that a
//! seed brings a failure back. Rules are checked after every step ([`Violation`]), and the
//! responses to simulated operators are checked for linearizability.

mod clients;
mod event_loop;
mod fault_injection;
mod fault_profile;
mod halves;
mod invariants;
mod linearizability;
mod losses;
mod machine;
mod memory_files;
mod network;
mod node_driver;
mod operator_driver;
mod operator_history;
mod operators;
mod quorum_readers;
mod random;
mod request_decision;
mod request_handling;
mod requests;
mod run;
mod simulation;
mod violation;

pub use fault_profile::{
    FaultProfile, Loss, LossPlan, OperatorPlan, PlantedFault, CALM, FIVE_MACHINES, FULL_DISKS,
    HALVES, LARGE_SITE, LEADER_SUCCESSION, NINE_MACHINES, OPERATORS, OPERATORS_UNDER_LOSSES,
    PLANNED_REPLACEMENTS, POWER_LOSS, REPLACEMENTS, SMALL_SITE, STORM,
};
pub use memory_files::MemoryFiles;
pub use simulation::{Report, Simulation};
pub use violation::{Failure, Violation};
