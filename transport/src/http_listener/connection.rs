//! What a client's connection is doing, and since when.

use crate::{now, sleep_until};
use dropshot::Body;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::Sleep;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub(super) enum Phase {
    /// Between two requests.
    Idle,
    /// The head of a request comes in.
    ReadingHead,
    /// A request is handled, or its response is still being made.
    Handling,
    /// The end of a response is in hyper's buffer and not all of it is sent.
    Flushing,
}

/// The phase of a connection, shared by its stream, its service and the listener.
#[derive(Default)]
pub(super) struct ConnectionState {
    phase: AtomicU8,
    /// When the phase began, or when bytes were last sent while flushing.
    since_ms: AtomicU64,
    /// When the response that is going out has to end; 0 where nothing bounds it.
    response_deadline_ms: AtomicU64,
    /// The client's socket took no more bytes at the last write.
    is_write_blocked: AtomicBool,
    /// Notified when the connection is to end.
    pub end: Notify,
    /// The connection is to end as soon as it is idle.
    ends_when_idle: AtomicBool,
    /// The connection ends so that there is room for another one.
    makes_room: AtomicBool,
    /// The client has closed its side.
    is_client_gone: AtomicBool,
    /// Notified when a request begins to be handled whose client is gone.
    abandoned: Notify,
}

impl ConnectionState {
    pub fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
        self.since_ms.store(now(), Ordering::Relaxed);
        if matches!(phase, Phase::Idle | Phase::Handling) {
            self.response_deadline_ms.store(0, Ordering::Relaxed);
        }
        if phase == Phase::Idle && self.ends_when_idle.load(Ordering::SeqCst) {
            self.end.notify_one();
        }
        if phase == Phase::Handling && self.is_client_gone.load(Ordering::SeqCst) {
            self.abandoned.notify_one();
        }
    }

    pub fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::SeqCst) == phase as u8
    }

    pub fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::SeqCst);
        let all = [
            Phase::Idle,
            Phase::ReadingHead,
            Phase::Handling,
            Phase::Flushing,
        ];
        all.into_iter()
            .find(|one| *one as u8 == phase)
            .expect("only phases are stored")
    }

    /// Whether a request is handled, or the end of its response is being sent.
    pub fn has_request(&self) -> bool {
        matches!(self.phase(), Phase::Handling | Phase::Flushing)
    }

    /// Ends the connection, whose room is needed.
    pub fn end_to_make_room(&self) {
        self.makes_room.store(true, Ordering::Relaxed);
        self.end.notify_one();
    }

    /// Whether it was ended for that.
    pub fn makes_room(&self) -> bool {
        self.makes_room.load(Ordering::Relaxed)
    }

    pub fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::Relaxed)
    }

    /// The response that begins has to end then; its last byte sent is its end.
    pub fn set_response_deadline(&self, deadline_ms: u64) {
        self.response_deadline_ms
            .store(deadline_ms, Ordering::Relaxed);
    }

    fn response_deadline_ms(&self) -> Option<u64> {
        let deadline_ms = self.response_deadline_ms.load(Ordering::Relaxed);
        (deadline_ms > 0).then_some(deadline_ms)
    }

    /// Whether bytes of a response wait for the client to read.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Ends the connection now if it is idle, else once it is.
    pub fn end_when_idle(&self) {
        self.ends_when_idle.store(true, Ordering::SeqCst);
        if self.is_in(Phase::Idle) {
            self.end.notify_one();
        }
    }

    /// Returns when the client has closed its side and a request of its is being handled.
    ///
    /// hyper learns of a close by reading, and reads nothing while bytes wait that it has
    /// no use for yet: a request that was sent ahead, or the rest of a long body. The
    /// socket tells of the close without a read.
    pub async fn wait_until_abandoned(&self, socket: &OwnedWriteHalf) {
        match socket.ready(Interest::PRIORITY).await {
            Ok(ready) if ready.is_read_closed() => {}
            // Urgent data, or the runtime ends: the client is not known to be gone.
            _ => std::future::pending().await,
        }
        self.is_client_gone.store(true, Ordering::SeqCst);
        if !self.is_in(Phase::Handling) {
            self.abandoned.notified().await;
        }
    }
}

/// A stream that records when the first byte of a head comes in, and when the last byte
/// of a response has gone out.
pub(super) struct ObservedStream {
    pub reader: OwnedReadHalf,
    /// Shared with the task that waits for the client's close.
    pub writer: Arc<OwnedWriteHalf>,
    pub state: Arc<ConnectionState>,
}

impl ObservedStream {
    /// Writes once the socket has room.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&OwnedWriteHalf) -> std::io::Result<usize>,
    ) -> Poll<std::io::Result<usize>> {
        loop {
            let ready = self.writer.as_ref().as_ref().poll_write_ready(context);
            self.state
                .is_write_blocked
                .store(ready.is_pending(), Ordering::Relaxed);
            ready!(ready)?;
            match write(&self.writer) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                written => {
                    if self.state.is_in(Phase::Flushing) {
                        self.state.enter(Phase::Flushing);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.reader).poll_read(context, buffer);
        if buffer.filled().len() > before && self.state.is_in(Phase::Idle) {
            self.state.enter(Phase::ReadingHead);
        }
        polled
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_write_with(context, |writer| writer.try_write(bytes))
    }

    /// hyper flushes the stream only when its own buffer is empty: whatever of a response
    /// was in it has been sent.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.state.is_in(Phase::Flushing) {
            self.state.enter(Phase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    /// The connection is dropped right after it, which shuts the socket's side down.
    fn poll_shutdown(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.poll_write_with(context, |writer| writer.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Ready once the deadline of the response that is going out has passed. It must be polled
/// after the connection, by the same task: the connection may begin a response or end one.
#[derive(Default)]
pub(super) struct ResponseTimer {
    /// Made for the first response that isn't sent at once.
    sleep: Option<Pin<Box<Sleep>>>,
    /// What `sleep` is set to.
    deadline_ms: u64,
}

impl ResponseTimer {
    pub fn poll_passed(&mut self, state: &ConnectionState, context: &mut Context<'_>) -> Poll<()> {
        let Some(deadline_ms) = state.response_deadline_ms() else {
            return Poll::Pending;
        };
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(sleep_until(deadline_ms)));
        if self.deadline_ms != deadline_ms {
            self.deadline_ms = deadline_ms;
            sleep.as_mut().set(sleep_until(deadline_ms));
        }
        sleep.as_mut().poll(context)
    }
}

/// Says that a response is complete but for what is buffered of it, or was given up.
pub(super) struct FlushOnDrop(pub Arc<ConnectionState>);

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        self.0.enter(Phase::Flushing);
    }
}

/// The body of a response on its way out.
pub(super) struct ObservedBody {
    pub body: Body,
    pub _flush_on_drop: FlushOnDrop,
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
