//! Bodies of requests: buffered and streamed parts, and bodies fed by a channel.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A body that is read while it is passed on.
pub type BodyStream = UnsyncBoxBody<Bytes, anyhow::Error>;

/// A request's body: what was buffered while its routing key was read, then the
/// remainder of the client's stream.
///
/// Invariant: it can be sent again exactly if it never had a remainder.
pub struct RequestBody {
    /// The first bytes of the body; all of it where there is no remainder.
    pub buffered: Bytes,
    remainder: Option<BodyStream>,
    is_consumed: bool,
}

impl RequestBody {
    /// A body of these buffered bytes, followed by `remainder`.
    pub fn new(buffered: Bytes, remainder: Option<BodyStream>) -> RequestBody {
        RequestBody {
            buffered,
            remainder,
            is_consumed: false,
        }
    }

    /// Whether the whole body is still here to be sent.
    pub fn is_intact(&self) -> bool {
        !self.is_consumed
    }

    /// Whether a part of the body is still to be read from the client.
    pub fn has_remainder(&self) -> bool {
        self.remainder.is_some()
    }

    /// Takes the remainder out to be sent; the body is then consumed.
    pub fn take_remainder(&mut self) -> Option<BodyStream> {
        self.is_consumed |= self.remainder.is_some();
        self.remainder.take()
    }

    /// The body as it is sent to an engine. Takes the remainder.
    pub(crate) fn take_outgoing(&mut self) -> OutgoingBody {
        let buffered = Some(self.buffered.clone()).filter(|buffered| !buffered.is_empty());
        OutgoingBody {
            buffered,
            remainder: self.take_remainder(),
        }
    }
}

/// A request's body on its way to an engine.
pub struct OutgoingBody {
    buffered: Option<Bytes>,
    remainder: Option<BodyStream>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        match &mut self.remainder {
            Some(remainder) => Pin::new(remainder).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.remainder {
            Some(_) => SizeHint::default(),
            None => SizeHint::with_exact(self.buffered.as_ref().map_or(0, |b| b.len() as u64)),
        }
    }
}

/// A body whose chunks another task sends through a channel. An error in the
/// channel breaks the body off.
pub struct ChannelBody(pub mpsc::Receiver<anyhow::Result<Bytes>>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        self.0
            .poll_recv(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
