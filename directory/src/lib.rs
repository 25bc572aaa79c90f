//! Not there yet.
