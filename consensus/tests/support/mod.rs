//! Harness that the test files of this package share.

// Each test file uses a part of it.
#![allow(dead_code)]

pub mod cluster;
pub mod deployment;
pub mod disk;
pub mod members;
pub mod persisted;
pub mod random;
pub mod single_node;
pub mod state;
pub mod traffic;
