//! Response: an engine's response or a rejection, as the client gets it.

use super::{Ingress, RequestGuard};
use dropshot::Body;
use http_body_util::BodyExt;
use placement::ExecutionOutcome;
use transport::http_listener::ResponseDeadline;
use transport::http_server::Response;
use transport::rejection::Rejection;

impl Ingress {
    /// The response of an engine or a directory node, as it goes to the client. The
    /// request is in flight until the last byte is out, or until its deadline.
    pub(super) fn respond(
        &self,
        response: Response,
        id: &str,
        guard: RequestGuard,
        deadline_ms: Option<u64>,
    ) -> Response {
        let (mut head, body) = response.into_parts();
        (self.clients.decorate_response)(&mut head.headers, id);
        if let Some(deadline_ms) = deadline_ms {
            head.extensions.insert(ResponseDeadline { deadline_ms });
        }
        let body = body.map_err(move |error| {
            // The closure owns the guard, and the body owns the closure.
            let _ = &guard;
            error
        });
        Response::from_parts(head, Body::wrap(body))
    }

    /// Counts and logs a rejection, and puts it into the client's words.
    pub(super) fn refuse(&self, rejection: &Rejection, id: &str) -> Response {
        self.router.metrics.increment(match rejection.outcome {
            ExecutionOutcome::NotRun => "refused-not-run",
            _ => "refused-unknown",
        });
        log::info!(job = id, code = rejection.code.as_str(),
            outcome = rejection.outcome.to_string(); "refused: {}", rejection.text);
        (self.clients.rejection_response)(rejection, id)
    }
}

/// The response of an engine, before it is decorated.
pub fn from_engine(engine_response: dispatch::EngineResponse) -> Response {
    let mut response = hyper::Response::new(Body::wrap(engine_response.body));
    *response.status_mut() = engine_response.status;
    *response.headers_mut() = engine_response.headers;
    response
}
