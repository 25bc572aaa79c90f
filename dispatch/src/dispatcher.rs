//! What a process needs to dispatch requests: its view of the fleet, its engines,
//! its connections, and its limits.

use crate::connection_pool::ConnectionPool;
use crate::engine_protocol::EngineProtocol;
use crate::engine_tracker::EngineTracker;
use crate::guard::PermitDispatch;
use placement::ReuseMode;
use residency::View;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use telemetry::metrics::Metrics;
use tokio::sync::watch;
use transport::link;

/// How long a request waits for any engine to become known, unless the options say
/// otherwise.
const DISCOVERY_WAIT_MS: u64 = 500;

/// Takes one retry for this service out of the retry budget, if there is one.
pub type RetryBudgetFn = Box<dyn Fn(&str) -> bool + Send + Sync>;

/// How requests are sent to engines.
pub struct DispatchOptions {
    /// The conventions of the engines.
    pub engine_protocol: EngineProtocol,
    /// How long an idle connection is kept if the engine's response doesn't say;
    /// 0 keeps none.
    pub idle_timeout_ms: u64,
    /// Which requests are sent over a connection that was used before.
    pub reuse_mode: ReuseMode,
    /// How long connecting to an engine may take.
    pub connect_timeout: Duration,
    /// How long a request may wait for any engine to become known.
    pub discovery_wait_ms: u64,
    /// An idempotent request abandons an engine whose response hasn't begun after
    /// this fraction of the request's latency target, beyond the time that the
    /// engine was expected to take; 0 stands for never.
    pub abandon_after_fraction: f64,
}

impl Default for DispatchOptions {
    fn default() -> DispatchOptions {
        DispatchOptions {
            engine_protocol: EngineProtocol::default(),
            idle_timeout_ms: 0,
            reuse_mode: ReuseMode::default(),
            connect_timeout: link::HANDSHAKE_TIMEOUT,
            discovery_wait_ms: DISCOVERY_WAIT_MS,
            abandon_after_fraction: 0.0,
        }
    }
}

/// Sends requests to engines; see [`Dispatcher::dispatch`].
pub struct Dispatcher {
    /// The address that connections to engines are made from.
    pub source: SocketAddr,
    /// How long a request may wait for a slot at an engine, at the most.
    pub slot_wait_ms: u64,
    /// The engines and their load.
    pub engine_tracker: Arc<EngineTracker>,
    /// The replicated state as this process knows it.
    pub view: watch::Receiver<Arc<View>>,
    /// Counts of what became of requests.
    pub metrics: Arc<Metrics>,
    /// Asked before an attempt that repeats work.
    pub retry_budget: RetryBudgetFn,
    /// Asked right before the first byte of a request is sent.
    pub permit: PermitDispatch,
    /// Called where no engine has a free slot: ends requests whose bodies stand still. `false`
    /// if there is none.
    pub end_stalled_uploads: Box<dyn Fn() -> bool + Send + Sync>,
    /// How requests are sent.
    pub options: DispatchOptions,
    /// Idle connections to engines.
    pub connections: Arc<ConnectionPool>,
}
