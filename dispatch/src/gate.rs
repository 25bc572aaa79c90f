//! The last look at a job before its first byte leaves for an engine.

use crate::Leave;
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
use transport::web::Refusal;

/// Everything that must hold when the first byte of a job leaves for an engine.
pub struct LastLook {
    pub view: watch::Receiver<Arc<View>>,
    pub leave: Leave,
    pub mapping: Arc<Mapping>,
    /// Empty where the job's route is public.
    pub key: String,
    pub deadline: u64,
    pub engine: String,
    pub address: String,
    pub is_held: Box<dyn Fn() -> bool + Send + Sync>,
}

/// What stands against it.
pub enum Against {
    Deadline,
    Key,
    Leave(Refusal),
    /// The engine may not have it any more; another one may.
    Engine,
}

impl LastLook {
    pub fn look(&self) -> Result<(), Against> {
        if now() >= self.deadline {
            return Err(Against::Deadline);
        }
        let view = self.view.borrow();
        if !self.key.is_empty() && !view.keys.contains_key(&self.key) {
            return Err(Against::Key);
        }
        let may_have = placement::may_have(&view, &self.mapping, &self.engine, &self.address);
        drop(view);
        (self.leave)(&self.mapping).map_err(Against::Leave)?;
        match may_have && (self.is_held)() {
            true => Ok(()),
            false => Err(Against::Engine),
        }
    }
}

/// What waits for the first byte of the next job on a connection.
pub struct Armed {
    pub look: LastLook,
    pub has_left: Arc<AtomicBool>,
    /// Writes down that the job leaves.
    pub note: Box<dyn Fn() + Send>,
}

/// Where the next job of a connection puts its look. Invariant: it is filled
/// before the job's request is handed to the connection.
#[derive(Default)]
pub struct Slot(Mutex<Option<Armed>>);

impl Slot {
    pub fn arm(&self, armed: Armed) {
        *self.0.lock() = Some(armed);
    }
}

/// A connection whose first byte of each job waits for one more look, in the very
/// call that hands it to the kernel: a process that froze after the look before,
/// and wakes later, sends nothing. Invariant: `has_left` is set before any byte
/// is handed over.
pub struct Gate {
    pub stream: TokioIo<TcpStream>,
    pub slot: Arc<Slot>,
}

impl Gate {
    fn pass(&mut self) -> std::io::Result<()> {
        let mut slot = self.slot.0.lock();
        if let Some(armed) = &*slot {
            if armed.look.look().is_err() {
                return Err(std::io::ErrorKind::PermissionDenied.into());
            }
            armed.has_left.store(true, Ordering::SeqCst);
            (armed.note)();
            *slot = None;
        }
        Ok(())
    }
}

impl hyper::rt::Read for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl hyper::rt::Write for Gate {
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
