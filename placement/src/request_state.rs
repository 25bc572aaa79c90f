//! A request's way through a process, as a state chart.
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
//! ```

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// The head is here.
    Received,
    /// Tenant and service are known, or known to be unreadable.
    Identified,
    /// A mapping is here; an engine is to be elected.
    Resolved,
    /// An engine is elected; not a byte has gone to it.
    Selected,
    /// A byte may have reached an engine.
    Dispatched,
    /// The request is with a directory node, which has not answered yet.
    Forwarded,
    /// The engine's answer goes out.
    Responding,
    Completed,
    /// Refused before any answer; see `outcome`.
    Rejected,
    /// The answer ended before its end, visibly.
    Failed,
    /// The caller left.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEvent {
    RoutingKeyExtracted,
    MappingResolved,
    EngineSelected,
    /// No connection came about: provably no byte was written.
    ConnectFailed,
    /// Said before the first byte is handed to the connection.
    SendStarted,
    /// The connection ended, and not a byte was handed to it.
    NothingSent,
    /// The engine said that it did not run the request.
    NotRun,
    /// The connection broke before the head of an answer.
    ResponseLost,
    Forwarded,
    /// The directory node said that nothing ran.
    ForwardNotRun,
    ResponseStarted,
    ResponseEnded,
    ResponseBroken,
    Reject,
    ClientDisconnected,
}

/// What a refusal or a break says of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ExecutionOutcome {
    NotRun,
    Unknown,
    /// The engine answered; its own words say how.
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

#[derive(Debug, PartialEq)]
pub struct InvalidTransition {
    pub state: RequestState,
    pub event: RequestEvent,
}

impl fmt::Display for InvalidTransition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} can't follow in state {:?}", self.event, self.state)
    }
}

/// Invariants: a request that is not repeatable is in `Committed` once at most,
/// unless the engine itself declined it; `may_have_run` falls back to false
/// only by the word of who had the request; after an answer byte there is no
/// further round.
#[derive(Clone, Copy)]
pub struct RequestStateMachine {
    state: RequestState,
    is_idempotent: bool,
    may_have_run: bool,
    attempts: u32,
    max_attempts: u32,
    /// Engines that could not be reached.
    failed_connects: u32,
}

/// Engines that one request is sent to, at the most, where its route says nothing.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Engines that can't be reached, for one request.
const MAX_FAILED_CONNECTS: u32 = 4;

impl RequestStateMachine {
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

    pub fn is_idempotent(&self) -> bool {
        self.is_idempotent
    }

    pub fn state(&self) -> RequestState {
        self.state
    }

    pub fn attempts(&self) -> u32 {
        self.attempts
    }

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

    /// Whether one more engine would be allowed by its attempts alone.
    pub fn has_attempts_left(&self) -> bool {
        self.attempts < self.max_attempts
    }

