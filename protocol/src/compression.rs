//! Compression of long frames: the kind of a compressed frame, the length of the content,
//! and the content deflated. A configuration of a thousand routes shrinks to a tenth, and
//! what a directory node sends of it goes to each router and each peer.

use crate::FrameError;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use std::io::{Read, Write};

/// The kind of a compressed frame.
pub(crate) const COMPRESSED_KIND: u8 = 3;
/// Contents from this length on are compressed.
const MIN_CONTENT_BYTES: usize = 8 << 10;
/// The kind and the length, before the deflated content.
const HEADER_BYTES: usize = 5;
/// A content is at most so many times as long as its deflated form. Longer ones are sent
/// as they are, so that few bytes never take much memory at the receiver.
const MAX_RATIO: usize = 100;

/// The content as it is sent: compressed, where that is worth while.
pub(crate) fn compress(content: Vec<u8>) -> Vec<u8> {
    if content.len() < MIN_CONTENT_BYTES {
        return content;
    }
    let mut compressed = vec![COMPRESSED_KIND];
    compressed.extend((content.len() as u32).to_be_bytes());
    let mut encoder = DeflateEncoder::new(compressed, Compression::fast());
    let deflated = encoder.write_all(&content).and_then(|()| encoder.finish());
    let compressed = deflated.expect("writing to memory cannot fail");
    let is_shorter = compressed.len() < content.len();
    let is_within_ratio = content.len() <= MAX_RATIO * (compressed.len() - HEADER_BYTES);
    match is_shorter && is_within_ratio {
        true => compressed,
        false => content,
    }
}

/// The content of a compressed frame, of at most `limit_bytes`.
///
/// # Errors
/// [`FrameError::Incomplete`], [`FrameError::TooLong`] and [`FrameError::Malformed`].
pub(crate) fn decompress(compressed: &[u8], limit_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let malformed = |reason: String| FrameError::Malformed {
        kind: COMPRESSED_KIND,
        reason,
    };
    let (Some(length), Some(deflated)) = (
        compressed.first_chunk::<HEADER_BYTES>(),
        compressed.get(HEADER_BYTES..),
    ) else {
        return Err(FrameError::Incomplete {
            kind: COMPRESSED_KIND,
            seen_bytes: compressed.len(),
        });
    };
    let [_, length @ ..] = *length;
    let length_bytes = u32::from_be_bytes(length) as usize;
    if length_bytes > limit_bytes {
        return Err(FrameError::TooLong {
            length_bytes,
            limit_bytes,
        });
    }
    if length_bytes > MAX_RATIO * deflated.len() {
        let deflated_bytes = deflated.len();
        return Err(malformed(format!(
            "{length_bytes} bytes cannot come from {deflated_bytes} compressed ones"
        )));
    }
    let mut decoder = DeflateDecoder::new(deflated);
    let mut content = Vec::new();
    // One byte more shows that the content is longer than stated.
    let read = (&mut decoder)
        .take(length_bytes as u64 + 1)
        .read_to_end(&mut content);
    if let Err(error) = read {
        return Err(malformed(format!("it can't be decompressed: {error}")));
    }
    let seen_bytes = content.len();
    if seen_bytes != length_bytes || decoder.total_in() != deflated.len() as u64 {
        return Err(malformed(format!(
            "{length_bytes} bytes are announced, {seen_bytes} or more are there"
        )));
    }
    match content.first() {
        Some(&COMPRESSED_KIND) => Err(malformed("compressed twice".into())),
        _ => Ok(content),
    }
}
