//! A router's settings, checked by the program that reads them.

use placement::{ClientLimits, DrainPlan, LeaseGrace};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a request may wait for a slot at an engine, at the most, in the
/// project's own program.
pub const ENGINE_SLOT_WAIT_MS: u64 = 3_000;

/// A router's settings; they hold for the life of the process.
pub struct Settings {
    /// Unique in the cluster.
    pub name: String,
    /// The region that this router is in.
    pub region: String,
    /// The zone that this router is in.
    pub zone: String,
    /// Where clients reach it.
    pub ingress_address: SocketAddr,
    /// Where the other routers reach it.
    pub peer_address: SocketAddr,
    /// Where it listens for other routers, and the address that it connects from.
    pub peer_listen_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Directory nodes to begin with.
    pub seeds: Vec<SocketAddr>,
    /// How long the part of a body that holds the routing key may take to arrive.
    pub body_head_timeout: Duration,
    /// How long a request may wait for its tenant's quota.
    pub quota_wait: Duration,
    /// Requests in flight, at the most.
    pub max_requests: usize,
    /// What clients may take of the process's memory and descriptors.
    pub client_limits: ClientLimits,
    /// The longest body, in bytes; the rules may allow less.
    pub body_limit_bytes: usize,
    /// Mappings in the local cache tier.
    pub local_cache_entries: usize,
    /// Mappings in this router's part of the region's cache.
    pub regional_cache_entries: usize,
    /// Which requests it accepts while it drains.
    pub drain_plan: DrainPlan,
    /// How long it still accepts requests after the signal to stop: clients may use a
    /// list of routers that was fetched before.
    pub drain_period: Duration,
    /// How long streams may take to finish after that.
    pub shutdown_grace: Duration,
    /// How long a request may wait for a slot at an engine, in milliseconds.
    pub slot_wait_ms: u64,
    /// Bytes of a body that are buffered for a further attempt; 0 buffers only what
    /// the routing key needs.
    pub buffered_body_bytes: usize,
    /// Cache misses are resolved by the key alone, and no request is forwarded to a
    /// directory node with its body.
    pub resolves_by_key_only: bool,
    /// How long it goes on past its lease's end, while no directory node renews it.
    pub lease_grace: LeaseGrace,
    /// How often it sends a heartbeat in its session, in milliseconds.
    pub heartbeat_interval_ms: u64,
}
