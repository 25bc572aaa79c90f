//! The frames between rushport's own processes, with all that they carry.

use crate::bytes::{allowance, config, edited, edits};
use crate::memory::peak;
use consensus::{Entry, EntryPayload, Member, Membership, Message, MessageBody, Snapshot};
use proptest::prelude::*;
use proptest::sample::Index;
use protocol::*;
use residency::{
    Cell, Command, ConfigDocument, DrainTarget, Engine, EngineState, Event, InvalidationScope,
    MaintenanceWindow, Mapping, Name, Outcome, Proposal, RequestLimits, ServiceLimits, TenantKey,
    TenantLimits, Zone,
};

pub fn name(text: &str) -> Name {
    Name(text.into())
}

pub fn key(digest: &str, tenant: &str) -> TenantKey {
    TenantKey {
        digest: digest.into(),
        tenant: tenant.into(),
    }
}

fn member(identity: u64) -> Member {
    Member {
        identity,
        name: format!("core-{identity}"),
        region: "north".into(),
        zone: "north-a".into(),
        address: "10.0.0.1:7360".into(),
        operator_address: "10.0.0.1:7361".into(),
    }
}

pub fn membership() -> Membership {
    Membership {
        voters: vec![member(1), member(2), member(3)],
        learners: vec![member(4)],
        retired: vec![5, 6],
    }
}

pub fn engine() -> Engine {
    Engine {
        name: "i-1".into(),
        address: "10.0.0.9:8080".into(),
        cell: "north-1".into(),
        services: vec![name("writer"), name("pictures")],
        slots: 8,
        state: EngineState::Serving,
        warm_up_ms: 12,
    }
}

fn mapping() -> Mapping {
    Mapping {
        tenant: "ana".into(),
        service: "writer".into(),
        regions: vec![name("north")],
        cells: vec![name("north-1"), name("north-2")],
        fresh_ms: 100,
        expire_ms: 1_000,
        epoch: 9,
    }
}

pub fn commands() -> Vec<Command> {
    let pair = || (name("ana"), name("writer"));
    let window = MaintenanceWindow {
        id: name("w-1"),
        target: DrainTarget::Zone(name("north-a")),
        starts_at_s: 5,
        ends_at_s: 9,
    };
    let other = MaintenanceWindow {
        id: name("w-2"),
        target: DrainTarget::Engine(name("i-1")),
        ..window.clone()
    };
    let config_document = ConfigDocument {
        revision: 3,
        base_revision: 2,
        text: "{}".into(),
    };
    vec![
        Command::UpdateTopology {
            mode: residency::UpdateMode::Patch,
            text: "{\"services\":{\"writer\":{}}}".into(),
        },
        Command::AddKey(key(&"a".repeat(64), "ana")),
        Command::RemoveKey(name("digest")),
        Command::AddEngine(engine()),
        Command::RemoveEngine(name("i-1")),
        Command::SetEngineState {
            name: name("i-1"),
            state: EngineState::Coming,
        },
        Command::SetEngineState {
            name: name("i-1"),
            state: EngineState::Serving,
        },
        Command::SetEngineState {
            name: name("i-1"),
            state: EngineState::Draining,
        },
        Command::EvacuateZone(name("north-a")),
        Command::ReinstateZone(name("north-a")),
        Command::MoveKey {
            tenant: pair().0,
            service: pair().1,
            cell: name("north-1"),
        },
        Command::CompleteMove {
            tenant: pair().0,
            service: pair().1,
        },
        Command::UndoMove {
            tenant: pair().0,
            service: pair().1,
        },
        Command::ScheduleMaintenance(vec![window, other]),
        Command::BeginMaintenance(name("w-1")),
        Command::EndMaintenance(name("w-1")),
        Command::AdoptDocument {
            config_document,
            text: "{}".into(),
        },
        Command::UpdateEngines {
            engines: vec![engine(), engine()],
            gone: vec![name("i-0")],
        },
        Command::SetRouterCount(9),
    ]
}

