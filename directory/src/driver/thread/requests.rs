//! Requests, from this process and from other nodes, and their responses.

use super::driver_thread::DriverThread;
use super::request_table::{ConfirmedRead, SentRequest, Waiter};
use crate::driver::command::{LocalRequest, RequestFromPeer};
use crate::driver::handle::REQUEST_TIMEOUT_MS;
use crate::leader_clock::is_valid;
use consensus::codec::to_bytes;
use consensus::node::{Input, Role};
use consensus::Member;
use placement::quota_work_limit::DemandTiming;
use protocol::{Frame, PeerRequest, PeerResponse, RouterDemand, RouterGrants};
use residency::Outcome;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use transport::now;

impl DriverThread {
    /// A request from this process: handled here by the leader, else sent to it.
    pub(super) fn handle_local_request(
        &mut self,
        request: LocalRequest,
        sender: oneshot::Sender<PeerResponse>,
        queued_at_ms: u64,
    ) {
        let is_leader = self.node.role() == Role::Leader;
        let waiter = Waiter::Local(sender);
        let is_other_term = |only| !is_leader || only != self.node.term();
        if request.only_term.is_some_and(is_other_term) {
            return self.respond(waiter, PeerResponse::NotLeader);
        }
        // This process may have been paused meanwhile.
        if now() >= request.deadline_ms {
            return self.respond(waiter, PeerResponse::LeadershipLost);
        }
        if is_leader {
            let timing = DemandTiming {
                asked_at_ms: None,
                queued_at_ms,
            };
            return self.handle_as_leader(request.request, waiter, timing);
        }
        let leader = self.node.leader();
        let leader = leader.and_then(|id| self.node.members().get(id)).cloned();
        match (leader, waiter) {
            (Some(leader), Waiter::Local(sender)) => {
                self.send_to_leader(&leader, request, sender);
            }
            (_, waiter) => self.respond(waiter, PeerResponse::NotLeader),
        }
    }

    fn send_to_leader(
        &mut self,
        leader: &Member,
        request: LocalRequest,
        sender: oneshot::Sender<PeerResponse>,
    ) {
        let term = self.node.term();
        let deadline_ms = request.deadline_ms;
        let request_id = self.requests.next_token();
        if let PeerRequest::ReadIndex { .. } = request.request {
            self.published.lease.request(request_id, now());
        }
        let validity = self
            .leader_clock
            .validity(leader.identity, term, deadline_ms);
        let sent = SentRequest {
            leader: leader.identity,
            term,
            deadline_ms,
            sender,
        };
        self.requests.sent.insert(request_id, sent);
        let frame = Frame::PeerRequest {
            from: self.settings.local_member.identity,
            request_id,
            validity,
            request: request.request,
        };
        self.peers.send(&leader.address, frame);
    }

    /// A request from another node. One that is late is not acted on; a node that still
    /// waits retries.
    pub(super) fn handle_forwarded_request(
        &mut self,
        forwarded: RequestFromPeer,
        queued_at_ms: u64,
    ) {
        let RequestFromPeer {
            from,
            request_id,
            validity,
            request,
        } = forwarded;
        let waiter = Waiter::Peer {
            node: from,
            request_id,
        };
        // The deadline is 0 where the asker does not know the clock here.
        let asked_at_ms = validity.deadline_ms.checked_sub(REQUEST_TIMEOUT_MS);
        let timing = DemandTiming {
            asked_at_ms,
            queued_at_ms,
        };
        let is_leader = self.node.role() == Role::Leader;
        match is_leader && is_valid(&request, validity, self.node.term(), now()) {
            true => self.handle_as_leader(request, waiter, timing),
            false => self.respond(waiter, PeerResponse::NotLeader),
        }
    }

    fn handle_as_leader(&mut self, request: PeerRequest, waiter: Waiter, timing: DemandTiming) {
        let token = self.requests.next_token();
        let input = match request {
            PeerRequest::ReadIndex { demands } => {
                let grants = self.grant(&demands, timing);
                self.requests.pending_grants.insert(token, grants);
                if let Waiter::Local(_) = waiter {
                    self.published.lease.request(token, now());
                }
                Input::ReadIndex(token)
            }
            PeerRequest::Propose(proposal) => {
                // That a proposal was applied stays true and needs no entry. A
                // conflict or a refusal may rest on old state, at a leader that has
                // just been elected or is cut off: it is decided where it is applied.
                let known = self.published.state.read().check(&proposal);
                if let Some(outcome @ Outcome::Duplicate { .. }) = known {
                    return self.respond(waiter, PeerResponse::Proposed(outcome));
                }
                // What too few voters hold might go with the loss of one.
                if self.node.members().voters.len() < self.settings.min_voters {
                    return self.respond(waiter, PeerResponse::Busy);
                }
                Input::Propose(token, to_bytes(&proposal))
            }
            PeerRequest::AddLearner(member) => Input::AddLearner(token, member),
            PeerRequest::RemoveMember { identity } => Input::RemoveMember(token, identity),
            PeerRequest::PrepareToStop { identity } => Input::Leave(token, identity),
        };
        self.requests.waiters.insert(token, waiter);
        self.step(input);
    }

    /// Shares of the tenants' quotas, for all routers that a node asks for.
    fn grant(&mut self, demands: &[RouterDemand], timing: DemandTiming) -> Vec<RouterGrants> {
        self.grants.enter_term(self.node.term());
        let state = self.published.state.read();
        let known_routers = self.published.router_count.load(Ordering::Relaxed);
        let granted = self
            .grants
            .grant(demands, &state.view, known_routers, timing);
        if granted.shed > 0 {
            self.metrics.add("quota_demands_shed", granted.shed);
        }
        granted.grants
    }

    pub(super) fn respond(&self, waiter: Waiter, response: PeerResponse) {
        match waiter {
            // The requester may be gone; then the response is not needed.
            Waiter::Local(sender) => drop(sender.send(response)),
            Waiter::Peer { node, request_id } => {
                let clock_ms = now();
                let frame = Frame::PeerResponse {
                    request_id,
                    clock_ms,
                    response,
                };
                self.peers.send_to(node, frame);
            }
        }
    }

    /// Answers confirmed reads once what was committed then is applied here.
    pub(super) fn complete_reads(&mut self) {
        if self.requests.confirmed_reads.is_empty() {
            return;
        }
        let applied = self.requests.take_applied_reads(self.node.applied_index());
        let epoch = self.published.state.read().epoch();
        for read in applied {
            let ConfirmedRead {
                token,
                index,
                waiter,
                grants,
            } = read;
            // Here the epoch is of use, to another node the index.
            let index = match &waiter {
                Waiter::Local(_) => {
                    self.published.lease.confirm(token);
                    epoch
                }
                Waiter::Peer { .. } => index,
            };
            self.respond(waiter, PeerResponse::ReadIndex { index, grants });
        }
    }
}
