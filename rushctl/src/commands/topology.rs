//! The topology: zones, cells, services, tenants and routing rules.

use crate::arguments::{CommandSpec, Words};
use crate::client::OperatorApi;
use anyhow::{anyhow, bail, Context};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue};

/// How the commands of this group are written.
pub const SPECS: &[CommandSpec] = &[
    CommandSpec::new("topology", "", "print the topology in force", &[]),
    CommandSpec::new(
        "check",
        "FILE",
        "check a complete topology file here, sending nothing",
        &["rules"],
    ),
    CommandSpec::new(
        "apply",
        "FILE",
        "put a topology in force: a complete file, or with --partial the part that changes \
         (null takes a name away)",
        &["partial", "rules", "id", "base", "wait"],
    ),
];

/// A command of this group that changes nothing.
pub enum TopologyCommand {
    /// Prints the topology in force.
    Print,
    /// Checks a file, sending nothing.
    Check(TopologyFile),
}

/// A topology file, with its rules from another file where one is given.
pub struct TopologyFile {
    path: String,
    rules_path: Option<String>,
}

/// Puts a topology in force.
pub struct Apply {
    file: TopologyFile,
    /// The file holds only what changes.
    is_partial: bool,
}

impl TopologyCommand {
    /// The command of this name, if it belongs here.
    pub fn read(name: &str, words: &Words) -> Option<TopologyCommand> {
        match name {
            "topology" => Some(TopologyCommand::Print),
            "check" => Some(TopologyCommand::Check(TopologyFile::read(words))),
            _ => None,
        }
    }

    /// Sends the request, if there is one, and prints the result.
    pub async fn run(self, api: &OperatorApi) -> anyhow::Result<()> {
        match self {
            TopologyCommand::Print => println!("{}", api.get("/book").await?.encode_pp()),
            TopologyCommand::Check(file) => {
                if let Err(errors) = residency::Topology::from_json(&file.load()?) {
                    bail!("{}:\n{errors}", file.path);
                }
                println!("{}: nothing is wrong with it", file.path);
            }
        }
        Ok(())
    }
}

impl Apply {
    /// The command, if `name` is its own.
    pub fn read(name: &str, words: &Words) -> Option<Apply> {
        (name == "apply").then(|| Apply {
            file: TopologyFile::read(words),
            is_partial: words.has_flag("partial"),
        })
    }

    /// The change as the operator API takes it.
    pub fn into_json(self) -> anyhow::Result<OwnedValue> {
        Ok(json!({
            "do": "revise",
            "whole": !self.is_partial,
            "book": self.file.load()?,
        }))
    }
}

impl TopologyFile {
    fn read(words: &Words) -> TopologyFile {
        TopologyFile {
            path: words.required(0),
            rules_path: words.option("rules"),
        }
    }

    fn load(&self) -> anyhow::Result<OwnedValue> {
        let path = &self.path;
        let text = std::fs::read_to_string(path).with_context(|| path.clone())?;
        let mut topology =
            residency::parse_json(&text).map_err(|error| anyhow!("{path}: {error}"))?;
        if let Some(rules_path) = &self.rules_path {
            let rules = load_rules(rules_path)?;
            if topology.as_object().is_none() {
                bail!("{path}: an object should stand here");
            }
            topology.insert("rules", rules)?;
        }
        Ok(topology)
    }
}

/// The text of a file of rules that compile.
fn load_rules(path: &str) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(path).with_context(|| path.to_string())?;
    if let Err(errors) = policy::compile(&text) {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{path}: {error}"))
            .collect();
        bail!("{}", lines.join("\n"));
    }
    Ok(text)
}
