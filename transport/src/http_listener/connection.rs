//! What a client's connection is doing, and since when.

use crate::now;
use dropshot::Body;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub(super) enum Phase {
    /// Between two requests.
    Idle,
    /// The head of a request comes in.
    ReadingHead,
    /// A request is handled, or its response goes out.
    Handling,
}

/// The phase of a connection, shared by its stream, its service and the listener.
#[derive(Default)]
pub(super) struct ConnectionState {
    phase: AtomicU8,
    /// When the phase began.
    since_ms: AtomicU64,
    /// Notified when the connection is to end.
    pub end: Notify,
}

impl ConnectionState {
    pub fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.since_ms.store(now(), Ordering::Relaxed);
    }

    pub fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }

    pub fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::Relaxed)
    }
}

/// A stream that records when the first byte of a head comes in.
pub(super) struct ObservedStream {
    pub stream: TcpStream,
    pub state: Arc<ConnectionState>,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.state.is_in(Phase::Idle) {
            self.state.enter(Phase::ReadingHead);
        }
        polled
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Makes the connection idle again when the end of a response was sent, or the response
/// was given up.
pub(super) struct IdleOnDrop(pub Arc<ConnectionState>);

impl Drop for IdleOnDrop {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle);
    }
}

/// The body of a response on its way out.
pub(super) struct ObservedBody {
    pub body: Body,
    pub _idle_on_drop: IdleOnDrop,
}

impl HttpBody for ObservedBody {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
