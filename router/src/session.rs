//! The session with a directory node: heartbeats with quota demands go up;
//! snapshots, changes, leases, membership updates and resolved keys come down.
//!
//! One session at a time, with the nearest node that serves. A node that renews no
//! lease for [`LEASE_TIMEOUT_MS`] is left for the next one.

use crate::conversation_error::ConversationError;
use crate::quota_admission;
use crate::router::Router;
use crate::session_reader::SessionReader;
use placement::{ReplicaPosition, ReplicaUpdate, ReplicaView};
use protocol::{ConnectionKind, Frame, QuotaGrant, RouterStatus};
use residency::Epoch;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use transport::{link, now};

/// Heartbeats out of turn keep at least this distance.
const MIN_HEARTBEAT_DISTANCE_MS: u64 = 50;
/// Without a lease from a node for this long, the next one is tried. A long frame that
/// still comes in counts like one: a snapshot that is given up halfway is sent again by the
/// next node, and if all routers do so, none ever gets one whole.
const LEASE_TIMEOUT_MS: u64 = 900;
/// Outgoing lookups that wait for the connection; more are refused.
const OUTGOING_FRAMES: usize = 256;
/// The pause between two passes over all nodes, before jitter.
const RECONNECT_PAUSE_MS: u64 = 100;

/// What outlives a single session.
#[derive(Default)]
struct SessionState {
    replica: ReplicaView,
    /// The number of the latest heartbeat, over all sessions.
    last_heartbeat: u64,
}

/// Holds a session for the life of the process, with one node after another.
pub async fn run(router: Arc<Router>) {
    let mut state = SessionState::default();
    loop {
        for node in candidates(&router) {
            let lease_before_ms = router.lease.until_ms();
            if let Err(error) = follow(&router, &mut state, node).await {
                log::info!(directory = node.to_string(); "the session ended: {error}");
            }
            router.pending_lookups.disconnect();
            // A session that served begins the search anew, the nearest first.
            if router.lease.until_ms() > lease_before_ms {
                break;
            }
        }
        tokio::time::sleep(transport::jitter(RECONNECT_PAUSE_MS)).await;
    }
}

/// Directory nodes to try, the nearest first, and the seeds of the settings last.
fn candidates(router: &Router) -> Vec<SocketAddr> {
    let membership = router.membership.read();
    let mut ranked: Vec<(u8, u32, SocketAddr)> = membership
        .directories()
        .iter()
        .filter_map(|member| {
            let distance = match () {
                _ if member.zone == router.settings.zone => 0,
                _ if member.region == router.settings.region => 1,
                _ => 2,
            };
            Some((distance, rand::random(), member.address.parse().ok()?))
        })
        .collect();
    ranked.extend(
        router
            .settings
            .seeds
            .iter()
            .map(|seed| (3, rand::random(), *seed)),
    );
    ranked.sort();
    let mut candidates: Vec<SocketAddr> = Vec::new();
    for (_, _, address) in ranked {
        if !candidates.contains(&address) {
            candidates.push(address);
        }
    }
    candidates
}

/// Follows one node until its connection ends or it can't be relied on.
async fn follow(
    router: &Arc<Router>,
    state: &mut SessionState,
    node: SocketAddr,
) -> Result<(), ConversationError> {
    let mut session = Session::begin(router, state, node).await?;
    loop {
        session.step().await?;
    }
}

/// A session that has begun.
struct Session<'a> {
    router: &'a Arc<Router>,
    state: &'a mut SessionState,
    writer: OwnedWriteHalf,
    incoming: SessionReader,
    /// Look-ups of this router's requests.
    outgoing: mpsc::Receiver<Frame>,
    interval: tokio::time::Interval,
    lease_renewed_ms: u64,
    last_heartbeat_ms: u64,
}

impl<'a> Session<'a> {
    /// Connects, and asks for what the replica lacks.
    async fn begin(
        router: &'a Arc<Router>,
        state: &'a mut SessionState,
        node: SocketAddr,
    ) -> Result<Session<'a>, ConversationError> {
        let settings = &router.settings;
        state.replica.begin_session();
        let stream = link::dial(
            settings.peer_listen_address,
            node,
            ConnectionKind::RouterSession,
            &settings.name,
        )
        .await?;
        let (reader, mut writer) = stream.into_split();
        let ReplicaPosition { cluster, epoch } = state.replica.position();
        send(&mut writer, &Frame::Subscribe { cluster, epoch }).await?;
        let (queue, outgoing) = mpsc::channel(OUTGOING_FRAMES);
        router.pending_lookups.connect(node, queue);
        router.metrics.increment("sessions");
        let heartbeat_interval = Duration::from_millis(settings.heartbeat_interval_ms);
        let mut interval = tokio::time::interval(heartbeat_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Ok(Session {
            router,
            state,
            writer,
            incoming: SessionReader::start(reader),
            outgoing,
            interval,
            lease_renewed_ms: now(),
            last_heartbeat_ms: 0,
        })
    }

