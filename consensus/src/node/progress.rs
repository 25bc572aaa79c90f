//! What a leader knows of the other members: how far each has replicated the log, and
//! when it was heard (Raft thesis §3.5; `Progress` in raft-rs).

use crate::{LogIndex, Membership, NodeId};
use std::collections::BTreeMap;

/// A member that announced its stop is expected to repeat that within this time.
const LEAVING_VALID_MS: u64 = 1_000;

/// One member's replication. Invariant: `match_index` is only what the member said is
/// synced, and only rises within a term.
#[derive(Clone, Hash)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    /// The highest index up to which its log is synced and equals the leader's.
    pub(super) match_index: LogIndex,
    /// The latest heartbeat round that it answered.
    pub(super) acknowledged_round: u64,
    pub(super) last_heard_ms: u64,
    /// The round in which a snapshot was sent that is not acknowledged yet, however long
    /// that takes. It is sent again when an answer to a later round shows that it was
    /// lost.
    pub(super) snapshot_round: Option<u64>,
    /// The last time that the log did not match and `next_index` went back.
    pub(super) rewind: Option<Rewind>,
    /// When it last announced that it is about to stop.
    pub(super) leaving_at_ms: Option<u64>,
}

/// A step back of `next_index`. Invariant: answers to `round` or earlier ones are to
/// messages that were sent before this step back, or with it.
#[derive(Clone, Copy, Hash)]
pub(super) struct Rewind {
    pub(super) match_index: LogIndex,
    pub(super) round: u64,
}

impl Progress {
    /// A member of which nothing is known yet (Raft thesis, figure 3.1: `nextIndex` and
    /// `matchIndex`).
    fn new(last_index: LogIndex, now: u64) -> Progress {
        Progress {
            next_index: last_index + 1,
            match_index: 0,
            acknowledged_round: 0,
            last_heard_ms: now,
            snapshot_round: None,
            rewind: None,
            leaving_at_ms: None,
        }
    }

    pub(super) fn silent_ms(&self, now: u64) -> u64 {
        now - self.last_heard_ms
    }

    pub(super) fn is_leaving(&self, now: u64) -> bool {
        self.leaving_at_ms
            .is_some_and(|at| now - at < LEAVING_VALID_MS)
    }
}

/// Replication as the leader drives it; meaningless to any other role.
#[derive(Clone, Hash)]
pub(super) struct ReplicationState {
    progress: BTreeMap<NodeId, Progress>,
    /// Number of the newest heartbeat round. It never falls.
    pub(super) round: u64,
    /// When the next round is due.
    pub(super) heartbeat_deadline: u64,
}

impl ReplicationState {
    pub(super) fn new() -> ReplicationState {
        ReplicationState {
            progress: BTreeMap::new(),
            round: 0,
            heartbeat_deadline: 0,
        }
    }

    /// Forgets all members: a new leader knows nothing of them.
    pub(super) fn clear(&mut self) {
        self.progress.clear();
    }

    /// Forgets the members that are not among `others`.
    pub(super) fn retain(&mut self, others: &[NodeId]) {
        self.progress.retain(|id, _| others.contains(id));
    }

    pub(super) fn get(&self, id: NodeId) -> Option<&Progress> {
        self.progress.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Progress> {
        self.progress.get_mut(&id)
    }

    pub(super) fn get_or_insert(
        &mut self,
        id: NodeId,
        last_index: LogIndex,
        now: u64,
    ) -> &mut Progress {
        self.progress
            .entry(id)
            .or_insert_with(|| Progress::new(last_index, now))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &Progress)> {
        self.progress.iter().map(|(id, progress)| (*id, progress))
    }

    /// The highest value that a majority of the voters has reached. `own` is this node's
    /// identity and value; a voter of which nothing is known has 0.
    pub(super) fn majority_value(
        &self,
        members: &Membership,
        own: (NodeId, u64),
        value: impl Fn(&Progress) -> u64,
    ) -> u64 {
        let (own_id, own_value) = own;
        let of_voter = |id: NodeId| match id == own_id {
            true => own_value,
            false => self.get(id).map_or(0, &value),
        };
        let voters = members.voters.iter();
        let mut values: Vec<u64> = voters.map(|voter| of_voter(voter.identity)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.majority() - 1).copied().unwrap_or(0)
    }
}
