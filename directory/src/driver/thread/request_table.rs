//! Requests that wait for a response: of this process, of other nodes, at the leader.

use consensus::{NodeId, Term};
use protocol::{PeerResponse, RouterGrants};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Who waits for a response.
pub(super) enum Waiter {
    /// A task of this process.
    Local(oneshot::Sender<PeerResponse>),
    /// Another node, with its own id of the request.
    Peer { node: NodeId, request_id: u64 },
}

/// A request of this process that was sent to the leader.
pub(super) struct SentRequest {
    pub(super) leader: NodeId,
    pub(super) term: Term,
    pub(super) deadline_ms: u64,
    pub(super) sender: oneshot::Sender<PeerResponse>,
}

impl SentRequest {
    /// Answers that the outcome is not known.
    pub(super) fn lose(self) {
        drop(self.sender.send(PeerResponse::LeadershipLost));
    }
}

/// A read that the leader confirmed; answered once `index` is applied here.
pub(super) struct ConfirmedRead {
    /// Of the request.
    pub(super) token: u64,
    pub(super) index: u64,
    pub(super) waiter: Waiter,
    pub(super) grants: Vec<RouterGrants>,
}

/// All in memory: requests that a restart loses are retried by whoever sent them.
pub(super) struct RequestTable {
    last_token: u64,
    /// Handed to the node here as the leader, by token.
    pub(super) waiters: HashMap<u64, Waiter>,
    /// Sent to the leader, by request id. Bounded by their deadlines.
    pub(super) sent: HashMap<u64, SentRequest>,
    pub(super) confirmed_reads: Vec<ConfirmedRead>,
    /// Quota grants that go out with a read under way, by its token.
    pub(super) pending_grants: HashMap<u64, Vec<RouterGrants>>,
}

impl RequestTable {
    pub(super) fn new() -> RequestTable {
        RequestTable {
            // Far from the request ids of any earlier process.
            last_token: rand::random::<u64>() >> 1,
            waiters: HashMap::new(),
            sent: HashMap::new(),
            confirmed_reads: Vec::new(),
            pending_grants: HashMap::new(),
        }
    }

    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// When the first request to the leader expires.
    pub(super) fn next_deadline_ms(&self) -> Option<u64> {
        self.sent.values().map(|sent| sent.deadline_ms).min()
    }

    /// Takes out the reads whose index is applied, in their order.
    pub(super) fn take_applied_reads(&mut self, applied_index: u64) -> Vec<ConfirmedRead> {
        let (applied, open) = std::mem::take(&mut self.confirmed_reads)
            .into_iter()
            .partition(|read| read.index <= applied_index);
        self.confirmed_reads = open;
        applied
    }

    /// Requests to the leader that expired are lost: the outcome is not known.
    pub(super) fn expire_sent(&mut self, now_ms: u64) {
        let is_expired = |_: &u64, sent: &mut SentRequest| sent.deadline_ms <= now_ms;
        for (_, sent) in self.sent.extract_if(is_expired) {
            sent.lose();
        }
    }

    /// All requests to the leader are lost, since it leads no more.
    pub(super) fn lose_sent(&mut self) {
        for (_, sent) in self.sent.drain() {
            sent.lose();
        }
    }
}
