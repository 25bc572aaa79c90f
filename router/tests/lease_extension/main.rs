//! How a router goes on while no directory node renews its lease. The test plays the
//! directory nodes. Nothing here judges how long something took: that a router went on
//! for long is shown by how often it asked meanwhile.

mod nodes;

use nodes::{Behaviour, Node, EPOCH, WELL};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);
/// Longer than any test: whatever ends the lease, it is not this bound.
const EXTENSION_MS: u64 = 3_600_000;
/// A router that asked so often without a lease is past its end.
const QUERIES_PAST_THE_LEASE: u64 = 20;

/// A node that renews no lease, though it is well.
const LEADERLESS: Behaviour = Behaviour {
    grants_leases: false,
    ..WELL
};

/// A router, and the directory nodes that it knows.
struct Site {
    nodes: Vec<Arc<Node>>,
    router: SocketAddr,
}

impl Site {
    /// Starts a router; returns once it has a lease and a connection to each node.
    async fn start(test: u8, extension_ms: u64) -> Site {
        let nodes = nodes::start(3);
        let router = start_router(test, &nodes, extension_ms).await;
        let site = Site { nodes, router };
        site.wait_for(true).await;
        for node in &site.nodes {
            node.queried(1).await;
        }
        site
    }

    fn all_behave(&self, behaviour: Behaviour) {
        for node in &self.nodes {
            node.behave(behaviour);
        }
    }

