//! Frames and bytes that this process's framed links carried, by kind of frame.

use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// One more than the highest number of a kind of frame.
const KINDS: usize = 64;
/// Bytes of the length that stands before each frame.
const LENGTH_BYTES: usize = 4;

/// Frames and bytes in one direction. Invariant: counts only rise.
struct Direction {
    frames: [AtomicU64; KINDS],
    bytes: [AtomicU64; KINDS],
}

impl Direction {
    const fn new() -> Direction {
        Direction {
            frames: [const { AtomicU64::new(0) }; KINDS],
            bytes: [const { AtomicU64::new(0) }; KINDS],
        }
    }

    fn count(&self, kind: u8, bytes: usize) {
        let index = usize::from(kind) % KINDS;
        self.frames[index].fetch_add(1, Ordering::Relaxed);
        self.bytes[index].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn total(&self, kind: usize) -> Total {
        Total {
            frames: self.frames[kind].load(Ordering::Relaxed),
            bytes: self.bytes[kind].load(Ordering::Relaxed),
        }
    }
}

/// Frames and their bytes.
#[derive(Clone, Copy, Default)]
pub(crate) struct Total {
    pub(crate) frames: u64,
    pub(crate) bytes: u64,
}

/// What this process's links carried of one kind of frame.
#[derive(Clone, Copy, Default)]
pub(crate) struct KindTotals {
    pub(crate) sent: Total,
    pub(crate) received: Total,
}

impl Total {
    fn add(&mut self, other: Total) {
        self.frames += other.frames;
        self.bytes += other.bytes;
    }
}

static SENT: Direction = Direction::new();
static RECEIVED: Direction = Direction::new();

/// Counts a frame that was sent: its length, then its body.
pub fn count_sent(encoded: &[u8]) {
    let kind = encoded.get(LENGTH_BYTES).copied().unwrap_or(0);
    SENT.count(kind, encoded.len());
}

/// Counts a frame that was received, without its length.
pub fn count_received(body: &[u8]) {
    let kind = body.first().copied().unwrap_or(0);
    RECEIVED.count(kind, body.len() + LENGTH_BYTES);
}

/// What this process's links carried since its start, by the name of the kind. Kinds that
/// did not occur are left out.
pub(crate) fn totals() -> BTreeMap<&'static str, KindTotals> {
    let mut totals: BTreeMap<&'static str, KindTotals> = BTreeMap::new();
    for kind in 0..KINDS {
        let of_kind = totals.entry(protocol::kind_name(kind as u8)).or_default();
        of_kind.sent.add(SENT.total(kind));
        of_kind.received.add(RECEIVED.total(kind));
    }
    totals.retain(|_, of_kind| of_kind.sent.frames + of_kind.received.frames > 0);
    totals
}

/// All that this process's links carried since its start, by the name of the kind. Kinds
/// that did not occur are left out.
pub fn to_json() -> OwnedValue {
    let mut object = simd_json::owned::Object::default();
    for (name, KindTotals { sent, received }) in totals() {
        let value = json!({
            "frames_out": sent.frames, "bytes_out": sent.bytes,
            "frames_in": received.frames, "bytes_in": received.bytes,
        });
        object.insert(name.to_string(), value);
    }
    OwnedValue::from(object)
}
