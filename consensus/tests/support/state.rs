//! The state machine that the nodes of a test cluster drive.

use consensus::{Entry, EntryPayload, LogIndex};

/// The state machine: how many entries were applied, and what they add up to.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Applied {
    pub index: LogIndex,
    pub sum: u64,
}

impl Applied {
    /// With one more entry.
    pub fn after(self, entry: &Entry) -> Applied {
        Applied {
            index: entry.index,
            sum: mixed(self.sum, entry),
        }
    }

    /// A snapshot of so many bytes.
    pub fn snapshot(self, bytes: usize) -> Vec<u8> {
        let mut state = vec![b's'; bytes.max(16)];
        state[..8].copy_from_slice(&self.index.to_be_bytes());
        state[8..16].copy_from_slice(&self.sum.to_be_bytes());
        state
    }

    /// What a snapshot holds; nothing, where there is none.
    pub fn restored(state: &[u8]) -> Applied {
        let number = |from: usize| {
            let bytes = state.get(from..from + 8)?;
            Some(u64::from_be_bytes(bytes.try_into().expect("eight bytes")))
        };
        Applied {
            index: number(0).unwrap_or(0),
            sum: number(8).unwrap_or(0),
        }
    }
}

fn mixed(sum: u64, entry: &Entry) -> u64 {
    let bytes = match &entry.payload {
        EntryPayload::Command(bytes) => bytes.get(..8).unwrap_or(bytes),
        EntryPayload::Noop | EntryPayload::Membership(_) => &[],
    };
    let fold = |sum: u64, byte: u64| (sum ^ byte).wrapping_mul(0x100_0000_01b3);
    let sum = fold(fold(sum, entry.index), entry.term);
    bytes
        .iter()
        .fold(sum, |sum, byte| fold(sum, u64::from(*byte)))
}
