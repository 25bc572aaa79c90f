//! The other directory nodes, and the port that they and the routers come in by.
//!
//! `connections.rs` sends, `inbound.rs` receives, `join.rs` gets this node into the
//! cluster. All of it is in memory.

mod connections;
mod inbound;
mod join;
mod sender_check;

pub(crate) use connections::PeerConnections;
pub(crate) use inbound::accept;
pub(crate) use join::join;
