//! Why a conversation with a directory node or another router ended.

use placement::ReplicaViewError;
use protocol::Frame;
use transport::link::LinkError;

/// Closes the connection on which it occurred. Whether the request or lookup may be
/// repeated is decided by the module that opened the connection.
#[derive(Debug, thiserror::Error)]
pub enum ConversationError {
    /// Connecting, reading or writing failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A frame carried headers that HTTP does not allow.
    #[error(transparent)]
    Headers(#[from] http::Error),
    /// The other process closed the connection in good order, too early.
    #[error("it closed the connection")]
    Closed,
    /// This process closed the queue of outgoing frames.
    #[error("the outgoing queue was closed")]
    QueueClosed,
    /// A frame of a kind that is not expected at this point.
    #[error("an unexpected frame: {0:?}")]
    UnexpectedFrame(Box<Frame>),
    /// The other process refuses the conversation.
    #[error("it refuses: {text}")]
    Refused {
        /// Its reason.
        text: String,
    },
    /// A frame didn't come, or couldn't be written, in time.
    #[error("timed out while {waiting_for}")]
    TimedOut {
        /// What was waited for.
        waiting_for: &'static str,
    },
    /// A mapping of another key than the one asked for.
    #[error("it sent the mapping of key {seen}, asked for was {expected}")]
    WrongKey {
        /// The key asked for.
        expected: String,
        /// The key of the mapping.
        seen: String,
    },
    /// The node confirms no lease; another one may.
    #[error("it renewed no lease for {silence_ms} ms")]
    NoLease {
        /// Since its last one, or the session's begin.
        silence_ms: u64,
    },
    /// A snapshot or change that doesn't fit the view held here.
    #[error("its update does not fit: {0}")]
    UpdateRejected(#[from] ReplicaViewError),
    /// The process takes this router for one of another kind.
    #[error("{name} connects as {kind:?}, but only routers connect here")]
    WrongPeerKind {
        /// What it calls itself.
        name: String,
        /// What it wants here.
        kind: protocol::ConnectionKind,
    },
    /// The request's deadline passed before the response's end frame.
    #[error("the request's deadline passed")]
    DeadlinePassed,
    /// The client closed its connection before the response's end.
    #[error("the client left")]
    ClientLeft,
}

impl ConversationError {
    /// A frame of a kind that is not expected at this point.
    pub fn unexpected(frame: Frame) -> ConversationError {
        ConversationError::UnexpectedFrame(Box::new(frame))
    }
}
