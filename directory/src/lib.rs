//! A directory node: a member of the consensus group that holds residency, resolves
//! and forwards misses, streams events to routers, and answers operators.
//!
//! The node is a library: `run` runs one by its `Settings`, and `Extensions` adds other
//! interfaces than our own to it.
//!
//! | where | what |
//! |---|---|
//! | on disk (`data_folder.rs`) | identity, log, hard state, snapshots |
//! | in memory, from the log (`driver/`) | the replicated state, the cluster's status |
//! | in memory, lost by a restart | routers (`subscriptions/`), quota grants, open requests |
//!
//! `control_plane.rs` is what all parts share; `node.rs` starts and stops them.

pub mod change_pacing;
mod command_result;
mod control_plane;
mod data_folder;
mod driver;
pub mod engine_discovery;
mod extensions;
mod forwarded_requests;
pub mod leader_clock;
mod maintenance_windows;
mod node;
mod operator_api;
mod operator_commands;
mod peer_connections;
mod peers;
pub mod pending_requests;
pub mod prioritized_queue;
mod router_count;
pub mod router_registry;
pub mod session_queue;
mod settings;
mod state_watch;
mod subscriptions;

pub use command_result::{command_result, outcome_result, CommandError, Committed, Retry};
pub use control_plane::ControlPlane;
pub use data_folder::DataFolderError;
pub use driver::DriverStartError;
pub use engine_discovery::EngineDiscovery;
pub use extensions::{Extensions, HttpServer, OnStart};
pub use node::{run, StartError};
pub use settings::{RuntimeFlavor, Settings};
