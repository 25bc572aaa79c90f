//! The bodies of a forwarded request: the upload to the directory node, and the
//! relay of the response to the client.

use crate::conversation_error::ConversationError;
use bytes::Bytes;
use dispatch::{BodyStream, ChannelBody};
use dropshot::Body;
use http_body_util::BodyExt;
use protocol::Frame;
use std::sync::Arc;
use telemetry::metrics::Metrics;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use transport::{link, sleep_until, AbortOnDrop};

/// A body frame holds this many bytes at the most.
const BODY_FRAME_BYTES: usize = 512 << 10;
/// Pieces of a response that wait for the client.
const RELAY_PIECES: usize = 8;

/// The task that sends the rest of a request's body; it ends when this is dropped.
pub struct Upload {
    _task: AbortOnDrop,
}

impl Upload {
    /// Sends the rest of a body, then keeps the connection's sending side open: its
    /// closing would tell the node that this router is gone.
    pub fn start(mut rest: BodyStream, mut writer: OwnedWriteHalf) -> Upload {
        let task = tokio::spawn(async move {
            let sending = async {
                while let Some(frame) = rest.frame().await {
                    if let Ok(data) = frame?.into_data() {
                        for piece in data.chunks(BODY_FRAME_BYTES) {
                            link::send(&mut writer, &Frame::RequestBody(piece.to_vec())).await?;
                        }
                    }
                }
                link::send(&mut writer, &Frame::RequestEnd).await?;
                anyhow::Ok(())
            };
            // A body that broke off closes the connection without its end frame.
            if sending.await.is_ok() {
                std::future::pending::<()>().await;
            }
        });
        Upload {
            _task: AbortOnDrop(task.abort_handle()),
        }
    }
}

/// A response on its way through a directory node. Invariant: the client's body ends
/// in good order only after the end frame, and none of it comes after the request's deadline.
pub struct Relay {
    reader: OwnedReadHalf,
    deadline_ms: u64,
    pieces: mpsc::Sender<anyhow::Result<Bytes>>,
    /// Held open until the response's end; see [`Upload::start`].
    _writer: Option<OwnedWriteHalf>,
    _upload: Option<Upload>,
}

impl Relay {
    /// With the body that the client gets.
    pub fn new(
        reader: OwnedReadHalf,
        writer: Option<OwnedWriteHalf>,
        upload: Option<Upload>,
        deadline_ms: u64,
    ) -> (Relay, Body) {
        let (pieces, body) = mpsc::channel(RELAY_PIECES);
        let relay = Relay {
            reader,
            deadline_ms,
            pieces,
            _writer: writer,
            _upload: upload,
        };
        (relay, Body::wrap(ChannelBody(body)))
    }

    /// Relays in a task of its own, which ends with the response or the client.
    pub fn spawn(self, id: String, metrics: Arc<Metrics>) {
        tokio::spawn(async move {
            match self.run().await {
                Ok(()) => metrics.increment("relays-whole"),
                Err(error) => {
                    metrics.increment("relays-broken");
                    log::info!(job = id.as_str(); "the relay of the response broke off: {error}");
                }
            }
        });
    }

    async fn run(mut self) -> Result<(), ConversationError> {
        let deadline = sleep_until(self.deadline_ms);
        let ended = tokio::select! {
            biased;
            () = deadline => Err(ConversationError::DeadlinePassed),
            ended = self.relay_to_end() => ended,
        };
        let error = match ended {
            Err(error @ ConversationError::ClientLeft) => return Err(error),
            Err(error) => error,
            Ok(()) => return Ok(()),
        };
        // The client's body breaks off with the error.
        let broken = anyhow::anyhow!(error.to_string());
        drop(self.pieces.send(Err(broken)).await);
        Err(error)
    }

    async fn relay_to_end(&mut self) -> Result<(), ConversationError> {
        loop {
            let frame = tokio::select! {
                frame = link::receive(&mut self.reader, protocol::MAX_FRAME_BYTES) => frame?,
                () = self.pieces.closed() => return Err(ConversationError::ClientLeft),
            };
            match frame {
                Some(Frame::ResponseBody(bytes)) => {
                    if self.pieces.send(Ok(bytes.into())).await.is_err() {
                        return Err(ConversationError::ClientLeft);
                    }
                }
                Some(Frame::ResponseEnd) => return Ok(()),
                Some(other) => return Err(ConversationError::unexpected(other)),
                None => return Err(ConversationError::Closed),
            }
        }
    }
}
