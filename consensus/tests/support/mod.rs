//! What several test files of this package share.

// Each test file uses a part of it.
#![allow(dead_code)]

pub mod cluster;
pub mod disk;
pub mod state;
pub mod traffic;
