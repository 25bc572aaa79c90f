//! Compiling rules, and extracting routing keys by them.

mod compile;
mod extract;
mod json_field;
mod rules;
