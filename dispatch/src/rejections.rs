//! The rejections of requests that got no response from an engine.

use placement::ExecutionOutcome;
use transport::rejection::Rejection;

/// The deadline passed before a response began.
pub(crate) fn deadline_passed(outcome: ExecutionOutcome) -> Rejection {
    Rejection::not_run(504, "deadline", "the request's deadline passed").with_outcome(outcome)
}

/// The tenant key that the request was admitted by is not valid any more.
pub(crate) fn key_revoked(outcome: ExecutionOutcome) -> Rejection {
    let text = "this tenant key was revoked meanwhile";
    Rejection::not_run(401, "unknown-key", text).with_outcome(outcome)
}

/// No engine took the request, and it may not be sent to another one.
pub(crate) fn no_engine_left(outcome: ExecutionOutcome, reason: &str) -> Rejection {
    match outcome {
        ExecutionOutcome::NotRun => {
            let text = format!("no engine took the request and {reason}");
            Rejection::not_run(503, "engines-unreachable", text)
        }
        _ => engine_lost(),
    }
}

/// The engine broke off before its response began; the request may have run.
pub(crate) fn engine_lost() -> Rejection {
    let text = "the engine broke off before it responded";
    Rejection::not_run(502, "engine-lost", text).with_outcome(ExecutionOutcome::Unknown)
}

/// The rest of the body could not be read after a part of it was sent; the request may have run.
pub(crate) fn body_lost() -> Rejection {
    let text = "the body broke off after a part of it was sent to an engine";
    Rejection::not_run(502, "body-lost", text).with_outcome(ExecutionOutcome::Unknown)
}

/// The engine sent something that is no response to the request, which may have run.
pub(crate) fn unrelated_response() -> Rejection {
    let text = "the engine sent no response to this request";
    Rejection::not_run(502, "engine-answer", text).with_outcome(ExecutionOutcome::Unknown)
}
