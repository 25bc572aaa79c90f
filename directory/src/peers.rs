//! PeerConnections to the other directory nodes, and the port they all come in by.

use crate::driver::{DriverCommand, ForwardedRequest};
use crate::pending_requests::PendingRequests;
use crate::{forwarded_requests, subscriptions, ControlPlane};
use consensus::codec::from_bytes;
use consensus::{EntryPayload, Member, MessageBody, NodeId};
use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame, PeerRequest, PeerResponse};
use residency::{Proposal, State};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use transport::{link, now};

const QUEUE_LEN: usize = 1024;
/// Without a leader for this long, a node asks whether it still counts in.
const NO_LEADER_TIMEOUT_MS: u64 = 3_000;
/// A frame that can't be sent waits for the other side for so long.
const MAX_UNSENT_AGE_MS: u64 = 600;

/// One way out to each address. Invariant: a frame is sent once or dropped;
/// whoever needs an answer asks again.
pub struct PeerConnections {
    local_member: Member,
    source: SocketAddr,
    /// The driver's thread sends, too, and is not the runtime's own.
    runtime: tokio::runtime::Handle,
    outgoing: Mutex<HashMap<String, mpsc::Sender<Frame>>>,
    /// Where those who introduced themselves are to be found.
    addresses: Mutex<HashMap<NodeId, String>>,
    /// Which question went where.
    pending_requests: Mutex<PendingRequests>,
}

impl PeerConnections {
    pub fn new(local_member: Member, source: SocketAddr) -> Arc<PeerConnections> {
        let runtime = tokio::runtime::Handle::current();
        Arc::new(PeerConnections {
            local_member,
            source,
            runtime,
            outgoing: Default::default(),
            addresses: Default::default(),
            pending_requests: Default::default(),
        })
    }

    pub fn send_to(self: &Arc<PeerConnections>, to: NodeId, frame: Frame) {
        let address = self.addresses.lock().get(&to).cloned();
        if let Some(address) = address {
            self.send(&address, frame);
        }
    }

    pub fn send(self: &Arc<PeerConnections>, address: &str, frame: Frame) {
        if let Frame::PeerRequest {
            request_id: number, ..
        } = &frame
        {
            self.pending_requests
                .lock()
                .record_sent(now(), *number, address);
        }
        let mut outgoing = self.outgoing.lock();
        let sender = outgoing.entry(address.to_string()).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LEN);
            self.runtime
                .spawn(Arc::clone(self).run_connection(address.to_string(), receiver));
            sender
        });
        // A full queue drops the frame, as a slow network would.
        drop(sender.try_send(frame));
    }

    /// Hands on a frame that `peer`, who introduced itself on its link, may send: it
    /// speaks for itself alone. `None` stands for an answer that nobody waits for from
    /// there: it is late, surplus, or meant for an earlier process at this address.
    ///
    /// # Errors
    /// The frame speaks for another node, or came before an introduction.
    fn check_sender(
        &self,
        peer: &mut Option<Member>,
        frame: Frame,
    ) -> anyhow::Result<Option<Frame>> {
        let speaker = match &frame {
            Frame::Introduce(member) => {
                *peer = Some(member.clone());
                return Ok(Some(frame));
            }
            Frame::Consensus(message) => Some(message.from),
            Frame::PeerRequest { from, .. } => Some(*from),
            Frame::PeerResponse { .. } => None,
            _ => return Ok(Some(frame)),
        };
        let Some(peer) = peer else {
            anyhow::bail!("it did not say who it is")
        };
        let is_itself = speaker.is_none_or(|speaker| speaker == peer.identity);
        anyhow::ensure!(is_itself, "{peer} speaks for another node");
        if let Frame::Consensus(message) = &frame {
            check_content(&message.body).map_err(|text| anyhow::anyhow!("{peer}: {text}"))?;
        }
        if let Frame::PeerResponse {
            request_id: number, ..
        } = &frame
        {
            let is_awaited =
                self.pending_requests
                    .lock()
                    .accept_response(now(), *number, &peer.address);
            return Ok(is_awaited.then_some(frame));
        }
        Ok(Some(frame))
    }

    async fn run_connection(
        self: Arc<PeerConnections>,
        address: String,
        mut frames: mpsc::Receiver<Frame>,
    ) {
        let Ok(to) = address.parse() else { return };
        // A frame that waits for the other side to come up, and since when.
        let mut held: Option<(Frame, u64)> = None;
        loop {
            let (first, since) = match held.take() {
                Some(held) => held,
                None => match frames.recv().await {
                    Some(frame) => (frame, now()),
                    None => return,
                },
            };
            match link::dial(
                self.source,
                to,
                ConnectionKind::Peer,
                &self.local_member.name,
            )
            .await
            {
                Ok(stream) => {
                    if let Err(error) = self.exchange_frames(to, stream, first, &mut frames).await {
                        log::debug!(to = address.as_str(); "link: {error:#}");
                    }
                    tokio::time::sleep(transport::jitter(60)).await;
                    // What waited all that time is stale by now.
                    while frames.try_recv().is_ok() {}
                }
                Err(error) => {
                    log::debug!(to = address.as_str(); "link: {error:#}");
                    tokio::time::sleep(transport::jitter(30)).await;
                    // The newest one is sent as soon as the other side is there,
                    // unless it is stale by then.
                    held = Some((first, since));
                    while let Ok(newer) = frames.try_recv() {
                        held = Some((newer, now()));
                    }
                    held = held.filter(|(_, since)| now() < since + MAX_UNSENT_AGE_MS);
                }
            }
        }
    }

    async fn exchange_frames(
        &self,
        to: SocketAddr,
        mut stream: TcpStream,
        first: Frame,
        frames: &mut mpsc::Receiver<Frame>,
    ) -> anyhow::Result<()> {
        link::send(&mut stream, &Frame::Introduce(self.local_member.clone())).await?;
        link::send(&mut stream, &first).await?;
        let (mut reader, mut writer) = stream.split();
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    tokio::time::timeout(link::HANDSHAKE_TIMEOUT, link::send(&mut writer, &frame)).await??;
                }
                back = link::receive(&mut reader, protocol::MAX_HELLO_BYTES) => {
                    match back? {
                        Some(Frame::Refused { text }) => {
                            log::warn!("{to} refuses this node: {text}");
                            tokio::time::sleep(Duration::from_secs(2)).await;
                            return Ok(());
                        }
                        _ => anyhow::bail!("the other side closed"),
                    }
                }
            }
        }
    }
}