    /// Sends or receives one frame.
    async fn step(&mut self) -> Result<(), ConversationError> {
        tokio::select! {
            () = next_heartbeat(&mut self.interval, self.router, self.last_heartbeat_ms) => {
                self.send_heartbeat().await
            }
            frame = self.outgoing.recv() => {
                let frame = frame.ok_or(ConversationError::QueueClosed)?;
                send(&mut self.writer, &frame).await
            }
            frame = self.incoming.next() => {
                let frame = frame?.ok_or(ConversationError::Closed)?;
                self.receive(frame)
            }
        }
    }

    /// Sends a heartbeat, unless the node has renewed no lease for too long.
    async fn send_heartbeat(&mut self) -> Result<(), ConversationError> {
        self.last_heartbeat_ms = now();
        let progress_ms = self
            .lease_renewed_ms
            .max(self.incoming.long_frame_seen_ms());
        let silence_ms = now().saturating_sub(progress_ms);
        if silence_ms >= LEASE_TIMEOUT_MS {
            return Err(ConversationError::NoLease { silence_ms });
        }
        let heartbeat = heartbeat(self.router, self.state);
        send(&mut self.writer, &heartbeat).await
    }

    fn receive(&mut self, frame: Frame) -> Result<(), ConversationError> {
        match frame {
            Frame::Lease {
                heartbeat,
                epoch,
                grants,
            } => self.renew_lease(heartbeat, epoch, &grants),
            frame => {
                let is_snapshot = matches!(frame, Frame::Snapshot { .. });
                apply(self.router, &mut self.state.replica, frame)?;
                if is_snapshot {
                    // A lease that came ahead of it was refused.
                    self.interval.reset_immediately();
                }
            }
        }
        Ok(())
    }

    fn renew_lease(&mut self, heartbeat: u64, epoch: Epoch, grants: &[QuotaGrant]) {
        let Some(until_ms) = self.state.replica.renew_lease(heartbeat, epoch) else {
            return;
        };
        let had_lease = self.router.lease.check().is_ok();
        self.lease_renewed_ms = now();
        self.router
            .lease
            .renew(self.state.replica.lease_expires_at());
        self.router.quota.apply_grants(heartbeat, until_ms, grants);
        if !had_lease {
            // Look-ups are to name this router again.
            self.interval.reset_immediately();
        }
    }
}

/// Waits for the next heartbeat's time: in turn, or at once where a request waits
/// for its quota.
async fn next_heartbeat(interval: &mut tokio::time::Interval, router: &Router, last_ms: u64) {
    let urgent = async {
        router.quota.urgent.notified().await;
        let wait_ms = (last_ms + MIN_HEARTBEAT_DISTANCE_MS).saturating_sub(now());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    };
    tokio::select! {
        _ = interval.tick() => {}
        () = urgent => interval.reset(),
    }
}

/// The next heartbeat, with this router's report and its demand for quota.
fn heartbeat(router: &Router, state: &mut SessionState) -> Frame {
    let settings = &router.settings;
    state.last_heartbeat += 1;
    let number = state.last_heartbeat;
    state.replica.record_heartbeat(now(), number);
    let report = RouterStatus {
        name: settings.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        client_address: settings.ingress_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        epoch: router.view.borrow().epoch,
        age_ms: 0,
        availability: router.availability(),
    };
    quota_admission::update_owned_tenants(router);
    let demand = router.quota.lease_demands(&settings.name, number);
    Frame::Heartbeat {
        router: report,
        demand,
    }
}

async fn send(writer: &mut OwnedWriteHalf, frame: &Frame) -> Result<(), ConversationError> {
    match tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(writer, frame)).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(ConversationError::TimedOut {
            waiting_for: "sending to the directory node",
        }),
    }
}

/// Puts the replica's view in force.
fn publish_view(router: &Router, replica: &ReplicaView) {
    router.view.send_replace(Arc::clone(replica.view()));
    *router.view_position.lock() = replica.position();
}

/// Applies a frame of the node to this router's state.
fn apply(
    router: &Router,
    replica: &mut ReplicaView,
    frame: Frame,
) -> Result<(), ConversationError> {
    match frame {
        Frame::Subscribed { cluster } => replica.record_cluster(cluster),
        Frame::Snapshot { epoch, events } => {
            let taken = replica.apply_snapshot(epoch, &events)?;
            if taken == ReplicaUpdate::Snapshot {
                router.cache_tiers.invalidate_all(epoch);
            }
            publish_view(router, replica);
            router.metrics.increment("pictures");
            log::info!(epoch = epoch; "the snapshot is in force");
        }
        Frame::Change {
            base_epoch,
            epoch,
            events,
        } => {
            replica.apply_events(base_epoch, epoch, &events)?;
            // The caches first: a request that sees the new view finds no invalid mapping.
            router.cache_tiers.invalidate(epoch, &events);
            publish_view(router, replica);
            router.metrics.increment("changes");
            log::info!(epoch = epoch; "in force");
        }
        Frame::RegistryUpdate(update) => router.membership.write().apply(&update),
        Frame::LookupResponse {
            request_id,
            response,
        } => router.pending_lookups.complete(request_id, response)?,
        Frame::Refused { text } => return Err(ConversationError::Refused { text }),
        other => return Err(ConversationError::unexpected(other)),
    }
    Ok(())
}
