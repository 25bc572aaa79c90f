//! A directory node: a member of the ledger, which holds residency, resolves
//! and forwards misses, streams events to routers, and answers operators.

mod desk;
mod hub;
mod jobs;
mod links;
mod sessions;
mod windows;

use anyhow::Context;
use ledger::node::Pace;
use ledger::segments::{Folder, Segments};
use ledger::Member;
use parking_lot::Mutex;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use yard::boot::{setting, Boot, Setting};
use yard::counters::Counters;
use yard::dispatch::Dispatcher;
use yard::quota::Quota;
use yard::roster::Roster;

const SETTINGS: &[Setting] = &[
    setting("name", "NAME", "this node's name, unique in the cluster", None),
    setting("region", "NAME", "the region it stands in", None),
    setting("zone", "NAME", "the zone it stands in", None),
    setting("address", "IP:PORT", "where its own kind and the routers reach it", None),
    setting("listen", "IP:PORT", "where it listens, if others reach it elsewhere", Some("")),
    setting("desk", "IP:PORT", "where operators reach it", None),
    setting("data", "FOLDER", "its data folder, its own alone", None),
    setting("seeds", "IP:PORT,...", "addresses of other directory nodes", None),
    setting("voters", "COUNT", "how many voters a leader strives for", Some("5")),
    setting("jobs", "COUNT", "forwarded jobs at a time, at the most", Some("64")),
    setting("bytes", "COUNT", "bytes of forwarded bodies held at a time", Some("16777216")),
    setting("picture-every", "COUNT", "entries between two pictures", Some("1024")),
    setting("level", "LEVEL", "log level: error, warn, info, debug", Some("info")),
];

/// What every part of the node holds on to.
pub struct Desk {
    pub member: Member,
    pub seeds: Vec<SocketAddr>,
    pub source: SocketAddr,
    pub hub: Arc<hub::Hub>,
    pub links: Arc<links::Links>,
    pub counters: Arc<Counters>,
    pub dispatcher: Dispatcher,
    pub fronts: Mutex<sessions::Fronts>,
    /// For jobs whose key no router could read.
    pub quota: Quota,
    pub job_places: Arc<tokio::sync::Semaphore>,
    pub job_bytes: Arc<tokio::sync::Semaphore>,
}

/// The identity of this data folder, drawn when it was first used.
fn identity(folder: &Path) -> anyhow::Result<u64> {
    let path = folder.join("identity");
    if let Ok(text) = std::fs::read_to_string(&path) {
        let text = text.trim();
        return u64::from_str_radix(text, 16)
            .with_context(|| format!("{}: {text:?} is no identity", path.display()));
    }
    let identity = rand::random::<u64>() | 1;
    let part = folder.join("identity.new");
    let mut file = std::fs::File::create(&part)?;
    writeln!(file, "{identity:016x}")?;
    file.sync_all()?;
    std::fs::rename(&part, &path)?;
    std::fs::File::open(folder)?.sync_all()?;
    Ok(identity)
}

fn main() {
    let mut boot = Boot::read(
        "directory",
        "A rushport directory node: holds residency, agrees on it with its equals,\n\
         resolves what routers miss, and answers operators.",
        SETTINGS,
    );
    let (name, region, zone) = (boot.name("name"), boot.name("region"), boot.name("zone"));
    let (address, desk) = (boot.address("address"), boot.address("desk"));
    let listen = boot.address_or("listen", address);
    let data = boot.text("data");
    let seeds = boot.addresses("seeds");
    let voters = boot.count("voters", 1, 9) as usize;
    let jobs = boot.count("jobs", 1, 100_000) as usize;
    let bytes = boot.count("bytes", 1 << 20, 1 << 31) as usize;
    let picture_every = boot.count("picture-every", 16, 1 << 20);
    let level = boot.text("level");
    if address == desk {
        boot.complain("desk", "it can't be the same as `address`");
    }
    boot.finish();
    let run = || -> anyhow::Result<()> {
        yard::logs::start("directory", &name, &level)?;
        let folder = Path::new(&data);
        std::fs::create_dir_all(folder).with_context(|| format!("data folder {data}"))?;
        let lock = std::fs::File::create(folder.join("lock"))?;
        lock.try_lock().with_context(|| format!("{data} is in use by another process"))?;
        let identity = identity(folder)?;
        let log = folder.join("log");
        let (segments, kept) = Segments::open(Folder::open(&log)?).map_err(|error| {
            anyhow::anyhow!(
                "{}: {error}. Nothing was changed. Way back: if the other nodes are well, \
                 move this data folder aside and start the node again; it joins as a new one.",
                log.display()
            )
        })?;
        let member = Member {
            identity,
            name: name.clone(),
            region: region.clone(),
            zone: zone.clone(),
            address: address.to_string(),
            desk: desk.to_string(),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        runtime.block_on(async {
            let counters = Arc::new(Counters::default());
            let links = links::Links::new(member.clone(), listen);
            let pace = Pace { voters, ..Pace::default() };
            let hub = hub::start(
                member.clone(),
                pace,
                picture_every,
                segments,
                kept,
                Arc::clone(&links),
                Arc::clone(&counters),
            )?;
            // Work at cold engines is begun by routers alone.
            let roster = Roster::new(listen, Box::new(Vec::new));
            tokio::spawn(Arc::clone(&roster).run(hub.view.clone()));
            let gate = Arc::clone(&hub);
            let dispatcher = Dispatcher {
                source: listen,
                // Routers wait; a core machine is small.
                room_wait: 0,
                roster,
                view: hub.view.clone(),
                counters: Arc::clone(&counters),
                // Whether a job goes on is decided by the router that has it.
                budget: Box::new(|_| false),
                leave: Arc::new(move |mapping| gate.leave(mapping)),
                carriage: Default::default(),
                lanes: Default::default(),
            };
            let node = Arc::new(Desk {
                member,
                seeds,
                source: listen,
                hub,
                links,
                counters,
                dispatcher,
                fronts: Default::default(),
                quota: Quota::default(),
                job_places: Arc::new(tokio::sync::Semaphore::new(jobs)),
                job_bytes: Arc::new(tokio::sync::Semaphore::new(bytes)),
            });
            let listener = tokio::net::TcpListener::bind(listen)
                .await
                .with_context(|| format!("listening at {listen}"))?;
            let server = desk::serve(Arc::clone(&node), desk)?;
            tokio::spawn(links::accept(Arc::clone(&node), listener));
            tokio::spawn(links::join(Arc::clone(&node)));
            tokio::spawn(sessions::confirm(Arc::clone(&node)));
            tokio::spawn(sessions::gossip(Arc::clone(&node)));
            tokio::spawn(windows::run(Arc::clone(&node)));
            log::info!(identity = format!("{identity:016x}"); "directory node is up at {address}");
            yard::wait_for_end().await?;
            log::info!("stopping");
            node.hub.stop().await;
            // Jobs that are being relayed get a bounded time to finish.
            let until = tokio::time::Instant::now() + Duration::from_secs(20);
            while node.job_places.available_permits() < jobs && tokio::time::Instant::now() < until
            {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            // What is left is cut off; callers see a break.
            drop(tokio::time::timeout(Duration::from_secs(1), server.close()).await);
            anyhow::Ok(())
        })?;
        runtime.shutdown_timeout(Duration::from_millis(200));
        Ok(())
    };
    if let Err(error) = run() {
        eprintln!("directory: {error:#}");
        std::process::exit(1);
    }
}
