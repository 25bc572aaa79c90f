//! How many bytes the bodies of clients' requests may take of a process's memory, and which of
//! them are ended where that is not enough.
//!
//! A part of the budget is kept for small bodies: large ones that stand still don't keep ordinary
//! requests out. A body of which the client has sent nothing for a while may be ended, the one
//! that has waited for the longest time first; one that goes on coming is never ended by this.

use std::collections::HashMap;

/// What one body may take of the part that is kept for small ones.
pub const SMALL_BODY_BYTES: usize = 32 << 10;
/// A client that has sent nothing for so long may be given up, if its body's room is needed.
const MIN_STALL_MS: u64 = 1_000;
/// The share of the budget that only small bodies may take, as a divisor.
const SMALL_BODIES_DIVISOR: usize = 4;
/// Bodies that are ended at once, at the most. Their room is free only a moment later, and more
/// than is needed must not end for that.
const MAX_ENDED_AT_ONCE: usize = 8;
/// How long the room of bodies that were just ended may take to be free.
const RELEASE_MS: u64 = 10;

/// A body that is coming in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UploadId(u64);

/// The bytes that all bodies of a process hold, and the bodies that are coming in.
///
/// Invariant: no reservation is granted that would take it past its size.
pub struct BodyBudget {
    max_bytes: usize,
    held_bytes: usize,
    next_upload: u64,
    /// Since when the client is awaited; `None` while it isn't.
    uploads: HashMap<UploadId, Option<u64>>,
    last_ended_ms: Option<u64>,
}

impl BodyBudget {
    /// A budget of this size.
    pub fn new(max_bytes: usize) -> BodyBudget {
        BodyBudget {
            max_bytes,
            held_bytes: 0,
            next_upload: 0,
            uploads: HashMap::new(),
            last_ended_ms: None,
        }
    }

    /// The bytes that are reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Raises what one body holds; `false` if there is no room.
    pub fn try_grow(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let kept_bytes = match to_bytes > SMALL_BODY_BYTES {
            true => self.max_bytes / SMALL_BODIES_DIVISOR,
            false => 0,
        };
        let others_bytes = self.held_bytes - from_bytes;
        let is_granted = others_bytes + to_bytes + kept_bytes <= self.max_bytes;
        if is_granted {
            self.held_bytes = others_bytes + to_bytes;
        }
        is_granted
    }

    /// Gives bytes back.
    pub fn release(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
    }

    /// A body begins to come in.
    pub fn begin_upload(&mut self) -> UploadId {
        let upload = UploadId(self.next_upload);
        self.next_upload += 1;
        self.uploads.insert(upload, None);
        upload
    }

    /// The body has come in, or is given up.
    pub fn finish_upload(&mut self, upload: UploadId) {
        self.uploads.remove(&upload);
    }

    /// Nothing more of the body is here, and the client is awaited.
    pub fn record_waiting(&mut self, upload: UploadId, now_ms: u64) {
        if let Some(waiting_since_ms) = self.uploads.get_mut(&upload) {
            waiting_since_ms.get_or_insert(now_ms);
        }
    }

    /// The client has sent something.
    pub fn record_received(&mut self, upload: UploadId) {
        if let Some(waiting_since_ms) = self.uploads.get_mut(&upload) {
            *waiting_since_ms = None;
        }
    }

    /// Whether bodies were ended so recently that their room is about to be free.
    pub fn is_releasing(&self, now_ms: u64) -> bool {
        let is_recent = |ended_ms: u64| now_ms < ended_ms + RELEASE_MS;
        self.last_ended_ms.is_some_and(is_recent)
    }

    /// Gives up the bodies whose clients have sent nothing for the longest time; none that was
    /// awaited for less than a second, nor any while the room of others is about to be free.
    pub fn end_stalled(&mut self, now_ms: u64) -> Vec<UploadId> {
        if self.is_releasing(now_ms) {
            return Vec::new();
        }
        let mut stalled: Vec<(u64, UploadId)> = self
            .uploads
            .iter()
            .filter_map(|(upload, since_ms)| Some(((*since_ms)?, *upload)))
            .filter(|(since_ms, _)| now_ms >= since_ms + MIN_STALL_MS)
            .collect();
        stalled.sort_unstable();
        stalled.truncate(MAX_ENDED_AT_ONCE);
        if !stalled.is_empty() {
            self.last_ended_ms = Some(now_ms);
        }
        let ended: Vec<UploadId> = stalled.into_iter().map(|(_, upload)| upload).collect();
        for upload in &ended {
            self.uploads.remove(upload);
        }
        ended
    }
}
