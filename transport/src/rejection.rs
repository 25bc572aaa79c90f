//! The one shape in which requests are rejected.

use crate::http_server::{json, Response};

/// The header that states what became of a job.
pub const OUTCOME_HEADER: &str = "x-rushport-outcome";
/// The header that carries a job's id.
pub const REQUEST_ID_HEADER: &str = "x-rushport-job";

/// A refusal, in the one shape that all have.
#[derive(Debug)]
pub struct Rejection {
    pub status: u16,
    pub code: String,
    pub text: String,
    pub outcome: placement::ExecutionOutcome,
    pub retry_after_ms: Option<u64>,
}

impl Rejection {
    /// Where a later try can help, as the status says, it is a second later
    /// unless `retry` says otherwise.
    pub fn not_run(status: u16, code: &str, text: impl Into<String>) -> Rejection {
        Rejection {
            status,
            code: code.into(),
            text: text.into(),
            outcome: placement::ExecutionOutcome::NotRun,
            retry_after_ms: matches!(status, 408 | 429 | 502 | 503 | 504).then_some(1_000),
        }
    }

    /// The same with another outcome.
    pub fn with_outcome(mut self, outcome: placement::ExecutionOutcome) -> Rejection {
        self.outcome = outcome;
        self
    }

    pub fn retry(mut self, ms: u64) -> Rejection {
        self.retry_after_ms = Some(ms);
        self
    }

    pub fn response(&self, job: &str) -> Response {
        let value = simd_json::json!({
            "code": self.code.clone(),
            "text": self.text.clone(),
            "outcome": self.outcome.to_string(),
            "job": job,
        });
        let mut response = json(self.status, &value);
        let headers = response.headers_mut();
        let outcome = self.outcome.to_string();
        headers.insert(
            OUTCOME_HEADER,
            outcome.parse().expect("an outcome is a header's value"),
        );
        if let Ok(job) = job.parse() {
            headers.insert(REQUEST_ID_HEADER, job);
        }
        if let Some(ms) = self.retry_after_ms {
            headers.insert("retry-after", (ms.div_ceil(1000)).max(1).into());
        }
        response
    }
}

/// The refusal for a key that resolves to nothing.
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
