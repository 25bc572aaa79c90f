//! The rules, and what was found to break them.

use std::fmt;

/// The rules. docs/replay.md says of each what breaks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that must not be repeated is run at most once.
    AtMostOnce,
    /// A request that was refused as not run has not been run.
    NotRunMeansNotRun,
    /// A complete response is that of one run of its own request.
    CompleteResponse,
    /// No engine outside the home regions gets a request, and no node outside them and
    /// the client's region its body.
    HomeRegions,
    /// A drained engine gets no requests.
    Drained,
    /// Engines in an evacuated zone get no requests.
    Evacuated,
    /// A revoked key admits no requests.
    RevokedKey,
    /// Retries are a bounded part of all requests.
    RetryBudget,
    /// A cold engine gets no more than its slow start allows.
    SlowStart,
    /// An engine does not go past its set point by more than the age of its load report
    /// explains.
    EngineOverload,
    /// A tenant gets no more than its quota.
    QuotaExceeded,
    /// A tenant within its quota is not refused for it.
    RefusedWithinQuota,
    /// A change is in force everywhere in time.
    InForce,
    /// Epochs grow.
    EpochOrder,
    /// An acknowledged change stays known.
    LostChange,
    /// After all faults ended, service is back in time.
    RecoveryTime,
    /// A refusal that a later attempt may change says when to come back.
    RetryAfter,
    /// No process ends by a panic.
    Panicked,
    /// A journal holds only what its writer can have seen.
    MalformedJournal,
}

/// A broken rule, and where.
#[derive(Debug, PartialEq)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// What broke it, with the names and numbers from the journals.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

/// All that was found so far.
#[derive(Default)]
pub(crate) struct Findings(Vec<Finding>);

impl Findings {
    pub(crate) fn add(&mut self, rule: Rule, text: String) {
        self.0.push(Finding { rule, text });
    }

    pub(crate) fn into_vec(self) -> Vec<Finding> {
        self.0
    }
}
