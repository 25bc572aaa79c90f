//! A simulated router's sessions with directory nodes: heartbeats out, leases and changes
//! in.

use super::router::{admit_requests, clock, Settings, SimulatedRouter};
use anyhow::{bail, ensure};
use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use transport::{link, now};

const HEARTBEAT_MS: u64 = 350;
/// Without a lease from a node for this long, the next one is tried.
const LEASE_TIMEOUT_MS: u64 = 900;

/// Holds one session until it fails, or all are to reconnect.
async fn run_session(
    router: &Mutex<SimulatedRouter>,
    settings: &Settings,
    address: SocketAddr,
    reconnect: &mut watch::Receiver<u64>,
) -> anyhow::Result<()> {
    let (source, name) = {
        let mut router = router.lock();
        router.replica.begin_session();
        router.sessions += 1;
        (router.source, router.name.clone())
    };
    let stream = link::dial(source, address, ConnectionKind::RouterSession, &name).await?;
    let (mut reader, mut writer) = stream.into_split();
    let subscribe = router.lock().subscribe_frame();
    link::send(&mut writer, &subscribe).await?;
    let beating = async {
        let mut beat = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let begun = clock();
        loop {
            beat.tick().await;
            let frame = {
                let mut router = router.lock();
                let heard = router.lease_valid.max(begun);
                ensure!(
                    clock() < heard + LEASE_TIMEOUT_MS as f64,
                    "no lease comes from it"
                );
                router.heartbeats += 1;
                let number = router.heartbeats;
                router.replica.record_heartbeat(now(), number);
                let demand = router.quota.lease_demands(&name, number);
                Frame::Heartbeat {
                    router: router.status(),
                    demand,
                }
            };
            tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut writer, &frame))
                .await??;
            admit_requests(&mut router.lock(), settings.tenants_per_router);
        }
        #[allow(unreachable_code)]
        anyhow::Ok(())
    };
    let reading = async {
        while let Some(frame) = link::receive(&mut reader, protocol::MAX_FRAME_BYTES).await? {
            router.lock().handle_frame(frame)?;
        }
        bail!("it closed")
    };
    tokio::select! {
        done = beating => done,
        done = reading => done,
        _ = reconnect.changed() => Ok(()),
    }
}

/// Holds one session after the other, each with the nearest directory node that serves.
pub(super) async fn run_router(
    router: Arc<Mutex<SimulatedRouter>>,
    settings: Arc<Settings>,
    mut reconnect: watch::Receiver<u64>,
) {
    // Not all at the same moment of the heartbeat period.
    tokio::time::sleep(Duration::from_millis(rand::random_range(0..HEARTBEAT_MS))).await;
    loop {
        let addresses = router.lock().directory_addresses(&settings);
        for address in addresses {
            let before = router.lock().leases;
            // However it ended, the next address is tried.
            drop(run_session(&router, &settings, address, &mut reconnect).await);
            // A session that served begins the search anew, the nearest first.
            if router.lock().leases > before {
                break;
            }
        }
        tokio::time::sleep(transport::jitter(100)).await;
    }
}
