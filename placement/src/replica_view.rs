//! What a router knows by its session with a directory node, and until when it
//! may act on it.

use protocol::LEASE_MS;
use residency::{Event, View};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Invariants: the view's epoch only rises, whichever node speaks and however
/// late; a lease is counted from when its beat was sent, and is taken only
/// where the view has all that the lease speaks of.
#[derive(Default)]
pub struct ReplicaView {
    view: Arc<View>,
    /// Beats of this session that no lease has followed, with when they went.
    sent: BTreeMap<u64, u64>,
    lease: u64,
}

/// What a frame of the session made of the view.
#[derive(Debug, PartialEq)]
pub enum ReplicaUpdate {
    /// Nothing new.
    Unchanged,
    /// A whole new view: what it makes void is not known.
    Snapshot,
    /// The events of one entry came in.
    Events,
}

impl ReplicaView {
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Until when new work may be dispatched.
    pub fn lease_expires_at(&self) -> u64 {
        self.lease
    }

    /// A new session begins; beats of the one before count no more.
    pub fn begin_session(&mut self) {
        self.sent.clear();
    }

    pub fn record_heartbeat(&mut self, now: u64, number: u64) {
        self.sent.insert(number, now);
    }

    /// A refusal ends the session.
    pub fn apply_snapshot(
        &mut self,
        epoch: u64,
        events: &[Event],
    ) -> Result<ReplicaUpdate, String> {
        let known = self.view.epoch;
        if epoch < known {
            return Err(format!(
                "its picture is of epoch {epoch}, {known} is in force"
            ));
        }
        let mut view = View::default();
        events.iter().for_each(|event| view.apply(event));
        view.epoch = epoch;
        self.view = Arc::new(view);
        Ok(if epoch > known {
            ReplicaUpdate::Snapshot
        } else {
            ReplicaUpdate::Unchanged
        })
    }

    pub fn apply_events(
        &mut self,
        prior: u64,
        epoch: u64,
        events: &[Event],
    ) -> Result<ReplicaUpdate, String> {
        let known = self.view.epoch;
        if prior != known {
            return Err(format!("a change builds on {prior}, {known} is in force"));
        }
        let mut view = (*self.view).clone();
        events.iter().for_each(|event| view.apply(event));
        view.epoch = epoch;
        self.view = Arc::new(view);
        Ok(ReplicaUpdate::Events)
    }

    /// Until when the lease in answer to a beat lasts; `None` where the beat is
    /// not known, or the view lacks something that counted then.
    pub fn renew_lease(&mut self, number: u64, epoch: u64) -> Option<u64> {
        let asked = self.sent.remove(&number);
        self.sent = self.sent.split_off(&number);
        let until = asked.filter(|_| self.view.epoch >= epoch)? + LEASE_MS;
        self.lease = self.lease.max(until);
        Some(until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use residency::Name;

    /// Guards: nobody falls back to an older epoch; a change is in force within
    /// 3 s, since no lease outlives what it did not know. A router goes from
    /// node to node, each of which is behind by something; frames come late.
    #[test]
    fn a_lease_never_covers_what_its_holder_does_not_know() {
        for seed in 0..400 {
            let mut draw = crate::draws(seed);
            // When each epoch counted.
            let mut counted: Vec<u64> = vec![0];
            let mut following = ReplicaView::default();
            let (mut number, mut node, mut said) = (0u64, 0u64, 0u64);
            let mut leases: Vec<(u64, u64, u64)> = Vec::new();
            let (mut highest, mut taken, mut stuck) = (0, 0, 0);
            for now in (10_000..40_000u64).step_by(10) {
                if draw(40) == 0 {
                    counted.push(now);
                }
                let newest = counted.len() as u64 - 1;
                if draw(150) == 0 {
                    // Another node, which may know less: its picture comes first.
                    following.begin_session();
                    leases.clear();
                    node = newest.saturating_sub(draw(6));
                    said = node;
                    drop(following.apply_snapshot(node, &[]));
                }
                // Some are stuck behind for seconds, and pass leases on.
                if draw(600) == 0 {
                    stuck = now + draw(6_000);
                }
                if now >= stuck {
                    node = (node + draw(3)).min(newest).max(node);
                }
                if draw(3) == 0 && said < node {
                    let gone = [Event::ZoneReinstated(Name("z".into()))];
                    // Sometimes a frame is lost, and the next one does not fit.
                    said += 1 + u64::from(draw(30) == 0);
                    if following.apply_events(said - 1, said, &gone).is_err() {
                        said = node;
                        drop(following.apply_snapshot(node, &[]));
                    }
                }
                if draw(30) == 0 {
                    number += 1;
                    following.record_heartbeat(now, number);
                    // The leader confirms all that counted when it was asked.
                    leases.push((now + 1 + draw(900), number, newest));
                }
                let due: Vec<_> = leases
                    .iter()
                    .filter(|(at, ..)| *at <= now)
                    .copied()
                    .collect();
                leases.retain(|(at, ..)| *at > now);
                for (_, number, epoch) in due {
                    taken += usize::from(following.renew_lease(number, epoch).is_some());
                }
                let epoch = following.view().epoch;
                assert!(
                    epoch >= highest,
                    "seed {seed}: it fell from {highest} to {epoch}"
                );
                highest = epoch;
                if now < following.lease_expires_at() {
                    let owed = counted
                        .iter()
                        .rposition(|at| at + 3_000 <= now)
                        .unwrap_or(0);
                    assert!(
                        epoch >= owed as u64,
                        "seed {seed}: {epoch}, {owed} counted 3 s ago"
                    );
                }
            }
            assert!(taken > 3, "seed {seed}: {taken} leases");
        }
    }
}
