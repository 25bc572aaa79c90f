//! What this process's links carry: frames and bytes by the kind of frame.

use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// One more than the highest number of a kind.
const KINDS: usize = 64;

/// Invariant: counts only rise.
struct Way {
    frames: [AtomicU64; KINDS],
    bytes: [AtomicU64; KINDS],
}

impl Way {
    const fn new() -> Way {
        Way {
            frames: [const { AtomicU64::new(0) }; KINDS],
            bytes: [const { AtomicU64::new(0) }; KINDS],
        }
    }

    fn count(&self, kind: u8, bytes: usize) {
        let at = usize::from(kind) % KINDS;
        self.frames[at].fetch_add(1, Ordering::Relaxed);
        self.bytes[at].fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

static SENT: Way = Way::new();
static RECEIVED: Way = Way::new();

/// A frame with its length before it, as it goes out.
pub fn count_sent(encoded: &[u8]) {
    SENT.count(encoded.get(4).copied().unwrap_or(0), encoded.len());
}

/// A frame's body, as it came in.
pub fn count_received(body: &[u8]) {
    RECEIVED.count(body.first().copied().unwrap_or(0), body.len() + 4);
}

/// All that went over this process's links since its start.
pub fn to_json() -> OwnedValue {
    let mut sums: BTreeMap<&'static str, [u64; 4]> = BTreeMap::new();
    for kind in 0..KINDS {
        let counts = [&SENT.frames, &SENT.bytes, &RECEIVED.frames, &RECEIVED.bytes];
        let sum = sums.entry(protocol::kind_name(kind as u8)).or_default();
        for (sum, count) in sum.iter_mut().zip(counts) {
            *sum += count[kind].load(Ordering::Relaxed);
        }
    }
    let mut object = simd_json::owned::Object::default();
    for (name, [frames_out, bytes_out, frames_in, bytes_in]) in sums {
        if frames_out + frames_in > 0 {
            let value = json!({
                "frames_out": frames_out, "bytes_out": bytes_out,
                "frames_in": frames_in, "bytes_in": bytes_in,
            });
            object.insert(name.to_string(), value);
        }
    }
    OwnedValue::from(object)
}
