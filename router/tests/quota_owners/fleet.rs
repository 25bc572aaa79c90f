//! The processes around a router that a test plays: a directory node, and the other routers of
//! its region and of another one.

use parking_lot::Mutex;
use protocol::{
    ConnectionKind, Frame, LookupResponse, QuotaDecision, QuotaGrant, RegistryUpdate,
    RouterAvailability, RouterStatus,
};
use residency::{Command, Proposal, State, TenantKey, UpdateMode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use transport::link;

pub const TENANT: &str = "clinic";
pub const TENANT_KEY: &str = "clinic-key-0001";
pub const OWN_REGION: &str = "north";
pub const OTHER_REGION: &str = "south";
/// The code of the look-up's answer, by which a test sees that a request was admitted.
pub const ADMITTED_CODE: &str = "admitted";
/// Routers of each region, more than lease each for itself.
const ROUTERS_OF_REGION: usize = 20;

const TOPOLOGY: &str = r#"{
    "zones": {"north-a": {"region": "north"}, "south-a": {"region": "south"}},
    "cells": {"north-1": {"zone": "north-a"}, "south-1": {"zone": "south-a"}},
    "services": {"swap": {}},
    "tenants": {"clinic": {"pace": 10}},
    "rules": [
        "door ward at \"/ward/\" tenant bearer model header \"x-model\"",
        "route swap on ward POST \"/ward/swap\" to model once deadline 30s"
    ]
}"#;

/// What the other routers of a region do with requests for admission.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    Decide(QuotaDecision),
    Silence,
    Close,
}

/// The other routers of one region: one process under many names.
pub struct Peers {
    pub address: SocketAddr,
    pub answer: Mutex<Answer>,
    /// How often they were asked.
    pub asked: AtomicUsize,
}

impl Peers {
    pub async fn start(answer: Answer) -> Arc<Peers> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let peers = Arc::new(Peers {
            address: listener.local_addr().expect("it is bound"),
            answer: Mutex::new(answer),
            asked: AtomicUsize::new(0),
        });
        let serving = Arc::clone(&peers);
        tokio::spawn(link::accept(listener, move |stream| {
            let peers = Arc::clone(&serving);
            async move { peers.serve(stream).await }
        }));
        peers
    }

    async fn serve(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        link::accept_handshake(&mut stream).await?;
        while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
            let response = match frame {
                Frame::CacheLookup { request_id, .. } => Frame::CacheResult {
                    request_id,
                    mapping: Vec::new(),
                },
                Frame::QuotaRequest { request_id, .. } => {
                    self.asked.fetch_add(1, Ordering::Relaxed);
                    let answer = *self.answer.lock();
                    match answer {
                        Answer::Decide(decision) => Frame::QuotaResponse {
                            request_id,
                            decision,
                        },
                        Answer::Silence => continue,
                        Answer::Close => return Ok(()),
                    }
                }
                _ => continue,
            };
            link::send(&mut stream, &response).await?;
        }
        Ok(())
    }

    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::Relaxed)
    }

    /// Their reports.
    pub fn statuses(&self, region: &str) -> Vec<RouterStatus> {
        let status = |number| status(&format!("{region}-{number}"), region, self.address);
        (0..ROUTERS_OF_REGION).map(status).collect()
    }
}

pub fn status(name: &str, region: &str, peer_address: SocketAddr) -> RouterStatus {
    RouterStatus {
        name: name.into(),
        region: region.into(),
        zone: format!("{region}-a"),
        client_address: peer_address.to_string(),
        peer_address: peer_address.to_string(),
        epoch: 1,
        age_ms: 0,
        availability: RouterAvailability::Ready,
    }
}

/// The directory node.
pub struct Node {
    pub address: SocketAddr,
    state: State,
    routers: Vec<RouterStatus>,
    /// The tenants of the last heartbeat's demands.
    pub demanded: watch::Sender<Vec<String>>,
}

impl Node {
    /// Starts a node that knows these other routers.
    pub async fn start(routers: Vec<RouterStatus>) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let node = Arc::new(Node {
            address: listener.local_addr().expect("it is bound"),
            state: state(routers.len() as u32),
            routers,
            demanded: watch::Sender::new(Vec::new()),
        });
        let serving = Arc::clone(&node);
        tokio::spawn(link::accept(listener, move |stream| {
            let node = Arc::clone(&serving);
            async move { node.serve(stream).await }
        }));
        node
    }

    async fn serve(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let (kind, _) = link::accept_handshake(&mut stream).await?;
        anyhow::ensure!(kind == ConnectionKind::RouterSession, "{kind:?}");
        link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await?;
        let epoch = self.state.epoch();
        let registry = RegistryUpdate {
            is_full: true,
            routers: self.routers.clone(),
            removed_routers: Vec::new(),
            directory_nodes: Vec::new(),
        };
        for frame in [
            Frame::Subscribed { cluster: 1 },
            Frame::Snapshot {
                epoch,
                events: self.state.view.snapshot(),
            },
            Frame::RegistryUpdate(registry),
        ] {
            link::send(&mut stream, &frame).await?;
        }
        while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
            if let Some(response) = self.respond(frame) {
                link::send(&mut stream, &response).await?;
            }
        }
        Ok(())
    }

    fn respond(&self, frame: Frame) -> Option<Frame> {
        match frame {
            Frame::Heartbeat { demand, .. } => {
                let tenants = demand.demands.iter().map(|demand| demand.tenant.clone());
                self.demanded.send_replace(tenants.collect());
                let grant = |demand: &protocol::QuotaDemand| QuotaGrant {
                    tenant: demand.tenant.clone(),
                    limit: demand.admitted + 5,
                    queue_wait_ms: 0,
                };
                Some(Frame::Lease {
                    heartbeat: demand.heartbeat,
                    epoch: self.state.epoch(),
                    grants: demand.demands.iter().map(grant).collect(),
                })
            }
            Frame::LookupRequest { request_id, .. } => Some(Frame::LookupResponse {
                request_id,
                response: LookupResponse::NotFound {
                    code: ADMITTED_CODE.into(),
                    text: "the request came as far as its look-up".into(),
                },
            }),
            _ => None,
        }
    }
}

/// A tenant with a quota, in a fleet of so many routers.
fn state(routers: u32) -> State {
    let commands = [
        Command::UpdateTopology {
            mode: UpdateMode::Replace,
            text: TOPOLOGY.into(),
        },
        Command::AddKey(TenantKey {
            digest: policy::sha256_hex(TENANT_KEY),
            tenant: TENANT.into(),
        }),
        Command::SetRouterCount(routers),
    ];
    let mut state = State::default();
    for (command, epoch) in commands.into_iter().zip(1..) {
        let proposal = Proposal {
            id: format!("p-{epoch}"),
            base_epoch: 0,
            command,
        };
        let (outcome, _) = state.apply(epoch, &proposal);
        assert_eq!(outcome, residency::Outcome::Applied { epoch });
    }
    state
}
