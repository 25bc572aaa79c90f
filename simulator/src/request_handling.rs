//! How a node handles an operator's request: a read index first, then a look at the state,
//! then a proposal to the leader. The steps are those of the operator API, in virtual time.

use crate::fault_profile::PlantedFault;
use crate::machine::MachineIndex;
use crate::operator_history::{Intent, Response};
use crate::requests::{LeaderResponse, OperatorEvent, PeerRequest, Phase, Request};
use crate::simulation::{Event, Simulation};
use crate::violation::{Failure, Violation};
use consensus::codec::to_bytes;
use consensus::node::{Input, Role};
use consensus::LogIndex;
use residency::Outcome;

/// How long a node waits for a read index.
const READ_INDEX_TIMEOUT_MS: u64 = 800;
/// Without a response for so long, a node sends its request to the leader again.
const RESEND_AFTER_MS: u64 = 300;

impl Simulation {
    pub(crate) fn operator_event(&mut self, event: OperatorEvent) -> Result<(), Failure> {
        match event {
            OperatorEvent::RequestArrives(request) => self.request_arrives(*request)?,
            OperatorEvent::RequestResumes(request) => self.continue_request(request)?,
            OperatorEvent::LeaderReached { request, leader } => {
                self.reach_leader(request, leader)?
            }
            OperatorEvent::LeaderResponded {
                request,
                step,
                response,
            } => self.leader_responded(request, step, response)?,
            OperatorEvent::OperatorResponded {
                operator,
                attempt,
                response,
            } => self.operator_responded(operator, attempt, response),
            OperatorEvent::AttemptTimedOut { operator, attempt } => {
                self.attempt_failed(operator, attempt)
            }
        }
        Ok(())
    }

    pub(crate) fn has_fault(&self, fault: PlantedFault) -> bool {
        self.profile
            .operators
            .is_some_and(|plan| plan.fault == Some(fault))
    }

