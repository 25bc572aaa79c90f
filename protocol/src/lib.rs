//! The protocol between rushport's own processes: frames over TCP.
//!
//! A frame on a connection is its length in bytes (32 bits, big endian), then as many
//! bytes: one that says the kind, then the fields in the order of their declaration,
//! integers big endian; strings, byte strings and lists as their length in 32 bits and
//! their content; a flag as one byte, 0 for false. Each kind's byte is the `magic` of
//! its variant in [`Frame`].
//!
//! The first frame of a connection is [`Frame::Hello`]; its [`ConnectionKind`] says
//! which conversation follows. Long frames between own processes that carry configuration
//! or lists are compressed (`compression.rs`). Each conversation is a module, which holds the parts of
//! its frames:
//!
//! | module | who speaks |
//! |---|---|
//! | [`handshake`] | both ends of each connection, first |
//! | [`peers`] | directory node to directory node: consensus, requests to the leader, routers seen |
//! | [`router_session`] | a router and its directory node: heartbeats, leases, the replicated view |
//! | [`state_watch`] | a router and each directory node: what the node's log holds |
//! | [`lookup`] | on a router's session: where a tenant's service may run |
//! | [`forwarding`] | a router and a directory node: one request and its response |
//! | [`cache_sharing`] | routers of a region: cached lookups, load gossip |
//! | [`quota_admission`] | routers: admission by the owner of a quota lease |
//!
//! [`VERSION`] is raised with every change of a layout; both ends refuse another one.
//! `tests/fixtures` holds frames that an earlier build encoded.

pub mod cache_sharing;
pub mod codec;
mod compression;
mod error;
pub mod forwarding;
mod frame;
pub mod handshake;
pub mod lookup;
pub mod peers;
pub mod quota_admission;
pub mod router_session;
pub mod state_watch;

pub use cache_sharing::{CachedPrefix, EngineLoad, LoadScope};
pub use codec::{decode, decode_within, encode, kind_name, EncodedFrame, MAX_FRAME_BYTES};
pub use error::FrameError;
pub use forwarding::{ForwardedRequest, Header};
pub use frame::Frame;
pub use handshake::{check_version, ConnectionKind, MAX_HELLO_BYTES, VERSION};
pub use lookup::LookupResponse;
pub use peers::{PeerRequest, PeerResponse, RouterGrants, Validity};
pub use quota_admission::QuotaDecision;
pub use router_session::{
    QuotaDemand, QuotaGrant, RegistryUpdate, RouterAvailability, RouterDemand, RouterStatus,
    LEASE_MS, RECENT_SPANS_MS,
};
pub use state_watch::StateReport;
