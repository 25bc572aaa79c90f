//! What a node decides on an operator's request, by a state that is new enough.

use crate::fault_profile::PlantedFault;
use crate::operator_history::{Intent, Response};
use crate::requests::Phase;
use crate::simulation::Simulation;
use crate::violation::Failure;
use residency::{Command, ConfigDocument, Name, Proposal, State};

/// How long a node tries to get a proposal committed.
const PROPOSAL_TIMEOUT_MS: u64 = 1_500;
/// The topology that every document of an operator has.
const TOPOLOGY: &str =
    r#"{"zones":{"zone-0":{"region":"a"},"zone-1":{"region":"b"},"zone-2":{"region":"c"}}}"#;

impl Simulation {
    /// Decides by the state, which is at least as new as the request.
    pub(crate) fn decide(&mut self, id: u64) -> Result<(), Failure> {
        let request = &self.operators.requests[&id];
        let live = self.machines[request.machine]
            .live
            .as_ref()
            .expect("the caller checked that it runs");
        let state = &live.state;
        let response = match &request.intent {
            Intent::ReadConfiguration => Some(Response::Revision(state.config_document().revision)),
            Intent::ReadZone { zone } => {
                let zone = format!("zone-{zone}");
                Some(Response::IsEvacuated(
                    state.view.evacuated.contains(zone.as_str()),
                ))
            }
            Intent::SetZone { .. } => None,
            Intent::Change {
                id,
                based,
                revision,
            } => decide_change(state, id, *based, *revision),
        };
        if let Some(response) = response {
            self.respond(id, response);
            return Ok(());
        }
        let proposal = self.proposal(id);
        let until_ms = self.now_ms + PROPOSAL_TIMEOUT_MS;
        let request = self
            .operators
            .requests
            .get_mut(&id)
            .expect("the request is open");
        request.phase = Phase::Submit(proposal);
        request.until_ms = until_ms;
        self.continue_request(id)
    }

    fn proposal(&self, id: u64) -> Proposal {
        let request = &self.operators.requests[&id];
        let live = self.machines[request.machine]
            .live
            .as_ref()
            .expect("the caller checked that it runs");
        match &request.intent {
            Intent::Change {
                id: change,
                based,
                revision,
            } => {
                let is_new = self.has_fault(PlantedFault::NewIdentifierPerAttempt);
                let proposal_id = if is_new {
                    format!("{change}-try-{id}")
                } else {
                    change.clone()
                };
                let config_document = ConfigDocument {
                    revision: *revision,
                    base_revision: *based,
                    text: format!("# {change}"),
                };
                let command = Command::AdoptDocument {
                    config_document,
                    text: TOPOLOGY.into(),
                };
                Proposal {
                    id: proposal_id,
                    base_epoch: 0,
                    command,
                }
            }
            Intent::SetZone { zone, is_evacuated } => {
                let zone = Name(format!("zone-{zone}"));
                let command = match is_evacuated {
                    true => Command::EvacuateZone(zone),
                    false => Command::ReinstateZone(zone),
                };
                let is_fenced = !self.has_fault(PlantedFault::UnfencedEvacuation);
                let base = if is_fenced {
                    live.state.epoch().max(1)
                } else {
                    0
                };
                Proposal {
                    id: format!("order-{id}"),
                    base_epoch: base,
                    command,
                }
            }
            Intent::ReadConfiguration | Intent::ReadZone { .. } => {
                unreachable!("reads are never proposed")
            }
        }
    }
}

fn decide_change(state: &State, id: &str, based: u64, revision: u64) -> Option<Response> {
    let current = state.config_document().revision;
    match () {
        () if state.has_applied(id) => Some(Response::Applied),
        () if based != current => Some(Response::Conflict),
        () if revision <= current => Some(Response::RevisionNotAbove),
        () => None,
    }
}
