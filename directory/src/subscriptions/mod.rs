//! Routers' sessions: heartbeats in; snapshots, changes, leases and router lists out.
//!
//! `session.rs` serves one router; `leases.rs` and `gossip.rs` are one task each for the
//! whole node. `router_registry.rs` knows the routers.

mod gossip;
mod leases;
mod router_list;
mod session;

pub(crate) use gossip::gossip;
pub(crate) use leases::renew_leases;
pub(crate) use session::serve;
