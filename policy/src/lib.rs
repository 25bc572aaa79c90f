//! The policy language of rushport: its text, its compiler to tables over dense indices,
//! and the extraction of a request's routing key by those tables.
//!
//! [`compile`] turns a text into a [`Program`]. [`Program::match_route`] finds a request's
//! route by its head; [`Program::extract_key`] reads tenant, service and prompt prefix from
//! the head and as much of the body as has come. Routers and directory nodes use this
//! package and nothing else for it, so that they agree. It is synchronous: no clock, socket
//! or task lives here. The grammar stands at [`compile`] and, for operators, in
//! `docs/policy.md`.

mod compile;
mod error;
mod extract;
mod hash;
mod json_field;
mod parser;
mod program;
mod prompt;
mod route_index;

pub use compile::compile;
pub use error::{CompileError, CompileErrorKind};
pub use extract::{ExtractedKey, KeyField, BODY_LIMIT_BYTES};
pub use hash::{sha256_hex, stable_hash};
pub use json_field::{find_field, FieldSearch};
pub use parser::parse_duration_ms;
pub use program::{
    normalized_host, HostHomes, Ingress, Program, PromptPrefix, RequestHead, Route, SetPoints,
    Source, Target, WeightedService,
};
pub use prompt::{Prompt, PromptPart};
