//! How a connection begins: who connects, for which conversation, in which version.

use crate::FrameError;
use binrw::binrw;

/// The version of the protocol, raised whenever the layout of a frame changes. Versions
/// are not negotiated: processes of two versions do not talk to each other.
pub const VERSION: u16 = 12;

/// Longest frame, in bytes, on a connection whose other end has not said who it is.
pub const MAX_HELLO_BYTES: usize = 4096;

/// The conversation that the connecting process asks for.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// A directory node to another one; see [`crate::peers`].
    Peer = 1,
    /// A router to a directory node; see [`crate::router_session`].
    RouterSession = 2,
    /// A router to a directory node, for one request; see [`crate::forwarding`].
    Forwarding = 3,
    /// A router to another one; see [`crate::cache_sharing`].
    CacheSharing = 4,
    /// A router to a directory node, beside its session; see [`crate::state_watch`].
    StateWatch = 5,
}

/// Whether a process that speaks version `seen` can be understood.
///
/// # Errors
/// [`FrameError::OtherVersion`]. A retry is of no use before one of the two processes
/// runs another build.
pub fn check_version(peer: &str, seen: u16) -> Result<(), FrameError> {
    if seen == VERSION {
        return Ok(());
    }
    Err(FrameError::OtherVersion {
        peer: peer.into(),
        expected: VERSION,
        seen,
    })
}
