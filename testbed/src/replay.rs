//! Plays a recorded day: callers by the doors, operators by the desks, and, in
//! a fleet of its own, what happens to machines.

use crate::child_process;
use crate::client::{send_request, ClientOutcome, ClientRequest};
use crate::fleet::{program, Fleet, ProcessKind};
use crate::journal::{self, wall_clock_us, Journal};
use crate::workload::{Action, RecordedRequest, TimedAction};
use checker::{check, Deployment, Finding, Journals, Role};
use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// What callers and operators need to know.
pub struct Targets {
    /// Doors to ask first, with their zones.
    pub doors: Vec<(SocketAddr, String)>,
    pub desks: Vec<SocketAddr>,
    /// The routers' desks, where they can be asked what is in force.
    pub router_desks: Vec<SocketAddr>,
    pub keys: BTreeMap<String, String>,
}

impl Targets {
    pub fn of_fleet(fleet: &Fleet) -> Targets {
        let routers = fleet.of(ProcessKind::Router);
        Targets {
            doors: routers
                .iter()
                .map(|r| (r.client_address(), r.zone.clone()))
                .collect(),
            desks: fleet.operator_addresses(),
            router_desks: routers.iter().map(|r| r.operator_address()).collect(),
            keys: fleet.spec.keys.clone(),
        }
    }
}

type Known = Mutex<BTreeMap<(String, String), (std::time::Instant, Vec<SocketAddr>)>>;

/// A change and its id, with what is to be written of it when the day is over.
struct Submitted {
    line: OwnedValue,
    body: String,
    id: String,
}

struct Stage {
    ends: Targets,
    callers: Journal,
    submitted: Mutex<Vec<Submitted>>,
    /// What `where` said, by tenant and zone; asked again after two seconds.
    known: Known,
}

const CALLER_PATIENCE: Duration = Duration::from_secs(60);
/// How often a caller sends a job, at the most.
const CALLER_ROUNDS: u32 = 4;

impl Stage {
    /// The routers that a caller may use, as a router tells it.
    async fn whereabouts(&self, tenant: &str, zone: &str) -> Vec<SocketAddr> {
        let place = (tenant.to_string(), zone.to_string());
        let fresh = self.known.lock().get(&place).cloned();
        if let Some((_, doors)) = fresh.filter(|(at, _)| at.elapsed() < Duration::from_secs(2)) {
            return doors;
        }
        // A body goes by `where`'s word, or to a door of the caller's own zone.
        let is_near = |door: &&(SocketAddr, String)| door.1 == zone || door.1.is_empty();
        let near: Vec<SocketAddr> = self
            .ends
            .doors
            .iter()
            .filter(is_near)
            .map(|door| door.0)
            .collect();
        let mut known = near.clone();
        known.truncate(3);
        known.extend(
            self.ends
                .doors
                .iter()
                .filter(|door| !is_near(door))
                .map(|door| door.0),
        );
        let key = self.ends.keys.get(tenant).cloned().unwrap_or_default();
        for door in known.into_iter().take(6) {
            let target = format!("/where?zone={zone}");
            let headers = [("x-tenant-key", key.as_str())];
            let patience = Duration::from_secs(1);
            let answer = transport::http_client::send_request(
                door,
                "GET",
                &target,
                &headers,
                Vec::new(),
                patience,
            )
            .await;
            let Ok((200, mut bytes)) = answer else {
                continue;
            };
            let value = simd_json::to_owned_value(&mut bytes).unwrap_or_default();
            let list = value
                .get("routers")
                .and_then(|v| v.as_array())
                .cloned()
                .unwrap_or_default();
            let doors: Vec<SocketAddr> = list
                .iter()
                .filter_map(|router| router.get("door")?.as_str()?.parse().ok())
                .collect();
            if !doors.is_empty() {
                self.known
                    .lock()
                    .insert(place, (std::time::Instant::now(), doors.clone()));
                return doors;
            }
        }
        near
    }

