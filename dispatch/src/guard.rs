//! The last check of a request, in the call that sends its first byte to an engine.
//!
//! Between the selection of an engine and the first byte, leases expire, keys are revoked,
//! engines move, and the process itself may be suspended. [`GuardedStream`] therefore
//! checks everything once more within the write call: a process that was suspended after
//! an earlier check, and wakes later, sends nothing.

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

/// Whether this process may dispatch by this mapping now: its lease is valid, and the
/// mapping was not invalidated.
pub type PermitDispatch = Arc<dyn Fn(&Mapping) -> Result<(), Rejection> + Send + Sync>;

/// Everything that must hold when the first byte of a request is sent to an engine.
pub struct DispatchGuard {
    /// The replicated state as this process knows it.
    pub view: watch::Receiver<Arc<View>>,
    /// See [`PermitDispatch`].
    pub permit: PermitDispatch,
    /// The mapping that the request is dispatched by.
    pub mapping: Arc<Mapping>,
    /// The digest of the tenant key; empty where the request's route is public.
    pub key_digest: String,
    /// When the request expires, in milliseconds of this process's clock.
    pub deadline_ms: u64,
    /// The name of the selected engine.
    pub engine: String,
    /// The address of the selected engine.
    pub address: String,
    /// Whether the slot at the engine is still valid.
    pub is_slot_valid: Box<dyn Fn() -> bool + Send + Sync>,
}

/// What stands against a dispatch. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum GuardError {
    /// The request's deadline passed.
    #[error("the request's deadline passed")]
    DeadlinePassed,
    /// The tenant key that the request was admitted by is not valid any more.
    #[error("the tenant key was revoked")]
    KeyRevoked,
    /// The process may not dispatch by this mapping now.
    #[error("{0}")]
    NotPermitted(Rejection),
    /// This engine may not have the request any more; another one may.
    #[error("the engine may not serve the request any more")]
    EngineUnavailable,
}

impl DispatchGuard {
    /// Checks everything, in an order that puts what ends the request before what ends
    /// this attempt alone.
    pub fn check(&self) -> Result<(), GuardError> {
        if now() >= self.deadline_ms {
            return Err(GuardError::DeadlinePassed);
        }
        let view = self.view.borrow();
        if !self.key_digest.is_empty() && !view.keys.contains_key(&self.key_digest) {
            return Err(GuardError::KeyRevoked);
        }
        let may_serve = placement::may_serve(&view, &self.mapping, &self.engine, &self.address);
        drop(view);
        (self.permit)(&self.mapping).map_err(GuardError::NotPermitted)?;
        match may_serve && (self.is_slot_valid)() {
            true => Ok(()),
            false => Err(GuardError::EngineUnavailable),
        }
    }
}

/// A guard that waits for the first byte of the next request on a connection.
pub struct ArmedGuard {
    /// What must hold.
    pub guard: DispatchGuard,
    /// Set before any byte is handed to the kernel.
    pub first_byte_sent: Arc<AtomicBool>,
    /// Called right before the first byte is sent.
    pub record_dispatch: Box<dyn Fn() + Send>,
}

/// Holds the guard of the next request on a connection.
///
/// Invariant: it is armed before the request is handed to the connection.
#[derive(Default)]
pub struct GuardSlot(Mutex<Option<ArmedGuard>>);

impl GuardSlot {
    /// Sets the guard of the next request.
    pub fn arm(&self, armed: ArmedGuard) {
        *self.0.lock() = Some(armed);
    }

    /// Checks and removes the guard, if one is armed.
    fn pass(&self) -> std::io::Result<()> {
        let mut slot = self.0.lock();
        if let Some(armed) = &*slot {
            if armed.guard.check().is_err() {
                return Err(std::io::ErrorKind::PermissionDenied.into());
            }
            armed.first_byte_sent.store(true, Ordering::SeqCst);
            (armed.record_dispatch)();
            *slot = None;
        }
        Ok(())
    }
}

/// A connection whose first byte of each request passes the guard within the write call.
///
/// Invariant: `first_byte_sent` is set before any byte is handed to the kernel.
pub struct GuardedStream {
    /// The TCP connection.
    pub stream: TokioIo<TcpStream>,
    /// Shared with the sender of requests, which arms it.
    pub guard_slot: Arc<GuardSlot>,
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
        self.guard_slot.pass()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.guard_slot.pass()?;
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
