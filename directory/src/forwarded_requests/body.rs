//! Streams the body of a forwarded request to its engine.

use anyhow::{anyhow, bail};
use bytes::Bytes;
use protocol::Frame;
use tokio::io::AsyncRead;
use tokio::sync::mpsc;
use transport::link;

/// The most that one frame of a forwarded request may hold, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 1 << 20;

/// Passes the rest of the body on, then watches for the router to leave; ends only when
/// the router is gone. The bounded channel holds the router back where the engine is
/// slow.
///
/// # Errors
/// A frame breaks the protocol, or the connection broke.
pub(super) async fn upload(
    reader: &mut (impl AsyncRead + Unpin),
    chunks: mpsc::Sender<anyhow::Result<Bytes>>,
    mut is_ended: bool,
) -> anyhow::Result<()> {
    let mut chunks = Some(chunks);
    loop {
        let frame = link::receive(reader, MAX_FRAME_BYTES).await;
        match frame {
            Ok(Some(Frame::RequestBody(bytes))) if !is_ended => {
                if let Some(sender) = &chunks {
                    // The engine may stop listening; its response says why.
                    drop(sender.send(Ok(bytes.into())).await);
                }
            }
            Ok(Some(Frame::RequestEnd)) if !is_ended => {
                is_ended = true;
                chunks = None;
            }
            Ok(Some(_)) => bail!("an unexpected frame within a job"),
            Ok(None) | Err(_) => {
                if let Some(sender) = chunks.filter(|_| !is_ended) {
                    drop(sender.send(Err(anyhow!("the body broke off"))).await);
                }
                frame?;
                return Ok(());
            }
        }
    }
}