    fn request_arrives(&mut self, mut request: Request) -> Result<(), Failure> {
        // A machine that is down does not respond; the operator hangs up on a frozen one
        // before that runs again.
        if !self.is_up(request.machine) {
            return Ok(());
        }
        request.incarnation = self.machines[request.machine].incarnation;
        request.until_ms = self.now_ms + READ_INDEX_TIMEOUT_MS;
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

    /// Takes a request to its next wait.
    pub(crate) fn continue_request(&mut self, id: u64) -> Result<(), Failure> {
        let Some(request) = self.operators.requests.get(&id) else {
            return Ok(());
        };
        let machine = request.machine;
        if self.machines[machine].incarnation != request.incarnation
            || self.machines[machine].live.is_none()
        {
            self.operators.requests.remove(&id);
            return Ok(());
        }
        let frozen_until_ms = self.machines[machine].frozen_until_ms;
        if frozen_until_ms > self.now_ms {
            self.schedule(
                frozen_until_ms - self.now_ms,
                Event::Operator(OperatorEvent::RequestResumes(id)),
            );
            return Ok(());
        }
        if self.now_ms > request.until_ms {
            self.respond(id, Response::RetryLater);
            return Ok(());
        }
        match request.phase {
            Phase::CatchUp(index) => self.catch_up(id, index),
            _ => self.send_to_leader(id),
        }
    }

    fn catch_up(&mut self, id: u64, index: LogIndex) -> Result<(), Failure> {
        let machine = self.operators.requests[&id].machine;
        let live = self.machines[machine]
            .live
            .as_ref()
            .expect("the caller checked that it runs");
        if live.node.applied_index() < index {
            self.schedule(10, Event::Operator(OperatorEvent::RequestResumes(id)));
            return Ok(());
        }
        self.decide(id)
    }

    /// Sends what the request needs to the node that its node takes for the leader.
    fn send_to_leader(&mut self, id: u64) -> Result<(), Failure> {
        let request = self
            .operators
            .requests
            .get_mut(&id)
            .expect("the caller checked that it runs");
        request.step += 1;
        let machine = request.machine;
        let proposal = match &request.phase {
            Phase::Submit(proposal) => Some(proposal.clone()),
            _ => None,
        };
        let peer_request = PeerRequest {
            request: id,
            step: request.step,
            proposal,
        };
        self.schedule(
            RESEND_AFTER_MS,
            Event::Operator(OperatorEvent::RequestResumes(id)),
        );
        let live = self.machines[machine]
            .live
            .as_ref()
            .expect("the caller checked that it runs");
        let leader = live
            .node
            .leader()
            .and_then(|identity| self.machine_of(identity));
        let Some(leader) = leader else { return Ok(()) };
        if leader == machine {
            return self.reach_leader(peer_request, leader);
        }
        if let Some(delay) = self.draw_transit_ms(machine, leader) {
            let event = OperatorEvent::LeaderReached {
                request: peer_request,
                leader,
            };
            self.schedule(delay, Event::Operator(event));
        }
        Ok(())
    }

    fn reach_leader(&mut self, request: PeerRequest, leader: MachineIndex) -> Result<(), Failure> {
        let frozen_until_ms = self.machines[leader].frozen_until_ms;
        if frozen_until_ms > self.now_ms {
            let event = OperatorEvent::LeaderReached { request, leader };
            self.schedule(frozen_until_ms - self.now_ms, Event::Operator(event));
            return Ok(());
        }
        self.last_token += 1;
        let token = self.last_token;
        let input = match &request.proposal {
            None => Input::ReadIndex(token),
            Some(proposal) => Input::Propose(token, to_bytes(proposal)),
        };
        let is_proposal = matches!(input, Input::Propose(..));
        if !is_proposal {
            self.open_reads.insert(token, self.acknowledged_index);
        }
        self.operators
            .leader_requests
            .insert(token, (request.request, request.step));
        let live = self.machines[leader].live.as_ref();
        let leads = live.is_some_and(|live| live.node.role() == Role::Leader);
        self.step(leader, input)?;
        if is_proposal && leads && self.has_fault(PlantedFault::AcknowledgedBeforeCommit) {
            let response = LeaderResponse::Outcome(Outcome::Applied { epoch: 0 });
            self.send_leader_response(leader, token, response);
        }
        Ok(())
    }

    /// Sends a leader's answer to whoever put the request with this token.
    pub(crate) fn send_leader_response(
        &mut self,
        leader: MachineIndex,
        token: u64,
        response: LeaderResponse,
    ) {
        let Some((request, step)) = self.operators.leader_requests.remove(&token) else {
            return;
        };
        let Some(machine) = self
            .operators
            .requests
            .get(&request)
            .map(|request| request.machine)
        else {
            return;
        };
        let delay = match machine == leader {
            true => Some(0),
            false => self.draw_transit_ms(leader, machine),
        };
        if let Some(delay) = delay {
            let event = OperatorEvent::LeaderResponded {
                request,
                step,
                response,
            };
            self.schedule(delay, Event::Operator(event));
        }
    }

    fn leader_responded(
        &mut self,
        id: u64,
        step: u64,
        response: LeaderResponse,
    ) -> Result<(), Failure> {
        let Some(request) = self.operators.requests.get_mut(&id) else {
            return Ok(());
        };
        let frozen_until_ms = self.machines[request.machine].frozen_until_ms;
        if frozen_until_ms > self.now_ms {
            let event = OperatorEvent::LeaderResponded {
                request: id,
                step,
                response,
            };
            self.schedule(frozen_until_ms - self.now_ms, Event::Operator(event));
            return Ok(());
        }
        if request.step != step || self.machines[request.machine].incarnation != request.incarnation
        {
            return Ok(());
        }
        match (response, &request.phase) {
            (LeaderResponse::ReadIndex(index), Phase::ConfirmLeadership) => {
                request.phase = Phase::CatchUp(index);
                self.continue_request(id)
            }
            (LeaderResponse::Outcome(outcome), Phase::Submit(_)) => self.conclude(id, outcome),
            // Rejected: it is sent again when that is due.
            _ => Ok(()),
        }
    }

    fn conclude(&mut self, id: u64, outcome: Outcome) -> Result<(), Failure> {
        let is_change = matches!(self.operators.requests[&id].intent, Intent::Change { .. });
        let goes_on = is_change || self.has_fault(PlantedFault::ResubmittedAfterConflict);
        match outcome {
            Outcome::Applied { .. } | Outcome::Duplicate { .. } => {
                self.respond(id, Response::Applied)
            }
            Outcome::Conflict { .. } if goes_on => {
                // Decided anew: it may have been applied through another node.
                let until_ms = self.now_ms + READ_INDEX_TIMEOUT_MS;
                let request = self
                    .operators
                    .requests
                    .get_mut(&id)
                    .expect("the request is open");
                request.phase = Phase::ConfirmLeadership;
                request.until_ms = until_ms;
                return self.continue_request(id);
            }
            Outcome::Conflict { .. } => self.respond(id, Response::RetryLater),
            Outcome::Rejected(_) if is_change => self.respond(id, Response::RetryLater),
            Outcome::Rejected(text) => {
                return self.fail(Violation::OrderRejected {
                    reason: text.to_string(),
                })
            }
        }
        Ok(())
    }

    /// Responds to the operator; the response may be lost on its way.
    pub(crate) fn respond(&mut self, id: u64, response: Response) {
        let Some(request) = self.operators.requests.remove(&id) else {
            return;
        };
        if self.chance(50) {
            return;
        }
        let (operator, attempt) = (request.operator, request.id);
        let delay = 1 + self.draw(20);
        let event = OperatorEvent::OperatorResponded {
            operator,
            attempt,
            response,
        };
        self.schedule(delay, Event::Operator(event));
    }
}
