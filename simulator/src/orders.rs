//! How a node handles an operator's order: contact with a majority first, then a
//! look at the state, then a proposal to the leader. The steps are those of
//! `platform`'s control interface, in virtual time.

use super::history::{Intent, Response};
use super::operators::{OperatorEvent, PlantedFault};
use super::{Due, Simulation};
use consensus::codec::to_bytes;
use consensus::node::{Input, Role};
use consensus::LogIndex;
use residency::{Command, ConfigDocument, Name, Outcome, Proposal, State};

/// How long a node waits for contact with a majority.
const CONTACT_MS: u64 = 800;
/// How long a node tries to have a proposal agreed on.
const SUBMIT_MS: u64 = 1_500;
/// Without an answer for so long, a node puts its question again.
const ASK_AGAIN_MS: u64 = 300;
const TOPOLOGY: &str =
    r#"{"zones":{"zone-0":{"region":"a"},"zone-1":{"region":"b"},"zone-2":{"region":"c"}}}"#;

/// An operator's order at the node that it was sent to.
pub(super) struct Request {
    id: u64,
    operator: usize,
    intent: Intent,
    at: usize,
    /// The start of the node that took it in; a later one knows nothing of it.
    life: u64,
    phase: Phase,
    /// Counts questions to the leader; answers to earlier ones are void.
    step: u64,
    until: u64,
}

enum Phase {
    /// A read index is asked for.
    Contact,
    /// The state is not there yet.
    CatchUp(LogIndex),
    Submit(Proposal),
}

/// What a node puts to a leader. It may arrive when nobody waits for its answer.
pub(super) struct PeerRequest {
    request: u64,
    step: u64,
    /// `None`: a read index is asked for.
    proposal: Option<Proposal>,
}

/// What a leader says to a node.
pub(super) enum LeaderAnswer {
    ReadIndex(LogIndex),
    Outcome(Outcome),
    Refused,
}

impl Request {
    pub(super) fn new(id: u64, operator: usize, intent: Intent, at: usize) -> Request {
        let phase = Phase::Contact;
        Request {
            id,
            operator,
            intent,
            at,
            life: 0,
            phase,
            step: 0,
            until: 0,
        }
    }
}

impl Simulation {
    pub(super) fn operator_event(&mut self, event: OperatorEvent) -> Result<(), String> {
        match event {
            OperatorEvent::Arrives(request) => self.request_arrives(*request)?,
            OperatorEvent::Continues(request) => self.continue_request(request)?,
            OperatorEvent::ReachesLeader { question, leader } => {
                self.reach_leader(question, leader)?
            }
            OperatorEvent::LeaderAnswers {
                request,
                step,
                answer,
            } => self.leader_answers(request, step, answer)?,
            OperatorEvent::Answered {
                operator,
                attempt,
                response,
            } => self.operator_answered(operator, attempt, response),
            OperatorEvent::Silence { operator, attempt } => self.attempt_failed(operator, attempt),
        }
        Ok(())
    }

    fn has_fault(&self, fault: PlantedFault) -> bool {
        self.weather
            .operators
            .is_some_and(|plan| plan.fault == Some(fault))
    }

    fn request_arrives(&mut self, mut request: Request) -> Result<(), String> {
        // A machine that is down answers nobody; of one that stands still the
        // operator hangs up before it moves again.
        if !self.is_up(request.at) {
            return Ok(());
        }
        request.life = self.machines[request.at].life;
        request.until = self.now + CONTACT_MS;
        let id = request.id;
        let is_read = matches!(
            request.intent,
            Intent::ReadConfiguration | Intent::ReadZone { .. }
        );
        if is_read && self.has_fault(PlantedFault::StaleRead) {
            request.phase = Phase::CatchUp(0);
        }
        self.operators.requests.insert(id, request);
        self.continue_request(id)
    }

