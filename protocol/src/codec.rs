//! Frames to bytes and back, and the limits of their lengths.

use crate::compression::{compress, decompress, COMPRESSED_KIND};
use crate::{Frame, FrameError};
use binrw::{BinRead, BinResult, BinWrite, Endian};
use consensus::codec::to_bytes;
use std::io::{Cursor, ErrorKind};
use std::sync::Arc;

/// Longest frame in bytes, on any connection. What a frame holds takes several times
/// its length in memory.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Bytes of the length before each frame.
pub const LENGTH_BYTES: usize = 4;

/// A frame as it goes over a connection: its length, then its content.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut content = to_bytes(frame);
    if is_compressible(frame) {
        content = compress(content);
    }
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend(content);
    bytes
}

/// A frame as it goes over connections, encoded once for all of them. Cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedFrame(Arc<[u8]>);

impl EncodedFrame {
    /// Encodes a frame.
    pub fn new(frame: &Frame) -> EncodedFrame {
        EncodedFrame(encode(frame).into())
    }

    /// Its length and its content.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The length of the frame that follows, in bytes.
///
/// # Errors
/// [`FrameError::TooLong`] where it is more than `limit_bytes`.
pub fn decode_length(length: [u8; LENGTH_BYTES], limit_bytes: usize) -> Result<usize, FrameError> {
    let length_bytes = u32::from_be_bytes(length) as usize;
    if length_bytes > limit_bytes {
        return Err(FrameError::TooLong {
            length_bytes,
            limit_bytes,
        });
    }
    Ok(length_bytes)
}

/// Whether a frame carries configuration or lists. Clients' prompts and responses are
/// passed on as they are.
fn is_compressible(frame: &Frame) -> bool {
    matches!(
        frame,
        Frame::Consensus(_)
            | Frame::PeerRequest { .. }
            | Frame::Routers { .. }
            | Frame::Snapshot { .. }
            | Frame::Change { .. }
            | Frame::RegistryUpdate(_)
    )
}

/// Reads the content of one frame, without its length. A frame must fill `content` to
/// the last byte.
///
/// # Errors
/// As of [`decode_within`], with [`MAX_FRAME_BYTES`].
pub fn decode(content: &[u8]) -> Result<Frame, FrameError> {
    decode_within(content, MAX_FRAME_BYTES)
}

/// The same, of a frame that may be compressed from at most `limit_bytes`.
///
/// # Errors
/// [`FrameError::Empty`], [`FrameError::UnknownKind`], [`FrameError::Incomplete`],
/// [`FrameError::Malformed`], [`FrameError::TooLong`] and [`FrameError::TrailingBytes`].
pub fn decode_within(content: &[u8], limit_bytes: usize) -> Result<Frame, FrameError> {
    match content.first() {
        Some(&COMPRESSED_KIND) => decode_plain(&decompress(content, limit_bytes)?),
        _ => decode_plain(content),
    }
}

fn decode_plain(content: &[u8]) -> Result<Frame, FrameError> {
    let kind = *content.first().ok_or(FrameError::Empty)?;
    let mut cursor = Cursor::new(content);
    let frame = Frame::read_options(&mut cursor, Endian::Big, ())
        .map_err(|error| describe(kind, content.len(), error))?;
    let expected_bytes = cursor.position() as usize;
    if expected_bytes < content.len() {
        return Err(FrameError::TrailingBytes {
            kind,
            expected_bytes,
            seen_bytes: content.len(),
        });
    }
    Ok(frame)
}

/// Tells the cause out of binrw's error, which lists all variants that were tried.
fn describe(kind: u8, seen_bytes: usize, error: binrw::Error) -> FrameError {
    match error {
        binrw::Error::Backtrace(backtrace) => describe(kind, seen_bytes, *backtrace.error),
        binrw::Error::EnumErrors { variant_errors, .. } => {
            let is_other_kind =
                |error: &binrw::Error| matches!(error, binrw::Error::BadMagic { .. });
            let mut causes = variant_errors.into_iter().map(|(_, error)| error);
            match causes.find(|error| !is_other_kind(error)) {
                Some(cause) => describe(kind, seen_bytes, cause),
                None => FrameError::UnknownKind { seen: kind },
            }
        }
        binrw::Error::Io(error) if error.kind() == ErrorKind::UnexpectedEof => {
            FrameError::Incomplete { kind, seen_bytes }
        }
        other => FrameError::Malformed {
            kind,
            reason: other.to_string().replace('\n', " "),
        },
    }
}

/// Reads a flag: one byte, 0 for false.
#[binrw::parser(reader, endian)]
pub(crate) fn read_flag() -> BinResult<bool> {
    Ok(u8::read_options(reader, endian, ())? != 0)
}

/// Writes a flag as `read_flag` reads it.
#[binrw::writer(writer, endian)]
pub(crate) fn write_flag(flag: &bool) -> BinResult<()> {
    u8::from(*flag).write_options(writer, endian, ())
}

/// The name under which frames of a kind are counted (`GET /traffic`).
pub fn kind_name(kind: u8) -> &'static str {
    match kind {
        1 => "hello",
        2 => "refused",
        3 => "compressed",
        10 => "log",
        11 => "ask",
        12 => "reply",
        13 => "fronts",
        14..=16 => "join",
        20 => "beat",
        21 => "lease",
        22 => "picture",
        23 => "change",
        24 => "company",
        25 => "resolve",
        26 => "resolved",
        27..=28 => "subscribe",
        30..=39 => "job",
        40..=42 => "cache",
        43 => "load_gossip",
        44..=45 => "quota_admission",
        50..=51 => "state",
        _ => "unknown",
    }
}
