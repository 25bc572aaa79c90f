//! Sending a change, and waiting until it is in force.

use crate::arguments::{UsageError, Words};
use crate::client::OperatorApi;
use crate::status;
use anyhow::Context;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::time::Duration;

/// The options of commands that change something.
pub const OPTIONS: &[&str] = &["id", "base", "wait"];

/// How a change is proposed.
pub struct ProposalOptions {
    /// The proposal's id; drawn where it is not given.
    id: Option<String>,
    /// The epoch that the change is based on: it is refused where its subject changed
    /// since.
    base_epoch: Option<u64>,
    /// How long to wait until the change is in force at every router.
    wait: Option<Duration>,
}

impl ProposalOptions {
    /// Reads the options of a command.
    ///
    /// # Errors
    /// [`UsageError::Value`].
    pub fn read(words: &Words) -> Result<ProposalOptions, UsageError> {
        let wait = words.parsed_option("wait", "a number of seconds")?;
        Ok(ProposalOptions {
            id: words.option("id"),
            base_epoch: words.parsed_option("base", "an epoch")?,
            wait: wait.map(Duration::from_secs),
        })
    }
}

/// Proposes a change, without id and base, and prints the epoch that it has.
pub async fn submit(
    api: &OperatorApi,
    mut change: OwnedValue,
    options: ProposalOptions,
) -> anyhow::Result<()> {
    let id = options
        .id
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    change.insert("id", id.clone())?;
    if let Some(base_epoch) = options.base_epoch {
        change.insert("base", base_epoch)?;
    }
    let response = api
        .post("/submit", &change.encode())
        .await
        .with_context(|| format!("proposal {id}"))?;
    let epoch = response.get("epoch").and_then(|v| v.as_u64()).unwrap_or(0);
    let is_repeat = response
        .get("repeated")
        .and_then(|v| v.as_bool())
        .unwrap_or(false);
    let repeat = if is_repeat { ", a repeat" } else { "" };
    println!("acknowledged: epoch {epoch}{repeat}");
    match options.wait {
        Some(wait) => status::wait_in_force(api, epoch, wait).await,
        None => Ok(()),
    }
}
