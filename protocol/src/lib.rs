//! The frames that rushport's own processes send each other over TCP: a
//! 32-bit length, then the frame in binrw. A connection begins with a `Hello`
//! that says its epoch; another epoch is refused in words.

use binrw::binrw;
use consensus::codec::{
    from_bytes, read_bytes, read_list, read_string, to_bytes, write_bytes, write_list, write_string,
};
use consensus::{Member, Message};
use residency::{Event, Mapping, Name, Outcome, Proposal};

/// The epoch of these frames. Changed whenever one of them changes.
pub const VERSION: u16 = 9;
/// How long a confirmation by a majority is a lease, counted from when it
/// was asked for. Invariant: shorter than any bound within which a change must
/// be in force, and well longer than an election.
pub const LEASE_MS: u64 = 2_000;
/// The most that one frame may hold.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// The most that a frame may hold on a connection that has not said who it is.
pub const MAX_HELLO_BYTES: usize = 4096;

#[binrw]
#[brw(big, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionKind {
    /// Another directory node: a stream of `Between` frames.
    Peer = 1,
    /// A router's session with a directory node.
    RouterSession = 2,
    /// One forwarded job.
    Forwarding = 3,
    /// A router asking a neighbour's share of the region's cache.
    CacheSharing = 4,
}

/// A router as the others know it; soft, from its beats.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct RouterStatus {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub region: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub zone: String,
    /// Where callers reach it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub client_address: String,
    /// Where its neighbours reach it.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub peer_address: String,
    /// What is in force there.
    pub epoch: u64,
    /// How old this report is.
    pub age_ms: u64,
    pub is_draining: u8,
}

/// What is new of the other routers and of the directory nodes.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryUpdate {
    /// The first of a session: what was known before counts no more.
    pub is_full: u8,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub routers: Vec<RouterStatus>,
    /// Routers that are there no more, by name.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub removed_routers: Vec<Name>,
    /// Where all directory nodes listen; none stands for no change.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub directory_nodes: Vec<Member>,
}

/// What a process that admits jobs says of one tenant's pace. Counts are since it
/// began, so that a beat that is lost or said twice changes nothing.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaDemand {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// Jobs that were admitted.
    pub admitted: u64,
    /// How far it may count, as far as it knows; it binds itself to that.
    pub limit: u64,
    /// Answers to earlier beats raise nothing any more.
    pub grant_floor: u64,
    /// Jobs that wait for a place.
    pub queued: u64,
    /// Jobs that it would have beyond those.
    pub wanted: u64,
    /// Jobs that were admitted in the last `RECENT_SPANS_MS`, for a leader that is new.
    pub recently_admitted: [u64; 4],
}

/// The spans that `QuotaDemand::lately` speaks of.
pub const RECENT_SPANS_MS: [u64; 4] = [1_000, 2_000, 4_000, 8_000];

