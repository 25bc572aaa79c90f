//! Probes of the directory nodes while no lease comes. Where they show that this router is
//! cut off from a majority of them, the router goes on past its lease for a while.

use crate::router::Router;
use parking_lot::Mutex;
use placement::PartitionDetector;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use transport::{link, now};

/// How often it is looked whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Probes begin this long before the lease ends, so that the first have failed when its
/// grace is over.
const BEFORE_END_MS: u64 = 1_100;
/// How long a probe waits for a connection. Invariant: longer than a connection takes over
/// a link whose queue is full, which is no partition.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The probes of one router.
#[derive(Default)]
struct Probes {
    detector: PartitionDetector,
    in_flight: HashSet<String>,
}

/// Probes for the life of the process.
pub async fn run(router: Arc<Router>) {
    let probes: Arc<Mutex<Probes>> = Arc::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let until_ms = router.lease.until_ms();
        if until_ms == 0 || now() + BEFORE_END_MS < until_ms {
            continue;
        }
        let nodes = directory_nodes(&router);
        for (name, address) in &nodes {
            if probes.lock().in_flight.insert(name.clone()) {
                let (router, probes) = (Arc::clone(&router), Arc::clone(&probes));
                let (name, address) = (name.clone(), *address);
                tokio::spawn(async move { probe(&router, &probes, name, address).await });
            }
        }
        let names = nodes.iter().map(|(name, _)| name.as_str());
        let cut_off_until_ms = probes.lock().detector.cut_off_until_ms(now(), names);
        router.lease.set_cut_off_until(cut_off_until_ms);
    }
}

fn directory_nodes(router: &Router) -> Vec<(String, SocketAddr)> {
    let membership = router.membership.read();
    let directories = membership.directories().iter();
    directories
        .filter_map(|member| Some((member.address.clone(), member.address.parse().ok()?)))
        .collect()
}

async fn probe(router: &Router, probes: &Mutex<Probes>, name: String, address: SocketAddr) {
    let source = router.settings.peer_listen_address;
    let connected = link::connect_within(PROBE_TIMEOUT, source, address).await;
    let mut probes = probes.lock();
    match connected {
        Err(error) if is_silence(&error) => probes.detector.record_unreachable(now(), &name),
        _ => probes.detector.record_reachable(&name),
    }
    probes.in_flight.remove(&name);
}

/// Whether nothing came from the other machine; a refusal did.
fn is_silence(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
