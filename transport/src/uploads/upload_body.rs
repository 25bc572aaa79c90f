//! A body of a request on its way in.

use super::budget::{BodyBudget, HeldBytes};
use super::{NARROW_RECEIVE_BUFFER_BYTES, WIDE_RECEIVE_BUFFER_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use parking_lot::Mutex;
use placement::{UploadId, SMALL_BODY_BYTES};
use socket2::SockRef;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::net::tcp::OwnedWriteHalf;

/// Why a body doesn't come in whole.
#[derive(Debug, thiserror::Error)]
pub enum UploadError {
    /// The connection failed, or what it carries is no body.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The client had sent nothing for a while, and the room was needed for others.
    #[error("the body stood still, and its room was needed")]
    Stalled,
}

/// Tells a body that it is ended, and whoever waits for it.
#[derive(Default)]
pub(super) struct UploadSignal {
    is_ended: AtomicBool,
    /// More than usual may wait in the kernel.
    is_wide: AtomicBool,
    waiting: Mutex<Option<Waker>>,
}

impl UploadSignal {
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        if let Some(waiting) = self.waiting.lock().take() {
            waiting.wake();
        }
    }

    fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }
}

/// An extension of a request with a body: by it the bytes that are kept of the body are reserved.
#[derive(Clone)]
pub struct Upload {
    signal: Arc<UploadSignal>,
    budget: BodyBudget,
    /// Gone with the connection.
    socket: Weak<OwnedWriteHalf>,
}

impl Upload {
    /// Whether the body was ended since its room was needed.
    pub fn is_ended(&self) -> bool {
        self.signal.is_ended()
    }

    /// Nothing of the body is kept yet.
    pub(super) fn hold_nothing(&self) -> HeldBytes {
        self.budget.hold_nothing()
    }

    /// What a body of which so many bytes are kept takes, with what may wait in the kernel.
    pub(super) fn footprint_bytes(kept_bytes: usize) -> usize {
        match kept_bytes > SMALL_BODY_BYTES {
            true => kept_bytes + WIDE_RECEIVE_BUFFER_BYTES,
            false => kept_bytes,
        }
    }

    /// More of the body may wait in the kernel.
    pub(super) fn widen_receive_buffer(&self) {
        if !self.signal.is_wide.swap(true, Ordering::Relaxed) {
            self.set_receive_buffer(WIDE_RECEIVE_BUFFER_BYTES);
        }
    }

    fn narrow_receive_buffer(&self) {
        if self.signal.is_wide.swap(false, Ordering::Relaxed) {
            self.set_receive_buffer(NARROW_RECEIVE_BUFFER_BYTES);
        }
    }

    fn set_receive_buffer(&self, bytes: usize) {
        let Some(socket) = self.socket.upgrade() else {
            return;
        };
        let socket = SockRef::from((*socket).as_ref());
        if let Err(error) = socket.set_recv_buffer_size(bytes) {
            log::debug!("the receive buffer of a connection can't be set: {error}");
        }
    }
}

/// The body of a request. It ends with an error when it stands still and its room is needed.
pub struct UploadBody {
    body: Incoming,
    upload: Upload,
    id: UploadId,
    is_waiting: bool,
}

impl UploadBody {
    /// A body that comes in over this socket.
    pub(crate) fn new(
        body: Incoming,
        budget: &BodyBudget,
        socket: Weak<OwnedWriteHalf>,
    ) -> UploadBody {
        let signal = Arc::new(UploadSignal::default());
        let id = budget.begin_upload(Arc::clone(&signal));
        let upload = Upload {
            signal,
            budget: budget.clone(),
            socket,
        };
        UploadBody {
            body,
            upload,
            id,
            is_waiting: false,
        }
    }

    /// By which its bytes are reserved.
    pub(crate) fn upload(&self) -> Upload {
        self.upload.clone()
    }

    fn wait(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        *self.upload.signal.waiting.lock() = Some(context.waker().clone());
        if self.upload.is_ended() {
            return Poll::Ready(Some(Err(UploadError::Stalled)));
        }
        if !self.is_waiting {
            self.is_waiting = true;
            self.upload.budget.record_waiting(self.id);
        }
        Poll::Pending
    }
}

impl Drop for UploadBody {
    fn drop(&mut self) {
        self.upload.budget.finish_upload(self.id);
        self.upload.narrow_receive_buffer();
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        if self.upload.is_ended() {
            return Poll::Ready(Some(Err(UploadError::Stalled)));
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Pending => self.wait(context),
            Poll::Ready(received) => {
                if std::mem::take(&mut self.is_waiting) {
                    self.upload.budget.record_received(self.id);
                }
                Poll::Ready(received.map(|frame| Ok(frame?)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
