//! What the cases of the second review share: a small deployment of the project's own
//! stand-ins, a record of what was sent, answered and run, and the exit codes.

use anyhow::Context;
use platform_testbed::client::Request;
use platform_testbed::config::{Config, Customer, Route, Service};
use platform_testbed::deployment::{Deployment, DeploymentPlan};
use platform_testbed::engine::{Engine, Settings, Workload};
use platform_testbed::evidence::RequestKind;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The tenant of all requests, and its key.
pub const TENANT: (&str, &str) = ("kaje80", "key-of-kaje");
/// The service of the requests that may be repeated.
pub const SERVICE: &str = "wuno96b";
/// How long an operator goes on with a first configuration.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The case's record: each line with the time since its start.
pub struct Record {
    file: std::fs::File,
    began: Instant,
}

impl Record {
    /// Begins the record anew.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn begin(path: &Path) -> anyhow::Result<Record> {
        let file = std::fs::File::create(path).with_context(|| path.display().to_string())?;
        Ok(Record {
            file,
            began: Instant::now(),
        })
    }

    /// Writes one line.
    pub fn note(&mut self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        println!("{line}");
        // A record that can't be written changes no verdict.
        drop(writeln!(self.file, "{line}"));
    }
}

/// The disruption is left out, as a control.
pub fn is_control() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Runs a case: its arguments are the program under test and the file of the record.
/// Ends with 0 where the rule held, 1 where it was broken, 2 where the case couldn't run.
pub fn run<F>(case: impl FnOnce(PathBuf, Record) -> F) -> ExitCode
where
    F: std::future::Future<Output = anyhow::Result<Verdict>>,
{
    let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(binary), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("expected the program under test and the file of the record");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let verdict = match (runtime, Record::begin(&record)) {
        (Ok(runtime), Ok(record)) => runtime.block_on(case(binary, record)),
        (Err(error), _) => Err(error.into()),
        (_, Err(error)) => Err(error),
    };
    match verdict {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// A deployment of so many nodes of each kind in three regions.
pub fn plan(binary: &Path, directories: usize, routers: usize) -> DeploymentPlan {
    DeploymentPlan {
        directories,
        routers,
        ..DeploymentPlan::small(binary)
    }
}

/// A web engine in this zone.
pub fn web_engine(zone: &str) -> Settings {
    Settings {
        id: format!("i-web-{zone}"),
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        zone: zone.into(),
        slots: 6,
        queue: 24,
        max_conns: 110,
        idle: Some(Duration::from_secs(10)),
        work: Workload::Web {
            service_time: Duration::from_millis(60),
            bytes: 800,
        },
    }
}

/// A web engine in each zone.
///
/// # Errors
/// An address can't be listened at.
pub fn add_engines(deployment: &mut Deployment) -> anyhow::Result<Vec<Arc<Engine>>> {
    let zones: Vec<String> = deployment
        .plan
        .zones
        .iter()
        .map(|(zone, _)| zone.clone())
        .collect();
    zones
        .iter()
        .map(|zone| deployment.add_engine(web_engine(zone)))
        .collect()
}

/// One route, whose requests may be repeated, and one tenant without a limit.
pub fn config(revision: u64) -> Config {
    Config {
        revision,
        routes: vec![Route {
            name: "small".into(),
            host: HOST.into(),
            path_start: "/small/".into(),
            kind: "safe".into(),
            give_up_ms: 12_000,
            target_ms: 400,
            urgency: 1,
            split: vec![(SERVICE.into(), 1)],
            tries: 2,
            is_public: false,
            can_resume: false,
            home_regions: Vec::new(),
        }],
        services: vec![Service {
            name: SERVICE.into(),
            max_conns: 110,
            slots: 6,
            warmup_s: 0.0,
            warmup_per_s: 0.0,
            cache_tokens: None,
        }],
        customers: vec![Customer {
            name: TENANT.0.into(),
            api_keys: vec![TENANT.1.into()],
            urgency: 1,
            rate_per_s: 0,
            burst: 0,
            home_regions: Vec::new(),
        }],
    }
}

/// A request on the route, with a body of so many bytes.
pub fn request(method: &str, number: usize, bytes: usize, is_chunked: bool) -> Request {
    Request {
        host: HOST.into(),
        method: method.into(),
        path: format!("/small/{number}?q={number}"),
        headers: Vec::new(),
        body: b"0123456789abcdef"
            .iter()
            .copied()
            .cycle()
            .take(bytes)
            .collect(),
        is_chunked,
        key: Some(TENANT.1.into()),
        kind: RequestKind::Safe,
        deadline: Duration::from_secs(12),
        latency_target: Duration::from_secs(1),
        token_gap: Duration::from_millis(300),
        max_retries: 0,
    }
}
