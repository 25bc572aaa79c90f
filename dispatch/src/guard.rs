//! The last look at a job before its first byte leaves for an engine.

use crate::PermitDispatch;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use residency::{Mapping, View};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::watch;
use transport::now;
use transport::rejection::Rejection;

/// Everything that must hold when the first byte of a job leaves for an engine.
pub struct DispatchGuard {
    pub view: watch::Receiver<Arc<View>>,
    pub permit: PermitDispatch,
    pub mapping: Arc<Mapping>,
    /// Empty where the job's route is public.
    pub key: String,
    pub deadline: u64,
    pub engine: String,
    pub address: String,
    pub is_held: Box<dyn Fn() -> bool + Send + Sync>,
}

/// What stands against it.
pub enum GuardError {
    Deadline,
    Key,
    NotPermitted(Rejection),
    /// The engine may not have it any more; another one may.
    Engine,
}

impl DispatchGuard {
    pub fn look(&self) -> Result<(), GuardError> {
        if now() >= self.deadline {
            return Err(GuardError::Deadline);
        }
        let view = self.view.borrow();
        if !self.key.is_empty() && !view.keys.contains_key(&self.key) {
            return Err(GuardError::Key);
        }
        let may_have = placement::may_serve(&view, &self.mapping, &self.engine, &self.address);
        drop(view);
        (self.permit)(&self.mapping).map_err(GuardError::NotPermitted)?;
        match may_have && (self.is_held)() {
            true => Ok(()),
            false => Err(GuardError::Engine),
        }
    }
}

/// What waits for the first byte of the next job on a connection.
pub struct ArmedGuard {
    pub look: DispatchGuard,
    pub first_byte_sent: Arc<AtomicBool>,
    /// Writes down that the job leaves.
    pub note: Box<dyn Fn() + Send>,
}

/// Where the next job of a connection puts its look. Invariant: it is filled
/// before the job's request is handed to the connection.
#[derive(Default)]
pub struct GuardSlot(Mutex<Option<ArmedGuard>>);

impl GuardSlot {
    pub fn arm(&self, armed: ArmedGuard) {
        *self.0.lock() = Some(armed);
    }
}

/// A connection whose first byte of each job waits for one more look, in the very
/// call that hands it to the kernel: a process that froze after the look before,
/// and wakes later, sends nothing. Invariant: `first_byte_sent` is set before any byte
/// is handed over.
pub struct GuardedStream {
    pub stream: TokioIo<TcpStream>,
    pub slot: Arc<GuardSlot>,
}

impl GuardedStream {
    fn pass(&mut self) -> std::io::Result<()> {
        let mut slot = self.slot.0.lock();
        if let Some(armed) = &*slot {
            if armed.look.look().is_err() {
                return Err(std::io::ErrorKind::PermissionDenied.into());
            }
            armed.first_byte_sent.store(true, Ordering::SeqCst);
            (armed.note)();
            *slot = None;
        }
        Ok(())
    }
}

impl hyper::rt::Read for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.pass()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.pass()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
}
