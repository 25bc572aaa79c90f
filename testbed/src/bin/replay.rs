//! Plays a recorded day against a fleet, and reports counts by outcome.

use settings::{setting, Setting, SettingsReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use testbed::fleet::{DeploymentSpec, Fleet};
use testbed::{replay, workload};

const SETTINGS: &[Setting] = &[
    setting("day", "FILE", "the recorded day", None),
    setting(
        "shape",
        "FILE",
        "the deployment's shape: its keys, and the fleet to start",
        None,
    ),
    setting("folder", "FOLDER", "where data, logs and journals go", None),
    setting(
        "doors",
        "IP:PORT,...",
        "doors of a fleet that runs already; none is started",
        Some(""),
    ),
    setting(
        "desks",
        "IP:PORT,...",
        "desks of the fleet that runs already",
        Some(""),
    ),
];

fn main() {
    let mut reader = SettingsReader::read(
        "replay",
        "Plays a recorded day against a fleet of its own, or one that runs already.\n\
         With its own fleet it also judges the journals by the rules, and ends with 1\n\
         where one is broken.",
        SETTINGS,
    );
    let (path, shape) = (reader.text("day"), reader.text("shape"));
    let folder = PathBuf::from(reader.text("folder"));
    let (doors, desks) = (reader.addresses("doors"), reader.addresses("desks"));
    if doors.is_empty() != desks.is_empty() {
        reader.reject("doors", "doors and desks go together");
    }
    let day = match std::fs::read_to_string(&path) {
        Ok(text) => workload::parse(&text).unwrap_or_else(|complaints| {
            complaints
                .iter()
                .for_each(|complaint| reader.reject(&path, complaint));
            Vec::new()
        }),
        Err(error) => {
            reader.reject(&path, error);
            Vec::new()
        }
    };
    reader.exit_if_invalid();
    match run(day, &shape, folder, doors, desks) {
        Ok(true) => {}
        Ok(false) => std::process::exit(1),
        Err(error) => {
            eprintln!("replay: {error:#}");
            std::process::exit(1);
        }
    }
}

fn run(
    day: Vec<workload::TimedAction>,
    shape: &str,
    folder: PathBuf,
    doors: Vec<SocketAddr>,
    desks: Vec<SocketAddr>,
) -> anyhow::Result<bool> {
    let shape = DeploymentSpec::read(shape.as_ref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        if !doors.is_empty() {
            let doors = doors
                .into_iter()
                .map(|door| (door, String::new()))
                .collect();
            let ends = replay::Targets {
                doors,
                desks,
                router_desks: Vec::new(),
                keys: shape.keys.clone(),
            };
            replay::play(ends, None, day, &folder).await?;
            let lines = testbed::journal::read(&folder.join("callers.jsonl"))?;
            println!("jobs: {}; see callers.jsonl", lines.len());
            return Ok(true);
        }
        let mut fleet = Fleet::new(shape, &folder)?;
        fleet.bootstrap().await?;
        let ends = replay::Targets::of_fleet(&fleet);
        replay::play(ends, Some(&mut fleet), day, &folder).await?;
        let (journals, findings) = replay::check_rules(&fleet, &folder)?;
        print!("{}", replay::summary(&fleet, &journals).await?);
        println!("rules broken: {}", findings.len());
        findings
            .iter()
            .take(50)
            .for_each(|finding| println!("  {finding}"));
        Ok(findings.is_empty())
    })
}
