//! What a run can find wrong.

use consensus::{LogIndex, Term};
use thiserror::Error;

/// A broken rule, and when it was seen. The run's seed brings it back.
#[derive(Debug, Error)]
#[error("at {at_ms} ms: {violation}")]
pub struct Failure {
    /// Virtual time since the run began.
    pub at_ms: u64,
    /// The rule that was broken.
    pub violation: Violation,
}

/// A broken rule. `machine` is the machine's index in the run.
#[derive(Debug, Error)]
pub enum Violation {
    /// After a crash or a repair a machine can't open its write-ahead log.
    #[error("node-{machine} can't open its log: {reason}")]
    UnreadableLog {
        /// The machine.
        machine: usize,
        /// The log's own error.
        reason: String,
    },
    /// A snapshot or a command that the cluster itself wrote can't be decoded.
    #[error("node-{machine} can't decode {what}: {reason}")]
    Undecodable {
        /// The machine.
        machine: usize,
        /// What was to be decoded.
        what: &'static str,
        /// The decoder's error.
        reason: String,
    },
    /// A tick before `Node::next_deadline` had an effect.
    #[error("node-{machine} had something to do before its deadline")]
    WorkBeforeDeadline {
        /// The machine.
        machine: usize,
    },
    /// A read index is older than what was acknowledged before it was requested.
    #[error(
        "node-{machine} confirmed index {confirmed}, and {acknowledged} was acknowledged \
         before it was asked"
    )]
    StaleReadIndex {
        /// The machine.
        machine: usize,
        /// The read index that it gave.
        confirmed: LogIndex,
        /// The index acknowledged when the read was requested.
        acknowledged: LogIndex,
    },
    /// A majority's word confirmed a copy of the state that lacks what was acknowledged
    /// before.
    #[error(
        "reader {reader} acts on epoch {epoch} by a majority's word of {asked_at_ms} ms, and \
         {acknowledged} was acknowledged before"
    )]
    StaleQuorumRead {
        /// The reader.
        reader: usize,
        /// The epoch of its copy.
        epoch: u64,
        /// The newest change that was acknowledged before the first machine was asked.
        acknowledged: u64,
        /// When that was, in the simulation's time.
        asked_at_ms: u64,
    },
    /// Two machines applied different entries at one index.
    #[error("node-{machine} applied another entry {index}")]
    DivergentEntry {
        /// The second machine.
        machine: usize,
        /// The entry's index.
        index: LogIndex,
    },
    /// A state's epoch fell.
    #[error("node-{machine}'s epoch fell from {before} to {after}")]
    EpochFell {
        /// The machine.
        machine: usize,
        /// The epoch before the entry.
        before: u64,
        /// The epoch after it.
        after: u64,
    },
    /// A proposal was applied more than once.
    #[error("proposal {id} was applied at {first} and at {second}")]
    AppliedTwice {
        /// The proposal's identifier.
        id: String,
        /// The epoch it was applied at first.
        first: u64,
        /// The epoch it was applied at again.
        second: u64,
    },
    /// The state machine rejected an operator's order, which is always valid here.
    #[error("an order was refused: {reason}")]
    OrderRejected {
        /// The state machine's reason.
        reason: String,
    },
    /// Two leaders in one term.
    #[error("term {term} has two leaders")]
    TwoLeaders {
        /// The term.
        term: Term,
    },
    /// After all faults ended a node lacks acknowledged entries.
    #[error("{description}")]
    AcknowledgedEntryMissing {
        /// The node's and the leader's state.
        description: String,
    },
    /// After all faults ended the nodes' states differ.
    #[error("the nodes differ: {states:?}")]
    StatesDiffer {
        /// The different states.
        states: Vec<String>,
    },
    /// The cluster did not get all its voters after it was bootstrapped.
    #[error("long after the bootstrap, voters are {voters:?}: {machines:#?}")]
    BootstrapIncomplete {
        /// The number of voters that the leader has, if one leads.
        voters: Option<usize>,
        /// The machines' states.
        machines: Vec<String>,
    },
    /// After all faults ended no change is acknowledged.
    #[error("12 s after everything was healed nothing is acknowledged")]
    NoProgressAfterHealing,
    /// No change was acknowledged for too long, though no more machines were lost
    /// than the plan tolerates.
    #[error(
        "no change was acknowledged for {silent_ms} ms, after {losses} losses, \
         {replaced} machines replaced; lost now: {open:?}; {machines:#?}"
    )]
    NoProgressUnderLosses {
        /// How long nothing was acknowledged.
        silent_ms: u64,
        /// The losses so far.
        losses: usize,
        /// The machines replaced so far.
        replaced: usize,
        /// The losses that count now.
        open: Vec<String>,
        /// The machines' states.
        machines: Vec<String>,
    },
    /// What operators were answered is not linearizable.
    #[error("not linearizable: {history}")]
    NotLinearizable {
        /// The calls up to the response that can't be explained.
        history: String,
    },
}
