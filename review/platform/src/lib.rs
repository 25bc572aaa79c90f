//! Stand-ins of the users' platform for the cases of the review, on loopback addresses.

pub mod engine;
pub mod http;
pub mod operator;
pub mod proxy;
pub mod record;
pub mod site;
pub mod sys;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
