//! The session with a directory node: heartbeats up; pictures, changes, leases
//! and company down; and the key-only questions.

use crate::Router;
use parking_lot::Mutex;
use placement::{ReplicaUpdate, ReplicaView};
use protocol::{ConnectionKind, Frame, LookupResponse, RouterStatus};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use transport::{link, now};

/// Beats out of turn keep at least this distance.
const URGENT_MS: u64 = 50;
/// Without a lease from a node for this long, the next one is tried.
const PATIENCE_MS: u64 = 900;

/// A question under way: the key that it is about, and who waits for the answer.
struct PendingLookup {
    key: String,
    waiter: oneshot::Sender<LookupResponse>,
}

/// Lookups under way, and the way out while there is a session. Invariant: a
/// number is used once in the life of this process, and an answer is handed on only
/// while its question waits, and only if it is about that question's key.
#[derive(Default)]
pub struct PendingLookups {
    open: Mutex<HashMap<u64, PendingLookup>>,
    out: Mutex<Option<(SocketAddr, mpsc::Sender<Frame>)>>,
    next: AtomicU64,
}

impl PendingLookups {
    /// The directory node of the session.
    pub fn node(&self) -> Option<String> {
        self.out
            .lock()
            .as_ref()
            .map(|(address, _)| address.to_string())
    }

    /// Asks for a key's mapping, by the key alone.
    pub async fn resolve(
        &self,
        tenant: &str,
        service: &str,
        region: &str,
        patience: Duration,
    ) -> LookupResponse {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (waiter, receiver) = oneshot::channel();
        let out = self.out.lock().as_ref().map(|(_, out)| out.clone());
        let Some(out) = out else {
            return LookupResponse::Unavailable;
        };
        let key = residency::routing_key(tenant, service);
        self.open
            .lock()
            .insert(number, PendingLookup { key, waiter });
        let frame = Frame::LookupRequest {
            request_id: number,
            tenant: tenant.into(),
            service: service.into(),
            region: region.into(),
        };
        if out.try_send(frame).is_err() {
            self.open.lock().remove(&number);
            return LookupResponse::Unavailable;
        }
        let answer = tokio::time::timeout(patience, receiver).await;
        self.open.lock().remove(&number);
        answer
            .ok()
            .and_then(|answer| answer.ok())
            .unwrap_or(LookupResponse::Unavailable)
    }

    /// Hands an answer to whoever waits for it. One that is late or surplus is passed
    /// over.
    ///
    /// # Errors
    /// The answer is about another key than its question: the node can't be relied on.
    fn complete(&self, number: u64, answer: LookupResponse) -> anyhow::Result<()> {
        let Some(question) = self.open.lock().remove(&number) else {
            return Ok(());
        };
        if let LookupResponse::Found(mapping) = &answer {
            anyhow::ensure!(
                mapping.routing_key() == question.key,
                "it answers for another key"
            );
        }
        // Whoever asked may have left meanwhile.
        drop(question.waiter.send(answer));
        Ok(())
    }
}

/// Where to find a directory node, the nearest first.
fn ways(router: &Router) -> Vec<SocketAddr> {
    let membership = router.membership.read();
    let mut ways: Vec<(u8, u32, SocketAddr)> = membership
        .directories()
        .iter()
        .filter_map(|member| {
            let far = match () {
                _ if member.zone == router.settings.zone => 0,
                _ if member.region == router.settings.region => 1,
                _ => 2,
            };
            Some((far, rand::random(), member.address.parse().ok()?))
        })
        .collect();
    ways.extend(
        router
            .settings
            .seeds
            .iter()
            .map(|seed| (3, rand::random(), *seed)),
    );
    ways.sort();
    let mut ways: Vec<SocketAddr> = ways.into_iter().map(|(_, _, address)| address).collect();
    let mut seen = Vec::new();
    ways.retain(|way| {
        !seen.contains(way) && {
            seen.push(*way);
            true
        }
    });
    ways
}

pub async fn run(router: Arc<Router>) {
    let mut replica_view = ReplicaView::default();
    loop {
        for way in ways(&router) {
            let had_lease = router.lease.load(Ordering::Relaxed);
            if let Err(error) = hold(&router, &mut replica_view, way).await {
                log::info!("session with {way} ended: {error:#}");
            }
            *router.pending_lookups.out.lock() = None;
            router.pending_lookups.open.lock().clear();
            // A session that served begins the search anew, the nearest first.
            if router.lease.load(Ordering::Relaxed) > had_lease {
                break;
            }
        }
        tokio::time::sleep(transport::jitter(100)).await;
    }
}

