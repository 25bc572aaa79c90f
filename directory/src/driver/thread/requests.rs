//! Questions, from this process and from other nodes, and their answers.

use super::{DriverThread, QuotaGrants, Sent, Waiter};
use crate::driver::{ForwardedRequest, LocalRequest};
use crate::leader_clock::is_valid;
use consensus::codec::to_bytes;
use consensus::node::{Input, Role};
use protocol::{Frame, PeerRequest, PeerResponse, RouterDemand, RouterGrants};
use residency::Outcome;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use transport::now;

impl DriverThread {
    /// A question from this process: answered here by the leader, else there.
    pub(super) fn handle_local_request(
        &mut self,
        asked: LocalRequest,
        sender: oneshot::Sender<PeerResponse>,
    ) {
        let LocalRequest {
            question,
            deadline_ms,
            only_term,
        } = asked;
        let is_leader = self.node.role() == Role::Leader;
        let (term, asked_at_ms) = (self.node.term(), now());
        let waiter = Waiter::Local {
            sender,
            asked_at_ms,
        };
        if only_term.is_some_and(|only| !is_leader || only != term) {
            return self.respond(waiter, PeerResponse::NotLeader);
        }
        // This process may have stood still meanwhile.
        if asked_at_ms >= deadline_ms {
            return self.respond(waiter, PeerResponse::LeadershipLost);
        }
        if is_leader {
            return self.handle_as_leader(question, waiter);
        }
        let leader = self
            .node
            .leader()
            .and_then(|id| self.node.members().get(id))
            .cloned();
        let Some(leader) = leader else {
            return self.respond(waiter, PeerResponse::NotLeader);
        };
        let Waiter::Local { sender, .. } = waiter else {
            return;
        };
        let number = self.next_token();
        let validity = self
            .leader_clock
            .validity(leader.identity, term, deadline_ms);
        let sent = Sent {
            leader: leader.identity,
            term,
            asked_at_ms,
            deadline_ms,
            reply: sender,
        };
        self.sent_requests.insert(number, sent);
        let frame = Frame::PeerRequest {
            from: self.local_member.identity,
            request_id: number,
            validity,
            request: question,
        };
        self.peers.send(&leader.address, frame);
    }

    /// A question from another node. What is late is not acted on; whoever still
    /// waits asks anew.
    pub(super) fn handle_forwarded_request(&mut self, forwarded: ForwardedRequest) {
        let ForwardedRequest {
            from,
            number,
            validity,
            question,
        } = forwarded;
        let waiter = Waiter::Peer(from, number);
        let is_leader = self.node.role() == Role::Leader;
        match is_leader && is_valid(&question, validity, self.node.term(), now()) {
            true => self.handle_as_leader(question, waiter),
            false => self.respond(waiter, PeerResponse::NotLeader),
        }
    }

    pub(super) fn handle_as_leader(&mut self, question: PeerRequest, waiter: Waiter) {
        let token = self.next_token();
        let input = match question {
            PeerRequest::ReadIndex { demands } => {
                let shares = self.grant(&demands);
                self.granted_shares.insert(token, shares);
                Input::ReadIndex(token)
            }
            PeerRequest::Propose(proposal) => {
                // That a proposal was applied stays true and needs no entry. A
                // conflict or a refusal may rest on old state, at a leader that has
                // just been elected or is cut off: it is decided where it is applied.
                let known = self.state.read().check(&proposal);
                if let Some(outcome @ Outcome::Duplicate { .. }) = known {
                    return self.respond(waiter, PeerResponse::Proposed(outcome));
                }
                // What too few hold might go with the loss of one.
                if self.node.members().voters.len() < self.min_voters {
                    return self.respond(waiter, PeerResponse::Busy);
                }
                Input::Propose(token, to_bytes(&proposal))
            }
            PeerRequest::AddLearner(member) => Input::AddLearner(token, member),
            PeerRequest::RemoveMember { identity } => Input::RemoveMember(token, identity),
            PeerRequest::PrepareToStop { identity } => Input::Leave(token, identity),
        };
        self.waiters.insert(token, waiter);
        self.step(input);
    }

    /// A leader that is new knows nothing of what the one before it lent.
    pub(super) fn renew_grants(&mut self) {
        if self.grants_term != self.node.term() {
            self.grants = QuotaGrants::new(self.quota_margin);
            self.grants_term = self.node.term();
        }
    }

    /// Shares of the tenants' paces, for all that a node speaks for.
    pub(super) fn grant(&mut self, demands: &[RouterDemand]) -> Vec<RouterGrants> {
        self.renew_grants();
        let state = self.state.read();
        let terms = |tenant: &str| {
            state
                .view
                .tenants
                .get(tenant)
                .map(|terms| (terms.requests_per_s, terms.burst))
        };
        let routers = self
            .routers
            .load(Ordering::Relaxed)
            .max(state.view.router_count as usize);
        let answer = |demand| match &mut self.grants {
            QuotaGrants::Tokens(allocator) => allocator.allocate(now(), demand, terms),
            QuotaGrants::Leases(allocator) => allocator.allocate(now(), demand, routers, terms),
        };
        demands.iter().map(answer).collect()
    }

    pub(super) fn respond(&self, waiter: Waiter, reply: PeerResponse) {
        match waiter {
            // Who asked may have left; then nobody needs the answer.
            Waiter::Local { sender, .. } => drop(sender.send(reply)),
            Waiter::Peer(to, number) => {
                self.peers.send_to(
                    to,
                    Frame::PeerResponse {
                        request_id: number,
                        clock_ms: now(),
                        response: reply,
                    },
                );
            }
        }
    }

    /// Answers confirmed questions once what counted then is applied here.
    pub(super) fn complete_reads(&mut self) {
        if self.confirmed_reads.is_empty() {
            return;
        }
        let applied = self.node.applied_index();
        let (done, open) = std::mem::take(&mut self.confirmed_reads)
            .into_iter()
            .partition(|(index, _, _)| *index <= applied);
        self.confirmed_reads = open;
        let epoch = self.state.read().epoch();
        for (index, waiter, shares) in done {
            // Here the epoch is of use, to another node the index.
            let index = match &waiter {
                Waiter::Local { asked_at_ms, .. } => {
                    self.confirmed_at_ms
                        .fetch_max(*asked_at_ms, Ordering::Relaxed);
                    epoch
                }
                Waiter::Peer(..) => index,
            };
            self.respond(
                waiter,
                PeerResponse::ReadIndex {
                    index,
                    grants: shares,
                },
            );
        }
    }

    pub(super) fn expire_sent_requests(&mut self) {
        let now = now();
        let late: Vec<u64> = self
            .sent_requests
            .iter()
            .filter(|(_, sent)| sent.deadline_ms <= now)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(sent) = self.sent_requests.remove(&number) {
                drop(sent.reply.send(PeerResponse::LeadershipLost));
            }
        }
    }
}
