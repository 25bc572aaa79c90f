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
pub(crate) struct WaitingHeartbeat {
    pub(crate) sender: SessionSender,
    pub(crate) received_at_ms: u64,
    pub(crate) demand: RouterDemand,
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
}

/// Invariant: of several reports of a router the youngest one counts.
pub(crate) struct RouterRegistry {
    routers: Mutex<Routers>,
    /// How many routers are known, for the driver's thread.
    count: Arc<AtomicUsize>,
    /// Rises whenever a router came, left, began to drain or got ready.
    list_version: watch::Sender<u64>,
    /// Notified when a heartbeat waits for the leader's confirmation.
    pub(crate) heartbeat_arrived: Notify,
}

impl RouterRegistry {
    /// An empty registry that keeps `count` up to date.
    pub(crate) fn new(count: Arc<AtomicUsize>) -> RouterRegistry {
        RouterRegistry {
            routers: Mutex::default(),
            count,
            list_version: watch::Sender::new(0),
            heartbeat_arrived: Notify::new(),
        }
    }

    /// Takes in a heartbeat of a router whose session is here. Where its report may be
    /// old, that is left out.
    pub(crate) fn add_heartbeat(
        &self,
        report: RouterStatus,
        heartbeat: WaitingHeartbeat,
        may_be_old: bool,
    ) {
        let mut routers = self.routers.lock();
        routers.heartbeats.push(heartbeat);
        let is_changed = !may_be_old && routers.merge(vec![report], true);
        self.count.store(routers.by_name.len(), Ordering::Relaxed);
        drop(routers);
        self.heartbeat_arrived.notify_one();
        self.bump_version(is_changed);
    }

    /// Takes in what another node reports of its routers.
    pub(crate) fn merge_peer_reports(&self, reports: Vec<RouterStatus>) {
        let mut routers = self.routers.lock();
        let is_changed = routers.merge(reports, false);
        self.count.store(routers.by_name.len(), Ordering::Relaxed);
        drop(routers);
        self.bump_version(is_changed);
    }

    fn bump_version(&self, is_changed: bool) {
        if is_changed {
            self.list_version.send_modify(|version| *version += 1);
        }
    }

    /// Changes of the list of routers, as a version that rises.
    pub(crate) fn versions(&self) -> watch::Receiver<u64> {
        self.list_version.subscribe()
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
    /// Merges reports; true where the list that the other routers get has changed.
    fn merge(&mut self, reports: Vec<RouterStatus>, is_local: bool) -> bool {
        let now_ms = now();
        let count = self.by_name.len();
        let mut is_changed = false;
        for report in reports {
            let reported_at_ms = now_ms.saturating_sub(report.age_ms);
            let known = self.by_name.get(&report.name);
            let is_younger = known.is_none_or(|known| known.reported_at_ms <= reported_at_ms);
            if !is_younger || report.age_ms >= MAX_ROUTER_AGE_MS {
                continue;
            }
            is_changed |= known.is_none_or(|known| !is_same_to_peers(&known.report, &report));
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
        is_changed || self.by_name.len() != count
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