    /// Whether, from here, one more engine may be tried. `budget` is asked
    /// only where the round would be a repeat of work.
    pub fn may_attempt(&self, budget: &mut dyn FnMut() -> bool) -> bool {
        let is_past =
            self.attempts >= self.max_attempts || self.failed_connects >= MAX_FAILED_CONNECTS;
        if self.state != RequestState::Resolved || is_past {
            return false;
        }
        if self.may_have_run && !self.is_idempotent {
            return false;
        }
        self.attempts == 0 || budget()
    }

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
            // Nothing was sent: it was no round.
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
            (S::Responding, E::ResponseBroken) => S::Failed,
            (S::Responding | S::Completed | S::Failed | S::Rejected | S::Cancelled, E::Reject) => {
                return Err(InvalidTransition {
                    state: self.state,
                    event,
                })
            }
            (_, E::Reject) => S::Rejected,
            (S::Completed | S::Failed | S::Rejected, E::ClientDisconnected) => self.state,
            (_, E::ClientDisconnected) => S::Cancelled,
            (state, event) => return Err(InvalidTransition { state, event }),
        };
        self.state = next;
        Ok(next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use RequestEvent::*;

    /// Guards: nothing non-repeatable runs twice; `not-run` is true.
    #[test]
    fn the_chart_case_by_case() {
        let start = [RoutingKeyExtracted, MappingResolved, EngineSelected];
        let cases: Vec<(bool, &[RequestEvent], RequestState, ExecutionOutcome)> = vec![
            (false, &[], RequestState::Selected, ExecutionOutcome::NotRun),
            (
                false,
                &[ConnectFailed],
                RequestState::Resolved,
                ExecutionOutcome::NotRun,
            ),
            (
                false,
                &[ConnectFailed, Reject],
                RequestState::Rejected,
                ExecutionOutcome::NotRun,
            ),
            (
                false,
                &[SendStarted],
                RequestState::Dispatched,
                ExecutionOutcome::Unknown,
            ),
            (
                false,
                &[SendStarted, ResponseLost],
                RequestState::Failed,
                ExecutionOutcome::Unknown,
            ),
            (
                false,
                &[SendStarted, NotRun],
                RequestState::Resolved,
                ExecutionOutcome::NotRun,
            ),
            (
                false,
                &[SendStarted, NothingSent],
                RequestState::Resolved,
                ExecutionOutcome::NotRun,
            ),
            (
                false,
                &[SendStarted, Reject],
                RequestState::Rejected,
                ExecutionOutcome::Unknown,
            ),
            (
                false,
                &[SendStarted, ClientDisconnected],
                RequestState::Cancelled,
                ExecutionOutcome::Unknown,
            ),
            (
                true,
                &[SendStarted, ResponseLost],
                RequestState::Resolved,
                ExecutionOutcome::Unknown,
            ),
            (
                true,
                &[SendStarted, ResponseLost, Reject],
                RequestState::Rejected,
                ExecutionOutcome::Unknown,
            ),
            (
                true,
                &[
                    SendStarted,
                    ResponseLost,
                    EngineSelected,
                    SendStarted,
                    NotRun,
                ],
                RequestState::Resolved,
                ExecutionOutcome::Unknown,
            ),
            (
                false,
                &[SendStarted, ResponseStarted, ResponseEnded],
                RequestState::Completed,
                ExecutionOutcome::Ran,
            ),
            (
                false,
                &[SendStarted, ResponseStarted, ResponseBroken],
                RequestState::Failed,
                ExecutionOutcome::Unknown,
            ),
        ];
        for (is_idempotent, events, state, outcome) in cases {
            let mut request = RequestStateMachine::new(is_idempotent);
            for event in start.iter().chain(events) {
                request
                    .apply(*event)
                    .expect("every case is a way through the chart");
            }
            assert_eq!(
                (request.state(), request.outcome()),
                (state, outcome),
                "{events:?}"
            );
        }
    }

    #[test]
    fn what_the_chart_forbids() {
        let cases: Vec<(bool, Vec<RequestEvent>, RequestEvent)> = vec![
            (false, vec![], SendStarted),
            (
                false,
                vec![RoutingKeyExtracted, MappingResolved],
                SendStarted,
            ),
            (
                false,
                vec![
                    RoutingKeyExtracted,
                    MappingResolved,
                    EngineSelected,
                    SendStarted,
                ],
                EngineSelected,
            ),
            (
                true,
                vec![RoutingKeyExtracted, Forwarded, ResponseStarted],
                EngineSelected,
            ),
            (
                true,
                vec![RoutingKeyExtracted, Forwarded, ResponseStarted],
                Reject,
            ),
            (true, vec![RoutingKeyExtracted, Forwarded], MappingResolved),
            (
                false,
                vec![RoutingKeyExtracted, Forwarded, ResponseLost],
                Forwarded,
            ),
            (
                false,
                vec![RoutingKeyExtracted, Forwarded, ResponseLost],
                MappingResolved,
            ),
        ];
        for (is_idempotent, events, forbidden) in cases {
            let mut request = RequestStateMachine::new(is_idempotent);
            events.iter().for_each(|event| {
                request.apply(*event).expect("the way there is allowed");
            });
            assert!(
                request.apply(forbidden).is_err(),
                "{events:?} then {forbidden:?}"
            );
        }
    }

    proptest::proptest! {
        /// Whatever happens in whatever order, a request that is not repeatable
        /// never commits again after a commit that was not declined.
        #[test]
        fn once_is_once(picks in proptest::collection::vec(0usize..15, 0..40)) {
            let all = [
                RoutingKeyExtracted, MappingResolved, EngineSelected, ConnectFailed, SendStarted, NotRun,
                NothingSent, ResponseLost, Forwarded, ForwardNotRun, ResponseStarted, ResponseEnded, ResponseBroken,
                Reject, ClientDisconnected,
            ];
            let mut request = RequestStateMachine::new(false);
            let mut at_large = false;
            for pick in picks {
                let Ok(_) = request.apply(all[pick]) else { continue };
                match all[pick] {
                    SendStarted | Forwarded => {
                        assert!(!at_large);
                        at_large = true;
                    }
                    NotRun | NothingSent | ForwardNotRun => at_large = false,
                    _ => {}
                }
                assert!(!at_large || request.outcome() != ExecutionOutcome::NotRun);
            }
        }
    }
}
