//! The conversation with the directory node that a request was forwarded to, up to
//! the head of its response.

use super::outcome::ForwardOutcome;
use super::relay::{Relay, Upload};
use crate::cache_tiers::LookupPermit;
use crate::conversation_error::ConversationError;
use crate::regional_cache;
use crate::router::Router;
use dispatch::{
    apply_event, headers_from_frame, headers_to_frame, strip_connection_headers, RequestBody,
    RequestParts,
};
use placement::{ExecutionOutcome, RequestEvent, RequestStateMachine};
use protocol::{ForwardedRequest, Frame, Header};
use residency::Mapping;
use std::sync::Arc;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use transport::rejection::Rejection;
use transport::{link, now};

/// The node has as many requests as it may.
const DIRECTORY_FULL: &str = "directory-full";
/// Every engine of the mapping is at its limit.
const ENGINES_FULL: &str = "engines-full";
/// The node reached none of the engines that it selected.
const ENGINES_UNREACHABLE: &str = "engines-unreachable";

/// One request at one node.
pub struct Conversation<'a> {
    router: &'a Router,
    state: &'a mut RequestStateMachine,
    parts: &'a RequestParts,
    body: &'a mut RequestBody,
    permit: Option<&'a LookupPermit>,
    reader: OwnedReadHalf,
    /// `None` once the upload has it.
    writer: Option<OwnedWriteHalf>,
    upload: Option<Upload>,
    /// What the node resolved the routing key to.
    mapping: Option<Mapping>,
}

/// The node did not take the request, or gave it up.
struct Declined {
    not_run: bool,
    status: u16,
    code: String,
    text: String,
    retry_after_ms: u64,
}

impl<'a> Conversation<'a> {
    /// Over a connection that the node has welcomed.
    pub fn new(
        router: &'a Router,
        state: &'a mut RequestStateMachine,
        parts: &'a RequestParts,
        body: &'a mut RequestBody,
        permit: Option<&'a LookupPermit>,
        stream: TcpStream,
    ) -> Conversation<'a> {
        let (reader, writer) = stream.into_split();
        Conversation {
            router,
            state,
            parts,
            body,
            permit,
            reader,
            writer: Some(writer),
            upload: None,
            mapping: None,
        }
    }

    /// Sends the request and follows the node's frames to the response's head, a
    /// mapping or a rejection.
    ///
    /// # Errors
    /// The node is lost; it may have dispatched the request.
    pub async fn run(mut self) -> Result<ForwardOutcome, ConversationError> {
        self.send_request().await?;
        loop {
            match link::receive(&mut self.reader, protocol::MAX_FRAME_BYTES).await? {
                Some(Frame::Mapping(mapping)) => self.accept_mapping(mapping)?,
                Some(Frame::Continue) => {
                    if let Some(rest) = self.body.take_remainder() {
                        self.upload = self.writer.take().map(|to| Upload::start(rest, to));
                    }
                }
                Some(Frame::Rejected {
                    not_run,
                    status,
                    code,
                    text,
                    retry_after_ms,
                }) => {
                    return Ok(self.decline(Declined {
                        not_run,
                        status,
                        code,
                        text,
                        retry_after_ms,
                    }))
                }
                Some(Frame::ResponseHead { status, headers }) => {
                    return self.relay(status, &headers);
                }
                Some(other) => return Err(ConversationError::unexpected(other)),
                None => return Err(ConversationError::Closed),
            }
        }
    }

    /// The head and the buffered part of the body. If the routing key was read here,
    /// the rest follows when the node says so; else at once, since the node has to
    /// find the key in it.
    async fn send_request(&mut self) -> Result<(), ConversationError> {
        let mut headers = self.parts.headers.clone();
        strip_connection_headers(&mut headers);
        let head = ForwardedRequest {
            id: self.parts.id.clone(),
            method: self.parts.method.to_string(),
            target: self.parts.target.clone(),
            headers: headers_to_frame(&headers),
            client_region: self.router.settings.region.clone(),
            epoch: self.router.view.borrow().epoch,
            remaining_ms: self.parts.deadline_ms.saturating_sub(now()),
            is_quota_charged: self.permit.is_some(),
        };
        let writer = self
            .writer
            .as_mut()
            .expect("only an upload takes it, and none has started yet");
        link::send(writer, &Frame::RequestHead(head)).await?;
        for piece in self.body.buffered() {
            link::send(writer, &Frame::RequestBody(piece.to_vec())).await?;
        }
        if !self.body.has_remainder() {
            link::send(writer, &Frame::RequestEnd).await?;
        } else if self.permit.is_none() {
            let rest = self.body.take_remainder();
            self.upload = rest
                .zip(self.writer.take())
                .map(|(rest, to)| Upload::start(rest, to));
        }
        Ok(())
    }

    fn accept_mapping(&mut self, mapping: Mapping) -> Result<(), ConversationError> {
        if let Some(permit) = self.permit {
            if mapping.routing_key() != permit.key() {
                return Err(ConversationError::WrongKey {
                    expected: permit.key().into(),
                    seen: mapping.routing_key(),
                });
            }
            permit.publish(&mapping);
        }
        regional_cache::insert(self.router, &mapping);
        self.mapping = Some(mapping);
        Ok(())
    }

    fn decline(self, declined: Declined) -> ForwardOutcome {
        match &self.mapping {
            Some(mapping)
                if declined.not_run
                    && self.body.is_intact()
                    && self.may_dispatch_here(&declined.code) =>
            {
                apply_event(self.state, RequestEvent::ForwardNotRun);
                self.router.metrics.increment("handed-back");
                if declined.code == ENGINES_UNREACHABLE {
                    log::info!(job = self.parts.id.as_str(); "retrying the request");
                }
                ForwardOutcome::Mapping(mapping.clone())
            }
            _ => ForwardOutcome::Refused(self.rejection(declined)),
        }
    }

    /// Whether this router dispatches in the node's place: neither the node nor an
    /// engine has room, or the node can't reach the engine that it selected. In the
    /// latter case this router's attempt is a retry, and needs the budget.
    fn may_dispatch_here(&self, code: &str) -> bool {
        let service = self
            .permit
            .and_then(|permit| permit.key().split_once('/'))
            .map_or("", |(_, service)| service);
        match code {
            DIRECTORY_FULL | ENGINES_FULL => true,
            ENGINES_UNREACHABLE => (self.router.dispatcher.retry_budget)(service),
            _ => false,
        }
    }

    /// The node's own rejection, as it is.
    fn rejection(self, declined: Declined) -> Rejection {
        let mut rejection = Rejection::not_run(declined.status, &declined.code, declined.text);
        if !declined.not_run {
            apply_event(self.state, RequestEvent::ResponseLost);
            rejection.outcome = ExecutionOutcome::Unknown;
        }
        rejection.retry_after_ms = Some(declined.retry_after_ms).filter(|ms| *ms > 0);
        rejection
    }

    /// The response's head; a task of its own relays the body.
    fn relay(self, status: u16, headers: &[Header]) -> Result<ForwardOutcome, ConversationError> {
        let status = http::StatusCode::from_u16(status).map_err(http::Error::from)?;
        let headers = headers_from_frame(headers)?;
        apply_event(self.state, RequestEvent::ResponseStarted);
        let deadline_ms = self.parts.deadline_ms;
        let (relay, body) = Relay::new(self.reader, self.writer, self.upload, deadline_ms);
        relay.spawn(self.parts.id.clone(), Arc::clone(&self.router.metrics));
        let mut response = hyper::Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(ForwardOutcome::Response(response))
    }
}
