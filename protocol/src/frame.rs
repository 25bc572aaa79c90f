//! One frame of each kind, in the order of the conversations.

use crate::cache_sharing::{CachedPrefix, EngineLoad, LoadScope};
use crate::codec::{read_flag, write_flag};
use crate::forwarding::{ForwardedRequest, Header};
use crate::handshake::ConnectionKind;
use crate::lookup::LookupResponse;
use crate::peers::{PeerRequest, PeerResponse, Validity};
use crate::quota_admission::QuotaDecision;
use crate::router_session::{QuotaGrant, RegistryUpdate, RouterDemand, RouterStatus};
use crate::state_watch::StateReport;
use binrw::binrw;
use consensus::codec::{read_bytes, read_list, read_string, write_bytes, write_list, write_string};
use consensus::{ClusterId, Member, Message, NodeId};
use residency::{Epoch, Event, Mapping};

/// A frame. The `magic` of a variant is its kind, the first byte on a connection.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    // Handshake.
    /// The first frame of the process that connected.
    #[brw(magic = 1u8)]
    Hello {
        /// The protocol's version; see [`crate::VERSION`].
        version: u16,
        /// Which conversation follows.
        kind: ConnectionKind,
        /// The name of the process.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// The last frame before a connection is closed on purpose, with the reason.
    #[brw(magic = 2u8)]
    Refused {
        /// The reason, for people.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },

    // Directory node to directory node.
    /// A message of the consensus protocol.
    #[brw(magic = 10u8)]
    Consensus(Message),
    /// A request to the leader.
    #[brw(magic = 11u8)]
    PeerRequest {
        /// The node that the response goes to.
        from: NodeId,
        /// Unique at `from` for the life of its process.
        request_id: u64,
        /// In which term and until when it may be acted on.
        validity: Validity,
        /// What is asked.
        request: PeerRequest,
    },
    /// The response to a request of the receiver.
    #[brw(magic = 12u8)]
    PeerResponse {
        /// The request's id.
        request_id: u64,
        /// The sender's clock in milliseconds, by which it judges the deadlines of
        /// requests.
        clock_ms: u64,
        /// The response.
        response: PeerResponse,
    },
    /// The routers that have a session with the sender.
    #[brw(magic = 13u8)]
    Routers {
        /// The sender.
        from: NodeId,
        /// The routers' latest reports.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        routers: Vec<RouterStatus>,
    },
    /// A node without a cluster asks to be added; the response comes on the same
    /// connection.
    #[brw(magic = 14u8)]
    Join(Member),
    /// The response to `Join`.
    #[brw(magic = 15u8)]
    Joined {
        /// The node is a member now.
        #[br(parse_with = read_flag)]
        #[bw(write_with = write_flag)]
        admitted: bool,
        /// The reason where it is not.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },
    /// Who sends on this connection, so that responses find a node that is in no
    /// membership known here yet.
    #[brw(magic = 16u8)]
    Introduce(Member),

    // A router's session.
    /// A router's report and quota demands.
    #[brw(magic = 20u8)]
    Heartbeat {
        /// The router's own status.
        router: RouterStatus,
        /// What it asks for; holds the heartbeat's number.
        demand: RouterDemand,
    },
    /// A lease in response to a heartbeat. The leader led throughout since the
    /// heartbeat was sent, and all that was committed then was sent before this frame.
    #[brw(magic = 21u8)]
    Lease {
        /// The heartbeat's number.
        heartbeat: u64,
        /// The epoch that the router's view must have for the lease to count.
        epoch: Epoch,
        /// The quota grants.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        grants: Vec<QuotaGrant>,
    },
    /// The view of the replicated state, in place of what the router had.
    #[brw(magic = 22u8)]
    Snapshot {
        /// The view's epoch.
        epoch: Epoch,
        /// Events that make an empty view this one.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        events: Vec<Event>,
    },
    /// The events of one log entry.
    #[brw(magic = 23u8)]
    Change {
        /// The epoch that the events are applied to.
        base_epoch: Epoch,
        /// The epoch that they make.
        epoch: Epoch,
        /// The events, in order.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        events: Vec<Event>,
    },
    /// The router's first frame: which view it holds, so that it gets only what it lacks.
    #[brw(magic = 27u8)]
    Subscribe {
        /// The cluster that the view is of; 0 where it holds none.
        cluster: ClusterId,
        /// The view's epoch.
        epoch: Epoch,
    },
    /// The router is subscribed. What its view lacks follows: the changes since its epoch,
    /// or a snapshot; each later change after it.
    #[brw(magic = 28u8)]
    Subscribed {
        /// The node's cluster.
        cluster: ClusterId,
    },
    /// Which routers and directory nodes there are.
    #[brw(magic = 24u8)]
    RegistryUpdate(RegistryUpdate),
    /// Asks where a tenant's service may run.
    #[brw(magic = 25u8)]
    LookupRequest {
        /// Unique for the life of the router's process.
        request_id: u64,
        /// The tenant.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        tenant: String,
        /// The service.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        service: String,
        /// The region that the request came from.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        region: String,
    },
    /// The response to a lookup.
    #[brw(magic = 26u8)]
    LookupResponse {
        /// The request's id.
        request_id: u64,
        /// The response.
        response: LookupResponse,
    },

    // Beside a router's session.
    /// Asks what the node's log holds.
    #[brw(magic = 50u8)]
    StateQuery {
        /// Rises with each query on a connection.
        number: u64,
    },
    /// The response to a state query, made after it came.
    #[brw(magic = 51u8)]
    StateReport(StateReport),

    // A forwarded request.
    /// The head of the request; its body follows.
    #[brw(magic = 30u8)]
    RequestHead(ForwardedRequest),
    /// A part of the request's body.
    #[brw(magic = 31u8)]
    RequestBody(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    /// The request's body is complete.
    #[brw(magic = 32u8)]
    RequestEnd,
    /// The node will take a request. Before this frame not a byte of it is sent, so that
    /// a node that hangs costs little.
    #[brw(magic = 39u8)]
    Ready,
    /// The node has read the routing key; the rest of the body may follow.
    #[brw(magic = 38u8)]
    Continue,
    /// Where the key may run; ahead of the response, so that the router's caches fill
    /// before it ends.
    #[brw(magic = 33u8)]
    Mapping(Mapping),
    /// The head of the engine's response.
    #[brw(magic = 34u8)]
    ResponseHead {
        /// The HTTP status.
        status: u16,
        /// The headers.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        headers: Vec<Header>,
    },
    /// A part of the response's body.
    #[brw(magic = 35u8)]
    ResponseBody(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    /// The response is complete. Without this frame it is broken off.
    #[brw(magic = 36u8)]
    ResponseEnd,
    /// The node did not take the request, or gave it up.
    #[brw(magic = 37u8)]
    Rejected {
        /// The HTTP status for the client.
        status: u16,
        /// Stable code for the client, such as `engines-full`.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        code: String,
        /// The reason, for people.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
        /// No engine has begun the request: another attempt is safe.
        #[br(parse_with = read_flag)]
        #[bw(write_with = write_flag)]
        not_run: bool,
        /// When the client may try again, in milliseconds from now; 0 for unknown.
        retry_after_ms: u64,
    },

    // Router to router.
    /// Asks the owner of a key's cache shard.
    #[brw(magic = 40u8)]
    CacheLookup {
        /// Unique on its connection.
        request_id: u64,
        /// The routing key.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        key: String,
        /// The epoch in force at the asking router; an older shard answers with a miss.
        epoch: Epoch,
    },
    /// The response to `CacheLookup`: one mapping, or none for a miss.
    #[brw(magic = 41u8)]
    CacheResult {
        /// The request's id.
        request_id: u64,
        /// The mapping, if there is one.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        mapping: Vec<Mapping>,
    },
    /// A mapping for the owner of its shard to keep.
    #[brw(magic = 42u8)]
    CacheStore(Mapping),
    /// What a router has running at the engines, and which prefixes they have cached.
    #[brw(magic = 43u8)]
    LoadGossip {
        /// The router whose load it is, or the aggregator that summed it up.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        from: String,
        /// Whose load it is.
        scope: LoadScope,
        /// The load of each engine.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        loads: Vec<EngineLoad>,
        /// The cached prefixes.
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        cached_prefixes: Vec<CachedPrefix>,
    },
    /// Asks the owner of a tenant's quota lease to admit a request.
    #[brw(magic = 44u8)]
    QuotaRequest {
        /// Unique on its connection.
        request_id: u64,
        /// The tenant.
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        tenant: String,
    },
    /// The response to `QuotaRequest`.
    #[brw(magic = 45u8)]
    QuotaResponse {
        /// The request's id.
        request_id: u64,
        /// What the owner decided.
        decision: QuotaDecision,
    },
}
