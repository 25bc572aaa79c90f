//! A node's disk as a plain value, for tests that need no files.

use consensus::node::{PersistedState, Write};

/// Applies one write to a state that is read back at the next start.
pub fn apply_write(state: &mut PersistedState, write: &Write) {
    match write {
        Write::HardState(hard_state) => state.hard_state = *hard_state,
        Write::Truncate(from) => state.entries.retain(|entry| entry.index < *from),
        Write::Entry(entry) => state.entries.push(entry.clone()),
        Write::InstallSnapshot(snapshot) => {
            state.entries.clear();
            state.snapshot = Some(snapshot.clone());
        }
        Write::Snapshot(snapshot) => {
            state.entries.retain(|entry| entry.index > snapshot.index);
            state.snapshot = Some(snapshot.clone());
        }
    }
}