    /// A caller's job, over all rounds that the caller makes of it: again where
    /// it was told that nothing ran, when it was told to, and where it may run
    /// twice also after an outcome that is not known. Some come back at once.
    async fn job(&self, root: String, job: RecordedRequest, salt: u64) {
        let key = self.ends.keys.get(&job.tenant).cloned().unwrap_or_default();
        let sent = |text: &str| text.replace("@tenant", &key);
        let is_rude = salt % 50 == 7;
        for round in 0..CALLER_ROUNDS {
            let id = if round == 0 {
                root.clone()
            } else {
                format!("{root}-r{round}")
            };
            let work = ClientRequest {
                id,
                method: job.method.clone(),
                target: sent(&job.target),
                headers: job
                    .headers
                    .iter()
                    .map(|(n, v)| (n.clone(), sent(v)))
                    .collect(),
                body: job.bytes(&key, salt),
            };
            let told = match self.round(&root, &job, &work).await {
                ClientOutcome::Rejected {
                    outcome,
                    retry_after,
                    ..
                } if outcome == "not-run" || !job.must_not_repeat => retry_after,
                ClientOutcome::ConnectFailed => Some(1),
                ClientOutcome::Truncated | ClientOutcome::NoResponse(_) if !job.must_not_repeat => {
                    Some(1)
                }
                _ => None,
            };
            let Some(seconds) = told else { return };
            if !is_rude {
                tokio::time::sleep(transport::jitter(seconds * 1000)).await;
            }
        }
    }

    /// One round of a job, written down.
    async fn round(
        &self,
        root: &str,
        job: &RecordedRequest,
        work: &ClientRequest,
    ) -> ClientOutcome {
        let at = wall_clock_us();
        let mut seen = ClientOutcome::ConnectFailed;
        let mut used = None;
        for door in self
            .whereabouts(&job.tenant, &job.zone)
            .await
            .into_iter()
            .take(3)
        {
            used = Some(door);
            seen = send_request(door, work, CALLER_PATIENCE).await;
            // Nothing was sent to a router that can't be reached.
            if seen != ClientOutcome::ConnectFailed {
                break;
            }
        }
        let mut line = json!({
            "at": at, "done": wall_clock_us(), "job": work.id.clone(), "root": root,
            "tenant": job.tenant.clone(), "zone": job.zone.clone(),
            "service": job.service.clone(), "once": job.must_not_repeat,
            "door": used.map(|door| door.to_string()),
        });
        let mut put = |name: &str, value: OwnedValue| {
            line.insert(name, value).expect("a line is an object");
        };
        match &seen {
            ClientOutcome::Complete { engine, run, .. } => {
                put("seen", "whole".into());
                put("engine", engine.clone().into());
                put("run", (*run).into());
            }
            ClientOutcome::Rejected {
                status,
                outcome,
                code,
                retry_after,
            } => {
                put("seen", "refused".into());
                put("status", u64::from(*status).into());
                put("outcome", outcome.clone().into());
                put("code", code.clone().into());
                put("retry_after", (*retry_after).into());
            }
            ClientOutcome::Truncated => put("seen", "broken".into()),
            ClientOutcome::ConnectFailed => put("seen", "unreached".into()),
            ClientOutcome::NoResponse(text) => {
                put("seen", "lost".into());
                put("text", text.clone().into());
            }
            ClientOutcome::Corrupt(text) => {
                put("seen", "wrong".into());
                put("text", text.clone().into());
            }
        }
        self.callers.note(line);
        seen
    }