/// The next beat: in its time, or at once where a job waits for a share.
async fn tick(beat: &mut tokio::time::Interval, router: &Router, last: u64) {
    let urgent = async {
        router.quota.urgent.notified().await;
        let soonest = (last + URGENT_MS).saturating_sub(now());
        tokio::time::sleep(Duration::from_millis(soonest)).await;
    };
    tokio::select! {
        _ = beat.tick() => {}
        () = urgent => beat.reset(),
    }
}

async fn hold(
    router: &Arc<Router>,
    replica_view: &mut ReplicaView,
    way: SocketAddr,
) -> anyhow::Result<()> {
    let boot = &router.settings;
    replica_view.begin_session();
    let stream = link::dial(
        boot.peer_listen_address,
        way,
        ConnectionKind::RouterSession,
        &boot.name,
    )
    .await?;
    let (mut reader, mut writer) = stream.into_split();
    let (out, mut queue) = mpsc::channel(256);
    *router.pending_lookups.out.lock() = Some((way, out));
    router.metrics.increment("sessions");
    let (frames, mut incoming) = mpsc::channel(64);
    let reading = tokio::spawn(async move {
        loop {
            let frame = link::receive(&mut reader, protocol::MAX_FRAME_BYTES).await;
            let is_last = !matches!(frame, Ok(Some(_)));
            if frames.send(frame).await.is_err() || is_last {
                return;
            }
        }
    });
    let _reading = transport::AbortOnDrop(reading.abort_handle());
    let mut beat = tokio::time::interval(Duration::from_millis(boot.heartbeat_interval_ms));
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lease_valid = now();
    let mut last = 0;
    loop {
        tokio::select! {
            _ = tick(&mut beat, router, last) => {
                last = now();
                anyhow::ensure!(now() < lease_valid + PATIENCE_MS, "no lease comes from it");
                let number = router.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
                replica_view.record_heartbeat(now(), number);
                let front = RouterStatus {
                    name: boot.name.clone(),
                    region: boot.region.clone(),
                    zone: boot.zone.clone(),
                    client_address: boot.ingress_address.to_string(),
                    peer_address: boot.peer_address.to_string(),
                    epoch: router.view.borrow().epoch,
                    age_ms: 0,
                    is_draining: router.is_draining.load(Ordering::Relaxed),
                };
                let demand = router.quota.lease_demands(&boot.name, number);
                let frame = Frame::Heartbeat { router: front, demand };
                tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut writer, &frame)).await??;
            }
            frame = queue.recv() => {
                let Some(frame) = frame else { anyhow::bail!("the way out was closed") };
                tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut writer, &frame)).await??;
            }
            frame = incoming.recv() => {
                let frame = frame.unwrap_or(Ok(None))?;
                let Some(frame) = frame else { anyhow::bail!("it closed") };
                if let Frame::Lease { heartbeat: number, epoch, grants: shares } = &frame {
                    if let Some(until) = replica_view.renew_lease(*number, *epoch) {
                        lease_valid = now();
                        router.lease.store(replica_view.lease_expires_at(), Ordering::Relaxed);
                        router.quota.apply_shares(*number, until, shares);
                    }
                    continue;
                }
                take(router, replica_view, frame)?;
            }
        }
    }
}

fn take(router: &Arc<Router>, replica_view: &mut ReplicaView, frame: Frame) -> anyhow::Result<()> {
    match frame {
        Frame::Snapshot { epoch, events } => {
            let taken = replica_view
                .apply_snapshot(epoch, &events)
                .map_err(anyhow::Error::msg)?;
            if taken == ReplicaUpdate::Snapshot {
                router.cache_tiers.invalidate_all(epoch);
            }
            router.view.send_replace(Arc::clone(replica_view.view()));
            router.metrics.increment("pictures");
            log::info!(epoch = epoch; "a picture is in force");
        }
        Frame::Change {
            base_epoch: prior,
            epoch,
            events,
        } => {
            replica_view
                .apply_events(prior, epoch, &events)
                .map_err(anyhow::Error::msg)?;
            // The caches first: whoever sees the new view finds nothing void.
            router.cache_tiers.invalidate(epoch, &events);
            router.view.send_replace(Arc::clone(replica_view.view()));
            router.metrics.increment("changes");
            log::info!(epoch = epoch; "in force");
        }
        Frame::RegistryUpdate(news) => router.membership.write().take(&router.settings.name, &news),
        Frame::LookupResponse {
            request_id: number,
            response: answer,
        } => router.pending_lookups.complete(number, answer)?,
        Frame::Refused { text } => anyhow::bail!("it refuses: {text}"),
        other => anyhow::bail!("an unexpected frame: {other:?}"),
    }
    Ok(())
}
