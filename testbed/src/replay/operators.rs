//! Simulated operators: changes by the command line, and what became of them.

use super::targets::{Targets, OPERATOR_JOURNAL};
use crate::child_process;
use crate::fleet::{operator_request, program};
use crate::journal::{wall_clock_us, Journal};
use parking_lot::Mutex;
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use transport::http_client;

const SUBMIT_TIMEOUT: Duration = Duration::from_secs(30);
const VERIFY_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const IN_FORCE_POLL: Duration = Duration::from_millis(5);
/// A router that does not respond in time counts as unhealthy.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Fields of a change that go into the journal.
const JOURNAL_FIELDS: [&str; 6] = ["do", "zone", "name", "tenant", "state", "book"];

/// A change that was submitted, and its line for the journal.
struct Submitted {
    line: OwnedValue,
    body: String,
    id: String,
}

/// What became of one call of the command line.
enum Submission {
    Acknowledged {
        epoch: u64,
        is_repeat: bool,
    },
    /// The change is not valid, and will not be.
    Rejected(String),
    /// It may or may not be in force.
    Unknown(String),
}

pub(super) struct OperatorDriver {
    targets: Arc<Targets>,
    journal: Journal,
    submitted: Mutex<Vec<Submitted>>,
}

impl OperatorDriver {
    pub(super) fn new(targets: Arc<Targets>, output_dir: &Path) -> anyhow::Result<OperatorDriver> {
        Ok(OperatorDriver {
            targets,
            journal: Journal::open(&output_dir.join(OPERATOR_JOURNAL))?,
            submitted: Mutex::default(),
        })
    }

    /// Submits a change by the operators' command line, again and again under one
    /// identifier until its outcome is known.
    pub(super) async fn submit(&self, change: OwnedValue) {
        let mut line = json!({ "at": wall_clock_us() });
        for field in JOURNAL_FIELDS {
            if let Some(value) = change.get(field) {
                put(&mut line, field, value.clone());
            }
        }
        let mut body = change;
        if body.get("do").and_then(|v| v.as_str()) == Some("key-gone") {
            // The tenant is for the journal; the operator API goes by the key alone.
            drop(body.remove("tenant"));
        }
        let body = body.encode();
        let id = format!("{:016x}", rand::random::<u64>());
        self.submit_until_known(&mut line, &body, &id).await;
        let submitted = Submitted { line, body, id };
        self.submitted.lock().push(submitted);
    }

    async fn submit_until_known(&self, line: &mut OwnedValue, body: &str, id: &str) {
        let until = Instant::now() + SUBMIT_TIMEOUT;
        let mut last = String::new();
        while Instant::now() < until {
            match self.submit_once(body.to_string(), id.to_string()).await {
                Submission::Acknowledged { epoch, is_repeat } => {
                    put(line, "acknowledged", wall_clock_us().into());
                    put(line, "epoch", epoch.into());
                    put(line, "repeated", is_repeat.into());
                    let in_force_ms = self.in_force_ms(epoch).await;
                    return put(line, "in_force_ms", in_force_ms.into());
                }
                Submission::Rejected(text) => return put(line, "refused", text.into()),
                Submission::Unknown(text) => last = text,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        put(line, "lost", last.into());
    }

    async fn submit_once(&self, body: String, id: String) -> Submission {
        let addresses = &self.targets.operator_addresses;
        let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        let addresses = addresses.join(",");
        let command = tokio::task::spawn_blocking(move || {
            run_command_line(
                &["--operator-api", &addresses, "--id", &id, "submit"],
                &body,
            )
        });
        let (is_done, text) = match command.await.expect("the command does not panic") {
            Ok(done) => done,
            Err(error) => (false, format!("{error:#}")),
        };
        let epoch = text.strip_prefix("acknowledged: epoch ").and_then(|rest| {
            let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse::<u64>().ok()
        });
        if let Some(epoch) = epoch.filter(|_| is_done) {
            let is_repeat = text.contains("a repeat");
            return Submission::Acknowledged { epoch, is_repeat };
        }
        let is_rejected = ["(400)", "(409)", "(422)"]
            .iter()
            .any(|status| text.contains(status));
        match is_rejected {
            true => Submission::Rejected(text),
            false => Submission::Unknown(text),
        }
    }

    /// At the end of a run submits every acknowledged change once more, under its
    /// identifier: it must be known, by the same epoch. Then writes the journal.
    pub(super) async fn verify_acknowledged(&self) {
        let all = std::mem::take(&mut *self.submitted.lock());
        for Submitted { mut line, body, id } in all {
            if line.get("epoch").is_some() {
                let epoch = self.known_epoch(&body, &id).await;
                put(&mut line, "remembered", epoch.into());
            }
            self.journal.append(line);
        }
    }

    async fn known_epoch(&self, body: &str, id: &str) -> Option<u64> {
        let mut body = residency::parse_json(body).expect("it was encoded here");
        body.insert("id", id).expect("a change is an object");
        let until = Instant::now() + VERIFY_TIMEOUT;
        while Instant::now() < until {
            for address in &self.targets.operator_addresses {
                if let Ok(answer) = operator_request(*address, "POST", "/submit", &body).await {
                    return answer.get("epoch").and_then(|v| v.as_u64());
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// How long after its acknowledgement a change is in force at every healthy router.
    /// `None`: not in time.
    async fn in_force_ms(&self, epoch: u64) -> Option<u64> {
        let begun = Instant::now();
        let mut routers = tokio::task::JoinSet::new();
        for address in self.targets.router_operator_addresses.clone() {
            routers.spawn(in_force_at_router_ms(address, epoch, begun));
        }
        let mut longest = Some(0);
        while let Some(took) = routers.join_next().await {
            let took = took.expect("asking a router does not panic");
            longest = longest.and_then(|longest| took.map(|took| longest.max(took)));
        }
        longest
    }
}

/// 0 for a router that can't be asked or is unhealthy: it dispatches nothing.
async fn in_force_at_router_ms(address: SocketAddr, epoch: u64, begun: Instant) -> Option<u64> {
    loop {
        let response =
            http_client::send_request(address, "GET", "/vitals", &[], Vec::new(), HEALTH_TIMEOUT);
        let Ok((200, mut bytes)) = response.await else {
            return Some(0);
        };
        let value = simd_json::to_owned_value(&mut bytes).unwrap_or_default();
        if value.get("epoch").and_then(|v| v.as_u64()) >= Some(epoch) {
            return Some(begun.elapsed().as_millis() as u64);
        }
        if begun.elapsed() > IN_FORCE_TIMEOUT {
            return None;
        }
        tokio::time::sleep(IN_FORCE_POLL).await;
    }
}

fn put(line: &mut OwnedValue, name: &str, value: OwnedValue) {
    line.insert(name, value).expect("a line is an object");
}

/// Runs the operators' command line: whether it succeeded, and what it printed.
fn run_command_line(args: &[&str], input: &str) -> anyhow::Result<(bool, String)> {
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
    let text = match output.status.success() {
        true => output.stdout,
        false => output.stderr,
    };
    let text = String::from_utf8_lossy(&text).into_owned();
    Ok((output.status.success(), text))
}
