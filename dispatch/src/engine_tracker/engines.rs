//! The health and load of engines, shared by the tracker and the slots.

use parking_lot::Mutex;
use placement::{EngineHealthTracker, EngineLoadEstimator};
use tokio::sync::Notify;

/// The engines that are listed now.
pub(super) struct TrackedEngines {
    pub load: LoadSource,
    /// Notified when a slot may have become free.
    pub capacity_changed: Notify,
    /// Notified when other processes should get a load update.
    pub load_changed: Notify,
}

/// What the load of engines is known from.
pub(super) enum LoadSource {
    /// The health reports that engines stream.
    HealthReports(Mutex<EngineHealthTracker>),
    /// Their responses alone.
    Responses(Mutex<EngineLoadEstimator>),
}

impl TrackedEngines {
    pub fn new(load: LoadSource) -> TrackedEngines {
        TrackedEngines {
            load,
            capacity_changed: Notify::new(),
            load_changed: Notify::new(),
        }
    }
}
