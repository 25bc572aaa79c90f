//! The one shape in which requests are rejected.

use crate::http_server::{json, Response};
use placement::ExecutionOutcome;

/// The response header that states whether a rejected request may have run.
pub const OUTCOME_HEADER: &str = "x-rushport-outcome";
/// The header that carries a request's id.
pub const REQUEST_ID_HEADER: &str = "x-rushport-job";
/// When a client may come back if nothing else is known.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Why a request was rejected, and whether it may have run.
#[derive(Debug)]
pub struct Rejection {
    /// The HTTP status.
    pub status: u16,
    /// A stable word for the reason, for programs.
    pub code: String,
    /// A sentence for people.
    pub text: String,
    /// Whether the request ran: a retry is safe only where it did not.
    pub outcome: ExecutionOutcome,
    /// When a retry may succeed; `None` where it can't.
    pub retry_after_ms: Option<u64>,
}

impl Rejection {
    /// A rejection of a request that did not run. Where a later retry can help, as the
    /// status says, it may come after a second, unless [`Rejection::retry`] says otherwise.
    pub fn not_run(status: u16, code: &str, text: impl Into<String>) -> Rejection {
        let may_help = matches!(status, 408 | 429 | 502 | 503 | 504);
        Rejection {
            status,
            code: code.into(),
            text: text.into(),
            outcome: ExecutionOutcome::NotRun,
            retry_after_ms: may_help.then_some(DEFAULT_RETRY_AFTER_MS),
        }
    }

    /// The same with another outcome.
    pub fn with_outcome(mut self, outcome: ExecutionOutcome) -> Rejection {
        self.outcome = outcome;
        self
    }

    /// The same with another time after which a retry may succeed.
    pub fn retry(mut self, after_ms: u64) -> Rejection {
        self.retry_after_ms = Some(after_ms);
        self
    }

    /// The response to the request of this id.
    pub fn response(&self, request_id: &str) -> Response {
        let value = simd_json::json!({
            "code": self.code.clone(),
            "text": self.text.clone(),
            "outcome": self.outcome.to_string(),
            "job": request_id,
        });
        let mut response = json(self.status, &value);
        let headers = response.headers_mut();
        let outcome = self.outcome.to_string();
        headers.insert(
            OUTCOME_HEADER,
            outcome.parse().expect("an outcome is a valid header value"),
        );
        if let Ok(id) = request_id.parse() {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if let Some(ms) = self.retry_after_ms {
            headers.insert("retry-after", (ms.div_ceil(1000)).max(1).into());
        }
        response
    }
}

/// The rejection of a request whose tenant and service resolve to no mapping. `code` is that
/// of the lookup's answer.
pub fn lookup_rejection(code: &str, text: String) -> Rejection {
    match code {
        "no-place" => Rejection::not_run(503, code, text).retry(5_000),
        "unknown-service" => Rejection::not_run(404, code, text),
        _ => Rejection::not_run(403, code, text),
    }
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} {}: {}", self.status, self.code, self.text)
    }
}

impl std::error::Error for Rejection {}
