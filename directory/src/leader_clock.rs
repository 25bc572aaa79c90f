//! Whether a question that another node forwarded may still be acted on.
//!
//! A connection that a cut holds back delivers its bytes when the cut ends, long
//! after the asker gave the question up. Clocks of two machines are not alike, so
//! the asker states a deadline by the clock of the leader, which it learns from
//! the leader's replies; what is late by that clock is not proposed.

use consensus::{NodeId, Term};
use protocol::{PeerRequest, Validity};

/// The leader's clock as far as it is known here. Invariant: the estimate is never
/// ahead of the clock, so a deadline by it is never later than it was meant.
#[derive(Default)]
pub struct LeaderClock {
    known: Option<Offset>,
}

/// A process that starts again has another clock. It can lead again in a later
/// term only, so the term tells the two apart.
struct Offset {
    leader: NodeId,
    term: Term,
    /// What the leader's clock shows beyond the one here.
    ahead_ms: i64,
}

impl LeaderClock {
    /// Takes a clock that a leader sent with a reply that came `now`. Of several
    /// the one that travelled for the shortest time is the nearest.
    pub fn learn(&mut self, leader: NodeId, term: Term, clock_ms: u64, now: u64) {
        let ahead_ms = clock_ms as i64 - now as i64;
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

    /// What a question to that leader is to say, if it is of use up to `until` by
    /// the clock here.
    pub fn validity(&self, leader: NodeId, term: Term, until: u64) -> Validity {
        let known = self.known.as_ref();
        let known = known.filter(|known| known.leader == leader && known.term == term);
        let deadline_ms = known.map_or(0, |known| until.saturating_add_signed(known.ahead_ms));
        Validity { term, deadline_ms }
    }
}

/// Whether the leader of `term` may act on a question at `now`. Confirmations only
/// read: a late one finds nobody waiting and changes nothing.
pub fn is_valid(question: &PeerRequest, validity: Validity, term: Term, now: u64) -> bool {
    let is_read = matches!(question, PeerRequest::ReadIndex { .. });
    validity.term == term && (is_read || now < validity.deadline_ms)
}