/// Whether this build can read what a message of the consensus brings. Nothing else
/// may get as far as the log: what is in it has to be applied.
fn check_content(body: &MessageBody) -> Result<(), String> {
    match body {
        MessageBody::InstallSnapshot { snapshot, .. } => State::restore(&snapshot.state).map(drop),
        MessageBody::AppendEntries { entries, .. } => {
            entries.iter().try_for_each(|entry| match &entry.payload {
                EntryPayload::Command(bytes) => from_bytes::<Proposal>(bytes).map(drop),
                _ => Ok(()),
            })
        }
        _ => Ok(()),
    }
}

pub async fn accept(control: Arc<ControlPlane>, listener: TcpListener) {
    link::accept(listener, |stream| {
        serve_connection(Arc::clone(&control), stream)
    })
    .await;
}

async fn serve_connection(control: Arc<ControlPlane>, mut stream: TcpStream) -> anyhow::Result<()> {
    let (kind, name) = link::accept_handshake(&mut stream).await?;
    match kind {
        ConnectionKind::Peer => receive_from_peer(control, stream).await,
        ConnectionKind::RouterSession => subscriptions::serve(control, stream, name).await,
        ConnectionKind::Forwarding => forwarded_requests::serve(control, stream).await,
        ConnectionKind::CacheSharing => anyhow::bail!("{name} takes this for a router"),
    }
}

