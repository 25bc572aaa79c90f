//! Bodies of requests: buffered and streamed parts, and bodies fed by a channel.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use transport::uploads::HeldBytes;

/// Of one body, so much is read ahead at the most, in bytes.
const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// Pieces below this are gathered: each one that is kept takes some tens of bytes, and may keep
/// the whole buffer that it was read into.
const MIN_PIECE_BYTES: usize = 512;
/// A gathered piece is this long at the most.
const GATHERED_BYTES: usize = 16 << 10;

/// A body that is read while it is passed on.
pub type BodyStream = UnsyncBoxBody<Bytes, anyhow::Error>;

/// A request's body: what was buffered of it, then the remainder of the client's stream.
///
/// Invariant: it can be sent again as long as no remainder of it was taken.
pub struct RequestBody {
    /// The first bytes of the body, in pieces; all of it where there is no remainder.
    buffered: Vec<Bytes>,
    /// What follows them, of pieces that are too small to be kept by themselves.
    gathered: BytesMut,
    remainder: Option<BodyStream>,
    is_consumed: bool,
    /// For the bytes that were read ahead.
    read_ahead: Option<OwnedSemaphorePermit>,
    /// For the bytes that were buffered before.
    held: Option<HeldBytes>,
}

/// The bytes that may be read ahead of all bodies of a process together.
#[derive(Clone)]
pub struct ReadAheadBudget(Arc<Semaphore>);

impl ReadAheadBudget {
    /// So many bytes, 4 GiB at the most.
    pub fn new(max_bytes: usize) -> ReadAheadBudget {
        let max_bytes = max_bytes.min(u32::MAX as usize);
        ReadAheadBudget(Arc::new(Semaphore::new(max_bytes)))
    }
}

/// The client's body ended before its time, or can't be read: the client is gone, or sends
/// what is no body. Nothing of the request was sent to an engine.
#[derive(Debug, thiserror::Error)]
#[error("the rest of the body can't be read: {0}")]
pub struct BodyReadError(anyhow::Error);

impl RequestBody {
    /// A body of these buffered bytes, followed by `remainder`.
    pub fn new(buffered: Bytes, remainder: Option<BodyStream>) -> RequestBody {
        RequestBody {
            buffered: vec![buffered],
            gathered: BytesMut::new(),
            remainder,
            is_consumed: false,
            read_ahead: None,
            held: None,
        }
    }

    /// The same body, with what its buffered bytes hold of a budget.
    pub fn holding(self, held: Option<HeldBytes>) -> RequestBody {
        RequestBody { held, ..self }
    }

    /// The pieces that are buffered, in their order.
    pub fn buffered(&self) -> &[Bytes] {
        &self.buffered
    }

    /// Does some work while the remainder is read into the buffer, as far as the budget
    /// allows. A client's close stays in the client's own kernel until the bytes that were
    /// sent before it are read: a body that nobody reads hides that its client has left.
    ///
    /// # Errors
    /// [`BodyReadError`] as soon as the remainder can't be read; the work is dropped.
    pub async fn read_ahead_during<T>(
        &mut self,
        budget: &ReadAheadBudget,
        work: impl Future<Output = T>,
    ) -> Result<T, BodyReadError> {
        let done = tokio::select! {
            biased;
            done = work => Ok(done),
            error = self.read_ahead(budget) => Err(error),
        };
        self.end_gathered();
        done
    }

    /// Reads the remainder into the buffer; returns only if it can't be read. What was
    /// read when this is dropped is in the buffer.
    async fn read_ahead(&mut self, budget: &ReadAheadBudget) -> BodyReadError {
        while self.may_read_ahead(budget) {
            let Some(remainder) = &mut self.remainder else {
                break;
            };
            match remainder.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.add_read_ahead(data, budget);
                    }
                }
                Some(Err(error)) => return BodyReadError(error),
                None => self.remainder = None,
            }
        }
        std::future::pending().await
    }

    fn may_read_ahead(&self, budget: &ReadAheadBudget) -> bool {
        let read_ahead = self.read_ahead.as_ref();
        let read_ahead_bytes = read_ahead.map_or(0, OwnedSemaphorePermit::num_permits);
        read_ahead_bytes < MAX_READ_AHEAD_BYTES && budget.0.available_permits() > 0
    }

    /// Keeps a piece that was read. The last one may pass the budget.
    fn add_read_ahead(&mut self, data: Bytes, budget: &ReadAheadBudget) {
        let bytes = data.len().min(budget.0.available_permits());
        self.keep(data);
        let Ok(permit) = Arc::clone(&budget.0).try_acquire_many_owned(bytes as u32) else {
            return;
        };
        match &mut self.read_ahead {
            Some(held) => held.merge(permit),
            None => self.read_ahead = Some(permit),
        }
    }

    fn keep(&mut self, data: Bytes) {
        if data.len() >= MIN_PIECE_BYTES {
            self.end_gathered();
            self.buffered.push(data);
            return;
        }
        if self.gathered.len() + data.len() > GATHERED_BYTES {
            self.end_gathered();
        }
        self.gathered.extend_from_slice(&data);
    }

    /// What was gathered becomes a piece.
    fn end_gathered(&mut self) {
        if !self.gathered.is_empty() {
            self.buffered.push(self.gathered.split().freeze());
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

    /// The body as it is sent to an engine. Takes the remainder. Without one a copy of the body
    /// stays here to be sent again; with one it can't be, and nothing stays.
    pub fn take_outgoing(&mut self) -> OutgoingBody {
        let remainder = self.take_remainder();
        let (pieces, held) = match remainder.is_some() {
            true => (std::mem::take(&mut self.buffered), self.held.take()),
            false => (self.buffered.clone(), None),
        };
        OutgoingBody {
            buffered: pieces
                .into_iter()
                .filter(|piece| !piece.is_empty())
                .collect(),
            remainder,
            held,
        }
    }
}

/// A request's body on its way to an engine.
pub struct OutgoingBody {
    buffered: VecDeque<Bytes>,
    remainder: Option<BodyStream>,
    /// What the buffered part and the rest on its way hold of a budget.
    held: Option<HeldBytes>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        if let Some(piece) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if let Some(held) = &mut self.held {
            held.release_kept();
        }
        match &mut self.remainder {
            Some(remainder) => Pin::new(remainder).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.remainder {
            Some(_) => SizeHint::default(),
            None => {
                let buffered_bytes: usize = self.buffered.iter().map(Bytes::len).sum();
                SizeHint::with_exact(buffered_bytes as u64)
            }
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
