//! The commands, a module for each group. A group lists how its commands are written,
//! reads their words into types, and sends the requests.

mod cluster;
mod engine;
mod evacuation;
mod key;
mod maintenance;
mod relocation;
mod submit;
mod topology;

use crate::arguments::{CommandSpec, UsageError, Words};
use crate::client::OperatorApi;
use crate::proposal::{self, ProposalOptions};
use simd_json::OwnedValue;

/// A command, ready to run.
pub enum Command {
    /// Members of the cluster and their status.
    Cluster(cluster::ClusterCommand),
    /// Reading and checking the topology.
    Topology(topology::TopologyCommand),
    /// Maintenance windows.
    Maintenance(maintenance::MaintenanceCommand),
    /// Any change of the replicated state.
    Change(Change, ProposalOptions),
}

/// A change of the replicated state.
pub enum Change {
    /// Of the topology.
    Topology(topology::Apply),
    /// Of a tenant's keys.
    Key(key::KeyChange),
    /// Of the list of engines.
    Engine(engine::EngineChange),
    /// Of the zones that get work.
    Evacuation(evacuation::EvacuationChange),
    /// Of where a key runs.
    Relocation(relocation::RelocationChange),
    /// One that is read from standard input.
    Submit,
}

/// How all commands are written, in the order of the help text.
pub fn specs() -> impl Iterator<Item = &'static CommandSpec> {
    [
        cluster::SPECS,
        topology::SPECS,
        submit::SPECS,
        key::SPECS,
        engine::SPECS,
        evacuation::SPECS,
        maintenance::SPECS,
        relocation::SPECS,
    ]
    .into_iter()
    .flatten()
}

impl Command {
    /// Reads the words of the command called `name`.
    ///
    /// # Errors
    /// [`UsageError`] where a word or an option is not what belongs there.
    pub fn read(name: &'static str, words: &Words) -> Result<Command, UsageError> {
        if let Some(command) = cluster::ClusterCommand::read(name, words) {
            return Ok(Command::Cluster(command));
        }
        if let Some(command) = topology::TopologyCommand::read(name, words) {
            return Ok(Command::Topology(command));
        }
        if name == maintenance::NAME {
            let command = maintenance::MaintenanceCommand::read(words)?;
            return Ok(Command::Maintenance(command));
        }
        let change = Change::read(name, words)?;
        Ok(Command::Change(change, ProposalOptions::read(words)?))
    }

    /// Runs the command and prints what came of it.
    ///
    /// # Errors
    /// What went wrong, for the operator; see [`crate::client::ApiError`] on whether a
    /// retry is safe.
    pub async fn run(self, api: &OperatorApi) -> anyhow::Result<()> {
        match self {
            Command::Cluster(command) => command.run(api).await,
            Command::Topology(command) => command.run(api).await,
            Command::Maintenance(command) => command.run(api).await,
            Command::Change(change, options) => {
                proposal::submit(api, change.into_json()?, options).await
            }
        }
    }
}

impl Change {
    fn read(name: &'static str, words: &Words) -> Result<Change, UsageError> {
        if let Some(apply) = topology::Apply::read(name, words) {
            return Ok(Change::Topology(apply));
        }
        if let Some(change) = key::KeyChange::read(name, words) {
            return Ok(Change::Key(change));
        }
        if let Some(change) = engine::EngineChange::read(name, words)? {
            return Ok(Change::Engine(change));
        }
        if let Some(change) = evacuation::EvacuationChange::read(name, words) {
            return Ok(Change::Evacuation(change));
        }
        if let Some(change) = relocation::RelocationChange::read(name, words) {
            return Ok(Change::Relocation(change));
        }
        match name {
            submit::NAME => Ok(Change::Submit),
            _ => Err(UsageError::UnknownCommand(name.into())),
        }
    }

    /// The change as the operator API takes it, without id and base.
    fn into_json(self) -> anyhow::Result<OwnedValue> {
        match self {
            Change::Topology(apply) => apply.into_json(),
            Change::Key(change) => change.into_json(),
            Change::Engine(change) => Ok(change.into_json()),
            Change::Evacuation(change) => Ok(change.into_json()),
            Change::Relocation(change) => Ok(change.into_json()),
            Change::Submit => submit::read_input(),
        }
    }
}

/// What is on standard input, without white space around it.
fn read_standard_input() -> anyhow::Result<String> {
    let text = std::io::read_to_string(std::io::stdin())?;
    Ok(text.trim().to_string())
}
