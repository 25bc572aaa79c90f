//! One tenant at one router that admits by tokens of the leader: what was admitted, and which
//! requests wait.

use super::admission_history::AdmissionHistory;
use protocol::{QuotaDemand, QuotaGrant, RECENT_SPANS_MS};
use std::collections::BTreeSet;

/// How long a request waits for a token at most while there is a leader: one that can't get a
/// token by then is rejected at once.
const MAX_QUEUE_WAIT_MS: u64 = 1_000;
/// How long the leader's last answer is taken for the state of its queue: two heartbeats.
const ANSWER_VALID_MS: u64 = 700;
/// A tenant without requests for this long is no longer reported.
const FORGET_MS: u64 = 5_000;
/// How far ahead of their arrival tokens are asked for. It covers the time to the leader and
/// back.
const PREFETCH_MS: f64 = 500.0;
/// Admitted requests within this time are kept as one entry, to bound the memory.
const GRAIN_MS: u64 = 100;

/// The place of a waiting request in its tenant's queue; tickets are ordered by arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// The decision on a request.
#[derive(Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It may be dispatched.
    Admitted,
    /// It waits under this ticket. `admit` is to be called again with it.
    Queued(QueueTicket),
    /// The tenant exceeds its quota.
    OverQuota,
    /// No leader has answered for too long.
    NoLeader,
}

/// A request that asks for admission.
pub(super) struct Arrival {
    /// When it was received.
    pub(super) at_ms: u64,
    /// Its ticket, if it is queued.
    pub(super) ticket: Option<QueueTicket>,
    /// How long it may wait without an answer of a leader.
    pub(super) patience_ms: u64,
}

/// The leader's last answer.
#[derive(Clone, Copy)]
struct LeaderAnswer {
    received_at_ms: u64,
    /// How long requests that wait at all routers have to wait.
    queue_wait_ms: u64,
    /// Since when answers have come without a gap.
    uninterrupted_since_ms: u64,
}

/// One tenant at one router. Invariants: `admitted <= limit`, and both only rise, except that
/// `limit` is lowered together with telling the leader; tokens may be used only before
/// `valid_until_ms`; answers to heartbeats before `grant_floor` raise nothing.
pub(super) struct TenantQueue {
    /// Requests admitted since the process started.
    admitted: u64,
    /// How far `admitted` may rise.
    limit: u64,
    valid_until_ms: u64,
    grant_floor: u64,
    /// Tickets of the requests that wait, in the order of their arrival.
    tickets: BTreeSet<QueueTicket>,
    last_ticket: QueueTicket,
    /// Requests received per second, smoothed.
    arrivals_per_s: f64,
    /// Requests received since the last report.
    arrivals: u64,
    last_arrival_at_ms: u64,
    answer: Option<LeaderAnswer>,
    history: AdmissionHistory,
}

impl Default for TenantQueue {
    fn default() -> TenantQueue {
        TenantQueue {
            admitted: 0,
            limit: 0,
            valid_until_ms: 0,
            grant_floor: 0,
            tickets: BTreeSet::new(),
            last_ticket: QueueTicket::default(),
            arrivals_per_s: 0.0,
            arrivals: 0,
            last_arrival_at_ms: 0,
            answer: None,
            history: AdmissionHistory::with_grain(GRAIN_MS),
        }
    }
}

impl TenantQueue {
    /// Decides on a request; those that wait go first. `unanswered_since_ms` is when the first
    /// heartbeat was sent that no answer has followed yet.
    pub(super) fn admit(
        &mut self,
        now: u64,
        arrival: &Arrival,
        unanswered_since_ms: Option<u64>,
    ) -> AdmissionDecision {
        let tokens = if now < self.valid_until_ms {
            self.limit - self.admitted
        } else {
            0
        };
        if self.queued_before(now, arrival.ticket) < tokens {
            self.record_admission(now);
            self.cancel(arrival.ticket);
            return AdmissionDecision::Admitted;
        }
        let answer = self
            .answer
            .filter(|answer| now < answer.received_at_ms + ANSWER_VALID_MS);
        if is_hopeless(now, arrival, answer, unanswered_since_ms) {
            self.cancel(arrival.ticket);
            return match answer {
                Some(_) => AdmissionDecision::OverQuota,
                None => AdmissionDecision::NoLeader,
            };
        }
        AdmissionDecision::Queued(arrival.ticket.unwrap_or_else(|| self.enqueue()))
    }

