//! A router: the data plane daemon. It accepts clients' requests, resolves where
//! each may go, and streams it to an engine and the response back.
//!
//! - [`run`] puts it together from [`Settings`] and [`Extensions`] and stops it
//!   gracefully (`startup.rs`).
//! - `ingress/` is the way of a request, one file for each phase.
//! - `session.rs` keeps the replicated state and the lease up to date; `lease.rs`
//!   says whether work may be accepted by it, and `directory_watch.rs` whether what the
//!   directory nodes say, or that they are out of reach, extends it.
//! - `cache_tiers.rs` and `regional_cache.rs` hold mappings; on a miss a directory
//!   node resolves the key (`pending_lookups.rs`) or takes the whole request
//!   (`forwarding/`).
//! - `membership.rs`, `peer_links.rs`, `peer_server.rs` and `load_gossip.rs` connect
//!   the routers with each other.
//! - `quota_admission.rs` admits requests by their tenant's quota.
//! - `rejection.rs` lists every rejection of this package and what the client gets.

mod cache_tiers;
mod conversation_error;
mod directory_watch;
mod extension_log;
mod extensions;
mod forwarding;
mod in_flight;
mod ingress;
mod lease;
mod load_gossip;
mod membership;
mod operator_api;
mod peer_links;
mod peer_server;
mod pending_lookups;
mod quota_admission;
mod regional_cache;
mod rejection;
mod router;
mod router_lookup;
mod session;
mod session_reader;
mod settings;
mod startup;

pub use self::extensions::{AdditionalServer, ClientAdapter, Extensions, RetryPolicy};
pub use self::rejection::RouterRejection;
pub use self::router::Router;
pub use self::router_lookup::lookup_routers;
pub use self::settings::{Settings, ENGINE_SLOT_WAIT_MS};
pub use self::startup::run;
