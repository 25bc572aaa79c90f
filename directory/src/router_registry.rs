//! The routers known here, in memory alone: from their heartbeats, and from what the
//! other nodes report of theirs.

use crate::session_queue::SessionSender;
use parking_lot::Mutex;
use placement::{is_same_to_peers, ObservedRouter};
use protocol::{RouterDemand, RouterStatus};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{watch, Notify};
use transport::now;

/// A router that was not heard of for this long is not counted as there.
const MAX_ROUTER_AGE_MS: u64 = 3_000;

/// A router's heartbeat that waits for the leader's confirmation.
pub struct WaitingHeartbeat {
    /// The session that it came by.
    pub sender: SessionSender,
    /// When it came, by this process's clock.
    pub received_at_ms: u64,
    /// What the router asks for.
    pub demand: RouterDemand,
}

struct KnownRouter {
    report: RouterStatus,
    /// When the report was made, by this process's clock.
    reported_at_ms: u64,
    /// When it first reported that it is draining, by this process's clock.
    draining_since_ms: Option<u64>,
    /// Its session is with this node.
    is_local: bool,
}

impl KnownRouter {
    fn observed(&self, now_ms: u64) -> ObservedRouter {
        ObservedRouter {
            status: RouterStatus {
                age_ms: now_ms.saturating_sub(self.reported_at_ms),
                ..self.report.clone()
            },
            draining_for_ms: self
                .draining_since_ms
                .map(|since_ms| now_ms.saturating_sub(since_ms)),
        }
    }
}

#[derive(Default)]
struct Routers {
    by_name: HashMap<String, KnownRouter>,
    heartbeats: Vec<WaitingHeartbeat>,
    /// The list that was made last.
    shared_list: Option<SharedList>,
}

/// The list of all routers as it was at a version.
#[derive(Clone)]
struct SharedList {
    version: u64,
    routers: Arc<[RouterStatus]>,
}

/// What reports changed of what others are told.
#[derive(Clone, Copy, Default)]
struct Changes {
    /// Of the list that routers get.
    is_list_changed: bool,
    /// Of the routers whose session is with this node, which the other nodes get. One that
    /// is not heard of any more they leave out by themselves.
    is_local_changed: bool,
}

/// Invariant: of several reports of a router the youngest one counts.
pub struct RouterRegistry {
    routers: Mutex<Routers>,
    /// How many routers are known, for the driver's thread.
    count: Arc<AtomicUsize>,
    /// Rises whenever a router came, left, began to drain or got ready.
    list_version: watch::Sender<u64>,
    /// Rises whenever one whose session is here came, began to drain or got ready.
    local_version: watch::Sender<u64>,
    /// Notified when a heartbeat waits for the leader's confirmation.
    pub(crate) heartbeat_arrived: Notify,
}

impl RouterRegistry {
    /// An empty registry that keeps `count` up to date.
    pub fn new(count: Arc<AtomicUsize>) -> RouterRegistry {
        RouterRegistry {
            routers: Mutex::default(),
            count,
            list_version: watch::Sender::new(0),
            local_version: watch::Sender::new(0),
            heartbeat_arrived: Notify::new(),
        }
    }

    /// Takes in a heartbeat of a router whose session is here. Where its report may be
    /// old, that is left out.
    pub fn add_heartbeat(
        &self,
        report: RouterStatus,
        heartbeat: WaitingHeartbeat,
        may_be_old: bool,
    ) {
        let mut routers = self.routers.lock();
        routers.heartbeats.push(heartbeat);
        let changes = match may_be_old {
            true => Changes::default(),
            false => routers.merge(vec![report], true),
        };
        self.publish(&routers, changes);
        drop(routers);
        self.heartbeat_arrived.notify_one();
    }

    /// Takes in what another node reports of its routers.
    pub fn merge_peer_reports(&self, reports: Vec<RouterStatus>) {
        let mut routers = self.routers.lock();
        let changes = routers.merge(reports, false);
        self.publish(&routers, changes);
    }

    /// Versions rise under the lock, so that a list that is made later is of the new one.
    fn publish(&self, routers: &Routers, changes: Changes) {
        self.count.store(routers.by_name.len(), Ordering::Relaxed);
        if changes.is_list_changed {
            self.list_version.send_modify(|version| *version += 1);
        }
        if changes.is_local_changed {
            self.local_version.send_modify(|version| *version += 1);
        }
    }

