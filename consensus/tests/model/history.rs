//! What has happened so far, as an outside observer saw it.

use consensus::node::{PersistedState, Token};
use consensus::{Entry, EntryPayload, LogIndex, NodeId, Snapshot, Term};
use std::collections::BTreeMap;

use crate::checker::Violation;

#[derive(Clone, Default, Hash)]
pub struct History {
    /// Every entry that any node applied, by index from 1 on.
    pub committed: Vec<Entry>,
    pub leaders: BTreeMap<Term, NodeId>,
    /// Votes that reached a disk.
    pub votes: BTreeMap<(NodeId, Term), NodeId>,
    /// What was committed when a read was asked for.
    pub reads: BTreeMap<Token, LogIndex>,
    /// The term in which each of them was committed.
    pub committed_in: Vec<Term>,
    /// What was on the disks that were lost, by identity.
    pub lost_disks: BTreeMap<NodeId, PersistedState>,
    pub tokens: Token,
}

pub fn broken<T>(property: &'static str, detail: String) -> Result<T, Violation> {
    Err(Violation { property, detail })
}

impl History {
    /// State Machine Safety: no two nodes apply different entries at an index.
    /// The first to apply it is the leader that committed it.
    pub fn applied(&mut self, by: NodeId, term: Term, entry: &Entry) -> Result<(), Violation> {
        let at = entry.index as usize - 1;
        match self.committed.get(at) {
            Some(known) if known == entry => Ok(()),
            Some(known) => broken(
                "state machine safety",
                format!("{by} applies {entry:?}, another applied {known:?}"),
            ),
            None if at == self.committed.len() => {
                self.committed.push(entry.clone());
                self.committed_in.push(term);
                Ok(())
            }
            None => broken(
                "applied in order",
                format!("{by} applies {entry:?} after a gap"),
            ),
        }
    }

    /// What a leader of this term must know of: a candidate of an older term may
    /// learn late that it won, and knows nothing of later terms.
    pub fn committed_before(&self, term: Term) -> impl Iterator<Item = &Entry> {
        let both = self.committed.iter().zip(&self.committed_in);
        both.filter(move |(_, committed_in)| **committed_in < term)
            .map(|(entry, _)| entry)
    }

    /// A snapshot equals the result of the entries up to it.
    pub fn restored(&self, by: NodeId, snapshot: &Snapshot) -> Result<(), Violation> {
        let Some(last) = self.committed.get(snapshot.index as usize - 1) else {
            return broken(
                "snapshot of what is committed",
                format!("{by}: {snapshot:?}"),
            );
        };
        let covered = &self.committed[..snapshot.index as usize];
        let mut state: Vec<u8> = Vec::new();
        for entry in covered {
            if let EntryPayload::Command(bytes) = &entry.payload {
                state.extend(bytes);
            }
        }
        if last.term != snapshot.term || state != snapshot.state {
            return broken(
                "snapshot of what is committed",
                format!("{by}: {snapshot:?}"),
            );
        }
        Ok(())
    }

    /// Election Safety: a term has one leader.
    pub fn leads(&mut self, identity: NodeId, term: Term) -> Result<(), Violation> {
        let leader = *self.leaders.entry(term).or_insert(identity);
        if leader != identity {
            return broken(
                "one leader a term",
                format!("term {term}: {leader} and {identity}"),
            );
        }
        Ok(())
    }

    /// A vote is given once in a term, whatever crashes come between.
    pub fn voted(&mut self, voter: NodeId, term: Term, vote: NodeId) -> Result<(), Violation> {
        let first = *self.votes.entry((voter, term)).or_insert(vote);
        if first != vote {
            return broken(
                "one vote a term",
                format!("{voter} in term {term}: {first} and {vote}"),
            );
        }
        Ok(())
    }

    /// A read shows what was committed before it was asked for.
    pub fn answered(&mut self, token: Token, index: LogIndex) -> Result<(), Violation> {
        let Some(floor) = self.reads.remove(&token) else {
            return Ok(());
        };
        if index < floor {
            return broken(
                "a read is never stale",
                format!("answered at {index}, {floor} was committed when it was asked"),
            );
        }
        Ok(())
    }
}
