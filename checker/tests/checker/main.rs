//! The checker finds what breaks a rule, and nothing else.

mod evidence;
mod limits;
mod nodes;
mod responses;