/// The leader's answer to a demand.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaGrant {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub tenant: String,
    /// How far it may count.
    pub limit: u64,
    /// How long those that wait everywhere have to wait.
    pub queue_wait_ms: u64,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct RouterDemand {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub router: String,
    /// Another one for each start of a process.
    pub incarnation: u64,
    /// The beat's number; it only rises within a life.
    pub heartbeat: u64,
    /// How old that life is: what it says of `lately` goes back no further.
    pub incarnation_age_ms: u64,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub demands: Vec<QuotaDemand>,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct RouterGrants {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub router: String,
    pub heartbeat: u64,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub grants: Vec<QuotaGrant>,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct Header {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub value: Vec<u8>,
}

/// The head of a forwarded job.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub id: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub method: String,
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub target: String,
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub headers: Vec<Header>,
    /// The asking router's region, which is the caller's.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub client_region: String,
    /// The router's epoch; the node answers from no older a state.
    pub epoch: u64,
    /// What is left of the job's deadline.
    pub remaining_ms: u64,
    /// Whether its tenant's pace was asked; who reads the key asks it.
    pub is_quota_charged: u8,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    #[brw(magic = 1u8)]
    Hello {
        version: u16,
        kind: ConnectionKind,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        name: String,
    },
    /// The last frame before a connection is closed on purpose.
    #[brw(magic = 2u8)]
    Refused {
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },

    // Directory node to directory node.
    #[brw(magic = 10u8)]
    Consensus(Message),
    /// A question to the leader; answered to `from` with the same number.
    #[brw(magic = 11u8)]
    PeerRequest {
        from: u64,
        request_id: u64,
        /// The term in which it was asked, and how long it may be acted on.
        validity: Validity,
        request: PeerRequest,
    },
    #[brw(magic = 12u8)]
    PeerResponse {
        request_id: u64,
        /// The sender's clock, by which deadlines of questions to it are counted.
        clock_ms: u64,
        response: PeerResponse,
    },
    /// The routers that beat at the sender.
    #[brw(magic = 13u8)]
    Routers {
        from: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        routers: Vec<RouterStatus>,
    },
    /// A blank node asks to be let in; answered on the same connection.
    #[brw(magic = 14u8)]
    Join(Member),
    #[brw(magic = 15u8)]
    Joined {
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        admitted: bool,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
    },
    /// Who speaks on a link, so that answers find their way to a node that is
    /// in no membership known here yet.
    #[brw(magic = 16u8)]
    Introduce(Member),

    // Router and directory node, one session.
    #[brw(magic = 20u8)]
    Heartbeat {
        router: RouterStatus,
        demand: RouterDemand,
    },
    /// The leader led throughout since this beat was sent, and all that counted
    /// then has gone before this frame.
    #[brw(magic = 21u8)]
    Lease {
        heartbeat: u64,
        epoch: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        grants: Vec<QuotaGrant>,
    },
    /// A whole view, in place of what the router had.
    #[brw(magic = 22u8)]
    Snapshot {
        epoch: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        events: Vec<Event>,
    },
    /// The events of one entry. `prior` is the epoch that they build on.
    #[brw(magic = 23u8)]
    Change {
        base_epoch: u64,
        epoch: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        events: Vec<Event>,
    },
    /// Who else is there, as far as the router was not told in this session.
    #[brw(magic = 24u8)]
    RegistryUpdate(RegistryUpdate),
    /// The key alone.
    #[brw(magic = 25u8)]
    LookupRequest {
        request_id: u64,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        tenant: String,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        service: String,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        region: String,
    },
    #[brw(magic = 26u8)]
    LookupResponse {
        request_id: u64,
        response: LookupResponse,
    },

    // A forwarded job, one connection each.
    #[brw(magic = 30u8)]
    RequestHead(ForwardedRequest),
    #[brw(magic = 31u8)]
    RequestBody(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    #[brw(magic = 32u8)]
    RequestEnd,
    /// The node is there and will take a job: before this frame not a byte of
    /// the job is sent, so a node that froze or went dark costs little.
    #[brw(magic = 39u8)]
    Ready,
    /// The node has what it needs to know; the rest of the body may follow.
    #[brw(magic = 38u8)]
    Continue,
    /// Ahead of the engine's answer, so that caches fill before it ends.
    #[brw(magic = 33u8)]
    Mapping(Mapping),
    #[brw(magic = 34u8)]
    ResponseHead {
        status: u16,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        headers: Vec<Header>,
    },
    #[brw(magic = 35u8)]
    ResponseBody(
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        Vec<u8>,
    ),
    /// The answer is whole. Without this frame it is broken.
    #[brw(magic = 36u8)]
    ResponseEnd,
    /// The node refuses the job, or gave it up.
    #[brw(magic = 37u8)]
    Rejected {
        status: u16,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        code: String,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        text: String,
        #[br(map = |n: u8| n != 0)]
        #[bw(map = |b: &bool| u8::from(*b))]
        not_run: bool,
        retry_after_ms: u64,
    },

    // Router and neighbour.
    #[brw(magic = 40u8)]
    CacheLookup {
        request_id: u64,
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        key: String,
        /// The asker's epoch; an older share answers with a miss.
        epoch: u64,
    },
    #[brw(magic = 41u8)]
    CacheResult {
        request_id: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        mapping: Vec<Mapping>,
    },
    #[brw(magic = 42u8)]
    CacheStore(Mapping),
    /// What a router has at the engines, and which parts of prompts they keep.
    #[brw(magic = 43u8)]
    LoadGossip {
        #[br(parse_with = read_string)]
        #[bw(write_with = write_string)]
        from: String,
        /// It came from another region, and is passed on no further.
        is_relayed: u8,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        loads: Vec<EngineLoad>,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        cached_prefixes: Vec<CachedPrefix>,
    },
}

/// A router's jobs at an engine, and the tokens of them that are being read.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLoad {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub engine: String,
    pub requests: u32,
    pub prefill_tokens: u32,
}

/// A shared part of prompts that an engine keeps.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub struct CachedPrefix {
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub engine: String,
    pub prefix_hash: u64,
}

