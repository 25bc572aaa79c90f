//! The replicated state machine of the control plane: topology, tenant keys, engines,
//! evacuations, moves and maintenance windows.
//!
//! [`State`] applies one log entry at a time, a [`Proposal`] that carries a
//! [`Command`], and returns an [`Outcome`] and the [`Event`]s that it made. A router's
//! replica, the [`View`], is built from the same events. The package is synchronous:
//! time is an argument, and no clock, socket or task lives here.

mod command;
mod engine;
mod event;
mod json;
mod last_changed;
mod limits;
mod mapping;
mod name;
mod proposal;
mod state;
mod topology;
mod view;

pub use command::{Command, ConfigDocument, DrainTarget, MaintenanceWindow, UpdateMode};
pub use engine::{Engine, EngineState};
pub use event::{Cell, Event, InvalidationScope, TenantKey, Zone};
pub use json::{merge, parse_json, JsonError};
pub use limits::{RequestLimits, ServiceLimits, TenantLimits};
pub use mapping::{routing_key, Mapping};
pub use name::{Epoch, Name};
pub use proposal::{Outcome, Proposal};
pub use state::{
    CommandError, KeyMove, ResolveError, RestoreError, ScheduledWindow, State, RECENT_PROPOSALS,
};
pub use topology::{
    Expected, Service, Tenant, Topology, TopologyError, TopologyErrorKind, TopologyErrors,
};
pub use view::{CellLocation, View};
