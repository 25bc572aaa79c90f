//! Sending a request to an engine and relaying its response.

mod dispatcher;
pub mod gate;
pub mod lanes;
pub mod quota;
pub mod roster;

pub use dispatcher::*;
