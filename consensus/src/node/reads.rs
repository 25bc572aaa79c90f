//! Linearizable reads: a read index is answered after a round with a majority.

use super::{Effect, Node, RequestError, Role, Token};

impl Node {
    pub(super) fn read_index(&mut self, token: Token) {
        if self.role != Role::Leader {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::NotLeader));
        }
        if self.reads.len() >= self.timing.max_uncommitted * 4 {
            return self
                .effects
                .push(Effect::Rejected(token, RequestError::Busy));
        }
        self.reads.push_back((self.round + 1, self.commit, token));
        self.heartbeat_due = self.now;
        self.settle_reads();
    }

    pub(super) fn settle_reads(&mut self) {
        // Until the first entry of its own term is committed, a leader does not know
        // the commit index of its predecessors.
        if self.role != Role::Leader || self.term_at(self.commit) != Some(self.hard_state.term) {
            return;
        }
        let mut rounds: Vec<u64> = self
            .members
            .voters
            .iter()
            .map(|voter| match voter.identity == self.identity {
                true => self.round + 1,
                false => self.peers.get(&voter.identity).map_or(0, |peer| peer.round),
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let reached = rounds
            .get(self.members.majority() - 1)
            .copied()
            .unwrap_or(0);
        while self
            .reads
            .front()
            .is_some_and(|(round, _, _)| *round <= reached)
        {
            let (_, index, token) = self.reads.pop_front().expect("looked at above");
            self.effects
                .push(Effect::ReadReady(token, index.max(self.commit)));
        }
    }
}
