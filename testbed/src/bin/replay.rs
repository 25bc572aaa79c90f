//! Replays a recorded workload against a fleet, and reports counts by outcome.

use settings::{setting, Setting, SettingsReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use testbed::fleet::{DeploymentSpec, Fleet};
use testbed::renamed_options::{self, RenamedOption, DEPLOYMENT, OUTPUT_DIR};
use testbed::{replay, workload};

const SETTINGS: &[Setting] = &[
    setting("workload", "FILE", "the recorded workload", None),
    setting(
        "deployment",
        "FILE",
        "the deployment file: its keys, and the fleet to start",
        None,
    ),
    setting(
        "output-dir",
        "DIRECTORY",
        "where data, logs and journals go",
        None,
    ),
    setting(
        "router-addresses",
        "IP:PORT,...",
        "routers of a fleet that runs already; none is started",
        Some(""),
    ),
    setting(
        "operator-api-addresses",
        "IP:PORT,...",
        "directory nodes of the fleet that runs already",
        Some(""),
    ),
];

const RENAMED: &[RenamedOption] = &[
    DEPLOYMENT,
    OUTPUT_DIR,
    RenamedOption {
        old: "day",
        new: "workload",
    },
    RenamedOption {
        old: "doors",
        new: "router-addresses",
    },
    RenamedOption {
        old: "desks",
        new: "operator-api-addresses",
    },
];
const FINDINGS_SHOWN: usize = 50;

/// What to replay, and against what.
struct Replay {
    workload: Vec<workload::TimedAction>,
    deployment: String,
    output_dir: PathBuf,
    /// Empty: the replay starts a fleet of its own.
    routers: Vec<SocketAddr>,
    operator_addresses: Vec<SocketAddr>,
}

fn main() {
    renamed_options::refuse("replay", RENAMED);
    let mut reader = SettingsReader::read(
        "replay",
        "Replays a recorded workload against a fleet of its own, or one that runs already.\n\
         With its own fleet it also judges the journals by the rules, and ends with 1\n\
         where one is broken.",
        SETTINGS,
    );
    let path = reader.text("workload");
    let mut replay = Replay {
        workload: Vec::new(),
        deployment: reader.text("deployment"),
        output_dir: PathBuf::from(reader.text("output-dir")),
        routers: reader.addresses("router-addresses"),
        operator_addresses: reader.addresses("operator-api-addresses"),
    };
    if replay.routers.is_empty() != replay.operator_addresses.is_empty() {
        reader.reject(
            "router-addresses",
            "router-addresses and operator-api-addresses go together",
        );
    }
    match std::fs::read_to_string(&path) {
        Ok(text) => match workload::parse(&text) {
            Ok(workload) => replay.workload = workload,
            Err(errors) => errors.iter().for_each(|error| reader.reject(&path, error)),
        },
        Err(error) => reader.reject(&path, error),
    }
    reader.exit_if_invalid();
    match run(replay) {
        Ok(true) => {}
        Ok(false) => std::process::exit(1),
        Err(error) => {
            eprintln!("replay: {error:#}");
            std::process::exit(1);
        }
    }
}

/// Whether no rule was broken, as far as that is judged.
fn run(replay: Replay) -> anyhow::Result<bool> {
    let spec = DeploymentSpec::read(replay.deployment.as_ref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    match replay.routers.is_empty() {
        true => runtime.block_on(with_own_fleet(replay, spec)),
        false => runtime.block_on(with_running_fleet(replay, spec)),
    }
}

async fn with_running_fleet(replay: Replay, spec: DeploymentSpec) -> anyhow::Result<bool> {
    let unknown_zone = |router| (router, String::new());
    let targets = replay::Targets {
        routers: replay.routers.into_iter().map(unknown_zone).collect(),
        operator_addresses: replay.operator_addresses,
        router_operator_addresses: Vec::new(),
        keys: spec.keys,
    };
    replay::play(targets, None, replay.workload, &replay.output_dir).await?;
    let lines = testbed::journal::read(&replay.output_dir.join(replay::CLIENT_JOURNAL))?;
    println!("requests: {}; see {}", lines.len(), replay::CLIENT_JOURNAL);
    Ok(true)
}

async fn with_own_fleet(replay: Replay, spec: DeploymentSpec) -> anyhow::Result<bool> {
    let output_dir = &replay.output_dir;
    let mut fleet = Fleet::new(spec, output_dir)?;
    fleet.bootstrap().await?;
    let targets = replay::Targets::of_fleet(&fleet);
    replay::play(targets, Some(&mut fleet), replay.workload, output_dir).await?;
    let (journals, findings) = replay::check_rules(&fleet, output_dir)?;
    print!("{}", replay::summary(&fleet, &journals).await?);
    println!("rules broken: {}", findings.len());
    findings
        .iter()
        .take(FINDINGS_SHOWN)
        .for_each(|finding| println!("  {finding}"));
    Ok(findings.is_empty())
}
