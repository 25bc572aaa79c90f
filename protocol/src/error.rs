//! Why bytes are not a frame that this build takes.

use thiserror::Error;

/// A frame that is refused. Nothing of it had an effect, and the connection that it
/// came by is closed, since what follows it cannot be told apart any more. Whoever
/// waits for a response on that connection does not know whether its earlier requests
/// took effect; connecting again is safe.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The announced length is more than this connection allows. Nothing of the frame
    /// was read.
    #[error("a frame of {length_bytes} bytes is over the cap of {limit_bytes}")]
    TooLong {
        /// The announced length.
        length_bytes: usize,
        /// The longest frame allowed.
        limit_bytes: usize,
    },
    /// The connection ended before the announced length had come.
    #[error(
        "the connection ended within a frame: {expected_bytes} bytes were announced, \
         {seen_bytes} came"
    )]
    Truncated {
        /// The announced length.
        expected_bytes: usize,
        /// How much of it came.
        seen_bytes: usize,
    },
    /// The other end speaks another version of the protocol.
    #[error("{peer} speaks protocol version {seen}, this build speaks {expected} only")]
    OtherVersion {
        /// The name by which the other end introduced itself.
        peer: String,
        /// The version of this build.
        expected: u16,
        /// The version of the other end.
        seen: u16,
    },
    /// A frame of no bytes, which has not even a kind.
    #[error("a frame is empty")]
    Empty,
    /// No frame of this build begins with this byte.
    #[error("no frame is of kind {seen}")]
    UnknownKind {
        /// The first byte.
        seen: u8,
    },
    /// The content ends before all fields of its kind.
    #[error("a frame of kind {kind} ends after {seen_bytes} bytes, within its fields")]
    Incomplete {
        /// The first byte.
        kind: u8,
        /// The length of the frame.
        seen_bytes: usize,
    },
    /// A field holds what it can't.
    #[error("a frame of kind {kind}: {reason}")]
    Malformed {
        /// The first byte.
        kind: u8,
        /// What was expected and what was seen, and at which byte.
        reason: String,
    },
    /// The content goes on after the last field of its kind.
    #[error("a frame of kind {kind} should have {expected_bytes} bytes and has {seen_bytes}")]
    TrailingBytes {
        /// The first byte.
        kind: u8,
        /// Where the last field ends.
        expected_bytes: usize,
        /// The length of the frame.
        seen_bytes: usize,
    },
}
