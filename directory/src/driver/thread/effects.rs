//! Carries out what the consensus node decides: writes, messages, committed entries.

use super::driver_thread::DriverThread;
use super::request_table::ConfirmedRead;
use super::status::describe;
use crate::driver::command::WriteBatch;
use consensus::codec::from_bytes;
use consensus::node::{Effect, Input, RequestError};
use consensus::{Entry, EntryPayload, Message, Snapshot};
use protocol::{EncodedFrame, Frame, PeerResponse};
use residency::{Event, Name, Outcome, Proposal, State};
use std::sync::mpsc::TrySendError;
use std::sync::Arc;
use transport::now;

impl DriverThread {
    /// Steps the node and carries out the effects in their order.
    pub(super) fn step(&mut self, input: Input) {
        for effect in self.node.step(now(), input) {
            match effect {
                Effect::Write(ticket, writes) => self.write(WriteBatch { ticket, writes }),
                Effect::Send(message) => self.send(message),
                Effect::Apply(entry, token) => self.apply(&entry, token),
                Effect::Restore(snapshot) => self.restore(&snapshot),
                Effect::ReadReady(token, index) => self.read_ready(token, index),
                Effect::Rejected(token, error) => self.reject(token, error),
            }
        }
        self.complete_reads();
    }

    /// Queues writes for the disk thread. A disk that can't keep up counts as failed.
    fn write(&mut self, batch: WriteBatch) {
        match self.disk.try_send(batch) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                log::error!("The queue to the disk is full; the disk counts as failed");
                self.step(Input::DiskFailed);
            }
            Err(TrySendError::Disconnected(_)) => self.step(Input::DiskFailed),
        }
    }

    fn send(&mut self, message: Message) {
        let to = message.to;
        match self.node.members().get(to) {
            Some(member) => self.peers.send(&member.address, Frame::Consensus(message)),
            None => self.peers.send_to(to, Frame::Consensus(message)),
        }
    }

    /// Applies a committed entry and answers whoever proposed it here.
    fn apply(&mut self, entry: &Entry, token: Option<u64>) {
        let waiter = token.and_then(|token| self.requests.waiters.remove(&token));
        let response = match &entry.payload {
            EntryPayload::Noop => None,
            EntryPayload::Membership(members) => {
                log::info!(index = entry.index; "The membership changed: {}", describe(members));
                Some(PeerResponse::MembershipChanged)
            }
            EntryPayload::Command(bytes) => Some(self.apply_command(entry.index, bytes)),
        };
        if let (Some(waiter), Some(response)) = (waiter, response) {
            self.respond(waiter, response);
        }
    }

    fn apply_command(&mut self, index: u64, bytes: &[u8]) -> PeerResponse {
        let proposal: Proposal = from_bytes(bytes)
            .expect("a proposal is checked to be readable before it gets into the log");
        let mut state = self.published.state.write();
        let base_epoch = state.epoch();
        let (outcome, events) = state.apply(index, &proposal);
        let view = Arc::new(state.view.clone());
        drop(state);
        self.metrics.increment("applied");
        if matches!(outcome, Outcome::Applied { .. }) {
            self.publish_events(base_epoch, index, events);
            self.published.view.send_replace(view);
        }
        PeerResponse::Proposed(outcome)
    }

    fn publish_events(&mut self, base_epoch: u64, epoch: u64, events: Vec<Event>) {
        let frame = EncodedFrame::new(&Frame::Change {
            base_epoch,
            epoch,
            events,
        });
        self.subscribers
            .retain(|subscriber| subscriber.try_send(frame.clone()));
        self.history.push(base_epoch, frame);
    }

    /// Takes over the leader's snapshot in place of the state here.
    fn restore(&mut self, snapshot: &Snapshot) {
        let state = State::restore(&snapshot.state)
            .expect("a snapshot is checked to be readable when it is received");
        log::info!(index = snapshot.index; "This node took over the leader's snapshot");
        self.replace_state(state);
    }

    fn read_ready(&mut self, token: u64, index: u64) {
        let grants = self.requests.pending_grants.remove(&token);
        if let Some(waiter) = self.requests.waiters.remove(&token) {
            self.requests.confirmed_reads.push(ConfirmedRead {
                token,
                index,
                waiter,
                grants: grants.unwrap_or_default(),
            });
        }
    }

    fn reject(&mut self, token: u64, error: RequestError) {
        self.requests.pending_grants.remove(&token);
        let Some(waiter) = self.requests.waiters.remove(&token) else {
            return;
        };
        let response = match error {
            RequestError::NotLeader => PeerResponse::NotLeader,
            RequestError::Busy => PeerResponse::Busy,
            RequestError::InvalidMembershipChange(error) => {
                PeerResponse::Rejected(Name(error.to_string()))
            }
            RequestError::LeadershipLost => PeerResponse::LeadershipLost,
        };
        self.respond(waiter, response);
    }
}
