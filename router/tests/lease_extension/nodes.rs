//! Directory nodes that a test plays: each serves a router's session and answers what its
//! log holds, as far as the test lets it.

use consensus::quorum_read::LogReport;
use consensus::Member;
use parking_lot::Mutex;
use protocol::{ConnectionKind, Frame, RegistryUpdate, StateReport};
use socket2::{SockFilter, SockRef, Socket};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use transport::link;

pub const CLUSTER: u64 = 77;
/// The epoch of the state that all nodes hold at first.
pub const EPOCH: u64 = 9;
/// Connections that the kernel takes for a node which accepts none.
const BACKLOG: u32 = 1;
/// The program of a socket filter that keeps nothing of any packet: `BPF_RET | BPF_K`, 0.
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// What a node does now.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// It grants leases.
    pub grants_leases: bool,
    /// It answers state queries.
    pub answers_queries: bool,
    /// It accepts new connections.
    pub accepts: bool,
    /// The newest change in its log.
    pub newest_change: u64,
}

pub const WELL: Behaviour = Behaviour {
    grants_leases: true,
    answers_queries: true,
    accepts: true,
    newest_change: EPOCH,
};

/// One node.
pub struct Node {
    identity: u64,
    pub address: SocketAddr,
    members: Arc<Mutex<Vec<Member>>>,
    behaviour: watch::Sender<Behaviour>,
    /// How many state queries came.
    queries: watch::Sender<u64>,
    /// The accepting task and the connections; gone while its process does not run.
    tasks: Mutex<JoinSet<()>>,
    /// Notified when the kernel's queue of new connections is to be filled.
    stopped_accepting: Notify,
    /// All sockets of its process.
    sockets: Mutex<Vec<Socket>>,
}

