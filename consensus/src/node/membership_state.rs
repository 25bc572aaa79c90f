//! The membership in force and those before it that may come into force again when
//! entries are removed (Raft thesis §4.1).

use crate::{LogIndex, Membership};

#[derive(Clone, Hash)]
struct MembershipAt {
    index: LogIndex,
    members: Membership,
}

/// Memberships by the index of their entry. Invariant: the first is the one at the
/// snapshot, and is never removed; the last is in force, committed or not.
#[derive(Clone, Hash)]
pub(super) struct MembershipState {
    history: Vec<MembershipAt>,
}

impl MembershipState {
    /// The membership at a snapshot.
    pub(super) fn new(index: LogIndex, members: Membership) -> MembershipState {
        MembershipState {
            history: vec![MembershipAt { index, members }],
        }
    }

    fn newest(&self) -> &MembershipAt {
        self.history
            .last()
            .expect("the membership at the snapshot is never removed")
    }

    /// The membership in force.
    pub(super) fn current(&self) -> &Membership {
        &self.newest().members
    }

    /// Index of the entry with the membership in force.
    pub(super) fn current_index(&self) -> LogIndex {
        self.newest().index
    }

    /// A membership was appended to the log at this index.
    pub(super) fn push(&mut self, index: LogIndex, members: Membership) {
        self.history.push(MembershipAt { index, members });
    }

    /// All entries from this index on were removed from the log.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        while self.history.len() > 1 && self.current_index() >= from {
            self.history.pop();
        }
    }

    /// Discards the memberships before `index` and returns the one in force there.
    pub(super) fn compact(&mut self, index: LogIndex) -> Membership {
        let members = self
            .history
            .iter()
            .rev()
            .find(|at| at.index <= index)
            .map(|at| at.members.clone())
            .expect("the first membership is at the snapshot or before it");
        self.history.retain(|at| at.index > index);
        let first = MembershipAt {
            index,
            members: members.clone(),
        };
        self.history.insert(0, first);
        members
    }
}
