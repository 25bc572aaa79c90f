//! The state machine of a request in one process: what may be attempted, and what an error
//! may claim about the request.
//!
//! ```text
//! Received -> Identified -> Resolved -> Selected -> Dispatched -> Responding -> Completed
//!    |            |          ^            |  |          |             |
//!    |            |          +------------+  |          |             +-> Failed
//!    |            |        connect failed    |          +-> Failed (no response head came)
//!    |            |                          |          +-> Resolved (nothing was sent, the engine
//!    |            |                          |              did not run it, or a retry is allowed)
//!    +------------+-> Forwarded -> Responding       (a directory node has the request)
//!    any state before Responding -> Rejected; any state -> Cancelled
//!    the deadline passes: any state before Responding -> Rejected, Responding -> Failed
//! ```

use std::fmt;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// Its head was received.
    Received,
    /// Its tenant and service are known, or known to be unreadable.
    Identified,
    /// Its mapping is known; an engine is to be selected.
    Resolved,
    /// An engine is selected; no byte has been sent.
    Selected,
    /// A byte may have reached an engine.
    Dispatched,
    /// It was sent to a directory node, which has not answered yet.
    Forwarded,
    /// The response is being streamed to the client.
    Responding,
    /// The response was sent completely.
    Completed,
    /// It was rejected before any response.
    Rejected,
    /// No response came, or it ended before its end; the client can tell.
    Failed,
    /// The client disconnected.
    Cancelled,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    /// Tenant and service were read, or can't be.
    RoutingKeyExtracted,
    /// The mapping was found.
    MappingResolved,
    /// An engine was selected.
    EngineSelected,
    /// No connection was established: provably no byte was sent.
    ConnectFailed,
    /// Applied before the first byte is passed to the connection.
    SendStarted,
    /// The connection ended, and provably no byte was passed to it.
    NothingSent,
    /// The engine said that it did not run the request.
    NotRun,
    /// The connection broke before the head of a response.
    ResponseLost,
    /// The request was sent to a directory node.
    Forwarded,
    /// The directory node said that nothing was run.
    ForwardNotRun,
    /// The head of a response was received.
    ResponseStarted,
    /// The response ended properly.
    ResponseEnded,
    /// The response broke off.
    ResponseBroken,
    /// The request's deadline passed: the earlier of its route's time-out and its client's.
    DeadlinePassed,
    /// The request is rejected.
    Reject,
    /// The client disconnected.
    ClientDisconnected,
}

/// What is known of the execution of a request; errors tell it to the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExecutionOutcome {
    /// It did not run: the client may safely retry.
    NotRun,
    /// It may have run.
    Unknown,
    /// The engine responded; its response says how it went.
    Ran,
}

impl fmt::Display for ExecutionOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ExecutionOutcome::NotRun => "not-run",
            ExecutionOutcome::Unknown => "unknown",
            ExecutionOutcome::Ran => "ran",
        })
    }
}

/// An event that must not happen in a state: an invariant of the calling code is broken.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{event:?} must not follow in state {state:?}")]
pub struct InvalidTransition {
    /// The state of the request.
    pub state: RequestState,
    /// The event that was applied.
    pub event: RequestEvent,
}

/// Engines that one request is sent to at most, where its route does not say.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Engines that could not be reached, after which a request is given up. It bounds the time
/// of a request while many engines are lost.
const MAX_FAILED_CONNECTS: u32 = 4;

/// The state of one request.
///
/// Invariants: a request that is not idempotent is `Dispatched` once at most, unless the
/// engine itself said that it did not run it, or provably nothing was sent; `may_have_run`
/// becomes false again only by the word of the process that had the request; after the first
/// byte of a response there is no further attempt.
#[derive(Clone, Copy)]
pub struct RequestStateMachine {
    state: RequestState,
    is_idempotent: bool,
    may_have_run: bool,
    /// Engines that it was sent to.
    attempts: u32,
    max_attempts: u32,
    /// Engines that could not be reached.
    failed_connects: u32,
}

impl RequestStateMachine {
    /// A request whose head was received.
    pub fn new(is_idempotent: bool) -> RequestStateMachine {
        RequestStateMachine {
            state: RequestState::Received,
            is_idempotent,
            may_have_run: false,
            attempts: 0,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            failed_connects: 0,
        }
    }

