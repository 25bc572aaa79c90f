//! Requests that routers forward to this node, one connection each. The mapping goes
//! back first, then the engine's response, then an end frame; without it the response
//! is broken.
//!
//! `key.rs` reads the key from the body and resolves it, `serve.rs` takes the request to
//! an engine, `body.rs` streams the rest of the body.

mod body;
mod key;
mod serve;

pub(crate) use serve::serve;