pub fn events() -> Vec<Event> {
    let limits = TenantLimits {
        tenant: "ana".into(),
        requests_per_s: 5,
        burst: 9,
        homes: vec![name("north")],
        urgency: 1,
    };
    let service = ServiceLimits {
        service: "writer".into(),
        max_connections: 9,
        warm_up_requests_per_s: 3,
        warm_up_ms: 50,
    };
    let rules = "door app at \"/app/\" tenant header \"x-tenant-key\" model header \"x-model\"\n\
                 route write on app POST \"/app/write\" to model once deadline 30s";
    vec![
        Event::Rules(name(rules)),
        Event::Topology {
            zones: vec![Zone {
                name: "z".into(),
                region: "r".into(),
            }],
            cells: vec![Cell {
                name: "c".into(),
                zone: "z".into(),
            }],
        },
        Event::KeyAdded(key("digest", "ana")),
        Event::KeyRemoved(name("digest")),
        Event::EngineUpdated(engine()),
        Event::EngineRemoved(name("i-1")),
        Event::ZoneEvacuated(name("z")),
        Event::ZoneReinstated(name("z")),
        Event::Invalidated(InvalidationScope::All),
        Event::Invalidated(InvalidationScope::Tenant(name("ana"))),
        Event::Invalidated(InvalidationScope::Key(name("ana/writer"))),
        Event::Invalidated(InvalidationScope::Home(name("north"))),
        Event::Tenants(vec![limits]),
        Event::Services(vec![service]),
        Event::Limits(RequestLimits::default()),
        Event::RouterCount(4),
    ]
}

fn bodies() -> Vec<MessageBody> {
    let entry = |index, payload| Entry {
        index,
        term: 3,
        payload,
    };
    let entries = vec![
        entry(1, EntryPayload::Noop),
        entry(2, EntryPayload::Command(vec![1, 2, 3])),
        entry(3, EntryPayload::Membership(membership())),
    ];
    let snapshot = Snapshot {
        index: 9,
        term: 3,
        cluster: 77,
        members: membership(),
        state: vec![7; 50],
    };
    vec![
        MessageBody::PreVote {
            last_log_index: 5,
            last_log_term: 2,
        },
        MessageBody::PreVoteResponse { granted: true },
        MessageBody::PreVoteResponse { granted: false },
        MessageBody::RequestVote {
            last_log_index: 5,
            last_log_term: 2,
            is_transfer: false,
        },
        MessageBody::RequestVote {
            last_log_index: 5,
            last_log_term: 2,
            is_transfer: true,
        },
        MessageBody::RequestVoteResponse { granted: false },
        MessageBody::RequestVoteResponse { granted: true },
        MessageBody::AppendEntries {
            prev_log_index: 0,
            prev_log_term: 0,
            leader_commit: 2,
            round: 8,
            entries,
        },
        MessageBody::AppendEntries {
            prev_log_index: 3,
            prev_log_term: 3,
            leader_commit: 2,
            round: 9,
            entries: vec![],
        },
        MessageBody::AppendEntriesResponse {
            is_match: true,
            match_index: 3,
            round: 8,
        },
        MessageBody::AppendEntriesResponse {
            is_match: false,
            match_index: 2,
            round: 8,
        },
        MessageBody::InstallSnapshot { round: 9, snapshot },
        MessageBody::TimeoutNow,
    ]
}

fn front() -> RouterStatus {
    RouterStatus {
        name: "edge-1".into(),
        region: "north".into(),
        zone: "north-a".into(),
        client_address: "10.0.0.3:8689".into(),
        peer_address: "10.0.0.3:7362".into(),
        epoch: 9,
        age_ms: 5,
        is_draining: false,
    }
}

fn share() -> QuotaGrant {
    QuotaGrant {
        tenant: "ana".into(),
        limit: 9,
        queue_wait_ms: 3,
    }
}

fn demand() -> RouterDemand {
    let demand = QuotaDemand {
        tenant: "ana".into(),
        admitted: 5,
        limit: 9,
        grant_floor: 1,
        queued: 0,
        wanted: 2,
        recently_admitted: [1, 2, 3, 4],
    };
    RouterDemand {
        router: "edge-1".into(),
        incarnation: 8,
        heartbeat: 4,
        incarnation_age_ms: 99,
        demands: vec![demand],
    }
}

