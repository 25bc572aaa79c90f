//! How many requests were admitted, by time.

use protocol::RECENT_SPANS_MS;
use std::collections::VecDeque;

/// Requests that were admitted at about the same time.
struct AdmittedRequests {
    at_ms: u64,
    count: u64,
}

/// Requests by the time at which they were admitted or reported, as far back as the owner
/// keeps them.
pub(super) struct AdmissionHistory {
    entries: VecDeque<AdmittedRequests>,
    /// Requests within this time of an entry's first are counted in that entry.
    grain_ms: u64,
}

impl Default for AdmissionHistory {
    /// Exact to the millisecond.
    fn default() -> AdmissionHistory {
        AdmissionHistory::with_grain(1)
    }
}

impl AdmissionHistory {
    pub(super) fn with_grain(grain_ms: u64) -> AdmissionHistory {
        AdmissionHistory {
            entries: VecDeque::new(),
            grain_ms,
        }
    }

    /// The history by a report of the spans before now (`RECENT_SPANS_MS`). The requests of
    /// each span count as admitted at its end, as late as they may have been.
    pub(super) fn from_report(now: u64, recently_admitted: &[u64; 4]) -> AdmissionHistory {
        let mut history = AdmissionHistory::default();
        for at in (0..recently_admitted.len()).rev() {
            let (inner, ago_ms) = if at > 0 {
                (recently_admitted[at - 1], RECENT_SPANS_MS[at - 1])
            } else {
                (0, 0)
            };
            let requests = recently_admitted[at].saturating_sub(inner);
            history.add(now.saturating_sub(ago_ms), requests);
        }
        history
    }

    pub(super) fn add(&mut self, now: u64, requests: u64) {
        match self.entries.back_mut() {
            _ if requests == 0 => {}
            Some(last) if now < last.at_ms + self.grain_ms => last.count += requests,
            _ => self.entries.push_back(AdmittedRequests {
                at_ms: now,
                count: requests,
            }),
        }
    }

    /// Drops what was admitted before `from_ms`.
    pub(super) fn forget_before(&mut self, from_ms: u64) {
        while self
            .entries
            .front()
            .is_some_and(|first| first.at_ms < from_ms)
        {
            self.entries.pop_front();
        }
    }

    /// Requests that were admitted at `from_ms` or later.
    pub(super) fn count_since(&self, from_ms: u64) -> u64 {
        self.entries
            .iter()
            .rev()
            .take_while(|entry| entry.at_ms >= from_ms)
            .map(|entry| entry.count)
            .sum()
    }

    /// The report of the spans before now.
    pub(super) fn report(&self, now: u64) -> [u64; 4] {
        RECENT_SPANS_MS.map(|span_ms| self.count_since(now.saturating_sub(span_ms)))
    }
}
