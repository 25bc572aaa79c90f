//! Watches the directory nodes on a connection to each, and extends the lease by what they
//! say, or by their silence, while no session renews it ([`placement::DirectoryObserver`]).
//!
//! The connections are made in calm times and stand: when a router needs them, a node that
//! is overloaded accepts no new ones.

use crate::router::Router;
use parking_lot::Mutex;
use placement::DirectoryObserver;
use protocol::{ConnectionKind, Frame};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use transport::link::{self, LinkError};
use transport::{now, AbortOnDrop};

/// How often it is looked what the nodes said, while that is of use.
const CHECK_INTERVAL_MS: u64 = 100;
/// How often it is looked at the least whether it is of use.
const CALM_CHECK_INTERVAL_MS: u64 = 900;
/// A check that comes so late shows that this process was suspended.
const SUSPENDED_MS: u64 = 500;
/// Nodes are asked from this long before the lease ends, so that a silence has lasted long
/// enough when its grace is over.
const BEFORE_END_MS: u64 = 1_300;
/// How often nodes are asked while no lease comes.
const QUERY_INTERVAL_MS: u64 = 300;
/// How often nodes are asked while leases come: a connection that was lost unnoticed is
/// then made anew.
const CALM_QUERY_INTERVAL_MS: u64 = 5_000;
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
    loop {
        let due_ms = directory_watch.next_check_ms(now());
        tokio::time::sleep(Duration::from_millis(due_ms.saturating_sub(now()))).await;
        let now_ms = now();
        if now_ms > due_ms + SUSPENDED_MS {
            directory_watch.observer.lock().record_resumption(now_ms);
        }
        directory_watch.follow_members(&mut tasks);
        if now_ms >= asked_at_ms + directory_watch.query_interval_ms(now_ms) {
            asked_at_ms = now_ms;
            directory_watch.query.send_modify(|number| *number += 1);
        }
        directory_watch.extend_lease(now_ms);
    }
}

impl DirectoryWatch {
    /// Whether nothing that the nodes say is of use: the session renews the lease in time,
    /// or there was none, or it ended too long ago to be extended.
    fn is_calm(&self, now_ms: u64) -> bool {
        let until_ms = self.router.lease.until_ms();
        let extension_ms = self.router.settings.lease_grace.partition_ms;
        let is_extensible = now_ms < until_ms + extension_ms;
        until_ms == 0 || now_ms + BEFORE_END_MS < until_ms || !is_extensible
    }

    /// When to look again: when the lease will need to be extended unless it is renewed.
    fn next_check_ms(&self, now_ms: u64) -> u64 {
        if !self.is_calm(now_ms) {
            return now_ms + CHECK_INTERVAL_MS;
        }
        let needed_at_ms = self.router.lease.until_ms().saturating_sub(BEFORE_END_MS);
        let earliest_ms = now_ms + CHECK_INTERVAL_MS;
        let latest_ms = now_ms + CALM_CHECK_INTERVAL_MS;
        match needed_at_ms < earliest_ms {
            // It was never granted, or ended too long ago.
            true => latest_ms,
            false => needed_at_ms.min(latest_ms),
        }
    }

    fn query_interval_ms(&self, now_ms: u64) -> u64 {
        match self.is_calm(now_ms) {
            true => CALM_QUERY_INTERVAL_MS,
            false => QUERY_INTERVAL_MS,
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
            let Ok(to) = member.address.parse::<SocketAddr>() else {
                continue;
            };
            tasks.entry(member.address.clone()).or_insert_with(|| {
                let watching = Arc::clone(self).watch_node(member.address.clone(), to);
                AbortOnDrop(tokio::spawn(watching).abort_handle())
            });
        }
    }

    fn extend_lease(&self, now_ms: u64) {
        if self.is_calm(now_ms) {
            return self.router.lease.extend(None);
        }
        let position = *self.router.view_position.lock();
        let membership = self.router.membership.read();
        let until_ms = self.observer.lock().extends_lease_until_ms(
            now_ms,
            position.cluster,
            position.epoch,
            membership.directories(),
        );
        self.router.lease.extend(until_ms);
    }

    /// Holds a connection to a node, one after the other, for as long as it is a member.
    async fn watch_node(self: Arc<DirectoryWatch>, address: String, to: SocketAddr) {
        loop {
            let mut next = Some(self.connect(&address, to).await);
            while let Some(stream) = next {
                next = self.ask(&address, to, stream).await;
            }
            self.observer.lock().record_connection_end(&address);
        }
    }

    /// Connects to a node, as often as it takes.
    async fn connect(&self, address: &str, to: SocketAddr) -> TcpStream {
        let settings = &self.router.settings;
        loop {
            let retry_ms = match self.is_calm(now()) {
                true => CALM_RETRY_MS,
                false => RETRY_MS,
            };
            tokio::time::sleep(transport::jitter(retry_ms)).await;
            let source = settings.peer_listen_address;
            match link::dial(source, to, ConnectionKind::StateWatch, &settings.name).await {
                Ok(stream) => return stream,
                Err(error) if is_refusal(&error) => {
                    self.observer.lock().record_refusal(now(), address);
                }
                Err(_) => {}
            }
        }
    }

    /// Asks a node whenever it is time and takes its answers. Returns when the connection
    /// has ended; with another one, if the node had fallen silent on this one.
    async fn ask(&self, address: &str, to: SocketAddr, stream: TcpStream) -> Option<TcpStream> {
        let (mut reader, mut writer) = stream.into_split();
        let mut queries = self.query.subscribe();
        let silence = Notify::new();
        let asking = async {
            while queries.changed().await.is_ok() {
                let number = *queries.borrow_and_update();
                self.observer.lock().record_query(now(), address, number);
                let query = Frame::StateQuery { number };
                link::send(&mut writer, &query).await?;
                if self.observer.lock().is_silent(now(), address) {
                    silence.notify_one();
                }
            }
            Ok::<_, LinkError>(())
        };
        let answering = async {
            while let Some(frame) = link::receive(&mut reader, protocol::MAX_HELLO_BYTES).await? {
                if let Frame::StateReport(report) = frame {
                    self.observer.lock().record_report(address, report);
                }
            }
            Ok::<_, LinkError>(())
        };
        tokio::select! {
            _ = asking => None,
            _ = answering => None,
            stream = self.reconnect_after(&silence, address, to) => Some(stream),
        }
    }

    /// Connects anew once a node is silent: one that lost power does not know the
    /// connection when it is back. The silence goes on until an answer comes on either, for
    /// the kernel accepts connections for a process that stands still.
    async fn reconnect_after(&self, silence: &Notify, address: &str, to: SocketAddr) -> TcpStream {
        silence.notified().await;
        self.connect(address, to).await
    }
}

/// Whether the other machine said that no process listens.
fn is_refusal(error: &LinkError) -> bool {
    match error {
        LinkError::Connect { cause, .. } => cause.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
