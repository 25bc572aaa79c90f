//! One frame of each kind at least, by conversation.

use super::{commands, events, mapping, member, membership, name};
use consensus::quorum_read::LogReport;
use consensus::{Entry, EntryPayload, Message, MessageBody, Snapshot};
use protocol::*;
use residency::{Command, Outcome, Proposal};

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

fn router_status() -> RouterStatus {
    RouterStatus {
        name: "edge-1".into(),
        region: "north".into(),
        zone: "north-a".into(),
        client_address: "10.0.0.3:8689".into(),
        peer_address: "10.0.0.3:7362".into(),
        epoch: 9,
        age_ms: 5,
        availability: RouterAvailability::Ready,
    }
}

fn quota_grant() -> QuotaGrant {
    QuotaGrant {
        tenant: "ana".into(),
        limit: 9,
        queue_wait_ms: 3,
    }
}

fn router_demand() -> RouterDemand {
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

/// How a connection begins, and how it is refused.
pub fn handshake(version: u16) -> Vec<Frame> {
    let kinds = [
        ConnectionKind::Peer,
        ConnectionKind::RouterSession,
        ConnectionKind::Forwarding,
        ConnectionKind::CacheSharing,
    ];
    let hello = |kind| Frame::Hello {
        version,
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
                demands: vec![router_demand()],
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
        grants: vec![quota_grant(), quota_grant()],
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
    frames.extend(requests().into_iter().map(|request| Frame::PeerRequest {
        from: 1,
        request_id: 2,
        validity,
        request,
    }));
    frames.extend(responses().into_iter().map(|response| Frame::PeerResponse {
        request_id: 2,
        clock_ms: 3,
        response,
    }));
    frames.extend([
        Frame::Routers {
            from: 1,
            routers: vec![router_status(), router_status()],
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
            router: router_status(),
            demand: router_demand(),
        },
        Frame::Lease {
            heartbeat: 4,
            epoch: 9,
            grants: vec![quota_grant()],
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
            routers: vec![router_status()],
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
    let responses = [
        LookupResponse::Found(mapping()),
        none,
        LookupResponse::Unavailable,
    ];
    frames.extend(responses.map(|response| Frame::LookupResponse {
        request_id: 2,
        response,
    }));
    frames
}

/// The beginning of a router's session, since version 10.
pub fn subscription() -> Vec<Frame> {
    vec![
        Frame::Subscribe {
            cluster: 77,
            epoch: 9,
        },
        Frame::Subscribed { cluster: 77 },
    ]
}

/// A router's questions for a node's log, since version 10.
pub fn state_watch() -> Vec<Frame> {
    let log = LogReport {
        identity: 5,
        cluster: 77,
        newest_change: 9,
        voters: vec![5, 6, 7],
    };
    vec![
        Frame::Hello {
            version: protocol::VERSION,
            kind: ConnectionKind::StateWatch,
            name: "edge-1".into(),
        },
        Frame::StateQuery { number: 3 },
        Frame::StateReport(StateReport { number: 3, log }),
    ]
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
            scope: LoadScope::Router,
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

/// Routers among themselves, kinds that the recorded build did not have.
pub fn router_peers() -> Vec<Frame> {
    let decisions = [
        QuotaDecision::Admitted,
        QuotaDecision::OverQuota,
        QuotaDecision::NoLease,
    ];
    let scopes = [
        LoadScope::RelayedRouter,
        LoadScope::Report,
        LoadScope::Group,
        LoadScope::RelayedGroup,
        LoadScope::Fleet,
    ];
    let mut frames = vec![Frame::QuotaRequest {
        request_id: 4,
        tenant: "ana".into(),
    }];
    frames.extend(decisions.map(|decision| Frame::QuotaResponse {
        request_id: 4,
        decision,
    }));
    frames.extend(scopes.map(|scope| Frame::LoadGossip {
        from: "edge-1".into(),
        scope,
        loads: vec![EngineLoad {
            engine: "i-1".into(),
            requests: 3,
            prefill_tokens: 99,
        }],
        cached_prefixes: vec![CachedPrefix {
            engine: "i-1".into(),
            prefix_hash: 77,
        }],
    }));
    frames
}

/// One frame of each kind at least.
pub fn frames() -> Vec<Frame> {
    [
        handshake(protocol::VERSION),
        peers(),
        router_session(),
        subscription(),
        state_watch(),
        forwarding(),
        cache_sharing(),
        router_peers(),
    ]
    .concat()
}
