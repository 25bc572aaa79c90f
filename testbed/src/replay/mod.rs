//! Replays a recorded workload: clients send to routers, operators use the command line,
//! and, in a fleet of the replay's own, faults are injected into machines.

mod clients;
mod evidence;
mod machines;
mod operators;
mod summary;
mod targets;

pub use evidence::check_rules;
pub use summary::summary;
pub use targets::{Targets, CLIENT_JOURNAL, MACHINE_JOURNAL, OPERATOR_JOURNAL};

use crate::fleet::Fleet;
use crate::workload::{Action, TimedAction};
use clients::ClientDriver;
use machines::MachineDriver;
use operators::OperatorDriver;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Replays a workload. Journals go into `output_dir`; all requests have ended when this
/// returns.
///
/// # Errors
///
/// Where a journal can't be written, or the workload has an action on a machine that the
/// fleet can't carry out.
pub async fn play(
    targets: Targets,
    mut fleet: Option<&mut Fleet>,
    workload: Vec<TimedAction>,
    output_dir: &Path,
) -> anyhow::Result<()> {
    let targets = Arc::new(targets);
    let clients = Arc::new(ClientDriver::new(Arc::clone(&targets), output_dir)?);
    let operators = Arc::new(OperatorDriver::new(targets, output_dir)?);
    let mut machines = MachineDriver::new(output_dir)?;
    let begun = tokio::time::Instant::now();
    let run_id = rand::random::<u32>();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, TimedAction { at_ms, action }) in workload.into_iter().enumerate() {
        tokio::time::sleep_until(begun + Duration::from_millis(at_ms)).await;
        match action {
            Action::Request(request) => {
                let id = format!("{run_id:08x}-{number}");
                let clients = Arc::clone(&clients);
                tasks.spawn(async move { clients.send(id, request, number as u64).await });
            }
            Action::OperatorChange(change) => {
                let operators = Arc::clone(&operators);
                tasks.spawn(async move { operators.submit(change).await });
            }
            Action::Machine { operation, name } => match &mut fleet {
                Some(fleet) => machines.apply(fleet, operation, &name).await?,
                None => anyhow::bail!("{operation} {name}: this replay has no fleet of its own"),
            },
        }
        while tasks.try_join_next().is_some() {}
    }
    while let Some(done) = tasks.join_next().await {
        done?;
    }
    operators.verify_acknowledged().await;
    Ok(())
}
