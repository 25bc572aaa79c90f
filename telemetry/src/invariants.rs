//! Invariants of the running system that the code checks as it runs.
//!
//! A violation is counted, and logged as an error. It never stops the process: what the
//! check guards has happened already. The counts are part of `GET /counters` on every
//! process's operator port. Tests, soaks and the testbed's judges fail on the log line,
//! which begins with [`VIOLATION`].

use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};

/// How the log line of a violation begins.
pub const VIOLATION: &str = "invariant violated";

/// What must hold while a process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Invariant {
    /// A look-up names only routers in the client's region or in regions that are home to
    /// all routes of the host that have homes.
    LookupWithinHomeRegions,
    /// A request that a router accepted after the first part of its draining ends before
    /// the router does.
    AcceptedRequestOutlastsDrain,
}

/// All invariants with their counters' names, in the order of the enum.
const INVARIANTS: [(Invariant, &str); 2] = [
    (
        Invariant::LookupWithinHomeRegions,
        "violations_lookup_within_homes",
    ),
    (
        Invariant::AcceptedRequestOutlastsDrain,
        "violations_accepted_request_outlasts_drain",
    ),
];

static VIOLATIONS: [AtomicU64; INVARIANTS.len()] = [const { AtomicU64::new(0) }; INVARIANTS.len()];

/// Counts and logs a violation where the invariant does not hold. `detail` is asked only
/// then. Returns whether it holds.
pub fn check<T: Display>(invariant: Invariant, holds: bool, detail: impl FnOnce() -> T) -> bool {
    if !holds {
        VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
        let (_, name) = INVARIANTS[invariant as usize];
        log::error!("{VIOLATION}: {name}: {}", detail());
    }
    holds
}

/// How often the invariant was violated in this process.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}

/// The counters of all invariants, by name.
pub fn counters() -> impl Iterator<Item = (&'static str, u64)> {
    INVARIANTS
        .iter()
        .map(|(invariant, name)| (*name, violations(*invariant)))
}
