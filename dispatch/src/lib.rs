//! Sending a request to an engine and relaying its response.
//!
//! [`Dispatcher::dispatch`] makes attempts until an engine's response begins: it selects
//! an engine ([`engine_tracker`]), connects ([`connection_pool`]), sends the request under
//! its guard ([`guard`]), awaits the head of the response, and hands back a body that
//! relays the rest.

mod attempt;
mod body;
mod connect;
pub mod connection_pool;
mod dispatcher;
mod engine_protocol;
pub mod engine_tracker;
pub mod guard;
mod headers;
mod outgoing;
pub mod quota;
mod rejections;
mod relay;
mod request;
mod response_head;
mod select;

pub use body::{
    BodyReadError, BodyStream, ChannelBody, OutgoingBody, ReadAheadBudget, RequestBody,
};
pub use connection_pool::ConnectionHistory;
pub use dispatcher::{DispatchOptions, Dispatcher, RetryBudgetFn};
pub use engine_protocol::{
    ClassifyResponse, EngineProtocol, HeaderContext, ResponseClass, RewriteHeaders,
    ENGINE_OUTCOME_HEADER,
};
pub use guard::PermitDispatch;
pub use headers::{headers_from_frame, headers_to_frame, strip_connection_headers};
pub use relay::{BrokenResponse, EngineResponse, RelayedBody};
pub use request::{apply_event, RequestParts};