    /// Submits a change by the operators' command line, again and again under
    /// one id until the outcome is known.
    async fn operator(&self, change: OwnedValue) {
        let mut line = json!({ "at": wall_clock_us() });
        for field in ["do", "zone", "name", "tenant", "state", "book"] {
            if let Some(value) = change.get(field) {
                line.insert(field, value.clone())
                    .expect("a line is an object");
            }
        }
        let mut body = change;
        if body.get("do").and_then(|v| v.as_str()) == Some("key-gone") {
            drop(body.remove("tenant"));
        }
        let body = body.encode();
        let id = format!("{:016x}", rand::random::<u64>());
        let submitted = |line| Submitted {
            line,
            body: body.clone(),
            id: id.clone(),
        };
        let desks: Vec<String> = self
            .ends
            .desks
            .iter()
            .map(|desk| desk.to_string())
            .collect();
        let desks = desks.join(",");
        let until = std::time::Instant::now() + Duration::from_secs(30);
        let mut last = String::new();
        while std::time::Instant::now() < until {
            let (body, id, desks) = (body.clone(), id.clone(), desks.clone());
            let command = tokio::task::spawn_blocking(move || {
                operator(&["--operator-api", &desks, "--id", &id, "submit"], &body)
            });
            let (is_done, text) = match command.await.expect("the command is waited for") {
                Ok(done) => done,
                Err(error) => (false, format!("{error:#}")),
            };
            let epoch = text.strip_prefix("acknowledged: epoch ").and_then(|rest| {
                rest.split(|c: char| !c.is_ascii_digit())
                    .next()?
                    .parse::<u64>()
                    .ok()
            });
            if let Some(epoch) = epoch.filter(|_| is_done) {
                line.insert("acknowledged", wall_clock_us())
                    .expect("an object");
                line.insert("epoch", epoch).expect("an object");
                line.insert("repeated", text.contains("a repeat"))
                    .expect("an object");
                let ms = self.in_force(epoch).await;
                line.insert("in_force_ms", ms).expect("an object");
                return self.submitted.lock().push(submitted(line));
            }
            last = text;
            if ["(400)", "(409)", "(422)"]
                .iter()
                .any(|code| last.contains(code))
            {
                line.insert("refused", last).expect("an object");
                return self.submitted.lock().push(submitted(line));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        line.insert("lost", last).expect("an object");
        self.submitted.lock().push(submitted(line));
    }

    /// When the day is over, every change that was acknowledged is submitted
    /// once more: it must be known, by the same epoch.
    async fn remember(&self, journal: &Journal) {
        let all = std::mem::take(&mut *self.submitted.lock());
        for Submitted { mut line, body, id } in all {
            if line.get("epoch").is_some() {
                let epoch = self.remembered(&body, &id).await;
                line.insert("remembered", epoch)
                    .expect("a line is an object");
            }
            journal.note(line);
        }
    }

    async fn remembered(&self, body: &str, id: &str) -> Option<u64> {
        let mut body = residency::parse_json(body).expect("it was submitted before");
        body.insert("id", id).expect("a proposal is an object");
        let until = std::time::Instant::now() + Duration::from_secs(15);
        while std::time::Instant::now() < until {
            for desk in &self.ends.desks {
                if let Ok(answer) =
                    crate::fleet::operator_request(*desk, "POST", "/submit", &body).await
                {
                    return answer.get("epoch").and_then(|v| v.as_u64());
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// How long after its acknowledgement a change is in force at every router
    /// that dispatches. `None`: not within ten seconds.
    async fn in_force(&self, epoch: u64) -> Option<u64> {
        let begun = std::time::Instant::now();
        let mut asked = tokio::task::JoinSet::new();
        for desk in self.ends.router_desks.clone() {
            asked.spawn(async move {
                loop {
                    let patience = Duration::from_millis(500);
                    let answer = transport::http_client::send_request(
                        desk,
                        "GET",
                        "/vitals",
                        &[],
                        Vec::new(),
                        patience,
                    )
                    .await;
                    // A router that can't be asked, or is not well, dispatches
                    // nothing.
                    let Ok((200, mut bytes)) = answer else {
                        return Some(0);
                    };
                    let value = simd_json::to_owned_value(&mut bytes).unwrap_or_default();
                    if value.get("epoch").and_then(|v| v.as_u64()) >= Some(epoch) {
                        return Some(begun.elapsed().as_millis() as u64);
                    }
                    if begun.elapsed() > Duration::from_secs(10) {
                        return None;
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
        }
        let mut worst = Some(0);
        while let Some(took) = asked.join_next().await {
            let took = took.expect("asking does not panic");
            worst = worst.and_then(|worst| took.map(|took| worst.max(took)));
        }
        worst
    }
}

/// Runs the operators' command line: whether it ended well, and what it said.
fn operator(args: &[&str], input: &str) -> anyhow::Result<(bool, String)> {
    let mut command = Command::new(program("rushctl")?);
    command.args(args);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = child_process::spawn(command)?;
    let mut stdin = child.stdin.take().expect("it is piped");
    stdin.write_all(input.as_bytes())?;
    drop(stdin);
    let output = child.wait_with_output()?;
    let text = if output.status.success() {
        output.stdout
    } else {
        output.stderr
    };
    Ok((
        output.status.success(),
        String::from_utf8_lossy(&text).into_owned(),
    ))
}

/// What is done to machines or the network by a day's line. `leader` stands
/// for whoever leads, `killed` for those killed last; the other words are those
/// of `Fleet::named`.
async fn machine(
    fleet: &mut Fleet,
    standing: &mut Standing,
    action: &str,
    word: &str,
) -> anyhow::Result<()> {
    use nix::sys::signal::Signal;
    let names = match word {
        // With nobody leading it stands for nobody.
        "leader" => fleet.leader().await.into_iter().collect(),
        "killed" => standing.killed.clone(),
        word => fleet.resolve(word)?,
    };
    match action {
        "cut" | "cut-out" | "cut-in" => {
            standing.is_cut = true;
            fleet.partition(&names, action != "cut-in", action != "cut-out")?;
        }
        "heal" | "restore" => {
            standing.is_cut = false;
            let network = fleet.network.as_ref();
            network
                .ok_or(anyhow::anyhow!("this fleet has no relays"))?
                .heal();
        }
        "kill" | "stop" => standing.killed = names.clone(),
        _ => {}
    }
    for name in &names {
        let is_running = fleet.is_running(name);
        match action {
            "kill" => {
                fleet.kill(name);
                standing.frozen.remove(name);
            }
            "start" if !is_running => fleet.start(name)?,
            "freeze" if is_running => {
                fleet.signal(name, Signal::SIGSTOP)?;
                standing.frozen.insert(name.clone());
            }
            "thaw" | "restore" if is_running => {
                fleet.signal(name, Signal::SIGCONT)?;
                standing.frozen.remove(name);
            }
            "restore" => fleet.start(name)?,
            // Not waited for here, so that the day goes on.
            "stop" if is_running => fleet.request_stop(name)?,
            "wipe" if fleet.get(name).kind == ProcessKind::Directory && !is_running => {
                fleet.delete_data(name)?
            }
            _ => {}
        }
    }
    let is_down = fleet.processes.keys().any(|name| !fleet.is_running(name));
    let all_well = !is_down && standing.frozen.is_empty() && !standing.is_cut;
    standing
        .journal
        .note(json!({ "action": action, "names": names, "all_well": all_well }));
    Ok(())
}

/// How the machines stand by what was done to them.
struct Standing {
    killed: Vec<String>,
    frozen: BTreeSet<String>,
    is_cut: bool,
    journal: Journal,
}

/// Plays a day. Journals go into `folder`; all jobs have ended when this
/// returns.
pub async fn play(
    ends: Targets,
    mut fleet: Option<&mut Fleet>,
    day: Vec<TimedAction>,
    folder: &Path,
) -> anyhow::Result<()> {
    let stage = Arc::new(Stage {
        ends,
        callers: Journal::open(&folder.join("callers.jsonl"))?,
        submitted: Mutex::default(),
        known: Mutex::default(),
    });
    let operators = Journal::open(&folder.join("operators.jsonl"))?;
    let mut standing = Standing {
        killed: Vec::new(),
        frozen: BTreeSet::new(),
        is_cut: false,
        journal: Journal::open(&folder.join("machines.jsonl"))?,
    };
    let begun = tokio::time::Instant::now();
    let mark = rand::random::<u32>();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, action) in day.into_iter().enumerate() {
        tokio::time::sleep_until(begun + Duration::from_millis(action.at_ms)).await;
        let stage = Arc::clone(&stage);
        match action.action {
            Action::Request(job) => {
                let id = format!("{mark:08x}-{number}");
                tasks.spawn(async move { stage.job(id, job, number as u64).await });
            }
            Action::OperatorChange(change) => {
                tasks.spawn(async move { stage.operator(change).await });
            }
            Action::Machine { action, name } => match &mut fleet {
                Some(fleet) => machine(fleet, &mut standing, &action, &name).await?,
                None => anyhow::bail!("{action} {name}: this replay has no fleet of its own"),
            },
        }
        while tasks.try_join_next().is_some() {}
    }
    while let Some(done) = tasks.join_next().await {
        done?;
    }
    stage.remember(&operators).await;
    Ok(())
}

/// Reads the journals of a fleet's run and checks them.
pub fn check_rules(fleet: &Fleet, folder: &Path) -> anyhow::Result<(Journals, Vec<Finding>)> {
    let mut journals = Journals {
        clients: journal::read(&folder.join("callers.jsonl"))?,
        operators: journal::read(&folder.join("operators.jsonl"))?,
        machines: journal::read(&folder.join("machines.jsonl"))?,
        ..Journals::default()
    };
    let mut processes = Vec::new();
    for process in fleet.processes.values() {
        let path = fleet.journals().join(format!("{}.jsonl", process.name));
        let is_engine = process.kind == ProcessKind::Engine;
        if is_engine && path.exists() {
            journals.engines.extend(journal::read(&path)?);
        }
        let log = fleet
            .folder
            .join("logs")
            .join(format!("{}.log", process.name));
        if !is_engine && log.exists() {
            journals
                .nodes
                .extend(journal::read_log(&process.name, &log)?);
        }
        let slots = process.args.get(2).and_then(|text| text.parse().ok());
        processes.push(checker::Process {
            name: &process.name,
            role: match is_engine {
                true => Role::Engine {
                    slots: slots.unwrap_or(0),
                },
                false => Role::Node,
            },
            region: &process.region,
            zone: &process.zone,
        });
    }
    journals
        .nodes
        .sort_by_key(|line| line.get("at").and_then(|v| v.as_u64()));
    let topology = residency::Topology::from_json(&fleet.spec.topology)?;
    let deployment = Deployment::new(&topology, processes.into_iter());
    let findings = check(&deployment, &journals);
    Ok((journals, findings))
}

/// Counts by outcome, and the shares that tell how the path was used.
pub async fn summary(fleet: &Fleet, journals: &Journals) -> anyhow::Result<String> {
    let text = |line: &OwnedValue, name: &str| {
        line.get(name)
            .and_then(|v| v.as_str())
            .unwrap_or("")
            .to_string()
    };
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for line in &journals.clients {
        let mut words = vec![text(line, "service"), text(line, "seen")];
        if words[1] == "refused" {
            words.push(text(line, "outcome"));
            words.push(text(line, "code"));
        }
        *outcomes.entry(words.join(" ")).or_default() += 1;
    }
    let mut out = format!("jobs: {}\n", journals.clients.len());
    for (words, count) in outcomes {
        out.push_str(&format!("  {words:<44} {count}\n"));
    }
    let mut counts = BTreeMap::new();
    for name in [
        "jobs",
        "own-fresh",
        "own-stale",
        "shared-fresh",
        "shared-stale",
        "misses",
        "joined",
        "forwards",
        "handed-back",
        "key-only",
        "refreshes",
        "unkeyed",
        "dispatches",
        "retries",
        "connect-failed",
        "declined",
        "answers-lost",
        "refused-no-room",
    ] {
        counts.insert(name, fleet.count(ProcessKind::Router, name).await?);
    }
    let count = |name: &str| counts.get(name).copied().unwrap_or(0) as f64;
    let looked = count("own-fresh")
        + count("own-stale")
        + count("shared-fresh")
        + count("shared-stale")
        + count("misses");
    let share = |part: f64, whole: f64| {
        if whole > 0.0 {
            100.0 * part / whole
        } else {
            0.0
        }
    };
    let event = |name: &str| {
        journals
            .engines
            .iter()
            .filter(|line| text(line, "event") == name)
            .count() as f64
    };
    out.push_str(&format!(
        "looked up: own cache {:.1} %, region's cache {:.1} %, misses {:.1} % (of {looked})\n",
        share(count("own-fresh") + count("own-stale"), looked),
        share(count("shared-fresh") + count("shared-stale"), looked),
        share(count("misses"), looked),
    ));
    out.push_str(&format!(
        "directory calls: {:.2} per hundred jobs (forwards {}, key alone {}, refreshes {})\n",
        share(
            count("forwards") + count("key-only") + count("refreshes"),
            count("jobs")
        ),
        count("forwards"),
        count("key-only"),
        count("refreshes"),
    ));
    let (warm, cold) = (event("begun-warm"), event("begun-cold"));
    out.push_str(&format!(
        "begun on a warm prefix: {:.1} % of {}\n",
        share(warm, warm + cold),
        warm + cold
    ));
    out.push_str(&format!(
        "further rounds: {:.2} % of jobs\n",
        share(
            event("received") - journals.clients.len() as f64,
            journals.clients.len() as f64
        )
        .max(0.0)
    ));
    let mut spread: Vec<u64> = journals
        .operators
        .iter()
        .filter_map(|line| line.get("in_force_ms").and_then(|v| v.as_u64()))
        .collect();
    spread.sort_unstable();
    out.push_str(&format!(
        "changes: {} acknowledged of {}; in force everywhere after ms: {spread:?}\n",
        journals
            .operators
            .iter()
            .filter(|line| line.get("acknowledged").is_some())
            .count(),
        journals.operators.len(),
    ));
    out.push_str(&format!("counters: {counts:?}\n"));
    Ok(out)
}