    /// Whether the router accepts work: with a lease it looks for the route, which nothing
    /// has.
    async fn accepts_work(&self) -> bool {
        let target = "/none";
        let asked =
            transport::http_client::send_request(self.router, "GET", target, &[], vec![], PATIENCE);
        match asked.await {
            Ok((404, _)) => true,
            Ok((503, body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                assert!(
                    text.contains("no-lease") || text.contains("starting"),
                    "{text}"
                );
                false
            }
            Ok((status, _)) => panic!("{status}"),
            // It does not listen yet.
            Err(_) => false,
        }
    }

    async fn wait_for(&self, accepts_work: bool) {
        let until = Instant::now() + PATIENCE;
        while self.accepts_work().await != accepts_work {
            assert!(Instant::now() < until, "never: accepts work {accepts_work}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// The router accepts work until it has asked a node so often.
    async fn goes_on_past_the_lease(&self, asked: &Node) {
        let mut queried = std::pin::pin!(asked.queried(QUERIES_PAST_THE_LEASE));
        loop {
            tokio::select! {
                () = &mut queried => return,
                accepts_work = self.accepts_work() => assert!(accepts_work),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// The router refuses work until it has asked a node so often.
    async fn refuses_for_many_queries(&self, asked: &Node) {
        let mut queried = std::pin::pin!(asked.queried(QUERIES_PAST_THE_LEASE));
        loop {
            tokio::select! {
                () = &mut queried => return,
                accepts_work = self.accepts_work() => assert!(!accepts_work),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn start_router(test: u8, nodes: &[Arc<Node>], extension_ms: u64) -> SocketAddr {
    let process = std::process::id();
    let ip = [
        127,
        192 + test,
        (process / 250 % 250) as u8,
        (process % 250) as u8 + 1,
    ];
    let at = |port: u16| SocketAddr::from((ip, port));
    let settings = router::Settings {
        name: "edge-1".into(),
        region: "north".into(),
        zone: "north-a".into(),
        ingress_address: at(7_000),
        peer_address: at(7_001),
        peer_listen_address: at(7_001),
        operator_address: at(7_002),
        body_head_timeout: Duration::from_secs(5),
        quota_wait: Duration::from_secs(1),
        max_requests: 100,
        client_limits: placement::ClientLimits::of_process(1_000_000_000, 16_384),
        seeds: nodes.iter().map(|node| node.address).collect(),
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
        lease_grace: placement::LeaseGrace {
            unconditional_ms: 800,
            partition_ms: extension_ms,
        },
        heartbeat_interval_ms: 100,
    };
    let ingress_address = settings.ingress_address;
    tokio::spawn(async move {
        let extensions = router::Extensions::default();
        router::run(settings, extensions).await.expect("it runs");
    });
    ingress_address
}

/// Guards: while no node leads, a router goes on by the word of a majority that has no
/// newer change, and refuses as soon as there may be one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_goes_on_by_the_word_of_a_majority() {
    let site = Site::start(0, EXTENSION_MS).await;
    site.all_behave(LEADERLESS);
    site.goes_on_past_the_lease(&site.nodes[0]).await;
    // A change that two of three may have acknowledged.
    let newer = Behaviour {
        newest_change: EPOCH + 1,
        ..LEADERLESS
    };
    site.nodes[0].behave(newer);
    site.goes_on_past_the_lease(&site.nodes[0]).await;
    site.nodes[1].behave(newer);
    site.wait_for(false).await;
    site.all_behave(WELL);
    site.wait_for(true).await;
}

/// Guards: nodes that drop new connections without a word, as overloaded ones do, are not
/// taken for unreachable while they answer on the connections that they have. A change is
/// acknowledged meanwhile; the router that does not get it refuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_accept_no_connections_are_not_taken_for_unreachable() {
    let site = Site::start(1, EXTENSION_MS).await;
    site.all_behave(Behaviour {
        grants_leases: false,
        accepts: false,
        newest_change: EPOCH + 1,
        ..WELL
    });
    let mut queued = Vec::new();
    for node in &site.nodes {
        queued.extend(node.fill_backlog().await);
    }
    assert!(!queued.is_empty());
    site.wait_for(false).await;
    for _ in 0..20 {
        assert!(!site.accepts_work().await);
        site.nodes[0].queried(1).await;
    }
    drop(queued);
    site.all_behave(WELL);
    site.wait_for(true).await;
}

/// Guards: a router that is cut off from a majority goes on; it refuses as soon as enough
/// nodes answer again and don't renew its lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_goes_on_while_a_majority_is_cut_off() {
    let site = Site::start(2, EXTENSION_MS).await;
    site.all_behave(Behaviour {
        newest_change: EPOCH + 1,
        ..LEADERLESS
    });
    site.nodes[1].cut_off();
    site.nodes[2].cut_off();
    site.goes_on_past_the_lease(&site.nodes[0]).await;
    site.nodes[2].reconnect();
    site.wait_for(false).await;
}

/// Guards: nodes that are overloaded, whose machines acknowledge queries that nobody answers,
/// were taken for a partition, and the router went on by an old view.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_refuses_while_a_majority_is_silent_on_connections_that_stand() {
    let site = Site::start(5, EXTENSION_MS).await;
    site.all_behave(Behaviour {
        answers_queries: false,
        ..LEADERLESS
    });
    site.wait_for(false).await;
    site.refuses_for_many_queries(&site.nodes[0]).await;
}

/// Guards: a machine whose queue of new connections overflows lets a connection come up and
/// acknowledges nothing on it. Only one on which the node has answered shows a partition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_nobody_ever_answered_shows_no_partition() {
    let site = Site::start(6, EXTENSION_MS).await;
    site.all_behave(Behaviour {
        answers_queries: false,
        ..LEADERLESS
    });
    for node in &site.nodes[1..] {
        node.kill().await;
        node.restart();
        node.queried(1).await;
        node.cut_off();
    }
    site.wait_for(false).await;
    site.refuses_for_many_queries(&site.nodes[0]).await;
}

/// Guards: the same where the machines refuse connections, since no process runs there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_goes_on_while_a_majority_does_not_run() {
    let site = Site::start(3, EXTENSION_MS).await;
    let newer = Behaviour {
        newest_change: EPOCH + 1,
        ..LEADERLESS
    };
    site.all_behave(newer);
    site.nodes[1].kill().await;
    site.nodes[2].kill().await;
    site.goes_on_past_the_lease(&site.nodes[0]).await;
    site.nodes[1].restart();
    site.wait_for(false).await;
    site.all_behave(WELL);
    site.wait_for(true).await;
}

/// Guards: without the setting a router refuses when its lease and its grace have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn by_default_a_router_refuses_when_its_lease_has_ended() {
    let nodes = nodes::start(3);
    let router = start_router(4, &nodes, 0).await;
    let site = Site { nodes, router };
    site.wait_for(true).await;
    site.all_behave(LEADERLESS);
    site.wait_for(false).await;
}
