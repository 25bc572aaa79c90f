//! Routers' sessions: heartbeats in; pictures, changes, leases and company out.

use crate::driver::DriverCommand;
use crate::ControlPlane;
use consensus::Member;
use placement::{is_same_to_peers, RouterMembership};
use protocol::{
    Frame, LookupResponse, PeerRequest, PeerResponse, RouterDemand, RouterGrants, RouterStatus,
    LEASE_MS,
};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use transport::{link, now};

/// A router that was not heard of for this long is not counted as there.
const MAX_ROUTER_AGE_MS: u64 = 3_000;
/// What is new of who is there is told when it changes, and this often in any
/// case, also where it is nothing: a router goes by when it was told last.
const ROUTER_LIST_INTERVAL_MS: u64 = 900;
const GOSSIP_INTERVAL_MS: u64 = 500;
/// How long a confirmation is put off for more heartbeats to come along.
const HEARTBEAT_BATCH_DELAY: Duration = Duration::from_millis(10);
/// How often this node has itself confirmed without a beat.
const LEASE_RENEWAL_MS: u64 = 500;
/// After so long without a frame a connection, or this process, stood still: how old
/// a report that comes next is cannot be told, and the connection is closed. Whoever
/// is there connects again. Invariant: longer than a router's own patience with a
/// session that brings it no lease.
pub const MAX_SILENCE_MS: u64 = 1_300;
/// Frames waiting for one router, at the most.
const QUEUE_LEN: usize = 1024;

/// The routers known here. Soft: from heartbeats, and from what the other nodes
/// tell of theirs. Invariant: the younger report of a router stands.
#[derive(Default)]
pub struct RouterRegistry {
    known: HashMap<String, (RouterStatus, u64, bool)>,
    heartbeats: Vec<WaitingHeartbeat>,
}

/// A router's beat that waits to be confirmed.
struct WaitingHeartbeat {
    sender: mpsc::Sender<Frame>,
    received_at_ms: u64,
    demand: RouterDemand,
}

impl RouterRegistry {
    /// Takes reports in; says whether one came, left, or says something else to the
    /// other routers.
    pub fn take(&mut self, fronts: Vec<RouterStatus>, is_here: bool) -> bool {
        let at = now();
        let count = self.known.len();
        let mut is_other = false;
        for front in fronts {
            let heard = at.saturating_sub(front.age_ms);
            let is_younger = self
                .known
                .get(&front.name)
                .is_none_or(|(_, before, _)| *before <= heard);
            if is_younger && front.age_ms < MAX_ROUTER_AGE_MS {
                let before = self.known.get(&front.name);
                is_other |= before.is_none_or(|(before, _, _)| !is_same_to_peers(before, &front));
                self.known
                    .insert(front.name.clone(), (front, heard, is_here));
            }
        }
        self.known
            .retain(|_, (_, heard, _)| at - *heard < MAX_ROUTER_AGE_MS);
        is_other || self.known.len() != count
    }

    pub fn count(&self) -> usize {
        self.known.len()
    }

    pub fn list(&self, only_here: bool) -> Vec<RouterStatus> {
        let at = now();
        let mut list: Vec<RouterStatus> = self
            .known
            .values()
            .filter(|(_, heard, is_here)| {
                at.saturating_sub(*heard) < MAX_ROUTER_AGE_MS && (*is_here || !only_here)
            })
            .map(|(front, heard, _)| RouterStatus {
                age_ms: at.saturating_sub(*heard),
                ..front.clone()
            })
            .collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }
}

pub async fn serve(
    control: Arc<ControlPlane>,
    stream: TcpStream,
    name: String,
) -> anyhow::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let (out, mut queue) = mpsc::channel::<Frame>(QUEUE_LEN);
    if control.driver.cluster_status.borrow().cluster == 0 {
        let text = "this node belongs to no cluster yet".into();
        return link::send(&mut writer, &Frame::Refused { text }).await;
    }
    // The driver's thread holds the one lasting way out: when it lets go of the
    // session, the session ends.
    let way = out.downgrade();
    if !control.driver.send(DriverCommand::Subscribe(out)) {
        anyhow::bail!("the driver's queue is full");
    }
    log::info!(router = name.as_str(); "router session begins");
    let company = way.clone();
    let teller = Arc::clone(&control);
    let mut changes = control.router_list_version.subscribe();
    let told = tokio::spawn(async move {
        let (mut told, mut last) = (RouterMembership::default(), None);
        while let Some(out) = company.upgrade() {
            // Looked at before the lists: what changes after that is news the next time.
            let seen = *changes.borrow_and_update();
            let members: Vec<Member> = teller
                .driver
                .cluster_status
                .borrow()
                .members
                .all()
                .cloned()
                .collect();
            let news = match last == Some(seen) && members == told.directory_nodes() {
                true => told.empty_update(),
                false => told.update_to(teller.routers.lock().list(false), members),
            };
            // What finds no place is news again the next time.
            last = None;
            if out.try_send(Frame::RegistryUpdate(news.clone())).is_ok() {
                told.apply(&news);
                last = Some(seen);
            }
            drop(out);
            drop(
                tokio::time::timeout(
                    transport::jitter(ROUTER_LIST_INTERVAL_MS),
                    changes.changed(),
                )
                .await,
            );
        }
    });
    let _told = transport::AbortOnDrop(told.abort_handle());
    let writing = async {
        while let Some(frame) = queue.recv().await {
            tokio::time::timeout(link::HANDSHAKE_TIMEOUT * 2, link::send(&mut writer, &frame))
                .await??;
        }
        anyhow::Ok(())
    };
    let reading = async {
        let mut received_at_ms = now();
        while let Some(frame) = link::receive(&mut reader, 1 << 20).await? {
            let silence = now() - std::mem::replace(&mut received_at_ms, now());
            anyhow::ensure!(
                silence < MAX_SILENCE_MS,
                "its frames come {silence} ms late"
            );
            let Some(out) = way.upgrade() else {
                anyhow::bail!("it fell behind")
            };
            match frame {
                Frame::Heartbeat {
                    router: front,
                    demand,
                } => {
                    let mut routers = control.routers.lock();
                    routers.heartbeats.push(WaitingHeartbeat {
                        sender: out,
                        received_at_ms: now(),
                        demand,
                    });
                    // How old a beat is that waited over a standstill can't be told.
                    let may_be_old = control.driver.was_paused_recently();
                    let is_other = !may_be_old && routers.take(vec![front], true);
                    control
                        .driver
                        .routers
                        .store(routers.count(), Ordering::Relaxed);
                    drop(routers);
                    control.heartbeat_arrived.notify_one();
                    if is_other {
                        control.router_list_version.send_modify(|count| *count += 1);
                    }
                }
                Frame::LookupRequest {
                    request_id: number,
                    tenant,
                    service,
                    region,
                } => {
                    control.metrics.increment("resolves");
                    let answer = resolve(&control, &tenant, &service, &region);
                    drop(out.try_send(Frame::LookupResponse {
                        request_id: number,
                        response: answer,
                    }));
                }
                other => anyhow::bail!("an unexpected frame from a router: {other:?}"),
            }
        }
        anyhow::Ok(())
    };
    tokio::select! {
        done = writing => done,
        done = reading => done,
    }
}

