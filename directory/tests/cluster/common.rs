//! Directory nodes within the test's process, each reached by a relay that can hold
//! forwarded proposals back, as a network partition does.

use consensus::node::Timing;
use directory::{ControlPlane, Extensions, RuntimeFlavor, Settings};
use protocol::{Frame, PeerRequest, PeerResponse, Validity};
use residency::Command;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Mutex};
use transport::link;

/// Longer than anything here takes on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(60);
const NODES: usize = 3;
/// So long that a busy machine makes nobody else campaign. The founder leads at once.
const ELECTION_MS: u64 = 20_000;
const RELAY_PORT: u16 = 7361;
const LISTEN_PORT: u16 = 7362;
const OPERATOR_PORT: u16 = 7363;

pub const TOPOLOGY: &str = r#"{
  "zones": { "n-a": { "region": "north" }, "s-a": { "region": "south" } },
  "cells": { "n-1": { "zone": "n-a" }, "s-1": { "zone": "s-a" } }
}"#;

/// A forwarded proposal that a relay holds back.
pub struct DelayedProposal {
    from: u64,
    pub request_id: u64,
    pub validity: Validity,
    pub request: PeerRequest,
    way: Arc<Mutex<OwnedWriteHalf>>,
}

impl DelayedProposal {
    /// Lets it go on, as the partition's end would, with another validity if need be.
    pub async fn release(&self, validity: Validity) {
        let (from, request_id, request) = (self.from, self.request_id, self.request.clone());
        let frame = Frame::PeerRequest {
            from,
            request_id,
            validity,
            request,
        };
        let bytes = protocol::encode(&frame);
        self.way
            .lock()
            .await
            .write_all(&bytes)
            .await
            .expect("the connection stands");
    }
}

/// What becomes of a frame on its way.
pub type Filter = Box<dyn FnMut(Frame) -> Vec<Frame> + Send>;

/// What the relays see. Frames keep their order, but for those that are delayed.
struct Relay {
    filter: parking_lot::Mutex<Filter>,
    is_delaying: AtomicBool,
    delayed: mpsc::UnboundedSender<DelayedProposal>,
    responses: mpsc::UnboundedSender<(u64, PeerResponse)>,
}

impl Relay {
    async fn carry(self: Arc<Relay>, listener: TcpListener, real: SocketAddr) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(Arc::clone(&self).connected(stream, real));
        }
    }

    async fn connected(self: Arc<Relay>, near: TcpStream, real: SocketAddr) {
        let Ok(far) = TcpStream::connect(real).await else {
            return;
        };
        let (mut near_in, mut near_out) = near.into_split();
        let (mut far_in, far_out) = far.into_split();
        let back = tokio::spawn(async move {
            drop(tokio::io::copy(&mut far_in, &mut near_out).await);
        });
        let way = Arc::new(Mutex::new(far_out));
        while let Ok(Some(frame)) = link::receive(&mut near_in, protocol::MAX_FRAME_BYTES).await {
            let frames = (self.filter.lock())(frame);
            for frame in frames
                .into_iter()
                .filter_map(|frame| self.pass(frame, &way))
            {
                let bytes = protocol::encode(&frame);
                if way.lock().await.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        }
        drop(way.lock().await.shutdown().await);
        back.abort();
    }

    fn pass(&self, frame: Frame, way: &Arc<Mutex<OwnedWriteHalf>>) -> Option<Frame> {
        match frame {
            Frame::PeerRequest {
                from,
                request_id,
                validity,
                request: request @ PeerRequest::Propose(_),
            } if self.is_delaying.load(Ordering::SeqCst) => {
                let way = Arc::clone(way);
                let delayed = DelayedProposal {
                    from,
                    request_id,
                    validity,
                    request,
                    way,
                };
                drop(self.delayed.send(delayed));
                None
            }
            Frame::PeerResponse {
                request_id,
                ref response,
                ..
            } => {
                drop(self.responses.send((request_id, response.clone())));
                Some(frame)
            }
            frame => Some(frame),
        }
    }
}

