//! How engines are spoken to: the headers that they get, and what the head of
//! their response says.

use crate::connection_pool::ConnectionHistory;
use crate::request::RequestParts;
use http::{HeaderMap, HeaderValue, StatusCode};
use std::net::SocketAddr;
use transport::rejection::REQUEST_ID_HEADER;

/// The header with which our own engines say, beside a 503, that they did not run
/// the request.
pub const ENGINE_OUTCOME_HEADER: &str = "x-engine-outcome";
/// The value of [`ENGINE_OUTCOME_HEADER`] for a request that was not run.
const NOT_RUN: &str = "not-run";

/// What an engine is told of a request beside what its client sent.
pub struct HeaderContext<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The name of the engine that was selected.
    pub engine: &'a str,
    /// The address of that engine.
    pub address: SocketAddr,
    /// The tenant that the request belongs to.
    pub tenant: &'a str,
    /// Milliseconds until the request's deadline, at least 1.
    pub remaining_ms: u64,
    /// The priority at the engine's queue.
    pub urgency: Option<u8>,
}

/// What the head of a response says.
#[derive(Debug, PartialEq)]
pub enum ResponseClass {
    /// It is the response to this request.
    Response,
    /// The engine says that it did not run the request.
    NotRun,
    /// It comes from another engine than the selected one, which did not run the
    /// request.
    WrongEngine,
    /// It is no response to this request, for this reason.
    Unrelated(&'static str),
}

/// Rewrites a client's headers into those for an engine.
pub type RewriteHeaders = Box<dyn Fn(&mut HeaderMap, &HeaderContext) + Send + Sync>;

/// Classifies the head of a response that came over a connection of such a history.
pub type ClassifyResponse = Box<
    dyn Fn(&RequestParts, ConnectionHistory, StatusCode, &HeaderMap) -> ResponseClass + Send + Sync,
>;

/// The conventions of a kind of engine. By default those of our own engines, which
/// know a request by its id and say by one header that they did not run it.
pub struct EngineProtocol {
    /// Applied after hop-by-hop headers were removed.
    pub rewrite_headers: RewriteHeaders,
    /// Applied to each response head.
    pub classify_response: ClassifyResponse,
}

impl Default for EngineProtocol {
    fn default() -> EngineProtocol {
        EngineProtocol {
            rewrite_headers: Box::new(set_host_and_request_id),
            classify_response: Box::new(|_, _, status, headers| {
                classify_by_outcome(status, headers)
            }),
        }
    }
}

fn set_host_and_request_id(headers: &mut HeaderMap, context: &HeaderContext) {
    let value = |text: &str| -> HeaderValue {
        text.parse()
            .expect("an address and a request id are valid header values")
    };
    headers.insert("host", value(&context.address.to_string()));
    headers.insert(REQUEST_ID_HEADER, value(context.id));
}

fn classify_by_outcome(status: StatusCode, headers: &HeaderMap) -> ResponseClass {
    let outcome = headers.get(ENGINE_OUTCOME_HEADER);
    match status == StatusCode::SERVICE_UNAVAILABLE && outcome.is_some_and(|v| v == NOT_RUN) {
        true => ResponseClass::NotRun,
        false => ResponseClass::Response,
    }
}