fn resolve(control: &ControlPlane, tenant: &str, service: &str, region: &str) -> LookupResponse {
    match control.driver.resolve(tenant, service, region) {
        Some(Ok(mapping)) => LookupResponse::Found(mapping),
        Some(Err((code, text))) => LookupResponse::NotFound {
            code: code.into(),
            text: text.as_str().into(),
        },
        None => LookupResponse::Unavailable,
    }
}

/// Has the leader confirmed, again and again, for all heartbeats that came in and for
/// this node; one question is under way at a time.
pub async fn renew_leases(control: Arc<ControlPlane>) {
    let (mut last, mut number) = (0, 0);
    loop {
        let calm = Duration::from_millis((last + LEASE_RENEWAL_MS).saturating_sub(now()));
        tokio::select! {
            _ = control.heartbeat_arrived.notified() => tokio::time::sleep(HEARTBEAT_BATCH_DELAY).await,
            _ = control.quota.urgent.notified() => {}
            _ = tokio::time::sleep(calm) => {}
        }
        let (heartbeats, at) = (
            std::mem::take(&mut control.routers.lock().heartbeats),
            now(),
        );
        if heartbeats.is_empty() && !control.quota.has_waiters() && at < last + LEASE_RENEWAL_MS {
            continue;
        }
        last = at;
        number += 1;
        let own = control
            .quota
            .lease_demands(&format!("{:016x}", control.member.identity), number);
        let said = heartbeats.iter().map(|beat| &beat.demand).chain([&own]);
        // Where quotas go by pools a router counts as heard also without a demand.
        let is_told =
            |demand: &&RouterDemand| control.has_quota_margin || !demand.demands.is_empty();
        let demands = said.filter(is_told).cloned().collect();
        match control.driver.ask(PeerRequest::ReadIndex { demands }).await {
            PeerResponse::ReadIndex {
                index,
                grants: shares,
            } => {
                let share = |demand: &RouterDemand| {
                    let is_its = |share: &&RouterGrants| {
                        share.router == demand.router && share.heartbeat == demand.heartbeat
                    };
                    shares
                        .iter()
                        .find(is_its)
                        .map_or(Vec::new(), |share| share.grants.clone())
                };
                control
                    .quota
                    .apply_shares(number, at + LEASE_MS, &share(&own));
                for beat in heartbeats {
                    let (number, shares) = (beat.demand.heartbeat, share(&beat.demand));
                    let lease = Frame::Lease {
                        heartbeat: number,
                        epoch: index,
                        grants: shares,
                    };
                    drop(beat.sender.try_send(lease));
                }
            }
            _ => {
                // The heartbeats keep their place while they are of any use.
                let of_use = heartbeats
                    .into_iter()
                    .filter(|beat| at < beat.received_at_ms + LEASE_MS);
                control.routers.lock().heartbeats.extend(of_use);
                control.heartbeat_arrived.notify_one();
                tokio::time::sleep(Duration::from_millis(40)).await;
            }
        }
    }
}

/// Tells the other nodes which routers beat here: at once where that changes,
/// and every so often while there are any.
pub async fn gossip(control: Arc<ControlPlane>) {
    let mut changes = control.router_list_version.subscribe();
    loop {
        let fronts = control.routers.lock().list(true);
        if !fronts.is_empty() {
            let members = control.driver.cluster_status.borrow().members.clone();
            for member in members.all() {
                if member.identity != control.member.identity {
                    let (from, fronts) = (control.member.identity, fronts.clone());
                    control.peers.send(
                        &member.address,
                        Frame::Routers {
                            from,
                            routers: fronts,
                        },
                    );
                }
            }
        }
        drop(tokio::time::timeout(transport::jitter(GOSSIP_INTERVAL_MS), changes.changed()).await);
    }
}
