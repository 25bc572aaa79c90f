//! Reads the frames of a session in a task of its own: a read that is cancelled midway
//! loses a frame.

use protocol::Frame;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use transport::link::{self, LinkError};
use transport::{now, AbortOnDrop};

/// Frames that were read and wait to be applied.
const INCOMING_FRAMES: usize = 64;
/// Frames from this length on are long: they take a while over a slow link.
const LONG_FRAME_BYTES: usize = 32 << 10;

/// The incoming half of a session. Its task ends with it.
pub struct SessionReader {
    frames: mpsc::Receiver<Result<Option<Frame>, LinkError>>,
    long_frame_seen_ms: Arc<AtomicU64>,
    _task: AbortOnDrop,
}

impl SessionReader {
    /// Reads until the connection ends or a frame can't be read.
    pub fn start(mut reader: OwnedReadHalf) -> SessionReader {
        let (sender, frames) = mpsc::channel(INCOMING_FRAMES);
        let long_frame_seen_ms = Arc::new(AtomicU64::new(0));
        let long_frame_ms = Arc::clone(&long_frame_seen_ms);
        let reading = tokio::spawn(async move {
            let observe = |length: usize| {
                if length >= LONG_FRAME_BYTES {
                    long_frame_ms.store(now(), Ordering::Relaxed);
                }
            };
            loop {
                let received =
                    link::receive_observed(&mut reader, protocol::MAX_FRAME_BYTES, observe);
                let received = received.await;
                let is_last = !matches!(received, Ok(Some(_)));
                if sender.send(received).await.is_err() || is_last {
                    return;
                }
            }
        });
        SessionReader {
            frames,
            long_frame_seen_ms,
            _task: AbortOnDrop(reading.abort_handle()),
        }
    }

    /// The next frame; `None` when the other side has closed.
    ///
    /// # Errors
    /// What ended the connection.
    pub async fn next(&mut self) -> Result<Option<Frame>, LinkError> {
        self.frames.recv().await.unwrap_or(Ok(None))
    }

    /// When a part of a long frame came last, on this process's clock; 0 if none did.
    pub fn long_frame_seen_ms(&self) -> u64 {
        self.long_frame_seen_ms.load(Ordering::Relaxed)
    }
}
