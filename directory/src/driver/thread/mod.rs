//! The thread that owns the consensus node and applies what is committed.
//!
//! `run_loop.rs` takes commands and steps the node, `effects.rs` carries out what the
//! node decides, `requests.rs` serves requests of this process and of other nodes.

mod driver_thread;
mod effects;
mod queue_watch;
mod quota_grants;
mod request_table;
mod requests;
mod run_loop;
mod status;

pub(super) use driver_thread::{DriverThread, Published};
