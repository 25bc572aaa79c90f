//! Local proposals that are not committed yet (Raft thesis §3.5: a client is answered once
//! its entry is applied).

use super::input::Token;
use crate::{Entry, LogIndex, Term};
use std::collections::BTreeMap;

/// A local proposal that is not committed yet.
#[derive(Clone, Hash)]
struct PendingProposal {
    term: Term,
    token: Token,
}

/// What became of the local proposal at an index.
pub(super) enum Outcome {
    /// No local proposal was made at this index.
    NotLocal,
    /// The entry is the proposal's.
    Committed(Token),
    /// An entry of another leader was committed in its place.
    Replaced(Token),
}

/// Pending proposals by the index of their entry.
#[derive(Clone, Default, Hash)]
pub(super) struct ProposalQueue {
    pending: BTreeMap<LogIndex, PendingProposal>,
}

impl ProposalQueue {
    pub(super) fn insert(&mut self, index: LogIndex, term: Term, token: Token) {
        self.pending.insert(index, PendingProposal { term, token });
    }

    /// Removes the proposal at the index of an entry that is applied.
    pub(super) fn on_applied(&mut self, entry: &Entry) -> Outcome {
        match self.pending.remove(&entry.index) {
            None => Outcome::NotLocal,
            Some(proposal) if proposal.term == entry.term => Outcome::Committed(proposal.token),
            Some(proposal) => Outcome::Replaced(proposal.token),
        }
    }

    /// Removes all proposals, in the order of their indexes.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Token> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_values().map(|proposal| proposal.token)
    }
}
