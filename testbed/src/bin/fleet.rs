//! Starts a whole deployment on this machine and keeps it until it is told to
//! stop.

use settings::{setting, Setting, SettingsReader};
use std::convert::Infallible;
use std::path::{Path, PathBuf};
use testbed::fleet::{DeploymentSpec, Fleet};

const SETTINGS: &[Setting] = &[
    setting("shape", "FILE", "the deployment's shape", None),
    setting("folder", "FOLDER", "where data, logs and journals go", None),
];

fn main() {
    let mut reader = SettingsReader::read("fleet", "A whole deployment on one machine.", SETTINGS);
    let (shape, folder) = (reader.text("shape"), PathBuf::from(reader.text("folder")));
    reader.exit_if_invalid();
    let run = || -> anyhow::Result<()> {
        let shape = DeploymentSpec::read(shape.as_ref())?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let mut fleet = Fleet::new(shape, &folder)?;
            tokio::select! {
                // Asked first, so that it listens before anything is started.
                biased;
                end = transport::shutdown_signal() => Ok(end?),
                failed = keep_up(&mut fleet, &folder) => failed.map(|never| match never {}),
            }
        })
    };
    if let Err(error) = run() {
        eprintln!("fleet: {error:#}");
        std::process::exit(1);
    }
}

/// Starts everything, tells where it is, and goes on until it is dropped.
async fn keep_up(fleet: &mut Fleet, folder: &Path) -> anyhow::Result<Infallible> {
    fleet.bootstrap().await?;
    for process in fleet.processes.values() {
        println!("{:<14} {:<14} {}", process.name, process.zone, process.ip);
    }
    let desks: Vec<String> = fleet
        .operator_addresses()
        .iter()
        .map(|desk| desk.to_string())
        .collect();
    let desks = desks.join(",");
    std::fs::write(folder.join("operator-api-addresses"), &desks)?;
    println!("operator APIs: {desks}\nup; ends with Ctrl-C");
    std::future::pending().await
}