    /// Takes a request as far as it goes for now.
    fn continue_request(&mut self, id: u64) -> Result<(), String> {
        let Some(request) = self.operators.requests.get(&id) else {
            return Ok(());
        };
        let at = request.at;
        if self.machines[at].life != request.life || self.machines[at].live.is_none() {
            self.operators.requests.remove(&id);
            return Ok(());
        }
        let frozen_until = self.machines[at].frozen_until;
        if frozen_until > self.now {
            self.due(
                frozen_until - self.now,
                Due::Operator(OperatorEvent::Continues(id)),
            );
            return Ok(());
        }
        if self.now > request.until {
            self.answer(id, Response::Later);
            return Ok(());
        }
        match request.phase {
            Phase::CatchUp(index) => self.catch_up(id, index),
            _ => self.ask_leader(id),
        }
    }

    fn catch_up(&mut self, id: u64, index: LogIndex) -> Result<(), String> {
        let at = self.operators.requests[&id].at;
        let live = self.machines[at]
            .live
            .as_ref()
            .expect("looked at by the caller");
        if live.node.applied_index() < index {
            self.due(10, Due::Operator(OperatorEvent::Continues(id)));
            return Ok(());
        }
        self.decide(id)
    }

    /// Puts the request's question to whom its node takes for the leader.
    fn ask_leader(&mut self, id: u64) -> Result<(), String> {
        let request = self
            .operators
            .requests
            .get_mut(&id)
            .expect("looked at by the caller");
        request.step += 1;
        let at = request.at;
        let proposal = match &request.phase {
            Phase::Submit(proposal) => Some(proposal.clone()),
            _ => None,
        };
        let question = PeerRequest {
            request: id,
            step: request.step,
            proposal,
        };
        self.due(ASK_AGAIN_MS, Due::Operator(OperatorEvent::Continues(id)));
        let live = self.machines[at]
            .live
            .as_ref()
            .expect("looked at by the caller");
        let leader = live.node.leader().and_then(|identity| self.place(identity));
        let Some(leader) = leader else { return Ok(()) };
        if leader == at {
            return self.reach_leader(question, leader);
        }
        if let Some(delay) = self.transit(at, leader) {
            let event = OperatorEvent::ReachesLeader { question, leader };
            self.due(delay, Due::Operator(event));
        }
        Ok(())
    }

    fn reach_leader(&mut self, question: PeerRequest, leader: usize) -> Result<(), String> {
        let frozen_until = self.machines[leader].frozen_until;
        if frozen_until > self.now {
            let event = OperatorEvent::ReachesLeader { question, leader };
            self.due(frozen_until - self.now, Due::Operator(event));
            return Ok(());
        }
        self.tokens += 1;
        let token = self.tokens;
        let input = match &question.proposal {
            None => Input::ReadIndex(token),
            Some(proposal) => Input::Propose(token, to_bytes(proposal)),
        };
        let is_proposal = matches!(input, Input::Propose(..));
        if !is_proposal {
            self.open_reads.insert(token, self.acknowledged);
        }
        self.operators
            .put_to_leader
            .insert(token, (question.request, question.step));
        let live = self.machines[leader].live.as_ref();
        let leads = live.is_some_and(|live| live.node.role() == Role::Leader);
        self.step(leader, input)?;
        if is_proposal && leads && self.has_fault(PlantedFault::AcknowledgedBeforeCommit) {
            let answer = LeaderAnswer::Outcome(Outcome::Applied { epoch: 0 });
            self.answer_from_leader(leader, token, answer);
        }
        Ok(())
    }

    /// Sends a leader's answer to whoever put the question with this token.
    pub(super) fn answer_from_leader(&mut self, leader: usize, token: u64, answer: LeaderAnswer) {
        let Some((request, step)) = self.operators.put_to_leader.remove(&token) else {
            return;
        };
        let Some(at) = self
            .operators
            .requests
            .get(&request)
            .map(|request| request.at)
        else {
            return;
        };
        let delay = match at == leader {
            true => Some(0),
            false => self.transit(leader, at),
        };
        if let Some(delay) = delay {
            let event = OperatorEvent::LeaderAnswers {
                request,
                step,
                answer,
            };
            self.due(delay, Due::Operator(event));
        }
    }

