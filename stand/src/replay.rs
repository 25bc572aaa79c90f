//! Plays a recorded day: callers by the doors, operators by the desks, and, in
//! a fleet of its own, what happens to machines.

use crate::caller::{call, Call, Seen};
use crate::checker::{check, Finding, Ground, Journals};
use crate::day::{Job, Moment, What};
use crate::fleet::{program, Fleet, Kind};
use crate::journal::{self, wall, Journal};
use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// What callers and operators need to know.
pub struct Ends {
    /// Doors to ask first, with their zones.
    pub doors: Vec<(SocketAddr, String)>,
    pub desks: Vec<SocketAddr>,
    /// The routers' desks, where they can be asked what is in force.
    pub router_desks: Vec<SocketAddr>,
    pub keys: BTreeMap<String, String>,
}

impl Ends {
    pub fn of(fleet: &Fleet) -> Ends {
        let routers = fleet.of(Kind::Router);
        Ends {
            doors: routers.iter().map(|r| (r.door(), r.zone.clone())).collect(),
            desks: fleet.desks(),
            router_desks: routers.iter().map(|r| r.desk()).collect(),
            keys: fleet.shape.keys.clone(),
        }
    }
}

type Known = Mutex<BTreeMap<(String, String), (std::time::Instant, Vec<SocketAddr>)>>;

struct Stage {
    ends: Ends,
    callers: Journal,
    operators: Journal,
    /// What `where` said, by tenant and zone; asked again after two seconds.
    known: Known,
}

const CALLER_PATIENCE: Duration = Duration::from_secs(60);

impl Stage {
    /// The routers that a caller may use, as a router tells it.
    async fn whereabouts(&self, tenant: &str, zone: &str) -> Vec<SocketAddr> {
        let place = (tenant.to_string(), zone.to_string());
        let fresh = self.known.lock().get(&place).cloned();
        if let Some((_, doors)) = fresh.filter(|(at, _)| at.elapsed() < Duration::from_secs(2)) {
            return doors;
        }
        let mut near: Vec<SocketAddr> =
            self.ends.doors.iter().filter(|door| door.1 == zone).map(|door| door.0).collect();
        near.extend(self.ends.doors.iter().filter(|door| door.1 != zone).map(|door| door.0));
        let key = self.ends.keys.get(tenant).cloned().unwrap_or_default();
        for door in near.clone().into_iter().take(4) {
            let target = format!("/where?zone={zone}");
            let headers = [("x-tenant-key", key.as_str())];
            let patience = Duration::from_secs(2);
            let answer = yard::web::ask(door, "GET", &target, &headers, Vec::new(), patience).await;
            let Ok((200, mut bytes)) = answer else { continue };
            let value = simd_json::to_owned_value(&mut bytes).unwrap_or_default();
            let list = value.get("routers").and_then(|v| v.as_array()).cloned().unwrap_or_default();
            let doors: Vec<SocketAddr> = list
                .iter()
                .filter_map(|router| router.get("door")?.as_str()?.parse().ok())
                .collect();
            if !doors.is_empty() {
                self.known.lock().insert(place, (std::time::Instant::now(), doors.clone()));
                return doors;
            }
        }
        near
    }

    async fn job(&self, id: String, job: Job, salt: u64) {
        let key = self.ends.keys.get(&job.tenant).cloned().unwrap_or_default();
        let sent = |text: &str| text.replace("@tenant", &key);
        let work = Call {
            id: id.clone(),
            method: job.method.clone(),
            target: sent(&job.target),
            headers: job.headers.iter().map(|(n, v)| (n.clone(), sent(v))).collect(),
            body: job.bytes(&key, salt),
        };
        let at = wall();
        let mut seen = Seen::Unreached;
        let mut used = None;
        for door in self.whereabouts(&job.tenant, &job.zone).await.into_iter().take(3) {
            used = Some(door);
            seen = call(door, &work, CALLER_PATIENCE).await;
            // Nothing was sent to a router that can't be reached.
            if seen != Seen::Unreached {
                break;
            }
        }
        let mut line = json!({
            "at": at, "done": wall(), "job": id, "tenant": job.tenant, "zone": job.zone,
            "service": job.service, "once": job.is_once,
            "door": used.map(|door| door.to_string()),
        });
        let mut put = |name: &str, value: OwnedValue| {
            line.insert(name, value).expect("a line is an object");
        };
        match seen {
            Seen::Whole { engine, run, .. } => {
                put("seen", "whole".into());
                put("engine", engine.into());
                put("run", run.into());
            }
            Seen::Refused { status, outcome, code } => {
                put("seen", "refused".into());
                put("status", u64::from(status).into());
                put("outcome", outcome.into());
                put("code", code.into());
            }
            Seen::Broken => put("seen", "broken".into()),
            Seen::Unreached => put("seen", "unreached".into()),
            Seen::Lost(text) => {
                put("seen", "lost".into());
                put("text", text.into());
            }
            Seen::Wrong(text) => {
                put("seen", "wrong".into());
                put("text", text.into());
            }
        }
        self.callers.note(line);
    }

