//! The other directory nodes, and the port that they and the routers come in by.
//!
//! `inbound.rs` receives, `join.rs` gets this node into the cluster; `peer_connections.rs`
//! beside this module sends. All of it is in memory.

mod inbound;
mod join;
mod sender_check;

pub(crate) use inbound::accept;
pub(crate) use join::join;
