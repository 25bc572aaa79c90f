//! Tells routers what this node's log holds, on connections beside their sessions. The
//! driver's thread answers, which steps the consensus node: what it has not answered, it
//! can't have acted on either.

use crate::control_plane::ControlPlane;
use protocol::{Frame, StateReport};
use std::sync::Arc;
use tokio::net::TcpStream;
use transport::link;

/// Why a connection was ended here. The router connects again.
#[derive(Debug, thiserror::Error)]
enum StateWatchError {
    #[error("the driver's queue is full")]
    Overloaded,
    #[error("an unexpected frame beside a router's session: {0:?}")]
    UnexpectedFrame(Box<Frame>),
}

/// Answers a router's queries until it leaves, one after the other.
pub(crate) async fn serve(control: Arc<ControlPlane>, mut stream: TcpStream) -> anyhow::Result<()> {
    while let Some(frame) = link::receive(&mut stream, protocol::MAX_HELLO_BYTES).await? {
        let Frame::StateQuery { number } = frame else {
            return Err(StateWatchError::UnexpectedFrame(Box::new(frame)).into());
        };
        let Some(log) = control.driver.log_report().await else {
            return Err(StateWatchError::Overloaded.into());
        };
        let report = Frame::StateReport(StateReport { number, log });
        tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut stream, &report)).await??;
    }
    Ok(())
}
