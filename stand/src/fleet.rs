//! A whole fleet on one machine: real processes, each with a loopback address
//! of its own, from which it also dials.

use crate::children;
use crate::relay::Network;
use anyhow::{anyhow, bail, Context};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use yard::web;

const ADDRESS: u16 = 7100;
const DESK: u16 = 7101;
const DOOR: u16 = 7102;

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Kind {
    Directory,
    Router,
    Engine,
}

/// One process of the fleet, running or not.
pub struct Process {
    pub kind: Kind,
    pub name: String,
    pub region: String,
    pub zone: String,
    /// Where it really is, and dials from.
    pub ip: IpAddr,
    /// Where the others find it.
    known: IpAddr,
    pub args: Vec<String>,
    child: Option<Child>,
    /// It ran before: an engine that returns is cold.
    has_run: bool,
    /// It was asked to stop, and is not waited for yet.
    is_stopping: bool,
}

/// What a deployment shape asks for. Invariant: its book reads.
pub struct Shape {
    pub name: String,
    pub book: OwnedValue,
    /// Tenant to key.
    pub keys: BTreeMap<String, String>,
    /// Zone to count.
    routers: BTreeMap<String, u64>,
    directories: BTreeMap<String, u64>,
    engines: Vec<(String, OwnedValue)>,
}

/// Invariant: every child that was started and not ended is in `processes`,
/// and ends with the fleet, or with this process however that ends.
pub struct Fleet {
    pub shape: Shape,
    pub folder: PathBuf,
    pub processes: BTreeMap<String, Process>,
    pub network: Option<Arc<Network>>,
    _mark: std::net::TcpListener,
}

fn counts(value: &OwnedValue, name: &str) -> anyhow::Result<BTreeMap<String, u64>> {
    let object = value
        .get(name)
        .and_then(|v| v.as_object())
        .ok_or(anyhow!("{name}: an object is missing"))?;
    object
        .iter()
        .map(|(zone, count)| match count.as_u64() {
            Some(count) if count <= 100 => Ok((zone.clone(), count)),
            _ => bail!("{name}.{zone}: a count up to 100 should stand here"),
        })
        .collect()
}

impl Shape {
    pub fn read(path: &Path) -> anyhow::Result<Shape> {
        let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
        Shape::parse(&text).with_context(|| format!("{}", path.display()))
    }

    pub fn parse(text: &str) -> anyhow::Result<Shape> {
        let value = residency::parse_text(text).map_err(|text| anyhow!(text))?;
        let book = value.get("book").ok_or(anyhow!("book: it is missing"))?.clone();
        let read =
            residency::Book::read(&book).map_err(|all| anyhow!("book:\n{}", all.join("\n")))?;
        let (routers, directories) = (counts(&value, "routers")?, counts(&value, "directories")?);
        for zone in routers.keys().chain(directories.keys()) {
            if !read.zones.contains_key(zone) {
                bail!("routers, directories: there is no zone {zone}");
            }
        }
        let object = |name: &str| {
            value
                .get(name)
                .and_then(|v| v.as_object())
                .ok_or(anyhow!("{name}: an object is missing"))
        };
        let mut keys = BTreeMap::new();
        for (tenant, key) in object("keys")?.iter() {
            let key = key.as_str().ok_or(anyhow!("keys.{tenant}: a text should stand here"))?;
            keys.insert(tenant.clone(), key.to_string());
        }
        let mut engines = Vec::new();
        for (cell, engine) in object("engines")?.iter() {
            for kind in
                engine.as_array().ok_or(anyhow!("engines.{cell}: a list should stand here"))?
            {
                engines.push((cell.clone(), kind.clone()));
            }
        }
        engines.sort_by(|a, b| a.0.cmp(&b.0));
        let name = value.get("name").and_then(|v| v.as_str()).unwrap_or("fleet").to_string();
        Ok(Shape { name, book, keys, routers, directories, engines })
    }
}

/// The folder of this build's programs.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent().ok_or(anyhow!("no folder"))?;
    if folder.ends_with("deps") {
        folder = folder.parent().ok_or(anyhow!("no folder"))?;
    }
    let path = folder.join(name);
    anyhow::ensure!(path.exists(), "{} is not there; build the workspace first", path.display());
    Ok(path)
}

