//! Routers' sessions: heartbeats in; snapshots, changes, leases and router lists out.
//!
//! `registry.rs` knows which routers there are, in memory alone; `session.rs` serves one
//! router; `leases.rs` and `gossip.rs` are one task each for the whole node.

mod gossip;
mod leases;
mod registry;
mod router_list;
mod session;

pub(crate) use gossip::gossip;
pub(crate) use leases::renew_leases;
pub(crate) use registry::RouterRegistry;
pub(crate) use session::serve;
