//! The latest changes of the state as routers get them, so that a router whose session
//! begins anew gets what it lacks in place of the whole view.

use protocol::EncodedFrame;
use residency::Epoch;
use std::collections::VecDeque;

/// Bytes of changes that are kept, at the most: about as much as a snapshot of a thousand
/// routes. A router that lacks more is better off with a snapshot.
const MAX_HISTORY_BYTES: usize = 256 << 10;

/// A change of the state.
struct RecordedChange {
    /// The epoch that it builds on.
    base_epoch: Epoch,
    frame: EncodedFrame,
}

/// Invariant: the changes follow from one another without a gap, up to the state's epoch.
#[derive(Default)]
pub(super) struct ChangeHistory {
    changes: VecDeque<RecordedChange>,
    bytes: usize,
}

impl ChangeHistory {
    /// Adds the change that follows the one before.
    pub(super) fn push(&mut self, base_epoch: Epoch, frame: EncodedFrame) {
        self.bytes += frame.bytes().len();
        self.changes.push_back(RecordedChange { base_epoch, frame });
        while self.bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.frame.bytes().len();
        }
    }

    /// Forgets all changes: the state is replaced.
    pub(super) fn clear(&mut self) {
        *self = ChangeHistory::default();
    }

    /// The changes that make a view of `epoch` the one of `current_epoch`, in their order.
    /// `None` where they are not known, or the view is of no epoch that was in force here.
    pub(super) fn since(&self, epoch: Epoch, current_epoch: Epoch) -> Option<Vec<EncodedFrame>> {
        if epoch == current_epoch {
            return Some(Vec::new());
        }
        let mut changes = self.changes.iter();
        let first = changes.position(|change| change.base_epoch == epoch)?;
        let missing = self.changes.iter().skip(first);
        Some(missing.map(|change| change.frame.clone()).collect())
    }
}