/// A second octet that is this fleet's alone, for as long as the listener
/// that marks it as taken is kept.
pub fn free_octet() -> anyhow::Result<(u8, std::net::TcpListener)> {
    let start = std::process::id() as usize;
    for step in 0..200 {
        let octet = 20 + ((start + step) % 200) as u8;
        if let Ok(mark) = std::net::TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), ADDRESS)) {
            return Ok((octet, mark));
        }
    }
    bail!("no free loopback addresses")
}

impl Fleet {
    /// Lays a fleet out, starting nothing.
    pub fn lay(shape: Shape, folder: &Path) -> anyhow::Result<Fleet> {
        let (octet, mark) = free_octet()?;
        let book = residency::Book::read(&shape.book).map_err(|all| anyhow!(all.join("\n")))?;
        let mut fleet = Fleet {
            shape,
            folder: folder.to_path_buf(),
            processes: BTreeMap::new(),
            network: None,
            _mark: mark,
        };
        std::fs::create_dir_all(folder.join("logs"))?;
        let mut next = 0u8;
        let mut ip = |row: u8| {
            next += 1;
            IpAddr::V4(Ipv4Addr::new(127, octet, row, next))
        };
        let mut add = |kind, name: String, zone: &str, ip: IpAddr, args: Vec<String>| {
            let region = book.zones.get(zone).cloned().unwrap_or_default();
            let process = Process {
                kind,
                name: name.clone(),
                region,
                zone: zone.into(),
                ip,
                known: ip,
                args,
                child: None,
                has_run: false,
                is_stopping: false,
            };
            fleet.processes.insert(name, process);
        };
        for (kind, row, word, zones) in [
            (Kind::Directory, 1, "directory", &fleet.shape.directories),
            (Kind::Router, 2, "router", &fleet.shape.routers),
        ] {
            let mut number = 0;
            for (zone, count) in zones {
                for _ in 0..*count {
                    number += 1;
                    add(kind, format!("{word}-{number}"), zone, ip(row), Vec::new());
                }
            }
        }
        let mut number = 0;
        for (cell, engine) in &fleet.shape.engines {
            let field = |name: &str, default: u64| {
                engine.get(name).and_then(|v| v.as_u64()).unwrap_or(default).to_string()
            };
            let zone = book.cells.get(cell).ok_or(anyhow!("engines: there is no cell {cell}"))?;
            let services: Vec<&str> = engine
                .get("services")
                .and_then(|v| v.as_array())
                .map(|list| list.iter().filter_map(|item| item.as_str()).collect())
                .unwrap_or_default();
            for _ in 0..engine.get("count").and_then(|v| v.as_u64()).unwrap_or(1) {
                number += 1;
                let args = vec![
                    cell.clone(),
                    services.join(","),
                    field("slots", 8),
                    field("pieces", 8),
                    field("piece_ms", 15),
                    field("prefill_ms", 80),
                ];
                add(Kind::Engine, format!("engine-{number}"), zone, ip(3), args);
            }
        }
        Ok(fleet)
    }

    /// Puts a relay before every process, so that the network can be cut. To
    /// be done before anything is started.
    pub async fn relay(&mut self) -> anyhow::Result<()> {
        let network = Network::new();
        for process in self.processes.values_mut() {
            let IpAddr::V4(ip) = process.ip else { bail!("the fleet has addresses of version 4") };
            let [first, second, row, last] = ip.octets();
            process.known = IpAddr::V4(Ipv4Addr::new(first, second, row + 100, last));
            let real = SocketAddr::new(process.ip, ADDRESS);
            network.relay(process.address(), real).await?;
        }
        self.network = Some(network);
        Ok(())
    }

    /// The processes that a word stands for: one by its name, those of a zone,
    /// `core` the directory nodes, `fronts` the routers, `nodes` both.
    pub fn named(&self, word: &str) -> anyhow::Result<Vec<String>> {
        let fits = |process: &&Process| match word {
            "core" => process.kind == Kind::Directory,
            "fronts" => process.kind == Kind::Router,
            "nodes" => process.kind != Kind::Engine,
            "all" => true,
            word => process.name == word || process.zone == word,
        };
        let names: Vec<String> =
            self.processes.values().filter(fits).map(|process| process.name.clone()).collect();
        anyhow::ensure!(!names.is_empty(), "the fleet has no {word}");
        Ok(names)
    }

