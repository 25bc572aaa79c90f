//! Directory node to directory node: consensus messages, requests to the leader, and
//! the routers that each node hears from.
//!
//! A connection carries frames in one direction, from the node that connected; what is
//! answered comes by the other node's own connection, with the request's number.

use crate::router_session::{QuotaGrant, RouterDemand};
use binrw::binrw;
use consensus::codec::{read_list, read_string, write_list, write_string};
use consensus::{LogIndex, Member, NodeId, Term};
use residency::{Name, Outcome, Proposal};

/// Until when a leader may act on a request that was forwarded to it.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// The term in which it was sent; it is void in any other.
    pub term: Term,
    /// Deadline in milliseconds by the leader's own clock, as the sender learned it from
    /// responses in that term. A remaining time would not show how long a connection
    /// held the request back. 0 where the clock is not known yet: always past.
    pub deadline_ms: u64,
}

/// A request to the leader.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Asks for a read index, confirmed by a majority, and for the quota grants of the
    /// routers whose heartbeats wait for it.
    #[brw(magic = 0u8)]
    ReadIndex {
        /// What these routers ask for.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        demands: Vec<RouterDemand>,
    },
    /// Proposes a command. Safe to repeat with the same proposal id.
    #[brw(magic = 1u8)]
    Propose(Proposal),
    /// Adds a member that does not vote yet, or updates its addresses.
    #[brw(magic = 2u8)]
    AddLearner(Member),
    /// Removes a member for good.
    #[brw(magic = 3u8)]
    RemoveMember {
        /// The member.
        identity: NodeId,
    },
    /// This member is about to stop: asks whether the others can do without it.
    #[brw(magic = 4u8)]
    PrepareToStop {
        /// The member.
        identity: NodeId,
    },
}

/// The response to a [`PeerRequest`].
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    /// A majority confirmed the leader after the request came. Also where nothing needs
    /// to change: a member that may stop, a learner that is known as it is.
    #[brw(magic = 0u8)]
    ReadIndex {
        /// What was committed by then; a read is linearizable once it is applied.
        index: LogIndex,
        /// The grants of the routers that asked.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        grants: Vec<RouterGrants>,
    },
    /// The proposal is committed and was applied with this outcome.
    #[brw(magic = 1u8)]
    Proposed(Outcome),
    /// The change of membership is committed.
    #[brw(magic = 2u8)]
    MembershipChanged,
    /// The node does not lead, or the request is not valid any more. Nothing was done; a
    /// retry is safe.
    #[brw(magic = 3u8)]
    NotLeader,
    /// Too many requests are open. Nothing was done; a retry is safe.
    #[brw(magic = 4u8)]
    Busy,
    /// The change can't be made now, with the reason. Nothing was done.
    #[brw(magic = 5u8)]
    Rejected(Name),
    /// Leadership was lost meanwhile: the change may or may not be made.
    #[brw(magic = 6u8)]
    LeadershipLost,
}

/// The leader's grants to one router.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct RouterGrants {
    /// The router's name.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub router: String,
    /// The number of the heartbeat that they answer.
    pub heartbeat: u64,
    /// The grants, by tenant.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub grants: Vec<QuotaGrant>,
}