    /// Changes of the list of routers, as a version that rises.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.list_version.subscribe()
    }

    /// Changes of the routers whose session is with this node, as a version that rises.
    pub fn local_versions(&self) -> watch::Receiver<u64> {
        self.local_version.subscribe()
    }

    /// The routers by name, made once for each version. The reports' ages are of when it was
    /// made.
    pub fn shared_list(&self) -> Arc<[RouterStatus]> {
        let mut routers = self.routers.lock();
        let version = *self.list_version.borrow();
        let is_current = |list: &&SharedList| list.version == version;
        if let Some(list) = routers.shared_list.as_ref().filter(is_current) {
            return Arc::clone(&list.routers);
        }
        let list = SharedList {
            version,
            routers: statuses(routers.list(|_| true)).into(),
        };
        routers.shared_list = Some(list.clone());
        list.routers
    }

    /// How many routers are known.
    pub(crate) fn count(&self) -> usize {
        self.routers.lock().by_name.len()
    }

    /// The routers heard of lately, here or at another node, by name.
    pub(crate) fn list(&self) -> Vec<RouterStatus> {
        statuses(self.list_observed())
    }

    /// The same, with how long each has been draining.
    pub(crate) fn list_observed(&self) -> Vec<ObservedRouter> {
        self.routers.lock().list(|_| true)
    }

    /// Those whose session is with this node.
    pub(crate) fn list_local(&self) -> Vec<RouterStatus> {
        statuses(self.routers.lock().list(|router| router.is_local))
    }

    pub(crate) fn take_heartbeats(&self) -> Vec<WaitingHeartbeat> {
        std::mem::take(&mut self.routers.lock().heartbeats)
    }

    /// Puts heartbeats back to wait for the next confirmation.
    pub(crate) fn requeue(&self, heartbeats: impl Iterator<Item = WaitingHeartbeat>) {
        self.routers.lock().heartbeats.extend(heartbeats);
        self.heartbeat_arrived.notify_one();
    }
}

impl Routers {
    fn merge(&mut self, reports: Vec<RouterStatus>, is_local: bool) -> Changes {
        let now_ms = now();
        let count = self.by_name.len();
        let mut changes = Changes::default();
        for report in reports {
            let reported_at_ms = now_ms.saturating_sub(report.age_ms);
            let known = self.by_name.get(&report.name);
            let is_younger = known.is_none_or(|known| known.reported_at_ms <= reported_at_ms);
            if !is_younger || report.age_ms >= MAX_ROUTER_AGE_MS {
                continue;
            }
            let is_changed = known.is_none_or(|known| !is_same_to_peers(&known.report, &report));
            let has_moved_here = is_local && known.is_none_or(|known| !known.is_local);
            changes.is_list_changed |= is_changed;
            changes.is_local_changed |= has_moved_here || is_local && is_changed;
            let draining_before_ms = known.and_then(|known| known.draining_since_ms);
            let router = KnownRouter {
                draining_since_ms: report
                    .is_draining()
                    .then_some(draining_before_ms.unwrap_or(reported_at_ms)),
                report,
                reported_at_ms,
                is_local,
            };
            self.by_name.insert(router.report.name.clone(), router);
        }
        self.by_name
            .retain(|_, router| now_ms - router.reported_at_ms < MAX_ROUTER_AGE_MS);
        changes.is_list_changed |= self.by_name.len() != count;
        changes
    }

    fn list(&self, is_wanted: impl Fn(&KnownRouter) -> bool) -> Vec<ObservedRouter> {
        let now_ms = now();
        let mut list: Vec<ObservedRouter> = self
            .by_name
            .values()
            .filter(|router| is_wanted(router))
            .map(|router| router.observed(now_ms))
            .filter(|router| router.status.age_ms < MAX_ROUTER_AGE_MS)
            .collect();
        list.sort_by(|one, other| one.status.name.cmp(&other.status.name));
        list
    }
}

fn statuses(routers: Vec<ObservedRouter>) -> Vec<RouterStatus> {
    routers.into_iter().map(|router| router.status).collect()
}
