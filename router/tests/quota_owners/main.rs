//! Admission by quota in a fleet so large that one router of each region owns a tenant's lease.
//! The tests play the directory node and the other routers.

mod fleet;

use fleet::{
    status, Answer, Node, Peers, ADMITTED_CODE, OTHER_REGION, OWN_REGION, TENANT, TENANT_KEY,
};
use protocol::{ConnectionKind, Frame, QuotaDecision};
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use transport::link;

const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);
const ROUTER: &str = "north-self";

fn own_address(test: u8, port: u16) -> SocketAddr {
    let process = std::process::id();
    let ip = [
        127,
        200 + test,
        (process / 250 % 250) as u8,
        (process % 250) as u8 + 1,
    ];
    SocketAddr::from((ip, port))
}

/// Starts a router at addresses of the test's own.
fn start_router(test: u8, node: &Node) {
    let at = |port| own_address(test, port);
    let settings = router::Settings {
        name: ROUTER.into(),
        region: OWN_REGION.into(),
        zone: format!("{OWN_REGION}-a"),
        ingress_address: at(7_000),
        peer_address: at(7_001),
        peer_listen_address: at(7_001),
        operator_address: at(7_002),
        body_head_timeout: Duration::from_secs(5),
        quota_wait: Duration::from_secs(1),
        max_requests: 100,
        client_limits: placement::ClientLimits::of_process(1_000_000_000, 16_384),
        seeds: vec![node.address],
        body_limit_bytes: 1 << 20,
        local_cache_entries: 16,
        regional_cache_entries: 16,
        drain_plan: placement::DrainPlan {
            accept_all_ms: 0,
            end_by_ms: 0,
        },
        drain_period: Duration::ZERO,
        shutdown_grace: Duration::ZERO,
        slot_wait_ms: 0,
        buffered_body_bytes: 0,
        resolves_by_key_only: true,
        lease_grace: placement::LeaseGrace::default(),
        heartbeat_interval_ms: 100,
    };
    let extensions = router::Extensions {
        quota_margin: Some(placement::QuotaTolerance {
            overrun_factor: 1.0,
            extra_requests: 0.0,
            window_ms: 5_000,
        }),
        ..router::Extensions::default()
    };
    tokio::spawn(async move {
        router::run(settings, extensions).await.expect("it runs");
    });
}

/// The status and code of the answer to a request of the tenant; `None` while the router does
/// not serve yet.
async fn request(test: u8) -> Option<(u16, String)> {
    let authorization = format!("Bearer {TENANT_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-model", "swap"),
    ];
    let router = own_address(test, 7_000);
    let target = "/ward/swap";
    let sent =
        transport::http_client::send_request(router, "POST", target, &headers, vec![], PATIENCE);
    let (status, mut body) = sent.await.ok()?;
    let body = simd_json::to_owned_value(&mut body).expect("a rejection is JSON");
    let code = body["code"].as_str().expect("it has a code").to_string();
    let is_starting = ["starting", "no-lease"].contains(&code.as_str());
    (!is_starting).then_some((status, code))
}

/// The same, once the router serves.
async fn request_when_up(test: u8) -> (u16, String) {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(answer) = request(test).await {
            return answer;
        }
        assert!(Instant::now() < until, "the router does not serve");
        tokio::time::sleep(POLL).await;
    }
}

/// A router among peers that answer so, in its own region and in the other one.
async fn start_fleet(test: u8, own: Answer, other: Answer) -> [Arc<Peers>; 2] {
    let regional = Peers::start(own).await;
    let remote = Peers::start(other).await;
    let mut routers = regional.statuses(OWN_REGION);
    routers.extend(remote.statuses(OTHER_REGION));
    let node = Node::start(routers).await;
    start_router(test, &node);
    [regional, remote]
}

/// Guards: requests within a tenant's quota are refused in a large fleet, where each router's
/// own part of it is no whole request. The owner of the region decides.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_owner_of_the_region_decides() {
    let own = Answer::Decide(QuotaDecision::Admitted);
    let [regional, remote] = start_fleet(0, own, Answer::Silence).await;
    assert_eq!(request_when_up(0).await, (403, ADMITTED_CODE.into()));
    *regional.answer.lock() = Answer::Decide(QuotaDecision::OverQuota);
    assert_eq!(request_when_up(0).await, (429, "quota".into()));
    assert_eq!((regional.asked(), remote.asked()), (2, 0));
}

/// Guards: requests are refused where the owner is frozen, has ended, or has no lease yet. The
/// owner of another region decides then, each request asks anew, and without any owner the
/// request is not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_owner_of_another_region_decides_in_its_place() {
    let no_lease = Answer::Decide(QuotaDecision::NoLease);
    let admitted = Answer::Decide(QuotaDecision::Admitted);
    let [regional, remote] = start_fleet(1, no_lease, admitted).await;
    for own in [no_lease, Answer::Silence, Answer::Close] {
        *regional.answer.lock() = own;
        let asked = (regional.asked(), remote.asked());
        let answer = request_when_up(1).await;
        assert_eq!(answer, (403, ADMITTED_CODE.into()), "{own:?}");
        assert_eq!(
            (regional.asked(), remote.asked()),
            (asked.0 + 1, asked.1 + 1)
        );
    }
    *remote.answer.lock() = no_lease;
    assert_eq!(request_when_up(1).await, (503, "no-leader".into()));
}

/// Guards: an owner without requests has no lease when the first one comes. It asks for the
/// leases that it owns with every heartbeat, and decides for other routers by them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_leases_before_the_first_request() {
    let remote = Peers::start(Answer::Silence).await;
    let mut routers = remote.statuses(OTHER_REGION);
    routers.push(status(ROUTER, OWN_REGION, own_address(2, 7_001)));
    let node = Node::start(routers).await;
    start_router(2, &node);
    let mut demanded = node.demanded.subscribe();
    let is_demanded = |tenants: &Vec<String>| tenants == &[TENANT];
    let waiting = tokio::time::timeout(PATIENCE, demanded.wait_for(is_demanded));
    drop(waiting.await.expect("it asks for a lease"));

    let source = SocketAddr::from(([127, 0, 0, 1], 0));
    let kind = ConnectionKind::CacheSharing;
    let mut stream = link::dial(source, own_address(2, 7_001), kind, "peer")
        .await
        .expect("it listens");
    let until = Instant::now() + PATIENCE;
    let mut decisions = Vec::new();
    for request_id in 0.. {
        let tenant = TENANT.to_string();
        let asked = Frame::QuotaRequest { request_id, tenant };
        link::send(&mut stream, &asked).await.expect("it reads");
        let answer = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await;
        let Ok(Some(Frame::QuotaResponse { decision, .. })) = answer else {
            panic!("{answer:?}");
        };
        if decision == QuotaDecision::Admitted {
            break;
        }
        decisions.push(decision);
        assert!(Instant::now() < until, "{decisions:?}");
        tokio::time::sleep(POLL).await;
    }
    // Until the answer to its heartbeat has come it says that it has no lease.
    let is_waiting = |decision: &QuotaDecision| *decision == QuotaDecision::NoLease;
    assert!(decisions.iter().all(is_waiting), "{decisions:?}");
}
