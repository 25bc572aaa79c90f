//! Whether the leader may still act on a request that another node forwarded.
//!
//! A connection that a network partition held back delivers its bytes when the partition
//! ends, long after the asker gave the request up. Clocks of two machines differ, so the
//! asker states a deadline by the clock of the leader, which it learns from the leader's
//! responses; what is late by that clock is not proposed. In memory alone.

use consensus::{NodeId, Term};
use protocol::{PeerRequest, Validity};

/// The leader's clock as far as it is known here. Invariant: the estimate is never
/// ahead of the clock, so a deadline by it is never later than it was meant.
#[derive(Default)]
pub struct LeaderClock {
    known: Option<Offset>,
}

/// A process that is restarted has another clock. It can lead again in a later term
/// only, so the term tells the two apart.
struct Offset {
    leader: NodeId,
    term: Term,
    /// How far the leader's clock is ahead of the one here.
    ahead_ms: i64,
}

impl LeaderClock {
    /// Takes a clock that a leader sent with a response that was received at `now_ms`. Of
    /// several the one that travelled for the shortest time is the nearest.
    pub fn learn(&mut self, leader: NodeId, term: Term, clock_ms: u64, now_ms: u64) {
        let ahead_ms = clock_ms as i64 - now_ms as i64;
        match &mut self.known {
            Some(known) if known.leader == leader && known.term == term => {
                known.ahead_ms = known.ahead_ms.max(ahead_ms);
            }
            known => {
                *known = Some(Offset {
                    leader,
                    term,
                    ahead_ms,
                })
            }
        }
    }

    /// The validity of a request to that leader which is of use until `deadline_ms` by
    /// the clock here.
    pub fn validity(&self, leader: NodeId, term: Term, deadline_ms: u64) -> Validity {
        let known = self.known.as_ref();
        let known = known.filter(|known| known.leader == leader && known.term == term);
        let deadline_ms =
            known.map_or(0, |known| deadline_ms.saturating_add_signed(known.ahead_ms));
        Validity { term, deadline_ms }
    }
}

/// Whether the leader of `term` may act on a request at `now_ms`. Read indexes only
/// read: a late one finds nobody waiting and changes nothing.
pub fn is_valid(request: &PeerRequest, validity: Validity, term: Term, now_ms: u64) -> bool {
    let is_read = matches!(request, PeerRequest::ReadIndex { .. });
    validity.term == term && (is_read || now_ms < validity.deadline_ms)
}
