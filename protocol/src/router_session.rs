//! A router and its directory node, one connection: heartbeats with quota demands go
//! up; leases with quota grants, the replicated view and the list of routers come down.
//!
//! The router's first frame says which view it holds. The node sends the changes that this
//! view lacks, where it still has them, else a snapshot; and each change from then on. A
//! lease follows all changes that were committed when its heartbeat was sent.

use crate::codec::{read_flag, write_flag};
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};
use consensus::Member;
use residency::{Epoch, Name};

/// How long a router's lease lasts, in milliseconds, from when its heartbeat was sent.
/// Invariant: shorter than any bound within which a change must be in force, and well
/// longer than an election.
pub const LEASE_MS: u64 = 2_000;

/// The spans, in milliseconds before a heartbeat, of
/// [`QuotaDemand::recently_admitted`].
pub const RECENT_SPANS_MS: [u64; 4] = [1_000, 2_000, 4_000, 8_000];

/// A router as the other routers and the directory nodes know it, from its heartbeats.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterStatus {
    /// Its name, unique in the fleet.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// The region that it runs in.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
    /// The zone that it runs in.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Where clients reach it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub client_address: String,
    /// Where other routers reach it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub peer_address: String,
    /// The epoch of the view in force there; 0 before the first.
    pub epoch: Epoch,
    /// Age of this report in milliseconds, when it was sent on.
    pub age_ms: u64,
    /// What it does with new requests.
    pub availability: RouterAvailability,
}

impl RouterStatus {
    /// Whether it is shutting down.
    pub fn is_draining(&self) -> bool {
        self.availability == RouterAvailability::Draining
    }
}

/// What a router does with new requests. In the order in which look-ups prefer them.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterAvailability {
    /// It accepts them.
    Ready = 0,
    /// It shuts down: it accepts them for a little longer.
    Draining = 1,
    /// It has no lease and refuses them; it accepts them as soon as it gets one.
    WithoutLease = 2,
}

/// Changes of the list of routers and directory nodes, since the session's last update.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryUpdate {
    /// The first of a session: it replaces what the router knew.
    #[br(parse_with = read_flag)]
    #[bw(write_with = write_flag)]
    pub is_full: bool,
    /// Routers that are new or changed.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub routers: Vec<RouterStatus>,
    /// Routers that are gone, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub removed_routers: Vec<Name>,
    /// All directory nodes; an empty list stands for no change.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub directory_nodes: Vec<Member>,
}

/// What a process that admits requests asks for one tenant's quota. Counts are since the
/// process began, so that a heartbeat that is lost or repeated changes nothing.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaDemand {
    /// The tenant.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// Requests admitted.
    pub admitted: u64,
    /// The count up to which it may admit, as far as it knows; it admits none past it.
    pub limit: u64,
    /// Grants that answer earlier heartbeats than this one are not taken any more.
    pub grant_floor: u64,
    /// Requests that wait for admission. Where no request waits (quota margins): the
    /// part of the margin that it holds.
    pub queued: u64,
    /// Requests that it expects beyond those; at least one for a tenant that it owns.
    pub wanted: u64,
    /// Requests admitted within each of [`RECENT_SPANS_MS`], for a leader that is new.
    pub recently_admitted: [u64; 4],
}

/// The leader's response to a [`QuotaDemand`].
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The tenant.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// The count up to which the process may admit, since it began.
    pub limit: u64,
    /// How long the tenant's requests that wait at all routers have to wait, in
    /// milliseconds.
    pub queue_wait_ms: u64,
}

/// All quota demands of one process, as a heartbeat carries them.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterDemand {
    /// The process, by name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub router: String,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
    /// The heartbeat's number; it only rises within an incarnation.
    pub heartbeat: u64,
    /// Milliseconds since the incarnation began; `recently_admitted` reaches back no
    /// further.
    pub incarnation_age_ms: u64,
    /// The demands, by tenant.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub demands: Vec<QuotaDemand>,
}
