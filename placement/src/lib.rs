//! The decisions of the data plane: which engine serves a request, what a tenant may send,
//! what may be retried, and what a router knows and may act on.
//!
//! Nothing in here has a clock, a socket, a task or a lock. Time is an argument, in
//! milliseconds of one monotonic clock (`now`); what is to be done is returned.
//!
//! | question | module |
//! |---|---|
//! | which engine gets a request, by what engines report | `engine` |
//! | the same, by what routers measure | `load` |
//! | whether a tenant is within its quota | `quota` |
//! | which demands for quota a leader that is behind weighs | `quota_work_limit` |
//! | what may be attempted next, and what an error may claim | `request_state` |
//! | whether there is budget for a retry | `retry` |
//! | what clients may take of a process's memory and descriptors | `client_limits` |
//! | which bodies of requests may be held, and which are ended | `body_budget` |
//! | whether a cached mapping may be used | `cache` |
//! | whether a request may use a connection that carried others | `connection_reuse` |
//! | how long a router goes on past its lease | `lease_grace` |
//! | whether a router may act on its view while no lease comes | `directory_observer` |
//! | when a router asks the directory nodes about its lease | `watch_schedule` |
//! | what a router knows, and until when it may act on it | `replica_view` |
//! | until when a directory node may act on its state | `state_lease` |
//! | which requests a router that leaves still accepts | `drain` |
//! | which routers and directory nodes there are | `router_membership` |
//! | which routers a client is sent to | `router_selection` |
//! | which process owns what, without communication | `rendezvous` |

mod body_budget;
mod cache;
mod client_limits;
mod connection_reuse;
mod directory_observer;
mod drain;
mod engine;
mod lease_grace;
mod load;
mod quota;
pub mod quota_work_limit;
mod rendezvous;
mod replica_view;
mod request_state;
mod retry;
mod router_membership;
mod router_selection;
mod state_lease;
mod watch_schedule;

pub use body_budget::{BodyBudget, UploadId, SMALL_BODY_BYTES};
pub use cache::{Cache, CacheEntry, CacheLookup};
pub use client_limits::ClientLimits;
pub use connection_reuse::{ConnectionDemand, ConnectionReuse, ReuseMode};
pub use directory_observer::{
    DirectoryObserver, ExtensionReason, LeaseExtension, VotersOutOfReach,
    ACKNOWLEDGEMENT_TIMEOUT_MS,
};
pub use drain::{Drain, DrainPlan};
pub use engine::{
    may_serve, select_engine, Candidate, EngineHealthStatus, EngineHealthTracker, EngineListChange,
    EngineSelection, HealthReport, SelectedEngine, SelectionRequest, SlowStart,
    ENGINE_LOST_AFTER_MS, HEALTH_REPORT_TIMEOUT_MS, SLOW_START_RESPONSES,
};
pub use lease_grace::LeaseGrace;
pub use load::{
    Aggregator, AggregatorChoice, EngineLoadEstimator, EngineLoadStatus, LoadAggregator,
    LoadAggregators, LoadUpdate, PrefillEstimate, ProbeTarget,
};
pub use quota::{
    has_quota_owners, AdmissionDecision, LeaseRateLimiter, QueueTicket, QueueingRateLimiter,
    QuotaLeaseAllocator, QuotaOwner, QuotaOwners, QuotaTolerance, RateLimit, TokenAllocator,
    QUOTA_LEASE_MS, STARTUP_RESERVE_RATIO,
};
pub use rendezvous::{highest_ranked, rank};
pub use replica_view::{ReplicaPosition, ReplicaUpdate, ReplicaView, ReplicaViewError};
pub use request_state::{
    ExecutionOutcome, InvalidTransition, RequestEvent, RequestState, RequestStateMachine,
};
pub use retry::{RetryBudget, RetryLimit, RetryTokenBucket, RETRY_TOKEN_LIFETIME_MS};
pub use router_membership::{is_same_to_peers, RouterMembership};
pub use router_selection::{
    select_routers, LookupClient, ObservedRouter, RouterSelection, SelectionScope,
    MAX_HEARTBEAT_AGE_MS, MAX_NAMED_DRAINING_MS, MAX_NAMED_ROUTERS,
};
pub use state_lease::StateLease;
pub use watch_schedule::WatchSchedule;