    /// Cuts some processes off from all others, by what they send, by what
    /// they are sent, or both.
    pub fn cut(&self, names: &[String], outward: bool, inward: bool) -> anyhow::Result<()> {
        let network = self.network.as_ref().ok_or(anyhow!("this fleet has no relays"))?;
        let is_inside = |process: &Process| names.contains(&process.name);
        for inside in self.processes.values().filter(|process| is_inside(process)) {
            for outside in self.processes.values().filter(|process| !is_inside(process)) {
                network.cut(outward.then_some((inside.ip, outside.ip)));
                network.cut(inward.then_some((outside.ip, inside.ip)));
            }
        }
        Ok(())
    }

    /// Whether a process was started and not ended from here.
    pub fn is_running(&self, name: &str) -> bool {
        let process = self.get(name);
        process.child.is_some() && !process.is_stopping
    }

    pub fn get(&self, name: &str) -> &Process {
        self.processes.get(name).unwrap_or_else(|| panic!("the fleet has no {name}"))
    }

    pub fn of(&self, kind: Kind) -> Vec<&Process> {
        self.processes.values().filter(|process| process.kind == kind).collect()
    }

    pub fn journals(&self) -> PathBuf {
        self.folder.join("journals")
    }

    fn command(&self, process: &Process) -> anyhow::Result<Command> {
        let address = process.address().to_string();
        let real = SocketAddr::new(process.ip, ADDRESS).to_string();
        let desk = SocketAddr::new(process.ip, DESK).to_string();
        let seeds: Vec<String> = self
            .of(Kind::Directory)
            .iter()
            .take(3)
            .map(|seed| seed.address().to_string())
            .collect();
        let seeds = seeds.join(",");
        let node = [
            ["--name", &process.name],
            ["--region", &process.region],
            ["--zone", &process.zone],
            ["--address", &address],
            ["--desk", &desk],
            ["--seeds", &seeds],
        ];
        let mut command;
        match process.kind {
            Kind::Directory => {
                command = Command::new(program("directory")?);
                let data = self.folder.join("data").join(&process.name);
                command.args(node.as_flattened());
                command.arg("--data").arg(data).args(&process.args);
            }
            Kind::Router => {
                command = Command::new(program("router")?);
                command.args(&process.args);
                let door = process.door().to_string();
                command.args(node.as_flattened());
                command.args(["--door", &door]);
            }
            Kind::Engine => {
                command = Command::new(program("engine")?);
                let [_, _, slots, pieces, piece_ms, prefill_ms] = &process.args[..] else {
                    bail!("an engine has six settings")
                };
                command.args(["--name", &process.name, "--address", &real, "--slots", slots]);
                command.args([
                    "--pieces",
                    pieces,
                    "--piece-ms",
                    piece_ms,
                    "--prefill-ms",
                    prefill_ms,
                ]);
                command.args(["--cold", if process.has_run { "1" } else { "0" }]);
                command
                    .arg("--journal")
                    .arg(self.journals().join(format!("{}.jsonl", process.name)));
            }
        }
        if process.kind != Kind::Engine && real != address {
            command.args(["--listen", &real]);
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("logs").join(format!("{}.log", process.name)))?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(command)
    }

    pub fn start(&mut self, name: &str) -> anyhow::Result<()> {
        let process = self.processes.get_mut(name).ok_or(anyhow!("the fleet has no {name}"))?;
        if let Some(child) = &mut process.child {
            anyhow::ensure!(process.is_stopping, "{name} runs already");
            child.wait()?;
        }
        process.is_stopping = false;
        let child = children::spawn(self.command(self.get(name))?)?;
        let process = self.processes.get_mut(name).expect("looked up above");
        process.child = Some(child);
        process.has_run = true;
        Ok(())
    }

    pub fn start_all(&mut self, kind: Kind) -> anyhow::Result<()> {
        let names: Vec<String> = self.of(kind).iter().map(|p| p.name.clone()).collect();
        for name in &names {
            self.start(name)?;
        }
        Ok(())
    }

    /// Ends a process at once, as a lost machine would.
    pub fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("a process of the fleet");
        if let Some(mut child) = process.child.take() {
            // It may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal. A process that is to freeze has done so when this returns:
    /// on a busy machine its threads may run on for a while.
    pub fn signal(&self, name: &str, signal: nix::sys::signal::Signal) -> anyhow::Result<()> {
        let child = self.get(name).child.as_ref().ok_or(anyhow!("{name} does not run"))?;
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(child.id() as i32), signal)?;
        if signal == nix::sys::signal::Signal::SIGSTOP {
            let begun = Instant::now();
            while !is_stopped(child.id())? {
                anyhow::ensure!(begun.elapsed() < Duration::from_secs(10), "{name} runs on");
                std::thread::yield_now();
            }
        }
        Ok(())
    }

