//! The state machine of a request.

use placement::{ExecutionOutcome, RequestEvent, RequestState, RequestStateMachine};
use RequestEvent::*;

/// Guards: nothing that is not idempotent runs twice; `not-run` is true.
#[test]
fn each_path_ends_in_its_state_and_outcome() {
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
        (
            false,
            &[DeadlinePassed],
            RequestState::Rejected,
            ExecutionOutcome::NotRun,
        ),
        (
            true,
            &[SendStarted, DeadlinePassed],
            RequestState::Rejected,
            ExecutionOutcome::Unknown,
        ),
        (
            true,
            &[SendStarted, ResponseStarted, DeadlinePassed],
            RequestState::Failed,
            ExecutionOutcome::Unknown,
        ),
    ];
    for (is_idempotent, events, state, outcome) in cases {
        let mut request = RequestStateMachine::new(is_idempotent);
        for event in start.iter().chain(events) {
            request
                .apply(*event)
                .expect("every case is a path of the state machine");
        }
        assert_eq!(
            (request.state(), request.outcome()),
            (state, outcome),
            "{events:?}"
        );
    }
}

#[test]
fn forbidden_transitions_are_rejected() {
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
        (
            true,
            vec![
                RoutingKeyExtracted,
                Forwarded,
                ResponseStarted,
                DeadlinePassed,
            ],
            ResponseEnded,
        ),
        (true, vec![DeadlinePassed], RoutingKeyExtracted),
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
            request.apply(*event).expect("the path there is allowed");
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
    fn a_request_that_is_not_idempotent_is_sent_once(picks in proptest::collection::vec(0usize..16, 0..40)) {
        let all = [
            RoutingKeyExtracted, MappingResolved, EngineSelected, ConnectFailed, SendStarted, NotRun,
            NothingSent, ResponseLost, Forwarded, ForwardNotRun, ResponseStarted, ResponseEnded, ResponseBroken,
            Reject, ClientDisconnected, DeadlinePassed,
        ];
        let mut request = RequestStateMachine::new(false);
        let mut may_be_running = false;
        for pick in picks {
            let Ok(_) = request.apply(all[pick]) else { continue };
            match all[pick] {
                SendStarted | Forwarded => {
                    assert!(!may_be_running);
                    may_be_running = true;
                }
                NotRun | NothingSent | ForwardNotRun => may_be_running = false,
                _ => {}
            }
            assert!(!may_be_running || request.outcome() != ExecutionOutcome::NotRun);
        }
    }
}
