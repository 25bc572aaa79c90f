//! A list of engines that is kept elsewhere and asked for: whoever leads takes
//! over what it says anew.

use crate::ControlPlane;
use consensus::Term;
use residency::{Command, Engine, Name, Proposal, View};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

pub type FetchFuture = Pin<Box<dyn Future<Output = anyhow::Result<Vec<Engine>>> + Send>>;

/// Where the list is to be had. Invariant: an answer is the whole list, or an
/// error; what is missing from it is gone.
pub struct EngineDiscovery {
    pub period_ms: u64,
    pub fetch: Box<dyn Fn() -> FetchFuture + Send + Sync>,
}

/// An answer that took longer, also because this process stood still, is void.
const STALE_MS: u64 = 2_500;
const SUBMIT: Duration = Duration::from_millis(1_500);

/// What a list says anew, as one command; nothing where it says nothing. Of an
/// engine's warming only its beginning and its end are news. Engines of cells
/// that the book does not know wait.
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
        let is_twice = engines.iter().any(|other| other.name == engine.name);
        if is_twice || !view.cells.contains_key(&engine.cell) {
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
    let is_news = !engines.is_empty() || !gone.is_empty();
    is_news.then_some(Command::UpdateEngines { engines, gone })
}

/// How long fewer routers are there before it is written down.
const FEWER_MS: u64 = 60_000;

/// Writes down how many routers there are, where quotas go by it: more of them at
/// once, fewer when it has lasted.
pub(crate) async fn count(control: Arc<ControlPlane>) {
    let mut cluster_status = control.driver.cluster_status.clone();
    let mut fewer_since = None;
    while cluster_status
        .wait_for(|cluster_status| cluster_status.is_leader)
        .await
        .is_ok()
    {
        tokio::time::sleep(transport::jitter(900)).await;
        // Based on the count that it differs from.
        let base = control.base();
        let (seen, known) = (
            control.routers.lock().count() as u32,
            control.with_state(|s| s.view.router_count),
        );
        if seen >= known {
            fewer_since = None;
        }
        let since = *fewer_since.get_or_insert(transport::now());
        let is_news = seen > known || seen < known && transport::now() > since + FEWER_MS;
        if let Some(term) = control.leader_term().filter(|_| is_news) {
            let id = format!("fleet-{:016x}", rand::random::<u64>());
            let proposal = Proposal {
                id,
                base_epoch: base,
                command: Command::SetRouterCount(seen),
            };
            control.submit_as_leader(proposal, term, SUBMIT).await;
        }
    }
}

pub(crate) async fn run(control: Arc<ControlPlane>, listing: EngineDiscovery) {
    let mut cluster_status = control.driver.cluster_status.clone();
    while cluster_status
        .wait_for(|cluster_status| cluster_status.is_leader)
        .await
        .is_ok()
    {
        let Some(term) = control.leader_term() else {
            continue;
        };
        if let Err(error) = take(&control, &listing, term).await {
            log::warn!("the list of engines: {error:#}");
        }
        let period = Duration::from_millis(listing.period_ms);
        let lost = cluster_status.wait_for(|cluster_status| !cluster_status.is_leader);
        drop(tokio::time::timeout(period, lost).await);
    }
}

/// Asks for the list as the leader of `term` and takes over what it says anew.
/// Invariant: lists count in the order in which they were asked for. One that a
/// former leader asked for is not proposed after its term. What it proposed in its
/// term is applied before a later leader asks, or is a conflict with what that
/// leader's own list made.
async fn take(control: &ControlPlane, listing: &EngineDiscovery, term: Term) -> anyhow::Result<()> {
    let patience = Duration::from_millis(STALE_MS);
    if !control.read_barrier_within(patience).await {
        anyhow::bail!("no majority confirms that this node leads");
    }
    let (at, base) = (transport::now(), control.base());
    let listed = tokio::time::timeout(patience, (listing.fetch)()).await??;
    let Some(command) = control.with_state(|state| diff_engines(&state.view, listed)) else {
        return Ok(());
    };
    if transport::now() > at + STALE_MS {
        anyhow::bail!("it came too late to be of use");
    }
    // Based on what was known when it was asked for: what has changed meanwhile is
    // not undone by an older list.
    let id = format!("list-{:016x}", rand::random::<u64>());
    let proposal = Proposal {
        id,
        base_epoch: base,
        command,
    };
    let reply = control.submit_as_leader(proposal, term, SUBMIT).await;
    log::info!("the list of engines changed: {reply:?}");
    Ok(())
}
