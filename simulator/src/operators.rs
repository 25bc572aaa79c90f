//! The simulated operators: what each is waiting for, and the history of all.

use crate::operator_history::{History, Intent};
use crate::requests::Request;
use std::collections::BTreeMap;

/// One operator. Invariant: one operation at a time.
#[derive(Default)]
pub(crate) struct Operator {
    pub(crate) open: Option<Operation>,
    pub(crate) idle_until_ms: u64,
    /// The newest revision that it knows of.
    pub(crate) known_revision: u64,
    pub(crate) operations: u64,
}

/// An operation that an operator waits for.
pub(crate) struct Operation {
    pub(crate) intent: Intent,
    /// Its index in the history.
    pub(crate) place: usize,
    pub(crate) attempts_made: u32,
    /// The attempt that is waited for.
    pub(crate) attempt: u64,
}

/// All operators of a run.
#[derive(Default)]
pub(crate) struct Operators {
    pub(crate) operators: Vec<Operator>,
    pub(crate) history: History,
    /// Requests that nodes are handling, by identifier.
    pub(crate) requests: BTreeMap<u64, Request>,
    /// Requests to a leader, by token: the request and its step.
    pub(crate) leader_requests: BTreeMap<u64, (u64, u64)>,
    pub(crate) attempts: u64,
}
