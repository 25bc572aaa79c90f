//! The queue of frames that wait for one router's session.

use protocol::EncodedFrame;
use telemetry::queues::{self, Queue};
use tokio::sync::mpsc;
use transport::now;

/// A frame that waits for the session.
struct QueuedFrame {
    frame: EncodedFrame,
    queued_at_ms: u64,
}

/// Queues frames for a session.
#[derive(Clone)]
pub struct SessionSender(mpsc::Sender<QueuedFrame>);

/// The same, without keeping the session up.
#[derive(Clone)]
pub struct WeakSessionSender(mpsc::WeakSender<QueuedFrame>);

/// The session's end of its queue.
pub struct SessionReceiver(mpsc::Receiver<QueuedFrame>);

/// An empty queue for so many frames.
pub fn session_queue(max_len: usize) -> (SessionSender, SessionReceiver) {
    let (sender, receiver) = mpsc::channel(max_len);
    (SessionSender(sender), SessionReceiver(receiver))
}

impl SessionSender {
    /// Queues a frame; false where the queue is full or the session has ended.
    pub fn try_send(&self, frame: EncodedFrame) -> bool {
        let queued = QueuedFrame {
            frame,
            queued_at_ms: now(),
        };
        let sent = self.0.try_send(queued);
        if let Err(mpsc::error::TrySendError::Full(_)) = sent {
            queues::record_dropped(Queue::SessionFrames);
        }
        sent.is_ok()
    }

    /// A sender that does not keep the session up.
    pub fn downgrade(&self) -> WeakSessionSender {
        WeakSessionSender(self.0.downgrade())
    }
}

impl WeakSessionSender {
    /// `None` once the session has ended.
    pub fn upgrade(&self) -> Option<SessionSender> {
        self.0.upgrade().map(SessionSender)
    }
}

impl SessionReceiver {
    /// The next frame; `None` once no sender is left.
    pub async fn recv(&mut self) -> Option<EncodedFrame> {
        let queued = self.0.recv().await?;
        let waited_ms = now().saturating_sub(queued.queued_at_ms);
        queues::record_wait(Queue::SessionFrames, waited_ms);
        Some(queued.frame)
    }
}
