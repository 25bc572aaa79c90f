//! Bytes of other formats, damaged or cut: frames, log files, state snapshots and
//! topology files are rejected with an error, without a panic, and without more memory
//! than their length allows.

mod allocation;
mod frames;
mod log;
mod mutations;
mod recorded;
mod samples;
mod state;
