//! Watches the directory nodes on a connection to each, and extends the lease by what they
//! say, or by what shows that they are out of reach, while no session renews it
//! ([`placement::DirectoryObserver`]).
//!
//! The connections are made in calm times and stand: when a router needs them, a node that
//! is overloaded accepts no new ones.

use crate::extension_log::ExtensionLog;
use crate::router::Router;
use consensus::Member;
use parking_lot::Mutex;
use placement::{DirectoryObserver, WatchSchedule, ACKNOWLEDGEMENT_TIMEOUT_MS};
use protocol::{ConnectionKind, Frame};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use transport::link::{self, LinkError};
use transport::{now, AbortOnDrop};

/// A check that comes so late shows that this process was suspended.
const SUSPENDED_MS: u64 = 500;
/// Between two attempts to connect, plus jitter, while leases come and while none does.
const CALM_RETRY_MS: u64 = 1_000;
const RETRY_MS: u64 = 200;

/// What the tasks of one router share.
struct DirectoryWatch {
    router: Arc<Router>,
    observer: Mutex<DirectoryObserver>,
    /// The number of the latest query; each node is asked when it rises.
    query: watch::Sender<u64>,
}

/// Watches for the life of the process.
pub async fn run(router: Arc<Router>) {
    let directory_watch = Arc::new(DirectoryWatch {
        router,
        observer: Mutex::default(),
        query: watch::Sender::new(0),
    });
    let mut tasks: HashMap<String, AbortOnDrop> = HashMap::new();
    let mut asked_at_ms = 0;
    let mut extension_log = ExtensionLog::default();
    loop {
        let due_ms = directory_watch.schedule().next_check_ms(now());
        tokio::time::sleep(Duration::from_millis(due_ms.saturating_sub(now()))).await;
        let now_ms = now();
        if now_ms > due_ms + SUSPENDED_MS {
            directory_watch.observer.lock().record_resumption(now_ms);
        }
        directory_watch.follow_members(&mut tasks);
        if now_ms >= asked_at_ms + directory_watch.schedule().query_interval_ms(now_ms) {
            asked_at_ms = now_ms;
            directory_watch.query.send_modify(|number| *number += 1);
        }
        directory_watch.extend_lease(now_ms, &mut extension_log);
    }
}

impl DirectoryWatch {
    fn schedule(&self) -> WatchSchedule {
        WatchSchedule {
            lease_until_ms: self.router.lease.until_ms(),
            extension_ms: self.router.settings.lease_grace.partition_ms,
        }
    }

    /// One task for each directory node that is known.
    fn follow_members(self: &Arc<DirectoryWatch>, tasks: &mut HashMap<String, AbortOnDrop>) {
        let membership = self.router.membership.read();
        let members = membership.directories();
        let is_member = |address: &str| members.iter().any(|member| member.address == address);
        if tasks.len() == members.len() && tasks.keys().all(|address| is_member(address)) {
            return;
        }
        tasks.retain(|address, _| is_member(address));
        self.observer.lock().retain(is_member);
        for member in members {
            let Some(node) = WatchedNode::new(member) else {
                continue;
            };
            tasks.entry(node.name.clone()).or_insert_with(|| {
                let watching = Arc::clone(self).watch_node(node);
                AbortOnDrop(tokio::spawn(watching).abort_handle())
            });
        }
    }

    fn extend_lease(&self, now_ms: u64, extension_log: &mut ExtensionLog) {
        if self.schedule().is_calm(now_ms) {
            return self.router.lease.extend(None);
        }
        let position = *self.router.view_position.lock();
        let membership = self.router.membership.read();
        let extension = self.observer.lock().lease_extension(
            now_ms,
            position.cluster,
            position.epoch,
            membership.directories(),
        );
        let until_ms = extension.map(|extension| extension.until_ms);
        self.router.lease.extend(until_ms);
        if let Some(extension) = extension {
            extension_log.record(&self.router, now_ms, extension.reason);
        }
    }

    /// Holds a connection to a node, one after the other, for as long as it is a member.
    async fn watch_node(self: Arc<DirectoryWatch>, node: WatchedNode) {
        loop {
            let stream = self.connect(&node).await;
            let mut is_established = false;
            let ended = self.ask(&node.name, stream, &mut is_established).await;
            let mut observer = self.observer.lock();
            match ended {
                Err(error) if is_established && is_unacknowledged(&error) => {
                    self.router.metrics.increment("directories_unacknowledged");
                    observer.record_unacknowledged(now(), &node.name);
                }
                _ => observer.record_connection_end(&node.name),
            }
        }
    }

