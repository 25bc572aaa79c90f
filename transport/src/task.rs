//! Ownership of tasks.

use tokio::task::AbortHandle;

/// Owns a task: aborts it when dropped.
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
