//! Compares what callers, engines, operators and rushport's own processes wrote
//! against the rules. Each bound is the brief's; there is no slack on top.
//!
//! `check` puts the journals in order once (`evidence`), and hands them to one
//! module for each kind of rule.

mod changes;
mod engines;
mod evidence;
mod ground;
mod line;
mod nodes;
mod quotas;
mod recovery;
mod requests;
mod retries;

pub use ground::Ground;
pub use line::text;

use changes::Span;
use evidence::Evidence;
use simd_json::OwnedValue;
use std::fmt;

/// How long a change may take to be in force everywhere, in microseconds from its
/// acknowledgement on.
const APPLY: u64 = 3_000_000;

/// The rules by the numbers of the architecture page, and the brief's bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NotTwice,
    NotRunMeansNotRun,
    OneRunWhole,
    /// An engine, or a machine that saw a body, outside the homes.
    Homes,
    Leaving,
    Evacuated,
    KeyTaken,
    Retries,
    /// A cold engine got more than it may have while it warms up.
    Flooded,
    /// An engine went past its set point by more than the age of its vitals
    /// explains.
    Overfull,
    QuotaPassed,
    QuotaRefused,
    /// Something was done by an epoch that others had left 3 s before.
    InForce,
    Epochs,
    /// An acknowledged change is not known any more.
    Lost,
    /// With everything well again, service took longer than 12 s.
    Back,
    /// A refusal that a later try can help says not when.
    RetryAfter,
    /// A process ended by a broken invariant.
    Panicked,
    /// A journal says what no journal can.
    Journal,
}

#[derive(Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

/// All that was found so far.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, rule: Rule, text: String) {
        self.0.push(Finding { rule, text });
    }
}

#[derive(Default)]
pub struct Journals {
    pub engines: Vec<OwnedValue>,
    pub callers: Vec<OwnedValue>,
    pub operators: Vec<OwnedValue>,
    /// What was done to machines.
    pub machines: Vec<OwnedValue>,
    /// The logs of routers and directory nodes, `at` in microseconds.
    pub nodes: Vec<OwnedValue>,
}

/// Judges a day by all rules.
pub fn check(ground: &Ground, journals: &Journals) -> Vec<Finding> {
    let evidence = Evidence::of(ground, journals);
    let mut findings = Findings::default();
    check_events(journals, &mut findings);
    requests::check(&evidence, &mut findings);
    engines::check_closed(&evidence, &mut findings);
    changes::check(&evidence, &mut findings);
    nodes::check(&evidence, &mut findings);
    retries::check(&evidence, &mut findings);
    engines::check_load(&evidence, &mut findings);
    quotas::check(&evidence, &mut findings);
    recovery::check(&evidence, &mut findings);
    findings.0
}

/// Engines write of no other events.
fn check_events(journals: &Journals, findings: &mut Findings) {
    for line in &journals.engines {
        match text(line, "event") {
            "received" | "begun-warm" | "begun-cold" | "ended" => {}
            "declined" | "cancelled" | "broken-body" | "started" => {}
            other => findings.add(Rule::Journal, format!("an engine wrote {other:?}")),
        }
    }
}