    /// Connects to a node, as often as it takes.
    async fn connect(&self, node: &WatchedNode) -> TcpStream {
        let settings = &self.router.settings;
        let source = settings.peer_listen_address;
        loop {
            let retry_ms = match self.schedule().is_calm(now()) {
                true => CALM_RETRY_MS,
                false => RETRY_MS,
            };
            tokio::time::sleep(transport::jitter(retry_ms)).await;
            let began_at_ms = now();
            let kind = ConnectionKind::StateWatch;
            match link::dial(source, node.address, kind, &settings.name).await {
                Ok(stream) => {
                    self.observer.lock().record_sign_of_machine(&node.name);
                    limit_unacknowledged(&stream);
                    return stream;
                }
                Err(LinkError::Connect { cause, .. }) if is_refusal(&cause) => {
                    self.observer.lock().record_refusal(now(), &node.name);
                }
                Err(_) => self.look_for_machine(node, began_at_ms).await,
            }
        }
    }

    /// After an attempt to connect that failed without a word: looks whether a machine that
    /// was found out of reach is back. Where the node drops new connections, since too many
    /// wait, another port of its machine shows it.
    async fn look_for_machine(&self, node: &WatchedNode, began_at_ms: u64) {
        if !self.observer.lock().is_unacknowledged(&node.name) {
            return;
        }
        let source = self.router.settings.peer_listen_address;
        let connected = match node.operator_address {
            Some(address) => link::connect(source, address).await.map(drop),
            None => Err(io::ErrorKind::TimedOut.into()),
        };
        let mut observer = self.observer.lock();
        match connected {
            Err(error) if is_unreachable(&error) => {
                observer.record_attempt_timeout(now(), &node.name, began_at_ms);
            }
            _ => observer.record_sign_of_machine(&node.name),
        }
    }

    /// Asks a node at once and whenever it is time, and takes its answers, until the
    /// connection ends. `is_established` is set with the first answer: a machine whose queue
    /// of new connections overflows may answer the opening packet and then acknowledge
    /// nothing, though it is well.
    async fn ask(
        &self,
        address: &str,
        stream: TcpStream,
        is_established: &mut bool,
    ) -> Result<(), LinkError> {
        let (mut reader, mut writer) = stream.into_split();
        let mut queries = self.query.subscribe();
        queries.mark_changed();
        let asking = async {
            while queries.changed().await.is_ok() {
                let number = *queries.borrow_and_update();
                self.observer.lock().record_query(now(), address, number);
                let query = Frame::StateQuery { number };
                link::send(&mut writer, &query).await?;
            }
            Ok(())
        };
        let answering = async {
            while let Some(frame) = link::receive(&mut reader, protocol::MAX_HELLO_BYTES).await? {
                if let Frame::StateReport(report) = frame {
                    *is_established = true;
                    self.observer.lock().record_report(address, report);
                }
            }
            Ok(())
        };
        tokio::select! {
            ended = asking => ended,
            ended = answering => ended,
        }
    }
}

/// A directory node as it is watched.
struct WatchedNode {
    /// Its address as the membership states it.
    name: String,
    address: SocketAddr,
    operator_address: Option<SocketAddr>,
}

impl WatchedNode {
    fn new(member: &Member) -> Option<WatchedNode> {
        Some(WatchedNode {
            name: member.address.clone(),
            address: member.address.parse().ok()?,
            operator_address: member.operator_address.parse().ok(),
        })
    }
}

/// Has a connection end when the other machine does not acknowledge what is sent on it.
fn limit_unacknowledged(stream: &TcpStream) {
    let timeout = Duration::from_millis(ACKNOWLEDGEMENT_TIMEOUT_MS);
    if let Err(error) = link::set_acknowledgement_timeout(stream, timeout) {
        log::warn!("a partition will not be noticed: TCP_USER_TIMEOUT was not set: {error}");
    }
}

/// Whether a standing connection ended since its machine acknowledged nothing.
fn is_unacknowledged(error: &LinkError) -> bool {
    matches!(error, LinkError::Io(cause) if is_unreachable(cause))
}

/// Whether nothing came from the other machine.
fn is_unreachable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}

/// Whether the other machine said that no process listens.
fn is_refusal(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}