    /// Asks a process to stop.
    pub fn ask_to_stop(&mut self, name: &str) -> anyhow::Result<()> {
        self.signal(name, nix::sys::signal::Signal::SIGTERM)?;
        self.processes.get_mut(name).expect("it was signalled").is_stopping = true;
        Ok(())
    }

    /// Asks a process to stop, and waits for it.
    pub fn stop(&mut self, name: &str) -> anyhow::Result<std::process::ExitStatus> {
        self.ask_to_stop(name)?;
        let process = self.processes.get_mut(name).expect("a process of the fleet");
        Ok(process.child.take().expect("it was signalled").wait()?)
    }

    /// Loses a directory node's disk.
    pub fn wipe(&self, name: &str) -> anyhow::Result<()> {
        Ok(std::fs::remove_dir_all(self.folder.join("data").join(name))?)
    }

    pub fn desks(&self) -> Vec<SocketAddr> {
        self.of(Kind::Directory).iter().map(|process| process.desk()).collect()
    }

    /// Submits a change by whichever desk takes it; gives its epoch.
    pub async fn submit(&self, mut body: OwnedValue) -> anyhow::Result<u64> {
        if body.get("id").is_none() {
            body.insert("id", format!("{:016x}", rand::random::<u64>()))?;
        }
        let mut last = anyhow!("there is no desk");
        for desk in self.desks() {
            match ask(desk, "POST", "/submit", &body).await {
                Ok(answer) => {
                    return answer.get("epoch").and_then(|v| v.as_u64()).ok_or(anyhow!("no epoch"))
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Starts everything, founds the cluster, puts book, keys and engines in
    /// force, and waits until all of it is, everywhere.
    pub async fn up(&mut self) -> anyhow::Result<()> {
        self.start_all(Kind::Engine)?;
        self.start_all(Kind::Directory)?;
        self.start_all(Kind::Router)?;
        let first = self.desks()[0];
        wait(Duration::from_secs(30), "the first desk", async || {
            ask(first, "GET", "/counters", &OwnedValue::null()).await.map(|_| ())
        })
        .await?;
        ask(first, "POST", "/found", &OwnedValue::null()).await?;
        let members = self.of(Kind::Directory).len();
        wait(Duration::from_secs(30), "all voters", async || {
            let status = ask(first, "GET", "/status", &OwnedValue::null()).await?;
            let voters = status.get("members").and_then(|v| v.as_array()).map_or(0, |list| {
                list.iter()
                    .filter(|m| m.get("kind").and_then(|k| k.as_str()) == Some("voter"))
                    .count()
            });
            anyhow::ensure!(voters == members.min(5), "{voters} voters of {members}");
            Ok(())
        })
        .await?;
        self.submit(json!({ "do": "revise", "whole": true, "book": self.shape.book.clone() }))
            .await?;
        for (tenant, key) in &self.shape.keys {
            self.submit(json!({ "do": "key", "tenant": tenant.clone(), "key": key.clone() }))
                .await?;
        }
        let mut epoch = 0;
        for engine in self.of(Kind::Engine) {
            epoch = self.submit(engine.listing("serving")).await?;
        }
        // A node that no majority has confirmed yet takes no job.
        for node in self.of(Kind::Directory) {
            wait(Duration::from_secs(30), &format!("{} confirmed", node.name), async || {
                let status = ask(node.desk(), "GET", "/status", &OwnedValue::null()).await?;
                let is_recent = status.get("recent").and_then(|v| v.as_bool()).unwrap_or(false);
                let at = status.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
                anyhow::ensure!(is_recent && at >= epoch, "it has {at}, recent: {is_recent}");
                Ok(())
            })
            .await?;
        }
        self.in_force(epoch, Duration::from_secs(30)).await
    }

    /// Waits until every running router has an epoch, and sees its engines and
    /// its neighbours.
    pub async fn in_force(&self, epoch: u64, patience: Duration) -> anyhow::Result<()> {
        for router in self.of(Kind::Router).iter().filter(|router| router.child.is_some()) {
            wait(patience, &format!("epoch {epoch} at {}", router.name), async || {
                let vitals = ask(router.desk(), "GET", "/vitals", &OwnedValue::null()).await?;
                let at = vitals.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
                anyhow::ensure!(at >= epoch, "it has {at}");
                let engines = vitals.get("engines").and_then(|v| v.as_array());
                let silent = engines.map_or(0, |list| {
                    list.iter().filter(|e| e.get("running").is_none_or(|v| v.is_null())).count()
                });
                let down = self.of(Kind::Engine).iter().filter(|e| e.child.is_none()).count();
                anyhow::ensure!(silent <= down, "{silent} engines are not heard");
                let near = self.of(Kind::Router);
                let near = near.iter().filter(|r| r.child.is_some() && r.region == router.region);
                let known = vitals.get("neighbours").and_then(|v| v.as_u64()).unwrap_or(0);
                anyhow::ensure!(known + 1 >= near.count() as u64, "{known} neighbours are known");
                Ok(())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the running routers' shares hold so many mappings together.
    pub async fn shared(&self, wanted: u64) -> anyhow::Result<()> {
        wait(Duration::from_secs(20), "the shared layer", async || {
            let mut sum = 0;
            for router in self.of(Kind::Router).iter().filter(|router| router.child.is_some()) {
                let vitals = ask(router.desk(), "GET", "/vitals", &OwnedValue::null()).await?;
                sum += vitals.get("cached_share").and_then(|v| v.as_u64()).unwrap_or(0);
            }
            anyhow::ensure!(sum >= wanted, "they hold {sum}");
            Ok(())
        })
        .await
    }

    /// The sum of one counter over all running processes of a kind.
    pub async fn count(&self, kind: Kind, name: &str) -> anyhow::Result<u64> {
        let mut sum = 0;
        for process in self.of(kind).iter().filter(|process| process.child.is_some()) {
            let counters = ask(process.desk(), "GET", "/counters", &OwnedValue::null()).await?;
            sum += counters.get(name).and_then(|v| v.as_u64()).unwrap_or(0);
        }
        Ok(sum)
    }

    /// The name of the node that leads, as the running nodes see it.
    pub async fn leader(&self) -> anyhow::Result<String> {
        for node in self.of(Kind::Directory).iter().filter(|node| node.child.is_some()) {
            let Ok(status) = ask(node.desk(), "GET", "/status", &OwnedValue::null()).await else {
                continue;
            };
            if status.get("leads").and_then(|v| v.as_bool()) == Some(true) {
                return Ok(node.name.clone());
            }
        }
        bail!("nobody leads")
    }
}

/// Whether every thread of a process is stopped.
fn is_stopped(process: u32) -> anyhow::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{process}/task"))? {
        // One that has ended meanwhile runs no more.
        let Ok(text) = std::fs::read_to_string(thread?.path().join("stat")) else { continue };
        let state = text.rsplit(')').next().unwrap_or("").trim_start();
        if !state.starts_with(['T', 't', 'Z', 'X']) {
            return Ok(false);
        }
    }
    Ok(true)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(mut child) = process.child.take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
    }
}

impl Process {
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.known, ADDRESS)
    }

    pub fn desk(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DESK)
    }

    pub fn door(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DOOR)
    }

    /// The submission that lists this engine.
    pub fn listing(&self, state: &str) -> OwnedValue {
        let services: Vec<String> = self.args[1].split(',').map(String::from).collect();
        json!({
            "do": "engine", "name": self.name.clone(), "address": self.address().to_string(),
            "cell": self.args[0].clone(), "services": services,
            "slots": self.args[2].parse::<u64>().unwrap_or(1), "state": state,
        })
    }
}

/// Asks a desk; anything but 200 is an error that says the answer.
pub async fn ask(
    desk: SocketAddr,
    method: &str,
    target: &str,
    body: &OwnedValue,
) -> anyhow::Result<OwnedValue> {
    let text = if body.is_null() { String::new() } else { body.encode() };
    let patience = Duration::from_secs(12);
    let (status, bytes) = web::ask(desk, method, target, &[], text.into(), patience).await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let value = residency::parse_text(&text).map_err(|text| anyhow!(text))?;
    // A process that is not well says so with 503 and its vitals all the same.
    anyhow::ensure!(status == 200, "{desk}{target} answered {status}: {text}");
    Ok(value)
}

/// Waits for something to come true, asking again and again.
pub async fn wait(
    patience: Duration,
    what: &str,
    mut ask: impl AsyncFnMut() -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let begun = Instant::now();
    loop {
        match ask().await {
            Ok(()) => return Ok(()),
            Err(error) if begun.elapsed() > patience => {
                return Err(error.context(format!("{what} did not come in {patience:?}")))
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
