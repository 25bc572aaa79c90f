//! A list of engines that is kept elsewhere: the leader fetches it and submits what
//! changed. Nothing of it is kept here; engines are in the replicated state.

use crate::command_result::CommandError;
use crate::control_plane::ControlPlane;
use consensus::Term;
use residency::{Command, Engine, Name, Proposal, View};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use transport::now;

/// The list of engines, on its way.
pub type FetchFuture = Pin<Box<dyn Future<Output = anyhow::Result<Vec<Engine>>> + Send>>;

/// Where the list is to be had. Invariant: an answer is the complete list, or an
/// error; an engine that is missing from it is gone.
pub struct EngineDiscovery {
    /// Between two fetches, in milliseconds.
    pub period_ms: u64,
    /// Fetches the list.
    pub fetch: Box<dyn Fn() -> FetchFuture + Send + Sync>,
}

/// A list that took longer, also because this process was paused, is void.
const MAX_LIST_AGE_MS: u64 = 2_500;
/// A change that is committed so long after its list was asked for is logged as late: as
/// much as the interval at which a list is usually fetched.
const LATE_COMMIT_MS: u64 = 1_000;
/// How long one submission is tried for.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a list was not taken over. The next fetch may succeed.
#[derive(Debug, thiserror::Error)]
enum DiscoveryError {
    #[error("no majority confirms that this node leads")]
    NoMajority,
    #[error(transparent)]
    TimedOut(#[from] tokio::time::error::Elapsed),
    #[error("{0:#}")]
    Fetch(anyhow::Error),
    #[error("it came too late to be of use")]
    Stale,
    #[error("its change was not committed: {0}")]
    NotCommitted(#[from] CommandError),
}

/// What a list changes, as one command; `None` where it changes nothing. Of an
/// engine's warm-up only the beginning and the end count as changes. Engines of cells
/// that the topology does not know are left out.
pub fn diff_engines(view: &View, listed: Vec<Engine>) -> Option<Command> {
    let is_listed = |name: &str| listed.iter().any(|engine| engine.name == name);
    let gone: Vec<Name> = view
        .engines
        .keys()
        .filter(|name| !is_listed(name))
        .map(|name| Name(name.clone()))
        .collect();
    let mut engines: Vec<Engine> = Vec::new();
    for mut engine in listed {
        let is_duplicate = engines.iter().any(|other| other.name == engine.name);
        if is_duplicate || !view.cells.contains_key(&engine.cell) {
            continue;
        }
        let known = view.engines.get(&engine.name);
        if let Some(known) = known.filter(|known| known.warm_up_ms > 0 && engine.warm_up_ms > 0) {
            engine.warm_up_ms = known.warm_up_ms;
        }
        if known != Some(&engine) {
            engines.push(engine);
        }
    }
    let is_changed = !engines.is_empty() || !gone.is_empty();
    is_changed.then_some(Command::UpdateEngines { engines, gone })
}

/// Fetches the list every period while this node leads; runs as long as the node.
pub(crate) async fn run(control: Arc<ControlPlane>, discovery: EngineDiscovery) {
    let mut cluster_status = control.driver.cluster_status.clone();
    while cluster_status
        .wait_for(|cluster_status| cluster_status.is_leader)
        .await
        .is_ok()
    {
        let Some(term) = control.leader_term() else {
            continue;
        };
        if let Err(error) = update(&control, &discovery, term).await {
            log::warn!("The list of engines was not updated: {error}");
        }
        let period = Duration::from_millis(discovery.period_ms);
        let is_deposed = cluster_status.wait_for(|cluster_status| !cluster_status.is_leader);
        drop(tokio::time::timeout(period, is_deposed).await);
    }
}

/// Fetches the list as the leader of `term` and submits what it changes.
/// Invariant: lists count in the order in which they were asked for. One that a
/// former leader asked for is not proposed after its term. What it proposed in its
/// term is applied before a later leader asks, or is a conflict with what that
/// leader's own list made.
async fn update(
    control: &ControlPlane,
    discovery: &EngineDiscovery,
    term: Term,
) -> Result<(), DiscoveryError> {
    let timeout = Duration::from_millis(MAX_LIST_AGE_MS);
    if !control.read_barrier_within(timeout).await {
        return Err(DiscoveryError::NoMajority);
    }
    let (asked_at_ms, base) = (now(), control.current_base());
    let listed = tokio::time::timeout(timeout, (discovery.fetch)())
        .await?
        .map_err(DiscoveryError::Fetch)?;
    let Some(command) = control.with_state(|state| diff_engines(&state.view, listed)) else {
        return Ok(());
    };
    if now() > asked_at_ms + MAX_LIST_AGE_MS {
        return Err(DiscoveryError::Stale);
    }
    // Based on what was known when it was asked for: what has changed meanwhile is
    // not undone by an older list.
    let id = format!("list-{:016x}", rand::random::<u64>());
    let proposal = Proposal {
        id,
        base_epoch: base,
        command,
    };
    let submitted = control.submit_as_leader(proposal, term, SUBMIT_TIMEOUT);
    let committed = submitted.await?;
    log_commit(committed.epoch, now() - asked_at_ms);
    Ok(())
}

/// Routers get a change of the list that much after the list was asked for.
fn log_commit(epoch: u64, age_ms: u64) {
    if age_ms > LATE_COMMIT_MS {
        return log::warn!(epoch = epoch, age_ms = age_ms;
            "A change of the list of engines was committed late");
    }
    log::info!(epoch = epoch, age_ms = age_ms; "The list of engines changed");
}