    /// How many requests wait before this one. A request without a ticket has just arrived.
    fn queued_before(&mut self, now: u64, ticket: Option<QueueTicket>) -> u64 {
        match ticket {
            Some(ticket) => self.tickets.range(..ticket).count() as u64,
            None => {
                self.last_arrival_at_ms = now;
                self.arrivals += 1;
                self.tickets.len() as u64
            }
        }
    }

    fn record_admission(&mut self, now: u64) {
        self.admitted += 1;
        self.history.add(now, 1);
    }

    fn enqueue(&mut self) -> QueueTicket {
        self.last_ticket = QueueTicket(self.last_ticket.0 + 1);
        self.tickets.insert(self.last_ticket);
        self.last_ticket
    }

    /// A request waits no longer.
    pub(super) fn cancel(&mut self, ticket: Option<QueueTicket>) {
        if let Some(ticket) = ticket {
            self.tickets.remove(&ticket);
        }
    }

    /// Whether a request waits.
    pub(super) fn has_queued_requests(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Whether the leader is to know of the tenant.
    pub(super) fn is_reported(&self, now: u64) -> bool {
        now < self.last_arrival_at_ms + FORGET_MS
            || self.limit > self.admitted
            || self.has_queued_requests()
    }

    /// What to report with the heartbeat of this number, `elapsed_ms` after the one before. It
    /// gives back the tokens that are not needed. Answers to heartbeats before
    /// `lost_before` will not come any more.
    pub(super) fn demand(
        &mut self,
        now: u64,
        tenant: &str,
        heartbeat: u64,
        elapsed_ms: f64,
        lost_before: u64,
    ) -> QuotaDemand {
        let rate = self.arrivals as f64 * 1_000.0 / elapsed_ms;
        let smoothing = (elapsed_ms / 1_000.0).clamp(0.05, 1.0);
        self.arrivals_per_s += (rate - self.arrivals_per_s) * smoothing;
        self.arrivals = 0;
        let wanted = (self.arrivals_per_s * PREFETCH_MS / 1_000.0).round() as u64;
        let queued = self.tickets.len() as u64;
        let needed = self.admitted + queued + 2 * wanted;
        let kept = if now < self.valid_until_ms {
            self.limit.min(needed)
        } else {
            self.admitted
        };
        if kept < self.limit {
            self.limit = kept;
            self.grant_floor = heartbeat;
        }
        self.grant_floor = self.grant_floor.max(lost_before);
        self.history
            .forget_before(now.saturating_sub(RECENT_SPANS_MS[3]));
        QuotaDemand {
            tenant: tenant.to_string(),
            admitted: self.admitted,
            limit: self.limit,
            grant_floor: self.grant_floor,
            queued,
            wanted,
            recently_admitted: self.history.report(now),
        }
    }

    /// Takes the leader's answer to the heartbeat of this number; its tokens lapse at
    /// `until_ms`.
    pub(super) fn apply_grant(
        &mut self,
        now: u64,
        heartbeat: u64,
        until_ms: u64,
        grant: &QuotaGrant,
    ) {
        if heartbeat < self.grant_floor {
            return;
        }
        if now >= self.valid_until_ms {
            self.limit = self.admitted;
        }
        self.limit = self.limit.max(grant.limit);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
        let last = self
            .answer
            .filter(|answer| now < answer.received_at_ms + ANSWER_VALID_MS);
        self.answer = Some(LeaderAnswer {
            received_at_ms: now,
            queue_wait_ms: grant.queue_wait_ms,
            uninterrupted_since_ms: last.map_or(now, |last| last.uninterrupted_since_ms),
        });
    }
}

/// Whether a request that has no token now should not wait any longer.
fn is_hopeless(
    now: u64,
    arrival: &Arrival,
    answer: Option<LeaderAnswer>,
    unanswered_since_ms: Option<u64>,
) -> bool {
    let patience_ms = arrival.patience_ms;
    match (arrival.ticket, answer) {
        (None, Some(answer)) => answer.queue_wait_ms >= MAX_QUEUE_WAIT_MS,
        (None, None) => patience_ms == 0,
        // After a change of leader a request waits for the new one's answers first.
        (Some(_), Some(answer)) => {
            let from_ms = arrival.at_ms.max(answer.uninterrupted_since_ms);
            now >= from_ms + MAX_QUEUE_WAIT_MS.min(patience_ms)
        }
        (Some(_), None) => match unanswered_since_ms {
            Some(since_ms) => now >= arrival.at_ms.max(since_ms) + patience_ms,
            // The process was paused, and has sent no heartbeat since.
            None => now >= arrival.at_ms + 2 * patience_ms,
        },
    }
}
