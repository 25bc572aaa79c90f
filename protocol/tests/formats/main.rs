//! Bytes that are no frame, no message, no record and no snapshot: whatever they are,
//! they are refused in words, without a panic and without much memory.

mod bytes;
mod frames;
mod log;
mod memory;
mod recorded;
mod state;
