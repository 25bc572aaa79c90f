//! Sending a request to an engine and relaying its response.

pub mod connection_pool;
mod dispatcher;
pub mod engine_tracker;
pub mod guard;
pub mod quota;

pub use dispatcher::*;
