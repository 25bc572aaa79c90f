//! What each command does to the state, what it is rejected for, and what lookups give.

mod commands;
mod harness;
mod late_commands;
mod lookup;
mod maintenance;
mod recent_proposals;
mod snapshot;
mod topology;
