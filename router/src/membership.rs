//! The other routers and the directory nodes, as last heard; and the region's
//! shared cache, spread over its routers.

use crate::Router;
use consensus::Member;
use parking_lot::Mutex;
use placement::CacheLookup;
use protocol::{ConnectionKind, Frame, RegistryUpdate, RouterStatus};
use residency::Mapping;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use transport::{link, now};

/// A neighbour that takes longer is a miss.
const LOOK_PATIENCE: Duration = Duration::from_millis(60);

type Looks = Arc<Mutex<HashMap<u64, oneshot::Sender<Option<Mapping>>>>>;

/// Soft knowledge, from what a directory node tells.
#[derive(Default)]
pub struct Membership {
    known: placement::RouterMembership,
    /// The marks of the routers that may begin work at cold engines.
    marks: Vec<u64>,
    /// When it was last told, and since when it has told of this router.
    told: u64,
    listed: Option<u64>,
    links: Mutex<HashMap<SocketAddr, PeerLink>>,
}

/// The others may not know of a router that was not told of for so long, nor it
/// of them: directory nodes tell each other every 375 ms, and the routers every
/// 875 ms, at the latest.
const SETTLED_MS: u64 = 1_300;

impl Membership {
    pub fn take(&mut self, name: &str, news: &RegistryUpdate) {
        let (at, has_gap) = (now(), now() >= self.told + SETTLED_MS);
        self.known.apply(news);
        let is_listed = self.fronts().any(|front| front.name == name);
        self.listed = self
            .listed
            .filter(|_| !has_gap)
            .or(Some(at))
            .filter(|_| is_listed);
        self.told = at;
        if news.is_full || !news.routers.is_empty() || !news.removed_routers.is_empty() {
            let own = policy::stable_hash(name.as_bytes());
            let marks = self
                .known
                .routers()
                .map(|front| policy::stable_hash(front.name.as_bytes()));
            self.marks = std::iter::once(own)
                .chain(marks.filter(|mark| *mark != own))
                .collect();
        }
    }

    pub fn fronts(&self) -> impl Iterator<Item = &RouterStatus> {
        self.known.routers()
    }

    pub fn directories(&self) -> &[Member] {
        self.known.directory_nodes()
    }

    /// How many routers there were when it was last told, this one among them; 0
    /// where it never was.
    pub fn count(&self) -> usize {
        self.marks.len()
    }

    /// The marks of the routers that may begin work at cold engines, this one's
    /// first; none while this one may not.
    pub fn peers(&self) -> Vec<u64> {
        let at = now();
        let is_settled = self.listed.is_some_and(|listed| at >= listed + SETTLED_MS);
        match is_settled && at < self.told + SETTLED_MS {
            true => self.marks.clone(),
            false => Vec::new(),
        }
    }
}

#[derive(Clone)]
struct PeerLink {
    out: mpsc::Sender<Frame>,
    looks: Looks,
}

/// Other routers of the region that share its cache.
pub fn neighbours(router: &Router) -> usize {
    let is_one = |front: &&RouterStatus| {
        front.region == router.settings.region
            && !front.is_draining
            && front.name != router.settings.name
    };
    router.membership.read().fronts().filter(is_one).count()
}

/// The router that holds a key's share of the region's cache, by rendezvous
/// over those of the region. `None`: this one.
fn owner(router: &Router, key: &str) -> Option<SocketAddr> {
    let membership = router.membership.read();
    let own = (router.settings.name.as_str(), None);
    let others = membership
        .fronts()
        .filter(|front| front.region == router.settings.region && !front.is_draining)
        .filter(|front| front.name != router.settings.name)
        .filter_map(|front| Some((front.name.as_str(), Some(front.peer_address.parse().ok()?))));
    let number = |text: &str| policy::stable_hash(text.as_bytes());
    let key = number(key);
    std::iter::once(own)
        .chain(others)
        .max_by_key(|(name, _)| placement::rank(key, number(name)))
        .and_then(|(_, address)| address)
}

fn neighbour(router: &Arc<Router>, to: SocketAddr) -> PeerLink {
    let membership = router.membership.read();
    let mut links = membership.links.lock();
    if let Some(known) = links.get(&to).filter(|known| !known.out.is_closed()) {
        return known.clone();
    }
    let (out, queue) = mpsc::channel(256);
    let fresh = PeerLink {
        out,
        looks: Looks::default(),
    };
    links.insert(to, fresh.clone());
    let (name, source, looks) = (
        router.settings.name.clone(),
        router.settings.peer_listen_address,
        Arc::clone(&fresh.looks),
    );
    tokio::spawn(async move {
        if let Err(error) = carry(source, to, &name, queue, looks).await {
            log::debug!("neighbour {to}: {error:#}");
        }
    });
    fresh
}

