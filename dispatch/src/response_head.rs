//! What can come back for a request before its response begins.

use hyper::body::{Body, Incoming};
use hyper::Response;

/// What came of waiting for the head of a response.
pub(crate) enum ResponseHead {
    /// A head came in.
    Received(Response<Incoming>),
    /// None will come from this engine.
    Lost(LostResponse),
    /// The request's deadline passed.
    DeadlinePassed,
}

/// Why a response is not relayed.
pub(crate) enum UnusableResponse {
    /// The engine did not run the request.
    NotRun,
    /// Another engine responded, and did not run the request.
    WrongEngine,
    /// It is no response to this request, for this reason. The request may have run.
    Unrelated(&'static str),
}

/// Why no head will come.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LostResponse {
    #[error("the engine took too long, the request goes to another one")]
    Abandoned,
    #[error("the engine fell silent")]
    Silent,
    #[error("{0}")]
    Connection(hyper::Error),
    /// What the client sent can't be passed on whole; the engine is not to blame.
    #[error("the body of the request broke off: {0}")]
    RequestBody(hyper::Error),
}

impl From<hyper::Error> for LostResponse {
    fn from(error: hyper::Error) -> LostResponse {
        match error.is_user() {
            true => LostResponse::RequestBody(error),
            false => LostResponse::Connection(error),
        }
    }
}

impl From<hyper::Result<Response<Incoming>>> for ResponseHead {
    fn from(result: hyper::Result<Response<Incoming>>) -> ResponseHead {
        match result {
            Ok(response) => ResponseHead::Received(response),
            Err(error) => ResponseHead::Lost(error.into()),
        }
    }
}

/// Whether the end of a response can be told from a break, and in one way alone: it
/// has a length, or comes in chunks with a last one.
///
/// Any other transfer coding lasts until the connection closes, and its end looks like
/// a break. With both a length and a coding it is undecided which one counts.
pub(crate) fn is_delimited(response: &Response<Incoming>, method: &http::Method) -> bool {
    let headers = response.headers();
    let mut codings = headers.get_all("transfer-encoding").iter();
    match (codings.next(), codings.next()) {
        _ if response.status().is_informational() => false,
        (None, _) => method == http::Method::HEAD || response.body().size_hint().exact().is_some(),
        (Some(coding), None) => {
            !headers.contains_key("content-length")
                && coding.as_bytes().eq_ignore_ascii_case(b"chunked")
        }
        (Some(_), Some(_)) => false,
    }
}