/// What each end says first on a connection, and how one is refused.
pub fn handshake() -> Vec<Frame> {
    let kinds = [
        ConnectionKind::Peer,
        ConnectionKind::RouterSession,
        ConnectionKind::Forwarding,
        ConnectionKind::CacheSharing,
    ];
    let hello = |kind| Frame::Hello {
        version: VERSION,
        kind,
        name: "edge-1".into(),
    };
    let mut frames: Vec<Frame> = kinds.into_iter().map(hello).collect();
    frames.push(Frame::Refused {
        text: "another epoch".into(),
    });
    frames
}

fn requests() -> Vec<PeerRequest> {
    let submit = |command| {
        PeerRequest::Propose(Proposal {
            id: "s-1".into(),
            base_epoch: 4,
            command,
        })
    };
    commands()
        .into_iter()
        .map(submit)
        .chain([
            submit(Command::UpdateTopology {
                mode: residency::UpdateMode::Replace,
                text: "{}".into(),
            }),
            PeerRequest::ReadIndex {
                demands: vec![demand()],
            },
            PeerRequest::ReadIndex { demands: vec![] },
            PeerRequest::AddLearner(member(9)),
            PeerRequest::RemoveMember { identity: 9 },
            PeerRequest::PrepareToStop { identity: 9 },
        ])
        .collect()
}

fn responses() -> Vec<PeerResponse> {
    let shares = RouterGrants {
        router: "edge-1".into(),
        heartbeat: 4,
        grants: vec![share(), share()],
    };
    let outcomes = [
        Outcome::Applied { epoch: 9 },
        Outcome::Duplicate { epoch: 9 },
        Outcome::Conflict { epoch: 9 },
        Outcome::Rejected("no".into()),
    ];
    outcomes
        .into_iter()
        .map(PeerResponse::Proposed)
        .chain([
            PeerResponse::ReadIndex {
                index: 9,
                grants: vec![shares],
            },
            PeerResponse::MembershipChanged,
            PeerResponse::NotLeader,
            PeerResponse::Busy,
            PeerResponse::Rejected(name("why")),
            PeerResponse::LeadershipLost,
        ])
        .collect()
}

/// Directory node to directory node.
pub fn peers() -> Vec<Frame> {
    let consensus = |body| {
        Frame::Consensus(Message {
            from: 1,
            to: 2,
            cluster: 77,
            term: 3,
            body,
        })
    };
    let validity = Validity {
        term: 3,
        deadline_ms: 1_234,
    };
    let mut frames: Vec<Frame> = bodies().into_iter().map(consensus).collect();
    frames.extend(requests().into_iter().map(|question| Frame::PeerRequest {
        from: 1,
        request_id: 2,
        validity,
        request: question,
    }));
    frames.extend(responses().into_iter().map(|reply| Frame::PeerResponse {
        request_id: 2,
        clock_ms: 3,
        response: reply,
    }));
    frames.extend([
        Frame::Routers {
            from: 1,
            routers: vec![front(), front()],
        },
        Frame::Join(member(9)),
        Frame::Joined {
            admitted: true,
            text: "in".into(),
        },
        Frame::Joined {
            admitted: false,
            text: "out".into(),
        },
        Frame::Introduce(member(9)),
    ]);
    frames
}

/// A router's session with a directory node, with what it looks up there.
pub fn router_session() -> Vec<Frame> {
    let none = LookupResponse::NotFound {
        code: name("no-place"),
        text: name("nowhere"),
    };
    let mut frames = vec![
        Frame::Heartbeat {
            router: front(),
            demand: demand(),
        },
        Frame::Lease {
            heartbeat: 4,
            epoch: 9,
            grants: vec![share()],
        },
        Frame::Snapshot {
            epoch: 9,
            events: events(),
        },
        Frame::Change {
            base_epoch: 8,
            epoch: 9,
            events: events(),
        },
        Frame::RegistryUpdate(RegistryUpdate {
            is_full: true,
            routers: vec![front()],
            removed_routers: vec![name("edge-2")],
            directory_nodes: vec![member(1)],
        }),
        Frame::LookupRequest {
            request_id: 3,
            tenant: "ana".into(),
            service: "writer".into(),
            region: "north".into(),
        },
    ];
    let answers = [
        LookupResponse::Found(mapping()),
        none,
        LookupResponse::Unavailable,
    ];
    frames.extend(answers.map(|answer| Frame::LookupResponse {
        request_id: 2,
        response: answer,
    }));
    frames
}