    /// Submits a change by the operators' command line, again and again under
    /// one id until the outcome is known.
    async fn operator(&self, change: OwnedValue) {
        let mut line = json!({ "at": wall() });
        for field in ["do", "zone", "name", "tenant", "state"] {
            if let Some(value) = change.get(field) {
                line.insert(field, value.clone()).expect("a line is an object");
            }
        }
        let mut body = change;
        if body.get("do").and_then(|v| v.as_str()) == Some("key-gone") {
            drop(body.remove("tenant"));
        }
        let body = body.encode();
        let id = format!("{:016x}", rand::random::<u64>());
        let desks: Vec<String> = self.ends.desks.iter().map(|desk| desk.to_string()).collect();
        let desks = desks.join(",");
        let until = std::time::Instant::now() + Duration::from_secs(30);
        let mut last = String::new();
        while std::time::Instant::now() < until {
            let (body, id, desks) = (body.clone(), id.clone(), desks.clone());
            let command = tokio::task::spawn_blocking(move || {
                operator(&["--desk", &desks, "--id", &id, "submit"], &body)
            });
            let (is_done, text) = match command.await.expect("the command is waited for") {
                Ok(done) => done,
                Err(error) => (false, format!("{error:#}")),
            };
            let epoch = text.strip_prefix("acknowledged: epoch ").and_then(|rest| {
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            });
            if let Some(epoch) = epoch.filter(|_| is_done) {
                line.insert("acknowledged", wall()).expect("an object");
                line.insert("epoch", epoch).expect("an object");
                line.insert("repeated", text.contains("a repeat")).expect("an object");
                let ms = self.in_force(epoch).await;
                line.insert("in_force_ms", ms).expect("an object");
                return self.operators.note(line);
            }
            last = text;
            if ["(400)", "(409)", "(422)"].iter().any(|code| last.contains(code)) {
                line.insert("refused", last).expect("an object");
                return self.operators.note(line);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        line.insert("lost", last).expect("an object");
        self.operators.note(line);
    }

    /// How long after its acknowledgement a change is in force at every router
    /// that dispatches. `None`: not within ten seconds, or nobody to ask.
    async fn in_force(&self, epoch: u64) -> Option<u64> {
        let begun = std::time::Instant::now();
        for desk in &self.ends.router_desks {
            loop {
                let patience = Duration::from_millis(500);
                let answer =
                    yard::web::ask(*desk, "GET", "/vitals", &[], Vec::new(), patience).await;
                // A router that can't be asked, or is not well, dispatches
                // nothing.
                let Ok((200, mut bytes)) = answer else { break };
                let value = simd_json::to_owned_value(&mut bytes).unwrap_or_default();
                if value.get("epoch").and_then(|v| v.as_u64()) >= Some(epoch) {
                    break;
                }
                if begun.elapsed() > Duration::from_secs(10) {
                    return None;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        (!self.ends.router_desks.is_empty()).then(|| begun.elapsed().as_millis() as u64)
    }
}

/// Runs the operators' command line: whether it ended well, and what it said.
fn operator(args: &[&str], input: &str) -> anyhow::Result<(bool, String)> {
    let mut child = std::process::Command::new(program("operator")?)
        .args(args)
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()?;
    let mut stdin = child.stdin.take().expect("it is piped");
    stdin.write_all(input.as_bytes())?;
    drop(stdin);
    let output = child.wait_with_output()?;
    let text = if output.status.success() { output.stdout } else { output.stderr };
    Ok((output.status.success(), String::from_utf8_lossy(&text).into_owned()))
}

/// What is done to machines or the network by a day's line. `leader` stands
/// for whoever leads, `killed` for those killed last; the other words are those
/// of `Fleet::named`.
async fn machine(
    fleet: &mut Fleet,
    killed: &mut Vec<String>,
    action: &str,
    word: &str,
) -> anyhow::Result<()> {
    use nix::sys::signal::Signal;
    let names = match word {
        "leader" => vec![fleet.leader().await?],
        "killed" => killed.clone(),
        "all" => fleet.processes.keys().cloned().collect(),
        word => fleet.named(word)?,
    };
    match action {
        "cut" => return fleet.cut(&names, true, true),
        "cut-out" => return fleet.cut(&names, true, false),
        "cut-in" => return fleet.cut(&names, false, true),
        "heal" => {
            let network = fleet.network.as_ref();
            network.ok_or(anyhow::anyhow!("this fleet has no relays"))?.heal();
            return Ok(());
        }
        "kill" => *killed = names.clone(),
        _ => {}
    }
    for name in &names {
        match action {
            "kill" => fleet.kill(name),
            "start" => fleet.start(name)?,
            "freeze" => fleet.signal(name, Signal::SIGSTOP)?,
            "thaw" => fleet.signal(name, Signal::SIGCONT)?,
            "stop" => {
                // Not waited for here, so that the day goes on.
                fleet.ask_to_stop(name)?;
                *killed = names.clone();
            }
            "wipe" if fleet.get(name).kind == Kind::Directory => fleet.wipe(name)?,
            "wipe" => {}
            other => anyhow::bail!("{other} is nothing that can be done to a machine"),
        }
    }
    Ok(())
}

/// Plays a day. Journals go into `folder`; all jobs have ended when this
/// returns.
pub async fn play(
    ends: Ends,
    mut fleet: Option<&mut Fleet>,
    day: Vec<Moment>,
    folder: &Path,
) -> anyhow::Result<()> {
    let stage = Arc::new(Stage {
        ends,
        callers: Journal::open(&folder.join("callers.jsonl"))?,
        operators: Journal::open(&folder.join("operators.jsonl"))?,
        known: Mutex::default(),
    });
    let begun = tokio::time::Instant::now();
    let mark = rand::random::<u32>();
    let mut tasks = tokio::task::JoinSet::new();
    let mut killed = Vec::new();
    for (number, moment) in day.into_iter().enumerate() {
        tokio::time::sleep_until(begun + Duration::from_millis(moment.at_ms)).await;
        let stage = Arc::clone(&stage);
        match moment.what {
            What::Job(job) => {
                let id = format!("{mark:08x}-{number}");
                tasks.spawn(async move { stage.job(id, job, number as u64).await });
            }
            What::Operator(change) => {
                tasks.spawn(async move { stage.operator(change).await });
            }
            What::Machine { action, name } => match &mut fleet {
                Some(fleet) => machine(fleet, &mut killed, &action, &name).await?,
                None => anyhow::bail!("{action} {name}: this replay has no fleet of its own"),
            },
        }
        while tasks.try_join_next().is_some() {}
    }
    while let Some(done) = tasks.join_next().await {
        done?;
    }
    Ok(())
}

/// Reads the journals of a fleet's run and checks them.
pub fn judge(fleet: &Fleet, folder: &Path) -> anyhow::Result<(Journals, Vec<Finding>)> {
    let mut journals = Journals {
        callers: journal::read(&folder.join("callers.jsonl"))?,
        operators: journal::read(&folder.join("operators.jsonl"))?,
        engines: Vec::new(),
    };
    let mut places = Vec::new();
    for engine in fleet.of(Kind::Engine) {
        let path = fleet.journals().join(format!("{}.jsonl", engine.name));
        if path.exists() {
            journals.engines.extend(journal::read(&path)?);
        }
        places.push((engine.name.clone(), engine.region.clone(), engine.zone.clone()));
    }
    let findings = check(&Ground::of(&fleet.shape, &places), &journals);
    Ok((journals, findings))
}

/// Counts by outcome, and the shares that tell how the path was used.
pub async fn summary(fleet: &Fleet, journals: &Journals) -> anyhow::Result<String> {
    let text = |line: &OwnedValue, name: &str| {
        line.get(name).and_then(|v| v.as_str()).unwrap_or("").to_string()
    };
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for line in &journals.callers {
        let mut words = vec![text(line, "service"), text(line, "seen")];
        if words[1] == "refused" {
            words.push(text(line, "outcome"));
            words.push(text(line, "code"));
        }
        *outcomes.entry(words.join(" ")).or_default() += 1;
    }
    let mut out = format!("jobs: {}\n", journals.callers.len());
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
        counts.insert(name, fleet.count(Kind::Router, name).await?);
    }
    let count = |name: &str| counts.get(name).copied().unwrap_or(0) as f64;
    let looked = count("own-fresh")
        + count("own-stale")
        + count("shared-fresh")
        + count("shared-stale")
        + count("misses");
    let share = |part: f64, whole: f64| if whole > 0.0 { 100.0 * part / whole } else { 0.0 };
    let event = |name: &str| {
        journals.engines.iter().filter(|line| text(line, "event") == name).count() as f64
    };
    out.push_str(&format!(
        "looked up: own cache {:.1} %, region's cache {:.1} %, misses {:.1} % (of {looked})\n",
        share(count("own-fresh") + count("own-stale"), looked),
        share(count("shared-fresh") + count("shared-stale"), looked),
        share(count("misses"), looked),
    ));
    out.push_str(&format!(
        "directory calls: {:.2} per hundred jobs (forwards {}, key alone {}, refreshes {})\n",
        share(count("forwards") + count("key-only") + count("refreshes"), count("jobs")),
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
        share(event("received") - journals.callers.len() as f64, journals.callers.len() as f64)
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
        journals.operators.iter().filter(|line| line.get("acknowledged").is_some()).count(),
        journals.operators.len(),
    ));
    out.push_str(&format!("counters: {counts:?}\n"));
    Ok(out)
}
