//! Several directory nodes within the test's process.

mod common;
mod operator_commands;
mod overload;
mod subscriptions;
