//! What came of forwarding a request.

use crate::rejection::RouterRejection;
use residency::Mapping;
use transport::http_server::Response;
use transport::rejection::Rejection;

/// What came of forwarding a request.
pub enum ForwardOutcome {
    /// The node's response; its body is still coming in.
    Response(Response),
    /// The node left the dispatch to this router, which has the mapping now.
    Mapping(Mapping),
    /// No node could be reached; nothing was sent.
    Unreachable,
    /// A node refused or was lost; the rejection says whether the request may have
    /// run.
    Refused(Rejection),
}

impl From<RouterRejection> for ForwardOutcome {
    fn from(rejection: RouterRejection) -> ForwardOutcome {
        ForwardOutcome::Refused(rejection.into())
    }
}