impl Node {
    fn start(identity: u64, members: &Arc<Mutex<Vec<Member>>>) -> Arc<Node> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let node = Arc::new(Node {
            identity,
            address: listener.local_addr().expect("it is bound"),
            members: Arc::clone(members),
            behaviour: watch::Sender::new(WELL),
            queries: watch::Sender::new(0),
            tasks: Mutex::default(),
            stopped_accepting: Notify::new(),
            sockets: Mutex::default(),
        });
        let accepting = Arc::clone(&node).accept(listener);
        node.tasks.lock().spawn(accepting);
        node
    }

    /// Its process ends: connections are closed, new ones refused.
    pub async fn kill(&self) {
        // Twice: it may have been accepting a connection.
        for _ in 0..2 {
            let mut tasks = std::mem::take(&mut *self.tasks.lock());
            tasks.shutdown().await;
        }
        self.sockets.lock().clear();
    }

    /// Its machine gets no packets from now on: its kernel acknowledges nothing.
    pub fn cut_off(&self) {
        for socket in self.sockets.lock().iter() {
            socket.attach_filter(&[DROP_ALL]).expect("a filter");
        }
    }

    /// Its machine gets packets again.
    pub fn reconnect(&self) {
        for socket in self.sockets.lock().iter() {
            socket.detach_filter().expect("it has a filter");
        }
    }

    /// It starts again at its address.
    pub fn restart(self: &Arc<Node>) {
        let accepting = Arc::clone(self).accept(listen(self.address));
        self.tasks.lock().spawn(accepting);
    }

    pub fn behave(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Returns when so many more queries came.
    pub async fn queried(&self, count: u64) {
        let mut queries = self.queries.subscribe();
        let wanted = *queries.borrow_and_update() + count;
        let came = queries.wait_for(|queries| *queries >= wanted).await;
        came.expect("the node is there");
    }

    /// Fills the kernel's queue of new connections, so that it drops the next ones without
    /// a word; returns the connections in it.
    pub async fn fill_backlog(&self) -> Vec<TcpStream> {
        self.stopped_accepting.notified().await;
        let mut queued = Vec::new();
        let source = SocketAddr::from(([127, 0, 0, 1], 0));
        while let Ok(stream) = link::connect(source, self.address).await {
            queued.push(stream);
        }
        queued
    }

    async fn accept(self: Arc<Node>, listener: TcpListener) {
        self.keep_socket(SockRef::from(&listener));
        let mut behaviour = self.behaviour.subscribe();
        loop {
            if !behaviour.borrow_and_update().accepts {
                self.stopped_accepting.notify_one();
            }
            let accepts = behaviour.wait_for(|behaviour| behaviour.accepts).await;
            accepts.expect("the node is there");
            tokio::select! {
                biased;
                _ = behaviour.changed() => {}
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("it listens");
                    let serving = Arc::clone(&self).serve(stream);
                    self.tasks.lock().spawn(async move { drop(serving.await) });
                }
            }
        }
    }

    fn keep_socket(&self, socket: SockRef<'_>) {
        let socket = socket.try_clone().expect("a descriptor");
        self.sockets.lock().push(socket);
    }

    async fn serve(self: Arc<Node>, mut stream: TcpStream) -> anyhow::Result<()> {
        self.keep_socket(SockRef::from(&stream));
        match link::accept_handshake(&mut stream).await? {
            (ConnectionKind::RouterSession, _) => self.session(stream).await,
            (ConnectionKind::StateWatch, _) => self.state_watch(stream).await,
            (kind, name) => anyhow::bail!("{name} comes as {kind:?}"),
        }
    }

    async fn session(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        let first = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await?;
        anyhow::ensure!(matches!(first, Some(Frame::Subscribe { .. })), "{first:?}");
        let registry = RegistryUpdate {
            is_full: true,
            routers: Vec::new(),
            removed_routers: Vec::new(),
            directory_nodes: self.members.lock().clone(),
        };
        for frame in [
            Frame::Subscribed { cluster: CLUSTER },
            Frame::Snapshot {
                epoch: EPOCH,
                events: Vec::new(),
            },
            Frame::RegistryUpdate(registry),
        ] {
            link::send(&mut stream, &frame).await?;
        }
        while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
            let Frame::Heartbeat { demand, .. } = frame else {
                continue;
            };
            if self.behaviour.borrow().grants_leases {
                let lease = Frame::Lease {
                    heartbeat: demand.heartbeat,
                    epoch: EPOCH,
                    grants: Vec::new(),
                };
                link::send(&mut stream, &lease).await?;
            }
        }
        Ok(())
    }

    async fn state_watch(&self, mut stream: TcpStream) -> anyhow::Result<()> {
        while let Some(frame) = link::receive(&mut stream, protocol::MAX_FRAME_BYTES).await? {
            let Frame::StateQuery { number } = frame else {
                anyhow::bail!("an unexpected frame: {frame:?}");
            };
            self.queries.send_modify(|queries| *queries += 1);
            let behaviour = *self.behaviour.borrow();
            if behaviour.answers_queries {
                let log = self.log_report(behaviour.newest_change);
                let report = Frame::StateReport(StateReport { number, log });
                link::send(&mut stream, &report).await?;
            }
        }
        Ok(())
    }

    fn log_report(&self, newest_change: u64) -> LogReport {
        let members = self.members.lock();
        LogReport {
            identity: self.identity,
            cluster: CLUSTER,
            newest_change,
            voters: members.iter().map(|member| member.identity).collect(),
        }
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(address).expect("a free address");
    socket.listen(BACKLOG).expect("it listens")
}

/// Voters of one cluster that know of each other.
pub fn start(count: u64) -> Vec<Arc<Node>> {
    let members: Arc<Mutex<Vec<Member>>> = Arc::default();
    let nodes: Vec<Arc<Node>> = (1..=count)
        .map(|identity| Node::start(identity, &members))
        .collect();
    *members.lock() = nodes
        .iter()
        .map(|node| Member {
            identity: node.identity,
            name: format!("d{}", node.identity),
            region: "north".into(),
            zone: "north-a".into(),
            address: node.address.to_string(),
            operator_address: node.address.to_string(),
        })
        .collect();
    nodes
}