/// One request on its way through a directory node.
pub fn forwarding() -> Vec<Frame> {
    let header = Header {
        name: "x-model".into(),
        value: b"writer".to_vec(),
    };
    let declined = |not_run| Frame::Rejected {
        status: 503,
        code: "engines-full".into(),
        text: "full".into(),
        not_run,
        retry_after_ms: 50,
    };
    vec![
        Frame::RequestHead(ForwardedRequest {
            id: "j-1".into(),
            method: "POST".into(),
            target: "/app/write".into(),
            headers: vec![header.clone()],
            client_region: "north".into(),
            epoch: 9,
            remaining_ms: 500,
            is_quota_charged: true,
        }),
        Frame::RequestBody(b"{\"prompt\":\"x\"}".to_vec()),
        Frame::RequestEnd,
        Frame::Ready,
        Frame::Continue,
        Frame::Mapping(mapping()),
        Frame::ResponseHead {
            status: 200,
            headers: vec![header],
        },
        Frame::ResponseBody(vec![1; 40]),
        Frame::ResponseEnd,
        declined(true),
        declined(false),
    ]
}

/// Routers among themselves.
pub fn cache_sharing() -> Vec<Frame> {
    vec![
        Frame::CacheLookup {
            request_id: 1,
            key: "ana/writer".into(),
            epoch: 9,
        },
        Frame::CacheResult {
            request_id: 1,
            mapping: vec![mapping()],
        },
        Frame::CacheResult {
            request_id: 1,
            mapping: vec![],
        },
        Frame::CacheStore(mapping()),
        Frame::LoadGossip {
            from: "edge-1".into(),
            is_relayed: false,
            loads: vec![EngineLoad {
                engine: "i-1".into(),
                requests: 3,
                prefill_tokens: 99,
            }],
            cached_prefixes: vec![CachedPrefix {
                engine: "i-1".into(),
                prefix_hash: 77,
            }],
        },
    ]
}

/// One frame of each kind at least.
pub fn frames() -> Vec<Frame> {
    [
        handshake(),
        peers(),
        router_session(),
        forwarding(),
        cache_sharing(),
    ]
    .concat()
}

/// Reads bytes as a frame. What reads is the same frame again when it was written;
/// what does not is refused in words; and neither takes more memory than its length
/// allows.
fn read(bytes: &[u8]) {
    let (frame, most) = peak(|| decode(bytes));
    assert!(
        most <= allowance(bytes.len()),
        "{most} bytes of memory for {} read",
        bytes.len()
    );
    match frame {
        Ok(frame) => assert_eq!(decode(&encode(&frame)[4..]).as_ref(), Ok(&frame)),
        Err(error) => assert!(!error.to_string().is_empty()),
    }
}

#[test]
fn every_frame_reads_back_and_no_part_of_it_does() {
    for frame in frames() {
        let bytes = encode(&frame);
        let length = u32::from_be_bytes(bytes[..4].try_into().expect("four bytes"));
        assert_eq!(length as usize, bytes.len() - 4, "{frame:?}");
        assert_eq!(decode(&bytes[4..]).as_ref(), Ok(&frame));
        for cut in 4..bytes.len() {
            assert!(decode(&bytes[4..cut]).is_err(), "{cut} bytes of {frame:?}");
        }
        let longer = [&bytes[4..], &[0]].concat();
        assert!(decode(&longer).is_err(), "{frame:?} and one byte more");
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    #[test]
    fn changed_frames_are_read_or_refused(which in any::<Index>(), edits in edits()) {
        let all = frames();
        read(&edited(&encode(&all[which.index(all.len())])[4..], &edits));
    }

    #[test]
    fn any_bytes_are_read_or_refused(
        first in 0u8..60,
        rest in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        read(&[&[first], &rest[..]].concat());
    }
}
