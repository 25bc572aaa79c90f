//! A leader that is behind with its work: leases come before quotas.

use crate::common::{Nodes, PATIENCE};
use consensus::Member;
use directory::ControlPlane;
use protocol::{
    ConnectionKind, Frame, PeerRequest, PeerResponse, QuotaDemand, RouterDemand, RouterGrants,
    Validity, MAX_FRAME_BYTES,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use transport::link;

/// A deadline by the leader's clock of a request that was sent long ago: the clock begins at an
/// hour.
const DEADLINE_LONG_PAST_MS: u64 = 10_000;
/// What a node states that does not know the leader's clock.
const DEADLINE_UNKNOWN: u64 = 0;

/// The request without a deadline that is sent first.
const FIRST_REQUEST: u64 = 1;

/// A node that is no member and asks the leader for read indexes.
struct Asker {
    member: Member,
    requests: TcpStream,
    responses: TcpStream,
}

impl Asker {
    /// Introduces itself to the leader, which connects for the response to `FIRST_REQUEST`.
    async fn start(leader: &ControlPlane) -> Asker {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(local).await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let member = Member {
            identity: 77,
            name: "asker".into(),
            region: "north".into(),
            zone: "n-a".into(),
            address: address.to_string(),
            operator_address: address.to_string(),
        };
        let to = leader.member.address.parse().expect("an address");
        let dialled = link::dial(local, to, ConnectionKind::Peer, "asker").await;
        let mut requests = dialled.expect("it listens");
        let introduction = Frame::Introduce(member.clone());
        let sent = link::send(&mut requests, &introduction).await;
        sent.expect("it is open");
        let first = read_index(leader, &member, FIRST_REQUEST, DEADLINE_UNKNOWN);
        link::send(&mut requests, &first).await.expect("it is open");
        let (mut responses, _) = tokio::time::timeout(PATIENCE, listener.accept())
            .await
            .expect("in time")
            .expect("it connects");
        let hello = link::accept_handshake(&mut responses).await;
        hello.expect("a peer");
        Asker {
            member,
            requests,
            responses,
        }
    }

    async fn ask(&mut self, leader: &ControlPlane, request_id: u64, deadline_ms: u64) {
        let frame = read_index(leader, &self.member, request_id, deadline_ms);
        let sent = link::send(&mut self.requests, &frame).await;
        sent.expect("it is open");
    }

    /// The grants of the read index that a request gets.
    async fn grants(&mut self, of_request: u64) -> Vec<RouterGrants> {
        loop {
            let frame = link::receive(&mut self.responses, MAX_FRAME_BYTES);
            let frame = tokio::time::timeout(PATIENCE, frame).await;
            match frame.expect("in time").expect("a frame") {
                Some(Frame::PeerResponse {
                    request_id,
                    response,
                    ..
                }) if request_id == of_request => match response {
                    PeerResponse::ReadIndex { grants, .. } => return grants,
                    other => panic!("{other:?}"),
                },
                Some(_) => {}
                None => panic!("the leader closed the connection"),
            }
        }
    }
}

fn read_index(leader: &ControlPlane, from: &Member, request_id: u64, deadline_ms: u64) -> Frame {
    Frame::PeerRequest {
        from: from.identity,
        request_id,
        validity: Validity {
            term: leader.leader_term().expect("it leads"),
            deadline_ms,
        },
        request: PeerRequest::ReadIndex {
            demands: vec![demand()],
        },
    }
}

fn demand() -> RouterDemand {
    RouterDemand {
        router: "r1".into(),
        incarnation: 1,
        heartbeat: 5,
        incarnation_age_ms: 90_000,
        demands: vec![QuotaDemand {
            tenant: "ana".into(),
            admitted: 0,
            limit: 0,
            grant_floor: 0,
            queued: 0,
            wanted: 1,
            recently_admitted: Default::default(),
        }],
    }
}

/// Guards: leases and confirmed reads that come too late because the leader weighs demands for
/// quota whose asker gave up waiting. The read index is confirmed all the same.
#[tokio::test]
async fn a_read_index_that_waited_long_is_confirmed_without_grants() {
    let nodes = Nodes::start(24).await;
    let (leader, _) = nodes.roles().await;
    let mut asker = Asker::start(&leader).await;
    let granted = asker.grants(FIRST_REQUEST).await;
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].router, demand().router);
    assert_eq!(leader.metrics.get("quota_demands_shed"), 0);

    asker.ask(&leader, 2, DEADLINE_LONG_PAST_MS).await;
    assert_eq!(asker.grants(2).await, Vec::new());
    assert_eq!(leader.metrics.get("quota_demands_shed"), 1);
}

/// Guards: a request that is lost between two batches of commands, of which each takes a few
/// hundred at the most.
#[tokio::test]
async fn each_of_many_reads_that_come_at_once_is_confirmed() {
    const READS: usize = 1_500;
    let nodes = Nodes::start(25).await;
    let (leader, _) = nodes.roles().await;
    let mut reads = JoinSet::new();
    for _ in 0..READS {
        let leader = Arc::clone(&leader);
        reads.spawn(async move { leader.read_barrier().await });
    }
    let confirmed = tokio::time::timeout(PATIENCE, reads.join_all()).await;
    let confirmed = confirmed.expect("in time");
    let lost = confirmed.iter().filter(|is_confirmed| !**is_confirmed);
    assert_eq!(lost.count(), 0);
}
