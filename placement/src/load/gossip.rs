//! What processes report to each other about the engines that they share.

use protocol::{CachedPrefix, EngineLoad};

/// What one process reports to the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadUpdate {
    /// Its load at the engines where that changed, or was last sent a while ago.
    pub loads: Vec<EngineLoad>,
    /// Shared prefixes that engines' prefix caches hold since a prompt with them was sent
    /// there, and that were not sent yet.
    pub cached_prefixes: Vec<CachedPrefix>,
}

impl LoadUpdate {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.cached_prefixes.is_empty()
    }
}