async fn carry(
    source: SocketAddr,
    to: SocketAddr,
    name: &str,
    mut queue: mpsc::Receiver<Frame>,
    looks: Looks,
) -> anyhow::Result<()> {
    let stream = link::dial(source, to, ConnectionKind::CacheSharing, name).await?;
    let (mut reader, mut writer) = stream.into_split();
    loop {
        tokio::select! {
            frame = queue.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                link::send(&mut writer, &frame).await?;
            }
            frame = link::receive(&mut reader, 1 << 20) => match frame? {
                Some(Frame::CacheResult { request_id: number, mapping }) => {
                    if let Some(sender) = looks.lock().remove(&number) {
                        drop(sender.send(mapping.into_iter().next()));
                    }
                }
                other => anyhow::bail!("an unexpected frame: {other:?}"),
            },
        }
    }
}

/// Hands a frame to another router, if there is room on the way.
pub fn tell(router: &Arc<Router>, to: SocketAddr, frame: Frame) {
    drop(neighbour(router, to).out.try_send(frame));
}

/// Looks a key up in the region's layer. Failing is a miss.
pub async fn look(router: &Arc<Router>, key: &str) -> CacheLookup<Mapping> {
    let Some(to) = owner(router, key) else {
        return router.cache_tiers.get_regional(key);
    };
    let neighbour = neighbour(router, to);
    let number = rand::random();
    let (sender, receiver) = oneshot::channel();
    neighbour.looks.lock().insert(number, sender);
    let epoch = router.view.borrow().epoch;
    drop(neighbour.out.try_send(Frame::CacheLookup {
        request_id: number,
        key: key.into(),
        epoch,
    }));
    let seen = tokio::time::timeout(LOOK_PATIENCE, receiver).await;
    neighbour.looks.lock().remove(&number);
    match seen {
        Ok(Ok(Some(mapping)))
            if mapping.routing_key() == key && !router.cache_tiers.is_void(&mapping) =>
        {
            match mapping.fresh_ms > 0 {
                true => CacheLookup::Fresh(mapping),
                false => CacheLookup::Stale(mapping),
            }
        }
        Ok(Ok(_)) => CacheLookup::Miss,
        _ => {
            router.metrics.increment("neighbours-silent");
            CacheLookup::Miss
        }
    }
}

/// Writes a mapping to both layers.
pub fn keep(router: &Arc<Router>, mapping: &Mapping) {
    router.cache_tiers.insert_local(mapping);
    match owner(router, &mapping.routing_key()) {
        None => router.cache_tiers.insert_regional(mapping),
        Some(to) => drop(
            neighbour(router, to)
                .out
                .try_send(Frame::CacheStore(mapping.clone())),
        ),
    }
}

pub async fn accept(router: Arc<Router>, listener: TcpListener) {
    link::accept(listener, |stream| serve(Arc::clone(&router), stream)).await;
}

async fn serve(router: Arc<Router>, mut stream: TcpStream) -> anyhow::Result<()> {
    let (kind, name) = link::accept_handshake(&mut stream).await?;
    anyhow::ensure!(
        kind == ConnectionKind::CacheSharing,
        "{name} takes this for a directory node"
    );
    while let Some(frame) = link::receive(&mut stream, 1 << 20).await? {
        match frame {
            Frame::CacheLookup {
                request_id: number,
                key,
                epoch,
            } => {
                // A share that is behind the asking router does not know what is void.
                let is_behind = router.view.borrow().epoch < epoch;
                let hit = if is_behind {
                    CacheLookup::Miss
                } else {
                    router.cache_tiers.get_regional(&key)
                };
                let mapping = match hit {
                    CacheLookup::Fresh(mapping) | CacheLookup::Stale(mapping) => vec![mapping],
                    CacheLookup::Miss => Vec::new(),
                };
                link::send(
                    &mut stream,
                    &Frame::CacheResult {
                        request_id: number,
                        mapping,
                    },
                )
                .await?;
            }
            Frame::CacheStore(mapping) => router.cache_tiers.insert_regional(&mapping),
            Frame::LoadGossip {
                from,
                is_relayed,
                loads,
                cached_prefixes: kept,
            } => {
                crate::load_gossip::take(&router, &from, is_relayed, loads, kept);
            }
            other => anyhow::bail!("an unexpected frame from a neighbour: {other:?}"),
        }
    }
    Ok(())
}