/// Invariant: the nodes go on until the test's process ends.
pub struct Nodes {
    folder: PathBuf,
    pub control_planes: Vec<Arc<ControlPlane>>,
    relay: Arc<Relay>,
    delayed: mpsc::UnboundedReceiver<DelayedProposal>,
    responses: mpsc::UnboundedReceiver<(u64, PeerResponse)>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

impl Nodes {
    /// Starts nodes on a loopback net of their own; they lead and know a topology.
    pub async fn start(net: u8) -> Nodes {
        let at = |node: usize, port| SocketAddr::from(([127, 83, net, 10 + node as u8], port));
        let folder = format!("rushport-orders-{}-{net}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let (delayed_sender, delayed) = mpsc::unbounded_channel();
        let (responses_sender, responses) = mpsc::unbounded_channel();
        let is_delaying = AtomicBool::new(false);
        let filter: Filter = Box::new(|frame| vec![frame]);
        let filter = parking_lot::Mutex::new(filter);
        let relay = Arc::new(Relay {
            filter,
            is_delaying,
            delayed: delayed_sender,
            responses: responses_sender,
        });
        let mut control_planes = Vec::new();
        for node in 0..NODES {
            let listener = TcpListener::bind(at(node, RELAY_PORT))
                .await
                .expect("it is free");
            tokio::spawn(Arc::clone(&relay).carry(listener, at(node, LISTEN_PORT)));
            let settings = Settings {
                name: format!("node-{node}"),
                region: format!("region-{node}"),
                zone: format!("zone-{node}"),
                address: at(node, RELAY_PORT),
                listen: at(node, LISTEN_PORT),
                operator_address: at(node, OPERATOR_PORT),
                data_path: folder.join(format!("data-{node}")),
                seeds: (0..NODES).map(|seed| at(seed, RELAY_PORT)).collect(),
                timing: Timing {
                    election_timeout_ms: ELECTION_MS,
                    ..Timing::default()
                },
                max_forwarded_requests: 0,
                max_forwarded_bytes: 0,
                client_limits: placement::ClientLimits::of_process(1_000_000_000, 16_384),
                snapshot_every: 256,
                is_first_start: true,
                min_voters: NODES,
                leave_timeout: Duration::ZERO,
                quota_margin: None,
                runtime: RuntimeFlavor::CurrentThread,
            };
            let (started, has_started) = tokio::sync::oneshot::channel();
            let started: directory::OnStart =
                Box::new(move |control_plane| drop(started.send(control_plane)));
            let extensions = Extensions {
                on_start: Some(started),
                ..Extensions::default()
            };
            std::thread::spawn(move || directory::run(settings, extensions).expect("it runs"));
            control_planes.push(has_started.await.expect("it starts"));
        }
        let nodes = Nodes {
            folder,
            control_planes,
            relay,
            delayed,
            responses,
        };
        let command = Command::UpdateTopology {
            mode: residency::UpdateMode::Replace,
            text: TOPOLOGY.into(),
        };
        nodes
            .apply(&nodes.control_planes[0], "topology", command)
            .await;
        nodes
    }

    /// The leader and a follower.
    pub async fn roles(&self) -> (Arc<ControlPlane>, Arc<ControlPlane>) {
        let leads = |control_plane: &&Arc<ControlPlane>| control_plane.is_leader();
        loop {
            let leader = self.control_planes.iter().find(leads).cloned();
            let follower = self
                .control_planes
                .iter()
                .find(|control_plane| !control_plane.is_leader())
                .cloned();
            if let (Some(leader), Some(follower)) = (leader, follower) {
                if leader.read_barrier().await && follower.read_barrier().await {
                    return (leader, follower);
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Executes a command until it is applied.
    pub async fn apply(&self, control_plane: &ControlPlane, id: &str, command: Command) {
        let execution = control_plane.execute(id.into(), command, PATIENCE, PATIENCE);
        let response = execution.await;
        assert!(response.is_ok(), "{id}: {response:?}");
    }

    pub fn set_filter(&self, filter: Filter) {
        *self.relay.filter.lock() = filter;
    }

    pub fn delay_proposals(&self, is_delaying: bool) {
        self.relay.is_delaying.store(is_delaying, Ordering::SeqCst);
    }

    pub async fn next_delayed(&mut self) -> DelayedProposal {
        let next = tokio::time::timeout(PATIENCE, self.delayed.recv()).await;
        next.expect("something is submitted")
            .expect("the relays are there")
    }

    /// Those that were delayed and not looked at so far.
    pub fn other_delayed(&mut self) -> Vec<DelayedProposal> {
        std::iter::from_fn(|| self.delayed.try_recv().ok()).collect()
    }

    /// What the leader says to the request of this id from now on.
    pub async fn response_to(&mut self, request_id: u64) -> PeerResponse {
        let next = async {
            loop {
                let (to, response) = self.responses.recv().await.expect("the relays are there");
                if to == request_id {
                    return response;
                }
            }
        };
        tokio::time::timeout(PATIENCE, next)
            .await
            .expect("the leader answers")
    }

    /// Whether a zone is evacuated, by each node as it is after contact with a
    /// majority.
    pub async fn is_evacuated(&self, zone: &str) -> bool {
        let mut seen = Vec::new();
        for control_plane in &self.control_planes {
            assert!(control_plane.read_barrier_within(PATIENCE).await);
            seen.push(control_plane.with_state(|state| state.view.evacuated.contains(zone)));
        }
        assert!(seen.iter().all(|shut| *shut == seen[0]), "{seen:?}");
        seen[0]
    }
}
