//! Engine selection from the load and health that engines report themselves.

mod health_report;
mod health_tracker;
mod listing;
mod selection;
mod slow_start;
mod warm_up_slots;

pub use health_report::HealthReport;
pub use health_tracker::{
    EngineHealthStatus, EngineHealthTracker, EngineListChange, ENGINE_LOST_AFTER_MS,
    HEALTH_REPORT_TIMEOUT_MS,
};
pub(crate) use listing::remove_unlisted;
pub use selection::{
    may_serve, select_engine, Candidate, EngineSelection, SelectedEngine, SelectionRequest,
};
pub use slow_start::{SlowStart, SLOW_START_RESPONSES};