    /// Bounds the engines that it may be sent to.
    pub fn with_max_attempts(self, max_attempts: u32) -> RequestStateMachine {
        RequestStateMachine {
            max_attempts,
            ..self
        }
    }

    /// Whether it may be run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    /// Where it stands.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// How many engines it was sent to, the current one included.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// What may be claimed about its execution now.
    pub fn outcome(&self) -> ExecutionOutcome {
        match self.state {
            RequestState::Responding | RequestState::Completed | RequestState::Failed => {
                match self.may_have_run {
                    true if self.state == RequestState::Failed => ExecutionOutcome::Unknown,
                    _ => ExecutionOutcome::Ran,
                }
            }
            _ if self.may_have_run => ExecutionOutcome::Unknown,
            _ => ExecutionOutcome::NotRun,
        }
    }

    /// Whether the number of attempts alone would allow one more.
    pub fn has_attempts_left(&self) -> bool {
        self.attempts < self.max_attempts
    }

    /// Whether one more engine may be tried from here. `budget` is asked only if that would
    /// be a retry.
    pub fn may_attempt(&self, budget: &mut dyn FnMut() -> bool) -> bool {
        let is_exhausted =
            self.attempts >= self.max_attempts || self.failed_connects >= MAX_FAILED_CONNECTS;
        if self.state != RequestState::Resolved || is_exhausted {
            return false;
        }
        if self.may_have_run && !self.is_idempotent {
            return false;
        }
        self.attempts == 0 || budget()
    }

    /// Applies an event and returns the new state.
    ///
    /// # Errors
    /// The event must not happen in this state; the state is unchanged.
    pub fn apply(&mut self, event: RequestEvent) -> Result<RequestState, InvalidTransition> {
        use RequestEvent as E;
        use RequestState as S;
        let next = match (self.state, event) {
            (S::Received, E::RoutingKeyExtracted) => S::Identified,
            (S::Identified, E::MappingResolved) => S::Resolved,
            (S::Resolved, E::EngineSelected) if self.is_idempotent || !self.may_have_run => {
                self.attempts += 1;
                S::Selected
            }
            // Nothing was sent: it was no attempt.
            (S::Selected, E::ConnectFailed) => {
                self.attempts -= 1;
                self.failed_connects += 1;
                S::Resolved
            }
            (S::Selected, E::SendStarted) => {
                self.may_have_run = true;
                S::Dispatched
            }
            (S::Dispatched, E::NotRun) => {
                self.may_have_run = self.attempts > 1 && self.is_idempotent;
                S::Resolved
            }
            (S::Dispatched, E::NothingSent) => {
                self.attempts -= 1;
                self.failed_connects += 1;
                self.may_have_run = self.attempts > 0 && self.is_idempotent;
                S::Resolved
            }
            (S::Dispatched, E::ResponseLost) if self.is_idempotent => S::Resolved,
            (S::Dispatched, E::ResponseLost) => S::Failed,
            (S::Identified, E::Forwarded) => {
                self.may_have_run = true;
                S::Forwarded
            }
            (S::Forwarded, E::ForwardNotRun) => {
                self.may_have_run = false;
                S::Identified
            }
            (S::Forwarded, E::ResponseLost) if self.is_idempotent => S::Identified,
            (S::Forwarded, E::ResponseLost) => S::Failed,
            (S::Dispatched | S::Forwarded, E::ResponseStarted) => S::Responding,
            (S::Responding, E::ResponseEnded) => S::Completed,
            (S::Responding, E::ResponseBroken | E::DeadlinePassed) => S::Failed,
            (
                S::Responding | S::Completed | S::Failed | S::Rejected | S::Cancelled,
                E::Reject | E::DeadlinePassed,
            ) => {
                return Err(InvalidTransition {
                    state: self.state,
                    event,
                })
            }
            (_, E::Reject | E::DeadlinePassed) => S::Rejected,
            (S::Completed | S::Failed | S::Rejected, E::ClientDisconnected) => self.state,
            (_, E::ClientDisconnected) => S::Cancelled,
            (state, event) => return Err(InvalidTransition { state, event }),
        };
        self.state = next;
        Ok(next)
    }
}
