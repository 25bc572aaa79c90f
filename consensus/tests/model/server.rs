//! One server of the model: the product's node, its disk, its state machine.

use consensus::node::{Node, PersistedState, Timing, Write};
use consensus::{Entry, EntryPayload, LogIndex, Member, Membership, NodeId, Term};
use std::collections::hash_map::DefaultHasher;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

#[derive(Clone, Hash)]
pub struct Server {
    pub member: Member,
    pub node: Node,
    /// The log as the node holds it: all its writes, synced or not.
    pub memory: Arc<PersistedState>,
    /// What a crash leaves.
    pub disk: Arc<PersistedState>,
    pub unsynced: VecDeque<(u64, Vec<Write>)>,
    /// The state machine: the applied commands, a byte each.
    pub machine: Vec<u8>,
}

impl Server {
    pub fn start(member: Member, timing: Timing, now: u64, disk: PersistedState) -> Server {
        let machine = disk
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |s| s.state.clone());
        let node = Node::new(member.identity, timing, 1, now, disk.clone());
        let (disk, unsynced) = (Arc::new(disk), VecDeque::new());
        Server {
            member,
            node,
            memory: disk.clone(),
            disk,
            unsynced,
            machine,
        }
    }

    pub fn identity(&self) -> NodeId {
        self.member.identity
    }

    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Term and index of the last entry: what votes are compared by.
pub fn last_of(log: &PersistedState) -> (Term, LogIndex) {
    let snapshot = log.snapshot.as_ref().map_or((0, 0), |s| (s.term, s.index));
    log.entries
        .last()
        .map_or(snapshot, |entry| (entry.term, entry.index))
}

/// The newest membership of a log.
pub fn members_of(log: &PersistedState) -> Membership {
    let in_entry = |entry: &Entry| match &entry.payload {
        EntryPayload::Membership(members) => Some(members.clone()),
        _ => None,
    };
    let newest = log.entries.iter().rev().find_map(in_entry);
    let base = || {
        log.snapshot
            .as_ref()
            .map(|snapshot| snapshot.members.clone())
    };
    newest.or_else(base).unwrap_or_default()
}

/// Whether the log holds this entry, by itself or in its snapshot.
pub fn holds(log: &PersistedState, entry: &Entry) -> bool {
    let in_snapshot = log
        .snapshot
        .as_ref()
        .is_some_and(|s| s.index >= entry.index);
    in_snapshot
        || log
            .entries
            .iter()
            .any(|e| (e.index, e.term) == (entry.index, entry.term))
}
