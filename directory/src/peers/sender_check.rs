//! What a peer may send on its connection: it speaks for itself alone, and only what
//! this build can read.

use consensus::codec::from_bytes;
use consensus::{EntryPayload, Member, MessageBody};
use protocol::Frame;
use residency::{Proposal, State};

/// Why a peer's connection was closed. It dials again, which is always safe.
#[derive(Debug, thiserror::Error)]
pub(super) enum PeerFrameError {
    #[error("it did not say who it is")]
    NotIntroduced,
    #[error("{peer} speaks for another node")]
    SpeaksForAnother { peer: String },
    #[error("{peer}: {text}")]
    UnreadableContent { peer: String, text: String },
    #[error("its reports of routers come late")]
    ReportsLate,
    #[error("an unexpected frame from a directory node: {0:?}")]
    UnexpectedFrame(Box<Frame>),
}

/// Checks a frame against who introduced itself as `peer` on the connection; an
/// introduction sets `peer`. Frames that name no speaker pass without an introduction,
/// but for answers.
///
/// # Errors
/// The frame speaks for another node, came before an introduction, or can't be read.
pub(super) fn check_sender(peer: &mut Option<Member>, frame: &Frame) -> Result<(), PeerFrameError> {
    let speaker = match frame {
        Frame::Introduce(member) => {
            *peer = Some(member.clone());
            return Ok(());
        }
        Frame::Consensus(message) => Some(message.from),
        Frame::PeerRequest { from, .. } => Some(*from),
        Frame::PeerResponse { .. } => None,
        _ => return Ok(()),
    };
    let Some(peer) = peer else {
        return Err(PeerFrameError::NotIntroduced);
    };
    if speaker.is_some_and(|speaker| speaker != peer.identity) {
        return Err(PeerFrameError::SpeaksForAnother {
            peer: peer.to_string(),
        });
    }
    match frame {
        Frame::Consensus(message) => {
            check_content(&message.body).map_err(|text| PeerFrameError::UnreadableContent {
                peer: peer.to_string(),
                text,
            })
        }
        _ => Ok(()),
    }
}

/// Whether this build can read what a consensus message carries. Nothing else may get
/// as far as the log: what is in it has to be applied.
fn check_content(body: &MessageBody) -> Result<(), String> {
    match body {
        MessageBody::InstallSnapshot { snapshot, .. } => State::restore(&snapshot.state)
            .map(drop)
            .map_err(|error| error.to_string()),
        MessageBody::AppendEntries { entries, .. } => {
            entries.iter().try_for_each(|entry| match &entry.payload {
                EntryPayload::Command(bytes) => Ok(from_bytes::<Proposal>(bytes).map(drop)?),
                _ => Ok(()),
            })
        }
        _ => Ok(()),
    }
}