/// Frames from another directory node.
async fn receive_from_peer(
    control: Arc<ControlPlane>,
    mut stream: TcpStream,
) -> anyhow::Result<()> {
    let mut peer = None;
    let mut received_at_ms = now();
    // Whether frames may have waited on their way. Those of the consensus run_connection
    // terms and rounds and may be late; reports of routers say only how old they
    // were when they were sent.
    let mut may_be_late = false;
    while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
        may_be_late |=
            now() - std::mem::replace(&mut received_at_ms, now()) >= subscriptions::MAX_SILENCE_MS;
        let Some(frame) = control.peers.check_sender(&mut peer, frame)? else {
            continue;
        };
        match frame {
            Frame::Introduce(member) => {
                control
                    .peers
                    .addresses
                    .lock()
                    .insert(member.identity, member.address);
            }
            Frame::Consensus(message) => {
                control.driver.send(DriverCommand::Received(message));
            }
            Frame::PeerRequest {
                from,
                request_id: number,
                validity,
                request: question,
            } => {
                control
                    .driver
                    .send(DriverCommand::ForwardedRequest(ForwardedRequest {
                        from,
                        number,
                        validity,
                        question,
                    }));
            }
            Frame::PeerResponse {
                request_id: number,
                clock_ms,
                response: reply,
            } => {
                control.driver.send(DriverCommand::PeerResponse {
                    number,
                    clock_ms,
                    reply,
                });
            }
            Frame::Routers {
                routers: fronts, ..
            } => {
                anyhow::ensure!(!may_be_late, "its reports of routers come late");
                if control.driver.was_paused_recently() {
                    continue;
                }
                let mut known = control.routers.lock();
                let is_other = known.take(fronts, false);
                control
                    .driver
                    .routers
                    .store(known.count(), Ordering::Relaxed);
                drop(known);
                if is_other {
                    control.router_list_version.send_modify(|count| *count += 1);
                }
            }
            Frame::Join(member) => {
                let reply = control.driver.ask(PeerRequest::AddLearner(member)).await;
                let text = match &reply {
                    PeerResponse::Rejected(text) => text.0.clone(),
                    other => format!("{other:?}"),
                };
                let admitted = matches!(
                    reply,
                    PeerResponse::ReadIndex { .. } | PeerResponse::MembershipChanged
                );
                link::send(&mut stream, &Frame::Joined { admitted, text }).await?;
            }
            other => anyhow::bail!("an unexpected frame from a directory node: {other:?}"),
        }
    }
    Ok(())
}

/// How often a blank node asks, and one that is a member as it stands looks
/// whether it still is.
const JOIN_RETRY_MS: u64 = 100;
const MEMBERSHIP_CHECK_MS: u64 = 2_000;

/// Asks the seeds to be let in, until this node is a member as it stands. One
/// that no leader counts in asks, too: the entry that let it in may have been
/// lost with the leader that proposed it, or it was forgotten while it was gone.
pub async fn join(control: Arc<ControlPlane>) {
    let mut led = now();
    loop {
        let cluster_status = control.driver.cluster_status.borrow().clone();
        let known = cluster_status.members.get(control.member.identity).cloned();
        let is_blank = cluster_status.cluster == 0;
        let has_moved = known.is_some_and(|known| known != control.member);
        if cluster_status.leader.is_some() {
            led = now();
        }
        if is_blank || has_moved || now() > led + NO_LEADER_TIMEOUT_MS {
            ask_seeds(&control).await;
        }
        tokio::time::sleep(transport::jitter(if is_blank {
            JOIN_RETRY_MS
        } else {
            MEMBERSHIP_CHECK_MS
        }))
        .await;
    }
}

/// Asks all seeds at once, so that one that is dark or cut off holds nothing up;
/// ends with the first that lets this node in.
async fn ask_seeds(control: &Arc<ControlPlane>) {
    let mut asked = tokio::task::JoinSet::new();
    for seed in control
        .seeds()
        .into_iter()
        .filter(|seed| seed.to_string() != control.member.address)
    {
        let control = Arc::clone(control);
        asked.spawn(async move { (seed, request_join(&control, seed).await) });
    }
    while let Some(answer) = asked.join_next().await {
        match answer {
            Ok((_, Ok((true, _)))) => return,
            Ok((seed, Ok((false, text)))) => log::info!("{seed} does not let this node in: {text}"),
            Ok((seed, Err(error))) => log::debug!("asking {seed}: {error:#}"),
            Err(_) => {}
        }
    }
}

async fn request_join(control: &ControlPlane, seed: SocketAddr) -> anyhow::Result<(bool, String)> {
    let mut stream = link::dial(
        control.source,
        seed,
        ConnectionKind::Peer,
        &control.member.name,
    )
    .await?;
    link::send(&mut stream, &Frame::Join(control.member.clone())).await?;
    let patience = Duration::from_secs(3);
    match tokio::time::timeout(
        patience,
        link::receive(&mut stream, protocol::MAX_HELLO_BYTES),
    )
    .await??
    {
        Some(Frame::Joined { admitted, text }) => Ok((admitted, text)),
        Some(Frame::Refused { text }) => Ok((false, text)),
        other => anyhow::bail!("an unexpected answer: {other:?}"),
    }
}
