//! Starts a whole deployment on this machine and keeps it until it is asked to stop.

use settings::{setting, Setting, SettingsReader};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use testbed::fleet::{DeploymentSpec, Fleet};
use testbed::renamed_options::{self, DEPLOYMENT, OUTPUT_DIR};

const SETTINGS: &[Setting] = &[
    setting("deployment", "FILE", "the deployment file", None),
    setting(
        "output-dir",
        "DIRECTORY",
        "where data, logs and journals go",
        None,
    ),
];

fn main() {
    renamed_options::refuse("fleet", &[DEPLOYMENT, OUTPUT_DIR]);
    let mut reader = SettingsReader::read("fleet", "A whole deployment on one machine.", SETTINGS);
    let deployment = reader.text("deployment");
    let output_dir = PathBuf::from(reader.text("output-dir"));
    reader.exit_if_invalid();
    let run = || -> anyhow::Result<()> {
        let spec = DeploymentSpec::read(deployment.as_ref())?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let mut fleet = Fleet::new(spec, &output_dir)?;
            tokio::select! {
                // Polled first, so that signals are handled before anything is started.
                biased;
                end = transport::shutdown_signal() => Ok(end?),
                failed = keep_running(&mut fleet, &output_dir) => failed.map(|never| match never {}),
            }
        })
    };
    if let Err(error) = run() {
        eprintln!("fleet: {error:#}");
        std::process::exit(1);
    }
}

/// Starts everything, prints its addresses, and goes on until it is dropped.
async fn keep_running(fleet: &mut Fleet, output_dir: &Path) -> anyhow::Result<Infallible> {
    fleet.bootstrap().await?;
    for process in fleet.processes.values() {
        println!("{:<14} {:<14} {}", process.name, process.zone, process.ip);
    }
    let addresses = fleet.operator_addresses();
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let addresses = addresses.join(",");
    std::fs::write(output_dir.join("operator-api-addresses"), &addresses)?;
    println!("operator APIs: {addresses}\nup; ends with Ctrl-C");
    std::future::pending().await
}
