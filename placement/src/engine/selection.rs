//! Which engines may serve a request, and which of them is selected: rendezvous hashing
//! with bounded load.

use crate::rendezvous::rank;
use policy::Prompt;
use residency::{Engine, Mapping, View};

/// A request, as far as the selection of an engine depends on it.
pub struct SelectionRequest<'a> {
    /// The prompt's parts and sizes; empty where nothing is known of it.
    pub prompt: &'a Prompt,
    /// The hash of the prefix that the request shares with others; 0 stands for none.
    pub prefix: u64,
    /// Names of the engines that earlier attempts of this request were sent to.
    pub tried: &'a [String],
}

/// The engine that was selected for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedEngine {
    /// Its name.
    pub name: String,
    /// Its address, as the topology lists it.
    pub address: String,
    /// The zone of its cell; empty if the topology does not know the cell.
    pub zone: String,
    /// The first byte must be sent before this time; `None` for an engine that has
    /// warmed up.
    pub send_by_ms: Option<u64>,
    /// How often its health reports had been interrupted when it was selected, for
    /// `EngineHealthTracker::is_uninterrupted`.
    pub interruptions: u64,
}

impl SelectedEngine {
    pub(crate) fn new(
        view: &View,
        engine: &Engine,
        send_by_ms: Option<u64>,
        interruptions: u64,
    ) -> SelectedEngine {
        SelectedEngine {
            name: engine.name.clone(),
            address: engine.address.clone(),
            zone: view.cells.get(&engine.cell).cloned().unwrap_or_default(),
            send_by_ms,
            interruptions,
        }
    }
}

/// The result of a selection.
#[derive(Debug, PartialEq)]
pub enum EngineSelection {
    /// A slot of this engine is taken for the request until it is released.
    Selected(SelectedEngine),
    /// Each engine that may serve the request is at its limit.
    AllFull,
    /// No engine that may serve the request is known and healthy.
    NoneEligible,
}

/// Whether a view and a mapping allow an engine to serve a request. It is checked when the
/// engine is selected and again immediately before the first byte is sent.
pub fn may_serve(view: &View, mapping: &Mapping, name: &str, address: &str) -> bool {
    view.engines.get(name).is_some_and(|engine| {
        // The tenant's home regions bind, also where a cell was moved to another region
        // after the mapping was resolved.
        let is_home = view
            .cell(&engine.cell)
            .is_some_and(|cell| mapping.regions.iter().any(|r| r.0 == cell.region));
        is_home
            && engine.address == address
            && engine
                .services
                .iter()
                .any(|service| service.0 == mapping.service)
            && mapping.cells.iter().any(|cell| cell.0 == engine.cell)
            && view.is_open(engine)
    })
}

/// An engine among which `select_engine` chooses. Invariant: `index` is dense over the
/// engines passed together.
#[derive(Clone, Copy)]
pub struct Candidate {
    /// The engine's place in the caller's list.
    pub index: usize,
    /// The hash of the engine's name.
    pub hash: u64,
    /// Requests that it runs or has queued.
    pub running: u32,
    /// Its concurrency limit: the target utilization of its slots. 0 stands for an engine
    /// that gets nothing.
    pub limit: u32,
    /// The position of its cell in the mapping; the preferred cell has 0.
    pub tier: usize,
}

/// Selects the candidate of the lowest tier that ranks highest for the prefix, passing over
/// those at their limit, and returns its index. `None`: all of them are at their limit.
pub fn select_engine(prefix: u64, candidates: &[Candidate]) -> Option<usize> {
    candidates
        .iter()
        .filter(|candidate| candidate.running < candidate.limit)
        .min_by_key(|candidate| (candidate.tier, u64::MAX - rank(prefix, candidate.hash)))
        .map(|candidate| candidate.index)
}