    fn leader_answers(&mut self, id: u64, step: u64, answer: LeaderAnswer) -> Result<(), String> {
        let Some(request) = self.operators.requests.get_mut(&id) else {
            return Ok(());
        };
        let frozen_until = self.machines[request.at].frozen_until;
        if frozen_until > self.now {
            let event = OperatorEvent::LeaderAnswers {
                request: id,
                step,
                answer,
            };
            self.due(frozen_until - self.now, Due::Operator(event));
            return Ok(());
        }
        if request.step != step || self.machines[request.at].life != request.life {
            return Ok(());
        }
        match (answer, &request.phase) {
            (LeaderAnswer::ReadIndex(index), Phase::Contact) => {
                request.phase = Phase::CatchUp(index);
                self.continue_request(id)
            }
            (LeaderAnswer::Outcome(outcome), Phase::Submit(_)) => self.conclude(id, outcome),
            // Refused: it is put again when that is due.
            _ => Ok(()),
        }
    }

    /// Looks at the state, which is as new as the request, and decides.
    fn decide(&mut self, id: u64) -> Result<(), String> {
        let request = &self.operators.requests[&id];
        let live = self.machines[request.at]
            .live
            .as_ref()
            .expect("looked at by the caller");
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
            self.answer(id, response);
            return Ok(());
        }
        let proposal = self.proposal(id);
        let until = self.now + SUBMIT_MS;
        let request = self
            .operators
            .requests
            .get_mut(&id)
            .expect("just looked at");
        request.phase = Phase::Submit(proposal);
        request.until = until;
        self.continue_request(id)
    }

    fn proposal(&self, id: u64) -> Proposal {
        let request = &self.operators.requests[&id];
        let live = self.machines[request.at]
            .live
            .as_ref()
            .expect("looked at by the caller");
        match &request.intent {
            Intent::Change {
                id: change,
                based,
                revision,
            } => {
                let is_new = self.has_fault(PlantedFault::NewIdentifierPerTry);
                let submission_id = if is_new {
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
                    id: submission_id,
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
                unreachable!("reads are answered, never submitted")
            }
        }
    }

    fn conclude(&mut self, id: u64, outcome: Outcome) -> Result<(), String> {
        let is_change = matches!(self.operators.requests[&id].intent, Intent::Change { .. });
        let goes_on = is_change || self.has_fault(PlantedFault::ResubmittedAfterConflict);
        match outcome {
            Outcome::Applied { .. } | Outcome::Duplicate { .. } => self.answer(id, Response::Taken),
            Outcome::Conflict { .. } if goes_on => {
                // Looked at anew: it may have been taken from another node.
                let until = self.now + CONTACT_MS;
                let request = self
                    .operators
                    .requests
                    .get_mut(&id)
                    .expect("just looked at");
                request.phase = Phase::Contact;
                request.until = until;
                return self.continue_request(id);
            }
            Outcome::Conflict { .. } => self.answer(id, Response::Later),
            Outcome::Rejected(_) if is_change => self.answer(id, Response::Later),
            Outcome::Rejected(text) => return self.fail(format!("an order was refused: {text}")),
        }
        Ok(())
    }

    /// Answers the operator; the answer may be lost on its way.
    fn answer(&mut self, id: u64, response: Response) {
        let Some(request) = self.operators.requests.remove(&id) else {
            return;
        };
        if self.chance(50) {
            return;
        }
        let (operator, attempt) = (request.operator, request.id);
        let delay = 1 + self.draw(20);
        let event = OperatorEvent::Answered {
            operator,
            attempt,
            response,
        };
        self.due(delay, Due::Operator(event));
    }
}

fn decide_change(state: &State, id: &str, based: u64, revision: u64) -> Option<Response> {
    let current = state.config_document().revision;
    match () {
        () if state.has_applied(id) => Some(Response::Taken),
        () if based != current => Some(Response::Conflict),
        () if revision <= current => Some(Response::NotAbove),
        () => None,
    }
}
