//! Compiling rules, and extracting routing keys by them.

mod compile;
mod extract;
mod host_homes;
mod json_field;
mod rules;
mod split;
