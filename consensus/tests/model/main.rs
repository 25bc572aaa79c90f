//! Model checking of the product's own consensus node: every order of messages,
//! losses, duplicates, crashes, lost disks and changes of membership, within
//! bounds. docs/model-checking.md says what is covered and how deep.
//!
//! The runs without `--ignored` are bounded for CI; the deep ones are
//! `cargo test --release -p consensus --test model -- --ignored --nocapture`.

mod actions;
mod checker;
mod cluster;
mod history;
mod properties;
mod scenarios;
mod server;
#[path = "../support/mod.rs"]
mod support;
mod transitions;

use actions::Scenario;
use checker::{check, walk, Limits, Report};
use scenarios::Size;

const CI_THREADS: usize = 2;
const DEEP_THREADS: usize = 4;
const WALK_SEEDS: std::ops::Range<u64> = 1..500;
const WALK_LENGTH: usize = 80;

fn assert_holds(scenario: &Scenario, report: &Report) {
    println!("{}: {report}", scenario.name);
    assert!(
        report.counterexample.is_none(),
        "{}: {report}",
        scenario.name
    );
}

/// For CI: every sequence of this many actions, then random walks that go deeper.
fn bounded(name: &str, depth: usize) {
    let scenario = scenarios::named(name, Size::Small);
    let limits = Limits {
        depth,
        states: usize::MAX,
        threads: CI_THREADS,
    };
    let report = check(&scenario, limits);
    assert_holds(&scenario, &report);
    assert!(report.depth == depth, "the scenario ends early: {report}");
    let scenario = scenarios::named(name, Size::Large);
    assert_holds(&scenario, &walk(&scenario, WALK_SEEDS, WALK_LENGTH));
}

/// Level by level, until the states no longer fit: with few events of each kind,
/// which goes deeper, and with more.
fn deep(name: &str) {
    let limits = Limits {
        depth: usize::MAX,
        states: deep_states(),
        threads: DEEP_THREADS,
    };
    for size in [Size::Small, Size::Large] {
        let scenario = scenarios::named(name, size);
        assert_holds(&scenario, &check(&scenario, limits));
    }
    let scenario = scenarios::named(name, Size::Large);
    assert_holds(
        &scenario,
        &walk(&scenario, 1..deep_walks(), 2 * WALK_LENGTH),
    );
}

/// States after which no further level is begun; `MODEL_STATES` sets it.
fn deep_states() -> usize {
    setting("MODEL_STATES", 1_000_000)
}

fn deep_walks() -> u64 {
    setting("MODEL_WALKS", 20_000)
}

fn setting<T: std::str::FromStr>(name: &str, otherwise: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(otherwise)
}

#[test]
fn elections_by_messages() {
    bounded("elections, by messages", 10);
}

#[test]
fn replication_by_messages() {
    bounded("replication, by messages", 7);
}

#[test]
fn three_nodes_by_calls() {
    bounded("three nodes, by calls", 6);
}

#[test]
fn reads_by_calls() {
    bounded("reads, by calls", 9);
}

#[test]
fn entries_of_older_terms() {
    bounded("five nodes, entries of older terms", 6);
}

#[test]
fn membership_by_calls() {
    bounded("membership, by calls", 6);
}

#[test]
fn replacement_of_a_lost_disk() {
    bounded("replacement of a lost disk", 7);
}

#[test]
fn snapshots_by_calls() {
    bounded("snapshots, by calls", 6);
}

#[test]
fn founding_by_messages() {
    bounded("founding, by messages", 9);
}

#[test]
fn a_silent_voter_by_calls() {
    bounded("a silent voter, by calls", 10);
}

#[test]
#[ignore = "deep: run in release"]
fn deep_elections_by_messages() {
    deep("elections, by messages");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_replication_by_messages() {
    deep("replication, by messages");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_three_nodes_by_calls() {
    deep("three nodes, by calls");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_reads_by_calls() {
    deep("reads, by calls");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_entries_of_older_terms() {
    deep("five nodes, entries of older terms");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_membership_by_calls() {
    deep("membership, by calls");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_replacement_of_a_lost_disk() {
    deep("replacement of a lost disk");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_snapshots_by_calls() {
    deep("snapshots, by calls");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_founding_by_messages() {
    deep("founding, by messages");
}

#[test]
#[ignore = "deep: run in release"]
fn deep_a_silent_voter_by_calls() {
    deep("a silent voter, by calls");
}