/// Until when a leader may act on a question that was forwarded to it.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Validity {
    /// The consensus term in which the question was asked; it is void in any other.
    pub term: u64,
    /// By the leader's own clock, as it was learned from its replies in that term.
    /// A time that is merely left would not show how long a connection held the
    /// question back. 0 where the clock is not known yet: always past.
    pub deadline_ms: u64,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Does the asked lead, and how far has it come?
    #[brw(magic = 0u8)]
    ReadIndex {
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        demands: Vec<RouterDemand>,
    },
    #[brw(magic = 1u8)]
    Propose(Proposal),
    #[brw(magic = 2u8)]
    AddLearner(Member),
    #[brw(magic = 3u8)]
    RemoveMember { identity: u64 },
    /// This member is about to stop: may it?
    #[brw(magic = 4u8)]
    PrepareToStop { identity: u64 },
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum PeerResponse {
    #[brw(magic = 0u8)]
    ReadIndex {
        index: u64,
        #[br(parse_with = read_list)]
        #[bw(write_with = write_list)]
        grants: Vec<RouterGrants>,
    },
    #[brw(magic = 1u8)]
    Proposed(Outcome),
    /// A change of membership counts.
    #[brw(magic = 2u8)]
    MembershipChanged,
    #[brw(magic = 3u8)]
    NotLeader,
    #[brw(magic = 4u8)]
    Busy,
    #[brw(magic = 5u8)]
    Rejected(Name),
    /// Leadership was lost meanwhile: it may or may not hold.
    #[brw(magic = 6u8)]
    LeadershipLost,
}

#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResponse {
    #[brw(magic = 0u8)]
    Found(Mapping),
    #[brw(magic = 1u8)]
    NotFound { code: Name, text: Name },
    /// The node can't answer for now.
    #[brw(magic = 2u8)]
    Unavailable,
}

/// The name of a kind of frame, by the number that it begins with.
pub fn kind_name(first: u8) -> &'static str {
    match first {
        1 => "hello",
        2 => "refused",
        10 => "log",
        11 => "ask",
        12 => "reply",
        13 => "fronts",
        14..=16 => "join",
        20 => "beat",
        21 => "lease",
        22 => "picture",
        23 => "change",
        24 => "company",
        25 => "resolve",
        26 => "resolved",
        30..=39 => "job",
        40..=42 => "cache",
        _ => "unknown",
    }
}

/// A frame with its length before it.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = to_bytes(frame);
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Reads the body of one frame, which must fill it.
pub fn decode(bytes: &[u8]) -> Result<Frame, String> {
    from_bytes(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn garbage_is_refused_and_never_panics() {
        let cases: Vec<Vec<u8>> = vec![
            vec![],
            vec![0],
            vec![255; 40],
            vec![1, 0, 1, 9],
            vec![31, 255, 255, 255, 255, 1],
            vec![13, 0, 0, 0, 0, 0, 0, 0, 1, 255, 255, 255, 255],
        ];
        for bytes in cases {
            assert!(decode(&bytes).is_err(), "{bytes:?}");
        }
        let mut long = encode(&Frame::RequestEnd)[4..].to_vec();
        long.push(0);
        assert!(decode(&long).is_err(), "bytes past the end are refused");
    }

    proptest::proptest! {
        #[test]
        fn any_bytes_are_read_without_panic(bytes in proptest::collection::vec(0u8..=255, 0..200)) {
            if let Ok(frame) = decode(&bytes) {
                let again = encode(&frame);
                assert_eq!(decode(&again[4..]), Ok(frame));
            }
        }
    }
}
